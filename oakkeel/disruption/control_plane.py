"""A replica of the control plane: Raft, the permit state machine, and a leader's allocator. Free of I/O.

The caller carries out the outputs in their order. Of each output, the storage update comes first.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

import msgspec

from oakkeel.disruption import commands
from oakkeel.disruption.allocator import PermitAllocator
from oakkeel.disruption.messages import Heartbeat, HeartbeatResponse
from oakkeel.disruption.state_machine import PermitStateMachine
from oakkeel.disruption.timeouts import PermitTimeouts
from oakkeel.disruption.topology import Topology
from oakkeel.raft.durable_state import DurableState
from oakkeel.raft.messages import Envelope
from oakkeel.raft.proposals import NotLeaderError, Proposal, ProposalStatus
from oakkeel.raft.replica import Replica
from oakkeel.raft.state import Output
from oakkeel.raft.timeouts import RaftTimeouts

LEADER_NONCE_BITS = 50


class LeaderExtension(Protocol):
    """A leader's duties beside permits. An extension lives as long as the leader's `PermitAllocator`."""

    def receive_heartbeat(self, now: int, heartbeat: Heartbeat, /) -> Sequence[msgspec.Struct]:
        """Record an agent's heartbeat. Returns commands to propose."""
        ...

    def respond(self, now: int, host: str, /) -> bytes:
        """Return the `extension` of the response to a host's heartbeat."""
        ...

    def handle_applied(self, now: int, command: msgspec.Struct, result: object, /) -> None:
        """Update the extension after a command was applied."""
        ...

    def handle_lost_command(self, command: msgspec.Struct, /) -> None:
        """Forget a command that will never be committed."""
        ...

    def tick(self, now: int, /) -> Sequence[msgspec.Struct]:
        """Return commands to propose."""
        ...


ExtensionFactory = Callable[[int, Any, PermitAllocator], LeaderExtension]  # time, state machine, allocator


@dataclass(slots=True, frozen=True)
class ReplicaSettings:
    """The settings that the replicas of one control plane have in common.

    `initial_voters` names the voters of a new cluster. `topology` follows this host's settings, and takes
    effect once a leader with the same settings has committed it. `state_machine` and `extension` add the
    features that are built on permits.
    """

    initial_voters: tuple[str, ...]
    topology: Topology
    raft_timeouts: RaftTimeouts = field(default_factory=RaftTimeouts)
    permit_timeouts: PermitTimeouts = field(default_factory=PermitTimeouts)
    state_machine: type[PermitStateMachine] = PermitStateMachine
    extension: ExtensionFactory | None = None


