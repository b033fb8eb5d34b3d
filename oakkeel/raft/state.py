"""The state of a replica that elections, replication, recovery and snapshot transfer share."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random
from typing import TYPE_CHECKING, NamedTuple, Protocol

from oakkeel.errors import InvalidTransitionError
from oakkeel.raft.durable_state import DurableState, StorageUpdate
from oakkeel.raft.log import LogPosition, ReplicatedLog, Snapshot
from oakkeel.raft.messages import Acknowledgement, Entry, EntryKind, Envelope, Member, Message
from oakkeel.raft.proposals import Proposal, ProposalStatus
from oakkeel.raft.roles import TRANSITIONS, Role
from oakkeel.raft.timeouts import RaftTimeouts

if TYPE_CHECKING:
    from oakkeel.raft.leader import LeaderState

RECENT_RECOVERY_INTERVALS = 5  # a recovery request counts for so many intervals


class StateMachine(Protocol):
    """What the committed commands make: the same on every replica, as no clock or chance goes in."""

    def apply(self, index: int, content: bytes) -> object:
        """Apply a committed command and return its result."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, content: bytes) -> None:
        """Take a snapshot's state in place of its own; the empty one is that of a new cluster."""

    def desired_voters(self) -> tuple[str, ...]:
        """Return the names of those that should be the voters; none where the present ones should."""


@dataclass(slots=True)
class Output:
    """What the caller has to carry out: first the storage update, then the rest."""

    storage_update: StorageUpdate | None = None
    envelopes: list[tuple[str, Envelope]] = field(default_factory=list)  # by the recipient's name
    completed: list[Proposal] = field(default_factory=list)


class ReceivedRecoveryRequest(NamedTuple):
    """The latest recovery request that came from a replica."""

    incarnation: str
    received_at: int
    empty: bool


class ReplicaState:
    """The role, log, term and pending output of one replica."""

    def __init__(
        self, now: int, durable: DurableState, state_machine: StateMachine, seed: int, timeouts: RaftTimeouts
    ) -> None:
        """`now` is the host's monotonic time in nanoseconds, as in all other calls."""
        self.durable, self.state_machine, self.timeouts = durable, state_machine, timeouts
        self.name, self.incarnation = durable.name, durable.incarnation
        self.random = Random(seed)
        self.log = ReplicatedLog(durable.snapshot, durable.entries)
        self.role, self.role_since = Role.RECOVERING, now
        self.stale_reason = ""
        self.leader = ""  # by name
        self.leader_state: LeaderState | None = None
        self.leader_contact_at = now  # one that starts may have heard from a leader just before
        self.election_at = now  # when it acts on the leader's silence
        self.elections_won = 0
        self.commit_index = self.applied_index = durable.snapshot.index
        state_machine.restore(durable.snapshot.content)
        self.recovery_requests: dict[str, ReceivedRecoveryRequest] = {}  # by name
        self.proposals: dict[int, Proposal] = {}
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
        """Whether it may stand for election.

        By the latest members, or by those before while the change to them is not committed: a replica that is
        being removed may be the only one that has the entry which says so, and must be able to lead until
        that is committed.
        """
        if self.incarnation in self.voters:
            return True
        committed_members = self.log.members_as_of(self.commit_index)
        return any(member.incarnation == self.incarnation and member.is_voter for member in committed_members)

    def holds_lease(self, now: int) -> bool:
        """Whether it may answer for the cluster without asking: no other can have been elected."""
        leader_state = self.leader_state
        return bool(
            leader_state
            and leader_state.has_committed(self.commit_index)
            and now < leader_state.lease_until(now)
        )

    def has_majority(self, incarnations: set[str]) -> bool:
        """Whether those are a majority of the voters."""
        voters = self.voters
        return 2 * len(voters & incarnations) > len(voters)

    def recent_recovery_requests(self, now: int) -> dict[str, ReceivedRecoveryRequest]:
        """Return the recovery requests that are new enough to count."""
        window = RECENT_RECOVERY_INTERVALS * self.timeouts.recovery_interval
        return {
            name: request
            for name, request in self.recovery_requests.items()
            if now - request.received_at < window
        }

    def change_role(self, now: int, role: Role) -> None:
        """Take another role. Raises InvalidTransitionError."""
        if role not in TRANSITIONS[self.role]:
            raise InvalidTransitionError(self.name, self.role.value, role.value)
        self.role, self.role_since = role, now

    def become_stale(self, now: int, reason: str) -> None:
        """Find that its file is an older copy than it once had."""
        self.stale_reason = reason
        self.change_role(now, Role.STALE)

    def become_follower(self, now: int, term: int, leader: str) -> None:
        """Enter another term, or end its candidacy or leadership."""
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
        """Follow the sender of a leader's message; returns False if its term is over."""
        if term < self.durable.term:
            return False
        self.become_follower(now, term, sender)
        self.leader_contact_at = now
        self.reset_election_timer(now)
        return True

    def set_term(self, term: int, voted_for: str) -> None:
        """Enter a term with a vote, which is empty where there was none."""
        if (self.durable.term, self.durable.voted_for) != (term, voted_for):
            self.durable.term, self.durable.voted_for = term, voted_for
            self.storage_update.metadata = True

    def reset_election_timer(self, now: int) -> None:
        """Draw the next election timeout."""
        self.election_at = now + self.random.randint(self.timeouts.election_min, self.timeouts.election_max)

    def append(self, now: int, kind: EntryKind, content: bytes) -> int:
        """Append an entry of its own term as the leader, and return its index."""
        entry = Entry(self.durable.term, kind, content)
        index = self.log.append(entry)
        self.storage_update.entries.append((index, entry))
        if self.leader_state:
            self.leader_state.entry_appended(now)
            self.store_acknowledgements(self.leader_state.acknowledgements())
        return index

    def store_acknowledgements(self, acknowledgements: list[Acknowledgement]) -> None:
        """Store what members have acknowledged, along with entries that are written anyway."""
        positions = {
            acknowledged.incarnation: LogPosition(acknowledged.term, acknowledged.index)
            for acknowledged in acknowledgements
        }
        if self.storage_update.entries and positions != self.durable.acknowledgements:
            self.durable.acknowledgements, self.storage_update.metadata = positions, True

    def replace_log(self, snapshot: Snapshot) -> None:
        """Take a snapshot in place of all that the log holds."""
        self.log = ReplicatedLog(snapshot, [])
        self.storage_update.snapshot, self.storage_update.replaces_log = snapshot, True
        self.storage_update.truncate_from = 0
        self.storage_update.entries.clear()

    def send(self, name: str, message: Message) -> None:
        """Send a message to a replica by name; one to itself is dropped."""
        if name != self.name:
            envelope = Envelope(self.durable.epoch, self.name, self.incarnation, message)
            self.output.envelopes.append((name, envelope))
