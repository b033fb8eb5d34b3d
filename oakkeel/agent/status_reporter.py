"""Sends the heartbeats of a host to the leader, and probes its downstream services."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import msgspec

from oakkeel.agent import messages
from oakkeel.agent.configuration import control_plane_of
from oakkeel.agent.downstream_services import DownstreamServices
from oakkeel.agent.leader_locator import LeaderLocator
from oakkeel.agent.raft_runtime import RaftRuntime
from oakkeel.agent.reconciler import Reconciler
from oakkeel.authentication.client import AuthenticatedClient, LinkError
from oakkeel.authentication.mac import Key
from oakkeel.disruption.messages import HeartbeatResponse
from oakkeel.log import EventLog, describe_error
from oakkeel.settings.types import Fleet, Service
from oakkeel.units import MS, SECOND

MIN_HEARTBEAT_INTERVAL_NS = 150 * MS
HEARTBEAT_INTERVAL_PER_HOST_NS = MS // 2  # the interval grows with the number of hosts in the fleet
HEARTBEAT_TIMEOUT_NS = 800 * MS
COALESCING_DELAY_NS = 5 * MS  # before a heartbeat that reports a change, to include changes soon after it
PROBE_INTERVAL_NS = 400 * MS
PROBE_TIMEOUT_NS = 400 * MS


class StatusReporter:
    """Sends a host's heartbeats to the leader and applies the leader's responses."""

    def __init__(
        self,
        fleet: Fleet,
        name: str,
        keys: dict[str, Key],
        reconciler: Reconciler,
        log: EventLog,
        on_response: Callable[[HeartbeatResponse], None],
    ) -> None:
        """`on_response` is called with each accepted response. Raises NoControlPlaneError."""
        self.fleet = fleet
        self.name = name
        self.key = keys[name]
        self.reconciler = reconciler
        self.log = log
        self.on_response = on_response
        host_names = (host.name for host in fleet.hosts)
        self.locator = LeaderLocator(control_plane_of(fleet).initial_voters, host_names)
        self.raft: RaftRuntime | None = None
        self.clients: dict[str, AuthenticatedClient] = {}
        self.last_response_at = 0  # time of the last accepted response, monotonic; 0: none yet
        # Reason the last heartbeat has no accepted response; empty if it has one.
        self.why = "no heartbeat was sent yet"
        self.wake = asyncio.Event()
        self.interval_ns = max(MIN_HEARTBEAT_INTERVAL_NS, HEARTBEAT_INTERVAL_PER_HOST_NS * len(fleet.hosts))

    @property
    def leader(self) -> str:
        """The host that heartbeats are sent to."""
        return self.locator.current

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            try:
                response = await self._send_heartbeat()
                if isinstance(response, messages.NotLeaderResponse):
                    self.why = response.why
                    self.locator.redirect(response.leader)
                elif not isinstance(response, messages.HeartbeatAccepted):
                    self.why = getattr(response, "why", "the response is of another type")
                    self.locator.redirect("")
            except (LinkError, msgspec.MsgspecError) as error:
                self.why = f"{self.leader}: {error}"
                self.locator.redirect("")
            except Exception as error:  # the agent continues
                self.log.error("heartbeat_failed", error=describe_error(error))
            self.wake.clear()
            try:
                async with asyncio.timeout(self.interval_ns / SECOND):
                    await self.wake.wait()
            except TimeoutError:
                continue
            await asyncio.sleep(COALESCING_DELAY_NS / SECOND)

    async def _send_heartbeat(self) -> messages.Response:
        sent_at = time.monotonic_ns()
        heartbeat = self.reconciler.build_heartbeat(sent_at)
        if self.leader == self.name and self.raft:
            response = self.raft.receive_heartbeat(heartbeat)
        else:
            request = messages.encode(messages.HeartbeatRequest(heartbeat))
            content = await self._leader_client().request(request, HEARTBEAT_TIMEOUT_NS / SECOND)
            response = messages.decode_response(content)
        if isinstance(response, messages.HeartbeatAccepted):
            self._apply_response(sent_at, response.response)
        return response

    def _leader_client(self) -> AuthenticatedClient:
        if self.leader not in self.clients:
            self.clients[self.leader] = AuthenticatedClient(
                self.fleet.host(self.leader).agent_address, self.key
            )
        return self.clients[self.leader]

    def _apply_response(self, sent_at: int, response: HeartbeatResponse) -> None:
        permit_holder = self.reconciler.permit_holder
        self.reconciler.apply_response(time.monotonic_ns(), sent_at, response)
        if permit_holder.rejection_reason:
            if permit_holder.rejection_reason != self.why:
                self.log.warning("heartbeat_response_rejected", error=permit_holder.rejection_reason)
            self.why = permit_holder.rejection_reason
            return
        self.last_response_at = time.monotonic_ns()
        self.why = ""
        if response.voters:
            self.locator.set_voters(response.voters)
        self.on_response(response)

    def close(self) -> None:
        """Close all connections."""
        for client in self.clients.values():
            client.close()


async def probe(service: Service, services: DownstreamServices, on_change: Callable[[], None]) -> None:
    """Probe whether a downstream service accepts connections, until this task is cancelled."""
    while True:
        is_up = await _accepts_connections(service.address)
        was_up = services.is_up[service.name]
        services.observe(service.name, is_up)
        if services.is_up[service.name] is not was_up:
            on_change()
        await asyncio.sleep(PROBE_INTERVAL_NS / SECOND)


async def _accepts_connections(address: tuple[str, int]) -> bool:
    try:
        async with asyncio.timeout(PROBE_TIMEOUT_NS / SECOND):
            _, writer = await asyncio.open_connection(*address)
    except (TimeoutError, OSError):
        return False
    writer.close()
    return True
