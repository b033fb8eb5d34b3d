"""A keeper of the record with the ledger in it, and what it does for places while it leads. Free of I/O.

Whoever carries out its steps writes each one's `keep` before anything else of it, in their order.
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
    """What a leader does beyond places: made when it begins, thrown away when it ends, as `PermitAllocator` is."""

    def receive_heartbeat(self, now: int, poll: Heartbeat) -> list[Any]: ...
    def respond(self, now: int, host: str) -> bytes: ...
    def applied(self, now: int, command: object, result: object) -> None: ...
    def lost(self, command: object) -> None: ...
    def tick(self, now: int) -> list[Any]: ...


class ControlPlaneReplica:
    def __init__(
        self,
        now: int,
        held: DurableState,
        seed: int,
        pace: RaftTimeouts,
        founders: tuple[str, ...],
        layout: Topology,
        terms: PermitTimeouts | None = None,
        ledger: type[PermitStateMachine] = PermitStateMachine,
        above: Callable[[int, Any, PermitAllocator], LeaderExtension] | None = None,
    ) -> None:
        """`layout` is by this host's settings: it holds once a leader of the same settings has agreed it.
        `ledger` and `above` bring in what is built on places."""
        self.now, self.topology, self.timeouts = now, layout, terms or PermitTimeouts()
        self.state_machine = ledger(self._applied)
        self.make_extension = above
        self.extension: LeaderExtension | None = None
        self.allocator: PermitAllocator | None = None
        self.on_committed: Callable[[int, commands.Command, object], None] | None = (
            None  # told of what is agreed
        )
        self.proposals: dict[Proposal, commands.Command] = {}  # proposed by `granting`
        self.replica = Replica(now, held, self.state_machine, seed, pace, founders)

    def tick(self, now: int) -> list[Output]:
        return self._after(now, [self.replica.tick(now)])

    def receive(self, now: int, letter: Envelope) -> list[Output]:
        self.now = now
        return self._after(now, [self.replica.receive(now, letter)])

    def receive_heartbeat(self, now: int, poll: Heartbeat) -> tuple[HeartbeatResponse, list[Output]]:
        """An agent's report and what it is told. Raises NotLeading."""
        allocator = self._leads(now)
        above = self.extension
        steps = self._propose(
            now,
            allocator.receive_heartbeat(now, poll) + (above.receive_heartbeat(now, poll) if above else []),
        )
        answer = allocator.respond(now, self.replica.durable.epoch, poll.host)
        if above:
            answer.extension = above.respond(now, poll.host)
        answer.voters = sorted(
            {*self.state_machine.desired_voters(), *(each.name for each in self.replica.members)}
        )
        return answer, self._after(now, steps)

    def propose(self, now: int, command: Any) -> tuple[Proposal, list[Output]]:
        """Raises NotLeading."""
        self.now = now
        self._leads(now)
        proposal, steps = self.replica.propose(now, commands.encode(command))
        return proposal, self._after(now, [steps])

    def _leads(self, now: int) -> PermitAllocator:
        if self.allocator is None or not self.replica.holds_lease(now):
            raise NotLeaderError(self.replica.leader if self.replica.leader != self.replica.name else "")
        return self.allocator

    def _after(self, now: int, steps: list[Output]) -> list[Output]:
        """Begin, go on with or end what a leader does."""
        self.now = now
        for each in list(steps):
            for proposal in each.completed:
                command = self.proposals.pop(proposal, None)
                if command and proposal.status is not ProposalStatus.COMMITTED and self.allocator:
                    self._lost(command)
        if not self.replica.holds_lease(now):
            if self.replica.leader_state is None:
                self.allocator = self.extension = None
                self.proposals.clear()
            return steps
        if self.allocator is None:
            self.allocator = PermitAllocator(
                now, self.state_machine, self.timeouts, self.replica.random.getrandbits(50) + 1
            )
            if self.state_machine.state.topology != self.topology:
                steps += self._propose(now, [commands.SetTopology(self.topology)])
            if self.make_extension:
                self.extension = self.make_extension(now, self.state_machine, self.allocator)
        while self.allocator and (wanted := self._wanted(now, self.allocator)):
            more = self._propose(now, wanted)
            if not more:
                break
            steps += more
        return steps

    def _wanted(self, now: int, allocator: PermitAllocator) -> list[Any]:
        return allocator.tick(now) + (self.extension.tick(now) if self.extension else [])

    def _propose(self, now: int, wanted: list[commands.Command]) -> list[Output]:
        self.now, done = now, []
        for command in wanted:
            try:
                proposal, steps = self.replica.propose(now, commands.encode(command))
            except NotLeaderError:
                self._lost(command)
                continue
            if proposal.status is ProposalStatus.PENDING:
                self.proposals[proposal] = command
            done.append(steps)
        return done

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
