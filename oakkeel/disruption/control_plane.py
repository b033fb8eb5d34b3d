"""A Raft replica with the permit state machine, and what it does for permits while it leads. Free of I/O.

Whoever carries out its outputs writes the storage update of each before anything else of it, in their order.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from oakkeel.disruption import commands
from oakkeel.disruption.allocator import PermitAllocator, PermitTimeouts
from oakkeel.disruption.messages import Heartbeat, HeartbeatResponse
from oakkeel.disruption.state_machine import PermitStateMachine
from oakkeel.disruption.topology import Topology
from oakkeel.raft.durable_state import DurableState
from oakkeel.raft.messages import Envelope
from oakkeel.raft.proposals import NotLeaderError, Proposal, ProposalStatus
from oakkeel.raft.replica import Replica
from oakkeel.raft.state import Output
from oakkeel.raft.timeouts import RaftTimeouts


class LeaderExtension(Protocol):
    """What a leader does beyond permits. It lives as long as the leader's `PermitAllocator`."""

    def receive_heartbeat(self, now: int, heartbeat: Heartbeat, /) -> list[Any]:
        """Take in an agent's report. Returns commands to propose."""
        ...

    def respond(self, now: int, host: str, /) -> bytes:
        """Return what the response to a host's heartbeat carries for it."""
        ...

    def applied(self, now: int, command: object, result: object, /) -> None:
        """Follow a command that was applied."""
        ...

    def lost(self, command: object, /) -> None:
        """Forget a command that will never be committed."""
        ...

    def tick(self, now: int, /) -> list[Any]:
        """Return commands to propose."""
        ...


class ControlPlaneReplica:
    """A replica of the control plane. Calls return outputs to carry out."""

    def __init__(
        self,
        now: int,
        durable: DurableState,
        seed: int,
        raft_timeouts: RaftTimeouts,
        initial_voters: tuple[str, ...],
        topology: Topology,
        timeouts: PermitTimeouts | None = None,
        state_machine: type[PermitStateMachine] = PermitStateMachine,
        extension: Callable[[int, Any, PermitAllocator], LeaderExtension] | None = None,
    ) -> None:
        """`topology` is by this host's settings: it holds once a leader with the same settings commits it.

        `state_machine` and `extension` bring in what is built on permits.
        """
        self.now, self.topology, self.timeouts = now, topology, timeouts or PermitTimeouts()
        self.state_machine = state_machine(self._applied)
        self.make_extension = extension
        self.extension: LeaderExtension | None = None
        self.allocator: PermitAllocator | None = None
        self.on_committed: Callable[[int, commands.Command, object], None] | None = (
            None  # called with what is applied
        )
        self.proposals: dict[Proposal, commands.Command] = {}  # of the allocator and the extension
        self.replica = Replica(now, durable, self.state_machine, seed, raft_timeouts, initial_voters)

    def tick(self, now: int) -> list[Output]:
        """Do what is due by time."""
        return self._after(now, [self.replica.tick(now)])

    def receive(self, now: int, envelope: Envelope) -> list[Output]:
        """Take in a message of another replica."""
        self.now = now
        return self._after(now, [self.replica.receive(now, envelope)])

    def receive_heartbeat(self, now: int, heartbeat: Heartbeat) -> tuple[HeartbeatResponse, list[Output]]:
        """Take in an agent's report and return the response. Raises NotLeaderError."""
        allocator = self._require_leader(now)
        extension = self.extension
        wanted: list[Any] = allocator.receive_heartbeat(now, heartbeat)
        if extension:
            wanted = wanted + extension.receive_heartbeat(now, heartbeat)
        outputs = self._propose(now, wanted)
        response = allocator.respond(now, self.replica.durable.epoch, heartbeat.host)
        if extension:
            response.extension = extension.respond(now, heartbeat.host)
        response.voters = sorted(
            {*self.state_machine.desired_voters(), *(member.name for member in self.replica.members)}
        )
        return response, self._after(now, outputs)

    def propose(self, now: int, command: Any) -> tuple[Proposal, list[Output]]:
        """Propose a command. Raises NotLeaderError."""
        self.now = now
        self._require_leader(now)
        proposal, output = self.replica.propose(now, commands.encode(command))
        return proposal, self._after(now, [output])

    def _require_leader(self, now: int) -> PermitAllocator:
        if self.allocator is None or not self.replica.holds_lease(now):
            raise NotLeaderError(self.replica.leader if self.replica.leader != self.replica.name else "")
        return self.allocator

    def _after(self, now: int, outputs: list[Output]) -> list[Output]:
        """Start, go on with or end what a leader does."""
        self.now = now
        for output in list(outputs):
            for proposal in output.completed:
                command = self.proposals.pop(proposal, None)
                if command and proposal.status is not ProposalStatus.COMMITTED and self.allocator:
                    self._lost(command)
        if not self.replica.holds_lease(now):
            if self.replica.leader_state is None:
                self.allocator = self.extension = None
                self.proposals.clear()
            return outputs
        if self.allocator is None:
            self.allocator = PermitAllocator(
                now, self.state_machine, self.timeouts, self.replica.random.getrandbits(50) + 1
            )
            if self.state_machine.state.topology != self.topology:
                outputs += self._propose(now, [commands.SetTopology(self.topology)])
            if self.make_extension:
                self.extension = self.make_extension(now, self.state_machine, self.allocator)
        while self.allocator and (wanted := self._wanted(now, self.allocator)):
            more = self._propose(now, wanted)
            if not more:
                break
            outputs += more
        return outputs

    def _wanted(self, now: int, allocator: PermitAllocator) -> list[Any]:
        return allocator.tick(now) + (self.extension.tick(now) if self.extension else [])

    def _propose(self, now: int, wanted: list[commands.Command]) -> list[Output]:
        self.now, outputs = now, []
        for command in wanted:
            try:
                proposal, output = self.replica.propose(now, commands.encode(command))
            except NotLeaderError:
                self._lost(command)
                continue
            if proposal.status is ProposalStatus.PENDING:
                self.proposals[proposal] = command
            outputs.append(output)
        return outputs

    def _lost(self, command: commands.Command) -> None:
        if self.allocator:
            self.allocator.lost(command)
        if self.extension:
            self.extension.lost(command)

    def _applied(self, index: int, command: commands.Command, result: object) -> None:
        if self.on_committed:
            self.on_committed(index, command, result)
        if self.allocator:
            self.allocator.applied(self.now, index, command, result)
        if self.extension:
            self.extension.applied(self.now, command, result)
