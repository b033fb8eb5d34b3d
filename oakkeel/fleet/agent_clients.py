"""Asks agents over their sockets, as `Asking` decides."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import time
from collections.abc import Callable

import msgspec

from oakkeel.agent import messages
from oakkeel.authentication.client import AuthenticatedClient, AuthenticationRejectedError, LinkError
from oakkeel.authentication.mac import SECOND, Key
from oakkeel.fleet.fan_out import FanOut, TargetState
from oakkeel.fleet.leader_discovery import LeaderDiscovery, SearchState
from oakkeel.fleet.view import FleetView
from oakkeel.settings.types import Fleet

AgentError, AgentRejectedError = LinkError, AuthenticationRejectedError


class NoLeaderError(OSError):
    """Nobody leads the record that we reach; `why` says for each host what it answered."""

    def __init__(self, why: dict[str, str]) -> None:
        super().__init__("no agent that we reach leads the record")
        self.why = why


async def request_once(address: tuple[str, int], key: Key, wish: messages.Request) -> messages.Response:
    """One question on a link of its own. Raises AgentError; waits as long as the other side does."""
    link = AuthenticatedClient(address, key)
    try:
        return messages.decode_response(await link.request(messages.encode(wish)))
    except msgspec.MsgspecError as error:
        raise AgentError(str(error)) from None
    finally:
        link.close()


class AgentClients:
    """All agents of a fleet, asked with one operator's key."""

    def __init__(self, fleet: Fleet, key: Key) -> None:
        self.fleet, self.key = fleet, key
        self.chance = secrets.randbits

    async def ask(
        self,
        wishes: dict[str, messages.Request],
        deadline: int = 0,
        heard: Callable[[str, int, messages.Response], None] | None = None,
    ) -> tuple[dict[str, messages.Response], dict[str, str]]:
        """Ask each host its wish. Returns the answers, and of the others why there is none.

        `deadline` in nanoseconds, 0 for that of the settings; `heard` is called with each answer and when its
        question was sent.
        """
        how = self.fleet.client
        asking = FanOut(
            time.monotonic_ns(), wishes, deadline or how.deadline, how.hedge, how.tries, self.chance(63)
        )
        answers: dict[str, messages.Response] = {}
        moved = asyncio.Event()
        tasks: set[asyncio.Task] = set()

        async def send(name: str, sent_at: int) -> None:
            try:
                answer = await request_once(self.fleet.host(name).agent, self.key, wishes[name])
                if asking.answered(time.monotonic_ns(), name):
                    answers[name] = answer
                    if heard:
                        heard(name, sent_at, answer)
            except AgentRejectedError as error:
                asking.refused(time.monotonic_ns(), name, str(error))
            except OSError as error:
                asking.failed(time.monotonic_ns(), name, str(error))
            finally:
                moved.set()

        while not asking.over:
            now = time.monotonic_ns()
            for name in asking.tick(now):
                tasks.add(asyncio.ensure_future(send(name, now)))
            if asking.over:
                break
            moved.clear()
            with contextlib.suppress(asyncio.TimeoutError):
                await asyncio.wait_for(moved.wait(), max(0, asking.next_at() - time.monotonic_ns()) / SECOND)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        return answers, {
            name: why(target.state, target.why)
            for name, target in asking.targets.items()
            if target.state is not TargetState.ANSWERED
        }

    async def ask_leader(self, wish: messages.Request, deadline: int = 0) -> messages.Response:
        """What the agent that leads the record answers. Raises NoLeader; `deadline` in nanoseconds."""
        assert self.fleet.control_plane is not None
        others = [host.name for host in self.fleet.hosts if host.name not in self.fleet.control_plane.hosts]
        search = LeaderDiscovery(
            time.monotonic_ns(),
            [*self.fleet.control_plane.hosts, *others],
            deadline or 3 * self.fleet.client.deadline,
        )
        while search.state is SearchState.ASKING:
            now = time.monotonic_ns()
            if not (name := search.whom(now)):
                await asyncio.sleep(max(0, min(search.not_before, search.deadline) - now) / SECOND)
                continue
            try:
                left = min(self.fleet.client.deadline, max(1, search.deadline - now))
                answer = await asyncio.wait_for(
                    request_once(self.fleet.host(name).agent, self.key, wish), left / SECOND
                )
            except TimeoutError:
                search.failed(time.monotonic_ns(), name, "did not answer")
            except OSError as error:
                search.failed(time.monotonic_ns(), name, str(error))
            else:
                if not isinstance(answer, messages.NotLeaderResponse):
                    search.found()
                    return answer
                search.elsewhere(time.monotonic_ns(), name, answer.leader, answer.why)
        raise NoLeaderError(search.why)

    async def look(self, view: FleetView, hosts: list[str] | None = None, deadline: int = 0) -> None:
        """Bring a view up to date, as far as agents answer."""
        names = hosts if hosts is not None else [host.name for host in self.fleet.hosts]

        def heard(name: str, sent_at: int, answer: messages.Response) -> None:
            if isinstance(answer, messages.HostStatus):
                view.told(name, sent_at, answer)
            else:
                view.unanswered(name, getattr(answer, "why", "an answer to another question"))

        view.unix = time.time_ns() - time.monotonic_ns()
        _, silent = await self.ask({name: messages.HostStatusRequest() for name in names}, deadline, heard)
        for name, reason in silent.items():
            view.unanswered(name, reason)


def why(state: TargetState, text: str) -> str:
    return f"{state.value}: {text}" if text else state.value
