"""The state of a replica that elections, replication, recovery and snapshot transfer share."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple, Protocol

from oakkeel.errors import InvalidTransitionError
from oakkeel.raft.durable_state import DurableState, StorageUpdate
from oakkeel.raft.leader_state import LeaderState
from oakkeel.raft.log import LogPosition, ReplicatedLog, Snapshot
from oakkeel.raft.messages import Acknowledgement, Entry, EntryKind, Envelope, Member, Message
from oakkeel.raft.proposals import (
    LEASE_EXPIRED_REASON,
    NOTHING_COMMITTED_REASON,
    Proposal,
    ProposalStatus,
)
from oakkeel.raft.quorum import is_majority
from oakkeel.raft.roles import TRANSITIONS, Role
from oakkeel.raft.timeouts import RaftTimeouts

MAX_RECOVERY_REQUEST_AGE_INTERVALS = 5  # of `recovery_interval_ns`


class StateMachine(Protocol):
    """Applies committed commands. It is deterministic, so that its state is the same on every replica."""

    def apply(self, index: int, content: bytes) -> object:
        """Apply a committed command and return its result."""

    def snapshot(self) -> bytes:
        """Return the encoded state."""

    def restore(self, content: bytes) -> None:
        """Replace the state with that of a snapshot; empty content is the state of a new cluster."""

    def desired_voters(self) -> tuple[str, ...]:
        """Return the names of the hosts that should be voters; empty to keep the present ones."""


@dataclass(slots=True)
class Output:
    """Work for the caller: the storage update comes first, the rest once the update is on disk."""

    storage_update: StorageUpdate | None = None
    envelopes: list[tuple[str, Envelope]] = field(default_factory=list)  # each with the name of its recipient
    completed: list[Proposal] = field(default_factory=list)  # committed, or with an unknown outcome


class ReceivedRecoveryRequest(NamedTuple):
    """The latest recovery request of a replica."""

    incarnation: str
    received_at: int
    has_empty_file: bool


class ReplicaState:
    """The role, log, term and pending output of one replica."""

    def __init__(
        self, now: int, durable: DurableState, state_machine: StateMachine, seed: int, timeouts: RaftTimeouts
    ) -> None:
        """`now` is the host's monotonic time in nanoseconds, here and in all other calls."""
        self.durable = durable
        self.state_machine = state_machine
        self.timeouts = timeouts
        self.name = durable.name
        self.incarnation = durable.incarnation
        self.random = Random(seed)
        self.log = ReplicatedLog(durable.snapshot, durable.entries)
        self.role = Role.RECOVERING
        self.role_since = now
        self.stale_reason = ""
        self.leader = ""  # name of the leader; empty if it is unknown
        self.leader_state: LeaderState | None = None
        self.leader_contact_at = now  # before its start the replica may have been in contact with a leader
        self.election_at = now  # the end of the election timeout
        self.elections_won = 0
        self.commit_index = durable.snapshot.index
        self.applied_index = durable.snapshot.index
        state_machine.restore(durable.snapshot.content)
        self.recovery_requests: dict[str, ReceivedRecoveryRequest] = {}  # by the sender's name
        self.proposals: dict[int, Proposal] = {}  # by index: proposals that are not committed yet
        self.storage_update = StorageUpdate()
        self.output = Output()

    @property
    def term(self) -> int:
        """The current term."""
        return self.durable.term

    @property
    def members(self) -> tuple[Member, ...]:
        """The members by the latest entry that names them."""
        return self.log.members

    @property
    def voters(self) -> set[str]:
        """The incarnations of the members that vote."""
        return {member.incarnation for member in self.members if member.is_voter}

    @property
    def is_eligible(self) -> bool:
        """Whether the replica may become a candidate, as a voter by the latest or the committed members.

        A replica that is being removed may be the only one with the entry that removes it, so it must be able
        to lead until that entry is committed.
        """
        if self.incarnation in self.voters:
            return True
        committed_members = self.log.members_as_of(self.commit_index)
        return any(member.incarnation == self.incarnation and member.is_voter for member in committed_members)

    def holds_lease(self, now: int) -> bool:
        """Whether the replica may act as the leader and answer reads without a round trip.

        During the lease no other leader can be elected. The replica must also have committed an entry of its
        own term: before that, its state may lack committed commands.
        """
        leader_state = self.leader_state
        return bool(
            leader_state
            and leader_state.has_committed(self.commit_index)
            and now < leader_state.lease_until(now)
        )

    def lease_missing_reason(self) -> str:
        """Return why a replica that leads has no valid lease; empty if it does not lead."""
        if self.leader_state is None:
            return ""
        if not self.leader_state.has_committed(self.commit_index):
            return NOTHING_COMMITTED_REASON
        return LEASE_EXPIRED_REASON

    def has_majority(self, incarnations: set[str]) -> bool:
        """Whether the incarnations include a majority of the voters."""
        return is_majority(incarnations, self.voters)

    def recent_recovery_requests(self, now: int) -> dict[str, ReceivedRecoveryRequest]:
        """Return the recovery requests that are recent enough to act on, by the sender's name."""
        window = MAX_RECOVERY_REQUEST_AGE_INTERVALS * self.timeouts.recovery_interval_ns
        return {
            name: request
            for name, request in self.recovery_requests.items()
            if now - request.received_at < window
        }

    def change_role(self, now: int, role: Role) -> None:
        """Change the role. Raises InvalidTransitionError."""
        if role not in TRANSITIONS[self.role]:
            raise InvalidTransitionError(self.name, self.role.value, role.value)
        self.role = role
        self.role_since = now

    def become_stale(self, now: int, reason: str) -> None:
        """Stop taking part in the cluster, as the replica's file is an older copy."""
        self.stale_reason = reason
        self.change_role(now, Role.STALE)

    def become_follower(self, now: int, term: int, leader: str) -> None:
        """Step down: enter a later term, or end a candidacy or leadership in this one.

        The outcome of pending proposals is unknown from now on: the next leader may still commit them.
        """
        if term > self.durable.term:
            self.set_term(term, "")
        self.leader = leader
        if self.leader_state:
            self.leader_state = None
            for proposal in self.proposals.values():
                proposal.status = ProposalStatus.UNKNOWN
                self.output.completed.append(proposal)
            self.proposals.clear()
        if self.role not in (Role.FOLLOWER, Role.RECOVERING):
            self.change_role(now, Role.FOLLOWER)
            self.reset_election_timer(now)

    def accept_leader(self, now: int, sender: str, term: int) -> bool:
        """Follow the sender of a leader's message. Returns False if the message is of an earlier term."""
        if term < self.durable.term:
            return False
        self.become_follower(now, term, sender)
        self.leader_contact_at = now
        self.reset_election_timer(now)
        return True

    def set_term(self, term: int, voted_for: str) -> None:
        """Set the term and the vote in that term; empty: no vote."""
        if (self.durable.term, self.durable.voted_for) != (term, voted_for):
            self.durable.term = term
            self.durable.voted_for = voted_for
            self.storage_update.updates_metadata = True

    def reset_election_timer(self, now: int) -> None:
        """Draw the next election timeout: the rule of the election timer.

        Timeouts are random, so that two replicas seldom become candidates at the same time.
        """
        timeouts = self.timeouts
        timeout_ns = self.random.randint(timeouts.min_election_timeout_ns, timeouts.max_election_timeout_ns)
        self.election_at = now + timeout_ns

    def append(self, now: int, kind: EntryKind, content: bytes) -> int:
        """Append an entry of the current term, as the leader. Returns its index."""
        entry = Entry(self.durable.term, kind, content)
        index = self.log.append(entry)
        self.storage_update.entries.append((index, entry))
        if self.leader_state:
            self.leader_state.update_members(now)
            self.store_acknowledgements(self.leader_state.acknowledgements())
        return index

    def store_acknowledgements(self, acknowledgements: list[Acknowledgement]) -> None:
        """Store the acknowledgements of the members if the same update stores entries."""
        positions = {
            acknowledged.incarnation: LogPosition(acknowledged.term, acknowledged.index)
            for acknowledged in acknowledgements
        }
        if self.storage_update.entries and positions != self.durable.acknowledgements:
            self.durable.acknowledgements = positions
            self.storage_update.updates_metadata = True

    def replace_log(self, snapshot: Snapshot) -> None:
        """Replace the whole log with a snapshot."""
        self.log = ReplicatedLog(snapshot, [])
        self.storage_update.snapshot = snapshot
        self.storage_update.replaces_log = True
        self.storage_update.truncate_from = 0
        self.storage_update.entries.clear()

    def send(self, name: str, message: Message) -> None:
        """Send a message to a replica by name; a message to this replica is dropped."""
        if name != self.name:
            envelope = Envelope(self.durable.epoch, self.name, self.incarnation, message)
            self.output.envelopes.append((name, envelope))
