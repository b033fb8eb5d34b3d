"""Tells the leader how the things of a host are, again and again, and hears what is agreed of them."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import msgspec

from oakkeel.agent import messages
from oakkeel.agent.downstream_services import DownstreamServices
from oakkeel.agent.leader_locator import LeaderLocator
from oakkeel.agent.raft_runtime import RaftRuntime
from oakkeel.agent.reconciler import Reconciler
from oakkeel.authentication.client import AuthenticatedClient, LinkError
from oakkeel.authentication.mac import Key
from oakkeel.disruption.messages import HeartbeatResponse
from oakkeel.log import EventLog, fault
from oakkeel.settings.types import Fleet, Service
from oakkeel.units import MS, SECOND

POLL = 150 * MS  # from one poll to the next
POLL_EACH = MS // 2  # of this times the hosts of the fleet, where they are many
ANSWER = 800 * MS
PROBE = 400 * MS  # between looks at a service below


class StatusReporter:
    """Sends a host's heartbeats to the leader and applies its responses."""

    def __init__(
        self,
        fleet: Fleet,
        name: str,
        keys: dict[str, Key],
        reconciler: Reconciler,
        log: EventLog,
        on_response: Callable[[HeartbeatResponse], None],
    ) -> None:
        """`heard` is called with each answer that was taken."""
        assert fleet.control_plane is not None
        self.fleet, self.name, self.key, self.reconciler, self.log = fleet, name, keys[name], reconciler, log
        self.on_response = on_response
        self.locator = LeaderLocator(fleet.control_plane.hosts, (host.name for host in fleet.hosts))
        self.raft: RaftRuntime | None = None
        self.clients: dict[str, AuthenticatedClient] = {}
        self.last_response_at = 0  # monotonic; 0: never
        self.why = "not asked yet"
        self.wake = asyncio.Event()
        self.interval = max(POLL, POLL_EACH * len(fleet.hosts))

    @property
    def leader(self) -> str:
        """Whom it asks."""
        return self.locator.current

    async def run(self) -> None:
        """Send heartbeats until cancelled."""
        while True:
            try:
                answer = await self._send_heartbeat()
                if isinstance(answer, messages.NotLeaderResponse):
                    self.why = answer.why
                    self.locator.redirect(answer.leader)
                elif not isinstance(answer, messages.HeartbeatAccepted):
                    self.why = getattr(answer, "why", "an answer to another question")
                    self.locator.redirect("")
            except (LinkError, msgspec.MsgspecError) as error:
                self.why = f"{self.leader}: {error}"
                self.locator.redirect("")
            except Exception as error:  # the agent lives on
                self.log.error("heartbeat_failed", error=fault(error))
            self.wake.clear()
            try:
                await asyncio.wait_for(self.wake.wait(), self.interval / SECOND)
            except TimeoutError:
                continue
            await asyncio.sleep(0.005)  # what changes at the same time goes along

    async def _send_heartbeat(self) -> messages.Response:
        sent_at = time.monotonic_ns()
        heartbeat = self.reconciler.build_heartbeat(sent_at)
        if self.leader == self.name and self.raft:
            answer = self.raft.receive_heartbeat(heartbeat)
        else:
            if self.leader not in self.clients:
                self.clients[self.leader] = AuthenticatedClient(self.fleet.host(self.leader).agent, self.key)
            answer = messages.decode_response(
                await self.clients[self.leader].request(
                    messages.encode(messages.HeartbeatRequest(heartbeat)), ANSWER / SECOND
                )
            )
        if isinstance(answer, messages.HeartbeatAccepted):
            self._apply_response(sent_at, answer.response)
        return answer

    def _apply_response(self, sent_at: int, agreed: HeartbeatResponse) -> None:
        permit_holder = self.reconciler.permit_holder
        self.reconciler.apply_response(time.monotonic_ns(), sent_at, agreed)
        if permit_holder.rejection_reason:
            if permit_holder.rejection_reason != self.why:
                self.log.warning("heartbeat_response_rejected", error=permit_holder.rejection_reason)
            self.why = permit_holder.rejection_reason
            return
        self.last_response_at, self.why = time.monotonic_ns(), ""
        if agreed.voters:
            self.locator.set_voters(agreed.voters)
        self.on_response(agreed)

    def close(self) -> None:
        """Close all connections."""
        for link in self.clients.values():
            link.close()


async def probe(service: Service, services: DownstreamServices, moved: Callable[[], None]) -> None:
    """Look whether a downstream service takes connections, again and again."""
    while True:
        up = False
        try:
            _, writer = await asyncio.wait_for(asyncio.open_connection(*service.address), PROBE / SECOND)
            up = True
            writer.close()
        except (TimeoutError, OSError):
            pass
        was = services.up[service.name]
        services.observe(service.name, up)
        if services.up[service.name] is not was:
            moved()
        await asyncio.sleep(PROBE / SECOND)
