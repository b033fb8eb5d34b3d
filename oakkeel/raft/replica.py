"""One replica of the replicated state machine. Free of I/O.

After Raft (D. Ongaro, "Consensus: bridging theory and practice", 2014: terms, log, one change of members at a
time, pre-vote, a leader's lease, snapshots). Beyond it:

- A replica has an incarnation for each file. One whose file was lost is another member of the same name,
  which has no vote until the leader has put it in the other's place.
- One that starts recovers first, see `recovery`: a file that is an older copy is found out.

Each call returns an `Output`: its storage update is to be on disk before anything else of it is done. Where
it can't be written, the replica is thrown away and made again from what is there, as if it had crashed.
"""

from __future__ import annotations

from oakkeel.raft.durable_state import DurableState, StorageUpdate
from oakkeel.raft.elections import Elections
from oakkeel.raft.membership import next_membership
from oakkeel.raft.messages import (
    MAX_COMMAND_BYTES,
    AppendEntriesRequest,
    AppendEntriesResponse,
    EntryKind,
    Envelope,
    JoinCluster,
    RecoveryRequest,
    RecoveryResponse,
    SnapshotChunk,
    SnapshotChunkResponse,
    VoteRequest,
    VoteResponse,
)
from oakkeel.raft.proposals import NotLeaderError, Proposal, ProposalStatus
from oakkeel.raft.recovery import Recovery
from oakkeel.raft.replication import FollowerReplication
from oakkeel.raft.roles import Role
from oakkeel.raft.snapshot_transfer import SnapshotReceiver
from oakkeel.raft.state import Output, ReplicaState, StateMachine
from oakkeel.raft.timeouts import RaftTimeouts

MAX_PENDING_PROPOSALS = 1024


