"""One replica of the replicated state machine. Free of I/O.

Implements Raft (D. Ongaro, "Consensus: bridging theory and practice", 2014: terms, log, one change of members
at a time, pre-vote, a leader's lease, snapshots), with two extensions:

- A replica has an incarnation for each file. A replica that lost its file is another member of the same name,
  and has no vote until the leader has replaced the former member with it.
- A replica that has just started recovers first, which detects an older copy of its file: see `recovery`.

Each call returns an `Output`, whose storage update must be on disk before its messages are sent and its
completed proposals are reported. If the write fails, the caller discards the replica and creates it again
from the stored state, as after a crash.
"""

from __future__ import annotations

from oakkeel.raft.durable_state import DurableState, StorageUpdate
from oakkeel.raft.elections import Elections
from oakkeel.raft.leader import LeaderReplication
from oakkeel.raft.leader_state import LeaderState
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
    encode_members,
)
from oakkeel.raft.proposals import NotLeaderError, Proposal, ProposalLimitError, ProposalStatus
from oakkeel.raft.recovery import Recovery
from oakkeel.raft.replication import FollowerReplication
from oakkeel.raft.roles import Role
from oakkeel.raft.snapshot_transfer import SnapshotReceiver
from oakkeel.raft.state import Output, ReplicaState, StateMachine
from oakkeel.raft.timeouts import RaftTimeouts

MAX_PENDING_PROPOSALS = 1024


class Replica(ReplicaState):
    """One replica: `tick`, `receive` and `propose` return an `Output` for the caller to carry out."""

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
        self.leader_replication = LeaderReplication(self)
        self.follower_replication = FollowerReplication(self)
        self.snapshot_receiver = SnapshotReceiver(self)
        self.next_membership_check_at = now
        if self.voters == {self.incarnation} or (durable.epoch and not self.is_eligible):
            # A replica without a vote needs no recovery. No other replica knows the acknowledgements of the
            # only voter.
            self.change_role(now, Role.FOLLOWER)

    def next_tick_at(self) -> int:
        """Return the time of the next call of `tick`, unless another call comes first."""
        if self.leader_state:
            return min(self.leader_state.next_heartbeat_at(), self.next_membership_check_at)
        if self.role is Role.RECOVERING or not self.is_eligible:
            return self.recovery.next_request_at
        return self.election_at

    def tick(self, now: int) -> Output:
        """Send the heartbeats or recovery requests that are due, or start an election that is due."""
        if self.role is Role.STALE:
            return self._finish(now)
        if self.role is Role.RECOVERING or (self.role is Role.FOLLOWER and not self.is_eligible):
            self.recovery.tick(now)
        elif self.leader_state:
            self._tick_as_leader(now, self.leader_state)
        elif now >= self.election_at:
            self.elections.start_pre_vote(now)
        return self._finish(now)

    def _tick_as_leader(self, now: int, leader_state: LeaderState) -> None:
        self.leader_replication.send_heartbeats(now, leader_state)
        if leader_state.has_lost_majority(now):
            self.become_follower(now, self.term, "")
        elif now >= self.next_membership_check_at:
            self.next_membership_check_at = now + self.timeouts.membership_interval_ns
            if members := next_membership(now, self, leader_state):
                self.append(now, EntryKind.MEMBERS, encode_members(members))

    def receive(self, now: int, envelope: Envelope) -> Output:
        """Handle a message of another replica."""
        message = envelope.message
        if isinstance(message, RecoveryRequest):
            self.recovery.handle_request(now, envelope, message)
        elif isinstance(message, RecoveryResponse):
            self.recovery.handle_response(now, envelope, message)
        elif isinstance(message, JoinCluster):
            self.recovery.handle_join(now, message)
        elif (
            envelope.epoch == self.durable.epoch
            and envelope.epoch
            and self.role not in (Role.STALE, Role.RECOVERING)
        ):
            # A recovering replica stores nothing: a new entry would be mistaken for one that it lost.
            self._receive_as_member(now, envelope)
        return self._finish(now)

    def _receive_as_member(self, now: int, envelope: Envelope) -> None:
        message = envelope.message
        if isinstance(message, VoteRequest):
            self.elections.handle_vote_request(now, envelope, message)
        elif isinstance(message, VoteResponse):
            self.elections.handle_vote_response(now, envelope, message)
        elif isinstance(message, AppendEntriesRequest):
            self.follower_replication.handle_append_request(now, envelope, message)
        elif isinstance(message, AppendEntriesResponse):
            self.leader_replication.handle_append_response(now, envelope, message)
        elif isinstance(message, SnapshotChunk):
            self.snapshot_receiver.handle_chunk(now, envelope, message)
        elif isinstance(message, SnapshotChunkResponse):
            self.leader_replication.handle_snapshot_response(now, envelope, message)

    def propose(self, now: int, content: bytes) -> tuple[Proposal, Output]:
        """Append a command as the leader.

        Raises NotLeaderError if this replica does not lead, and ProposalLimitError if it can't take the
        command.
        """
        leader_state = self.leader_state
        if leader_state is None or not leader_state.has_committed(self.commit_index):
            raise NotLeaderError(self.leader if leader_state is None else "", self.lease_missing_reason())
        if len(content) > MAX_COMMAND_BYTES:
            raise ProposalLimitError(
                self.name, f"the command has {len(content)} bytes; {MAX_COMMAND_BYTES} are allowed"
            )
        if len(self.proposals) >= MAX_PENDING_PROPOSALS:
            raise ProposalLimitError(
                self.name, f"{MAX_PENDING_PROPOSALS} proposals are not committed yet: try again later"
            )
        proposal = Proposal(self.append(now, EntryKind.COMMAND, content))
        self.proposals[proposal.index] = proposal
        return proposal, self._finish(now)

    def _finish(self, now: int) -> Output:
        """Commit, replicate and apply at the end of each call, and return its output."""
        if self.leader_state:
            self.commit_index = self.leader_state.next_commit_index(self.commit_index)
            self.leader_replication.replicate(now, self.leader_state)
        self._apply()
        if self.leader_state and self._is_removed():
            self.become_follower(now, self.term, "")
        return self._take_output()

    def _is_removed(self) -> bool:
        """Whether the committed members no longer include this replica: a leader then steps down."""
        is_member = any(member.incarnation == self.incarnation for member in self.members)
        return not is_member and self.log.members_index <= self.commit_index

    def _take_output(self) -> Output:
        output = self.output
        self.output = Output()
        if not self.storage_update.is_empty:
            output.storage_update = self.storage_update
            self.storage_update = StorageUpdate()
        return output

    def _apply(self) -> None:
        """Apply the entries that were committed, and compact the log if it has grown enough."""
        while self.applied_index < self.commit_index:
            self.applied_index += 1
            entry = self.log.entry(self.applied_index)
            result = None
            if entry.kind == EntryKind.COMMAND:
                result = self.state_machine.apply(self.applied_index, entry.content)
            if proposal := self.proposals.pop(self.applied_index, None):  # only on the leader
                proposal.status = ProposalStatus.COMMITTED
                proposal.result = result
                self.output.completed.append(proposal)
        if self.applied_index - self.log.snapshot.index >= self.timeouts.max_entries_before_snapshot:
            snapshot = self.log.compact(self.applied_index, self.state_machine.snapshot())
            self.storage_update.snapshot = snapshot
