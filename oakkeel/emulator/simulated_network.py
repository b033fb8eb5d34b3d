"""The network between simulated hosts, with faults of its links."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from oakkeel.disruption.messages import Heartbeat, HeartbeatResponse
from oakkeel.emulator.faults import Fault
from oakkeel.raft.messages import Envelope
from oakkeel.raft.proposals import NotLeaderError
from oakkeel.units import MS, SECOND

if TYPE_CHECKING:
    from oakkeel.emulator.consensus import ConsensusSimulation
    from oakkeel.emulator.simulated_host import SimulatedHost

HEARTBEAT_TIMEOUT = 800 * MS
LOCAL_DELAY = 10_000


class SimulatedNetwork:
    """Delivers messages late, twice or never, as the faults of a link say."""

    def __init__(self, simulation: ConsensusSimulation) -> None:
        """No link has a fault yet."""
        self.simulation = simulation
        self.faults: dict[tuple[str, str], list[Fault]] = {}  # by source and recipient

    def add_fault(self, source: str, recipient: str, fault: Fault) -> None:
        """Disturb one link, for as long as the fault lasts."""
        self.faults.setdefault((source, recipient), []).append(fault)

    def has_faults(self) -> bool:
        """Whether any link is disturbed at present."""
        return any(self._active_faults(*link) for link in self.faults)

    def _active_faults(self, source: str, recipient: str) -> list[Fault]:
        now = self.simulation.clock.now
        return [
            fault for fault in self.faults.get((source, recipient), ()) if now < fault.at + fault.duration
        ]

    def _deliver(self, source: str, recipient: str, action: Callable[..., None], *arguments: object) -> None:
        clock = self.simulation.clock
        random = self.simulation.random
        if source == recipient:
            clock.after(LOCAL_DELAY, action, *arguments)
            return
        delay = random.randrange(100_000, 2 * MS)
        copies = 1
        for fault in self._active_faults(source, recipient):
            if fault.kind in ("cut", "cut one way", "part"):
                return
            if fault.kind == "loss" and random.random() < 0.2 + 0.6 * fault.intensity:
                return
            if fault.kind == "slow links":
                delay += int(random.random() * fault.intensity * 2 * SECOND)
            if fault.kind == "double":
                copies = 2
        for _ in range(copies):
            clock.after(delay, action, *arguments)
            delay += random.randrange(20 * MS)

    def send(self, source: str, recipient: str, envelope: Envelope) -> None:
        """Send a message between replicas."""
        hosts = self.simulation.hosts
        if recipient in hosts:
            self._deliver(source, recipient, hosts[recipient].replica.receive, envelope)

    def send_heartbeat(self, host: SimulatedHost, heartbeat: Heartbeat, sent_at: int) -> None:
        """Send an agent's heartbeat to the host that it takes for the leader's."""
        leader = self.simulation.hosts[host.agent.leader_locator.current]
        restarts = host.restarts
        awaits_response = True

        def arrived() -> None:
            if not leader.running:
                return
            if leader.stopped:
                leader.deferred.append(arrived)
                return
            if leader.control_plane is None:
                return
            try:
                response, outputs = leader.control_plane.receive_heartbeat(leader.now(), heartbeat)
            except NotLeaderError as error:
                self._deliver(leader.name, host.name, redirected, error.leader)
                return
            self._deliver(leader.name, host.name, answered, response)
            leader.replica.carry_out(outputs)

        def answered(response: HeartbeatResponse) -> None:
            nonlocal awaits_response
            awaits_response = False
            if host.restarts == restarts and response.voters:
                host.agent.leader_locator.set_voters(response.voters)
            host.agent.heartbeat_answered(restarts, sent_at, response)

        def redirected(name: str) -> None:
            nonlocal awaits_response
            if host.restarts == restarts and awaits_response:
                awaits_response = False
                host.agent.leader_locator.redirect(name)

        self._deliver(host.name, leader.name, arrived)
        self.simulation.clock.after(HEARTBEAT_TIMEOUT, redirected, "")