class Replica(ReplicaState):
    """One replica: `tick`, `receive` and `propose` return what is to be done."""

    def __init__(
        self,
        now: int,
        durable: DurableState,
        state_machine: StateMachine,
        seed: int,
        timeouts: RaftTimeouts,
        initial_voters: tuple[str, ...],
    ) -> None:
        """`initial_voters` names the voters of a new cluster, by the operators' settings."""
        super().__init__(now, durable, state_machine, seed, timeouts)
        self.recovery = Recovery(now, self, initial_voters)
        self.elections = Elections(self)
        self.replication = FollowerReplication(self)
        self.snapshot_receiver = SnapshotReceiver(self)
        self.membership_at = now
        if self.voters == {self.incarnation} or (durable.epoch and not self.is_eligible):
            # Nobody else can know what it has forgotten, or it has no vote.
            self.change_role(now, Role.FOLLOWER)

    def next_tick_at(self) -> int:
        """Return when `tick` has something to do, should nothing come before."""
        if self.leader_state:
            return min(self.leader_state.next_tick_at(), self.membership_at)
        if self.role is Role.RECOVERING or not self.is_eligible:
            return self.recovery.next_request_at
        return self.election_at

    def tick(self, now: int) -> Output:
        """Do what is due by the time."""
        if self.role is Role.STALE:
            return self._finish(now)
        if self.role is Role.RECOVERING or (self.role is Role.FOLLOWER and not self.is_eligible):
            self.recovery.tick(now)
        elif self.leader_state:
            self._tick_as_leader(now)
        elif now >= self.election_at:
            self.elections.start_pre_vote(now)
        return self._finish(now)

    def _tick_as_leader(self, now: int) -> None:
        leader_state = self.leader_state
        if leader_state is None:
            return
        leader_state.tick(now)
        if leader_state.lost_majority(now):
            self.become_follower(now, self.term, "")
        elif now >= self.membership_at:
            self.membership_at = now + self.timeouts.membership_interval
            if members := next_membership(now, leader_state):
                self.append(now, EntryKind.MEMBERS, members)

    def receive(self, now: int, envelope: Envelope) -> Output:
        """Take a message of another replica."""
        message = envelope.message
        if isinstance(message, RecoveryRequest):
            self.recovery.request_received(now, envelope, message)
        elif isinstance(message, RecoveryResponse):
            self.recovery.response_received(now, envelope, message)
        elif isinstance(message, JoinCluster):
            self.recovery.join_received(now, message)
        elif (
            envelope.epoch == self.durable.epoch
            and envelope.epoch
            and self.role not in (Role.STALE, Role.RECOVERING)
        ):
            # A recovering one stores nothing yet: what came since its start would look like what it forgot.
            self._receive_as_member(now, envelope)
        return self._finish(now)

    def _receive_as_member(self, now: int, envelope: Envelope) -> None:
        message = envelope.message
        if isinstance(message, VoteRequest):
            self.elections.vote_requested(now, envelope, message)
        elif isinstance(message, VoteResponse):
            self.elections.vote_received(now, envelope, message)
        elif isinstance(message, AppendEntriesRequest):
            self.replication.append_received(now, envelope, message)
        elif isinstance(message, AppendEntriesResponse):
            self._append_response_received(now, envelope, message)
        elif isinstance(message, SnapshotChunk):
            self.snapshot_receiver.chunk_received(now, envelope, message)
        elif isinstance(message, SnapshotChunkResponse):
            self._snapshot_response_received(now, envelope, message)

    def _append_response_received(
        self, now: int, envelope: Envelope, response: AppendEntriesResponse
    ) -> None:
        if response.term > self.term:
            self.become_follower(now, response.term, "")
        elif self.leader_state and response.term == self.term:
            self.leader_state.append_response_received(now, envelope.incarnation, response)

    def _snapshot_response_received(
        self, now: int, envelope: Envelope, response: SnapshotChunkResponse
    ) -> None:
        if self.leader_state and response.term == self.term:
            self.leader_state.snapshot_response_received(now, envelope.incarnation, response)

    def propose(self, now: int, content: bytes) -> tuple[Proposal, Output]:
        """Append a command as the leader.

        Raises NotLeaderError where it does not lead, or can't take more.
        """
        leader_state = self.leader_state
        if leader_state is None or not leader_state.has_committed(self.commit_index):
            raise NotLeaderError(self.leader if leader_state is None else "")
        if len(self.proposals) >= MAX_PENDING_PROPOSALS or len(content) > MAX_COMMAND_BYTES:
            raise NotLeaderError(self.name, "too much waits to be agreed, or the command is too long")
        proposal = Proposal(self.append(now, EntryKind.COMMAND, content))
        self.proposals[proposal.index] = proposal
        return proposal, self._finish(now)

    def _finish(self, now: int) -> Output:
        """Commit, replicate and apply at the end of each call, and return its output."""
        if self.leader_state:
            self.commit_index = self.leader_state.next_commit_index(self.commit_index)
            self.leader_state.replicate(now)
        self._apply()
        is_removed = self.incarnation not in {member.incarnation for member in self.members}
        if self.leader_state and is_removed and self.log.members_index <= self.commit_index:
            self.become_follower(now, self.term, "")  # it has removed itself
        output, self.output = self.output, Output()
        if not self.storage_update.is_empty:
            output.storage_update, self.storage_update = self.storage_update, StorageUpdate()
        return output

    def _apply(self) -> None:
        while self.applied_index < self.commit_index:
            self.applied_index += 1
            entry = self.log.entry(self.applied_index)
            result = None
            if entry.kind == EntryKind.COMMAND:
                result = self.state_machine.apply(self.applied_index, entry.content)
            if proposal := self.proposals.pop(self.applied_index, None):  # a leader truncates nothing
                proposal.status, proposal.result = ProposalStatus.COMMITTED, result
                self.output.completed.append(proposal)
        if self.applied_index - self.log.snapshot.index >= self.timeouts.snapshot_entries:
            snapshot = self.log.compact(self.applied_index, self.state_machine.snapshot())
            self.storage_update.snapshot = snapshot
