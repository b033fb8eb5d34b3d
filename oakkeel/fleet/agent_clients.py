"""Requests to the agents of a fleet over sockets, as `FanOut` and `LeaderDiscovery` decide."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import time
from collections.abc import Callable

import msgspec

from oakkeel.agent import messages
from oakkeel.authentication.client import AuthenticatedClient, AuthenticationRejectedError, LinkError
from oakkeel.authentication.mac import Key
from oakkeel.errors import OakkeelError
from oakkeel.fleet.fan_out import FanOut, FanOutPolicy, Target, TargetState
from oakkeel.fleet.leader_discovery import LeaderDiscovery, SearchState
from oakkeel.fleet.view import FleetView
from oakkeel.settings.types import Fleet, SettingsError
from oakkeel.units import SECOND

AgentError = LinkError
AgentRejectedError = AuthenticationRejectedError
OnResponse = Callable[[str, int, messages.Response], None]
DEFAULT_LEADER_SEARCH_DEADLINES = 3  # default deadline of a search, as a multiple of that of one request
SEED_BITS = 63
NO_LEADER_TEXT = "no reachable agent leads the control plane"
UNEXPECTED_RESPONSE = "the agent sent an unexpected response"


class NoLeaderError(OakkeelError, OSError):
    """No reachable agent leads the control plane; `reasons` has the failure or response of each host."""

    def __init__(self, reasons: dict[str, str]) -> None:
        """Store the reasons, by host."""
        super().__init__(NO_LEADER_TEXT)
        self.reasons = reasons


async def request_once(address: tuple[str, int], key: Key, request: messages.Request) -> messages.Response:
    """Send one request over a new connection, without a deadline. Raises AgentError."""
    client = AuthenticatedClient(address, key)
    try:
        return messages.decode_response(await client.request(messages.encode(request)))
    except msgspec.MsgspecError as error:
        raise AgentError(str(error)) from error
    finally:
        client.close()


class FanOutRequest:
    """One fan-out in progress: its attempts, and the responses received."""

    def __init__(self, clients: AgentClients, requests: dict[str, messages.Request], fan_out: FanOut) -> None:
        """Prepare to send each host its request; `fan_out` decides on the attempts."""
        self.clients = clients
        self.requests = requests
        self.fan_out = fan_out
        self.responses: dict[str, messages.Response] = {}
        self.on_response: OnResponse | None = None
        self.progress = asyncio.Event()  # set when an attempt ends
        self.tasks: set[asyncio.Task[None]] = set()  # one for each attempt

    async def run(self) -> None:
        """Send and retry until the fan-out is finished, then cancel the attempts in flight."""
        try:
            while not self.fan_out.is_finished:
                now = time.monotonic_ns()
                for name in self.fan_out.tick(now):
                    self.tasks.add(asyncio.ensure_future(self._send(name, now)))
                if self.fan_out.is_finished:
                    break
                self.progress.clear()
                delay = max(0, self.fan_out.next_tick_at() - time.monotonic_ns())
                with contextlib.suppress(TimeoutError):
                    # before Python 3.12, `wait_for` may lose a cancellation
                    async with asyncio.timeout(delay / SECOND):
                        await self.progress.wait()
        finally:
            for task in self.tasks:
                task.cancel()
            await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _send(self, name: str, sent_at: int) -> None:
        try:
            response = await self.clients.request(name, self.requests[name])
            if self.fan_out.record_response(time.monotonic_ns(), name):
                self.responses[name] = response
                if self.on_response:
                    self.on_response(name, sent_at, response)
        except AgentRejectedError as error:
            self.fan_out.record_rejection(time.monotonic_ns(), name, str(error))
        except OSError as error:
            self.fan_out.record_failure(time.monotonic_ns(), name, str(error))
        finally:
            self.progress.set()


class AgentClients:
    """A client of all agents of a fleet, with the key of one operator."""

    def __init__(self, fleet: Fleet, key: Key) -> None:
        """Use the addresses in the settings of the fleet, and this key."""
        self.fleet = fleet
        self.key = key

    async def request(self, host: str, request: messages.Request) -> messages.Response:
        """Send one request to the agent of a host. Raises AgentError."""
        return await request_once(self.fleet.host(host).agent_address, self.key, request)

    async def request_each(
        self,
        requests: dict[str, messages.Request],
        deadline: int = 0,
        on_response: OnResponse | None = None,
    ) -> tuple[dict[str, messages.Response], dict[str, str]]:
        """Send each host its request; return the responses and the failures, both by host.

        `deadline` is in nanoseconds; 0: the deadline in the settings. `on_response` is called with the host,
        the time at which its request was sent, and the response.
        """
        settings = self.fleet.client
        policy = FanOutPolicy(deadline or settings.deadline, settings.hedge, settings.tries)
        fan_out = FanOut(time.monotonic_ns(), requests, policy, secrets.randbits(SEED_BITS))
        fan_out_request = FanOutRequest(self, requests, fan_out)
        fan_out_request.on_response = on_response
        await fan_out_request.run()
        failures = {
            name: describe_failure(target)
            for name, target in fan_out.targets.items()
            if target.state is not TargetState.ANSWERED
        }
        return fan_out_request.responses, failures

    async def request_leader(self, request: messages.Request, deadline: int = 0) -> messages.Response:
        """Send a request to the leader of the control plane. Raises NoLeaderError.

        `deadline` is in nanoseconds; 0: `DEFAULT_LEADER_SEARCH_DEADLINES` times the deadline in the settings.
        """
        if self.fleet.control_plane is None:
            raise SettingsError(f"{self.fleet.path}: the fleet has no replicas (`keepers`), so no leader")
        voters = self.fleet.control_plane.initial_voters
        other_hosts = [host.name for host in self.fleet.hosts if host.name not in voters]
        request_deadline = self.fleet.client.deadline
        search = LeaderDiscovery(
            time.monotonic_ns(),
            [*voters, *other_hosts],
            deadline or DEFAULT_LEADER_SEARCH_DEADLINES * request_deadline,
        )
        while search.state is SearchState.SEARCHING:
            now = time.monotonic_ns()
            if not (name := search.next_host(now)):
                await asyncio.sleep(max(0, min(search.next_query_at, search.deadline) - now) / SECOND)
                continue
            timeout = min(request_deadline, max(1, search.deadline - now))
            try:
                async with asyncio.timeout(timeout / SECOND):
                    response = await self.request(name, request)
            except TimeoutError:
                search.record_failure(time.monotonic_ns(), name, "did not answer")
            except OSError as error:
                search.record_failure(time.monotonic_ns(), name, str(error))
            else:
                if not isinstance(response, messages.NotLeaderResponse):
                    search.record_leader()
                    return response
                search.record_not_leader(time.monotonic_ns(), name, response.leader, response.why)
        raise NoLeaderError(search.reasons)

    async def refresh(self, view: FleetView, hosts: list[str] | None = None, deadline: int = 0) -> None:
        """Update a view with the status of these hosts, or of all; `deadline` is that of `request_each`."""
        names = hosts if hosts is not None else [host.name for host in self.fleet.hosts]

        def update(name: str, sent_at: int, response: messages.Response) -> None:
            if isinstance(response, messages.HostStatus):
                view.update(name, sent_at, response)
            else:
                view.record_no_response(name, getattr(response, "why", UNEXPECTED_RESPONSE))

        view.clock_offset = time.time_ns() - time.monotonic_ns()
        requests: dict[str, messages.Request] = {name: messages.HostStatusRequest() for name in names}
        _, failures = await self.request_each(requests, deadline, update)
        for name, reason in failures.items():
            view.record_no_response(name, reason)


def describe_failure(target: Target) -> str:
    """Describe in one line why a request to a target failed."""
    return f"{target.state.value}: {target.reason}" if target.reason else target.state.value