class ControlPlaneReplica:
    """A replica of the control plane. Calls return outputs to carry out."""

    def __init__(self, now: int, durable: DurableState, seed: int, settings: ReplicaSettings) -> None:
        """`now` is the host's monotonic time in nanoseconds, here and in all other calls."""
        self.now = now
        self.settings = settings
        self.state_machine = settings.state_machine(self._handle_applied)
        self.extension: LeaderExtension | None = None
        self.allocator: PermitAllocator | None = None
        # called with the index, the command and the result of each applied command
        self.on_committed: Callable[[int, commands.Command, object], None] | None = None
        # the commands of the pending proposals of the allocator and the extension
        self.proposals: dict[Proposal, msgspec.Struct] = {}
        self.replica = Replica(
            now, durable, self.state_machine, seed, settings.raft_timeouts, settings.initial_voters
        )

    def tick(self, now: int) -> list[Output]:
        """Send the messages and propose the commands that are due."""
        return self._with_leader_outputs(now, [self.replica.tick(now)])

    def receive(self, now: int, envelope: Envelope) -> list[Output]:
        """Handle a message of another replica."""
        self.now = now
        return self._with_leader_outputs(now, [self.replica.receive(now, envelope)])

    def receive_heartbeat(self, now: int, heartbeat: Heartbeat) -> tuple[HeartbeatResponse, list[Output]]:
        """Handle an agent's heartbeat and return the response. Raises NotLeaderError."""
        allocator = self._require_leader(now)
        extension = self.extension
        to_propose: list[msgspec.Struct] = [*allocator.receive_heartbeat(now, heartbeat)]
        if extension:
            to_propose += extension.receive_heartbeat(now, heartbeat)
        outputs = self._propose(now, to_propose)
        response = allocator.respond(now, self.replica.durable.epoch, heartbeat.host)
        if extension:
            response.extension = extension.respond(now, heartbeat.host)
        response.voters = sorted(
            {*self.state_machine.desired_voters(), *(member.name for member in self.replica.members)}
        )
        return response, self._with_leader_outputs(now, outputs)

    def propose(self, now: int, command: msgspec.Struct) -> tuple[Proposal, list[Output]]:
        """Propose a command. Raises NotLeaderError."""
        self.now = now
        self._require_leader(now)
        proposal, output = self.replica.propose(now, commands.encode(command))
        return proposal, self._with_leader_outputs(now, [output])

    def _require_leader(self, now: int) -> PermitAllocator:
        """Return the allocator of a leader that holds its lease. Raises NotLeaderError."""
        if self.allocator is None or not self.replica.holds_lease(now):
            leader = self.replica.leader if self.replica.leader != self.replica.name else ""
            raise NotLeaderError(leader, self.replica.lease_missing_reason())
        return self.allocator

    def _with_leader_outputs(self, now: int, outputs: list[Output]) -> list[Output]:
        """Return the outputs of a call and of the commands that the leader proposes next."""
        self.now = now
        self._handle_lost_proposals(outputs)
        if not self.replica.holds_lease(now):
            if self.replica.leader_state is None:
                self._step_down()
            return outputs
        if self.allocator is None:
            outputs += self._start_leadership(now)
        while self.allocator and (to_propose := self._next_commands(now, self.allocator)):
            new_outputs = self._propose(now, to_propose)
            if not new_outputs:
                break
            outputs += new_outputs
        return outputs

    def _handle_lost_proposals(self, outputs: list[Output]) -> None:
        """Forget the commands whose outcome is unknown, as their leader has stepped down."""
        for output in outputs:
            for proposal in output.completed:
                command = self.proposals.pop(proposal, None)
                if command and proposal.status is not ProposalStatus.COMMITTED and self.allocator:
                    self._forget_command(command)

    def _start_leadership(self, now: int) -> list[Output]:
        """Create the allocator and the extension, and propose the topology if the committed one differs."""
        nonce = self.replica.random.getrandbits(LEADER_NONCE_BITS) + 1
        self.allocator = PermitAllocator(now, self.state_machine, self.settings.permit_timeouts, nonce)
        outputs: list[Output] = []
        if self.state_machine.state.topology != self.settings.topology:
            outputs = self._propose(now, [commands.SetTopology(self.settings.topology)])
        if self.settings.extension:
            self.extension = self.settings.extension(now, self.state_machine, self.allocator)
        return outputs

    def _step_down(self) -> None:
        self.allocator = None
        self.extension = None
        self.proposals.clear()

    def _next_commands(self, now: int, allocator: PermitAllocator) -> list[msgspec.Struct]:
        return [*allocator.tick(now), *(self.extension.tick(now) if self.extension else [])]

    def _propose(self, now: int, to_propose: Sequence[msgspec.Struct]) -> list[Output]:
        self.now = now
        outputs = []
        for command in to_propose:
            try:
                proposal, output = self.replica.propose(now, commands.encode(command))
            except NotLeaderError:
                self._forget_command(command)
                continue
            if proposal.status is ProposalStatus.PENDING:
                self.proposals[proposal] = command
            outputs.append(output)
        return outputs

    def _forget_command(self, command: msgspec.Struct) -> None:
        if self.allocator:
            self.allocator.handle_lost_command(command)
        if self.extension:
            self.extension.handle_lost_command(command)

    def _handle_applied(self, index: int, command: commands.Command, result: object) -> None:
        if self.on_committed:
            self.on_committed(index, command, result)
        if self.allocator:
            self.allocator.handle_applied(self.now, index, command, result)
        if self.extension:
            self.extension.handle_applied(self.now, command, result)
