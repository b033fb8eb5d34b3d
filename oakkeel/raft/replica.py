"""One keeper of the record: who leads, what is agreed, what is kept. Free of I/O.

Made after Raft (D. Ongaro, "Consensus: bridging theory and practice", 2014: terms, log, one change of
members at a time, pre-vote, a leader's lease, snapshots). Beyond it:

- A keeper has a incarnation of its own for each file. One whose file was lost is another member of the same name,
  which has no vote until the leader has put it in the other's place.
- One that starts asks the others what it may have forgotten. Where they know it to have kept more than its
  file holds, the file is an old copy: it is `STALE`, and begins a new incarnation. Until a majority has answered
  it votes for nobody, and never in a term that any of them knows of.

Each call returns `Steps`: what is to be on disk before anything else of them is done. Where it can't be
written, the keeper is thrown away and made again from what is there, as if it had crashed.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from random import Random
from typing import Any, ClassVar, Protocol

from oakkeel.raft.leader import LeaderState
from oakkeel.raft.log import ReplicatedLog, Snapshot
from oakkeel.raft.messages import (
    MAX_COMMAND_BYTES,
    AppendEntriesRequest,
    AppendEntriesResponse,
    Entry,
    EntryKind,
    Envelope,
    JoinCluster,
    Member,
    Message,
    RecoveryRequest,
    RecoveryResponse,
    SnapshotChunk,
    SnapshotChunkResponse,
    VoteRequest,
    VoteResponse,
)
from oakkeel.raft.timeouts import RaftTimeouts

UNKNOWN_VOTE = "?"  # a vote that may have been given and is forgotten
MAX_SNAPSHOT_BYTES = 32 * 1024 * 1024  # bytes
MAX_PENDING_PROPOSALS = 1024  # proposals that are not agreed yet


class Role(Enum):
    """`Replica._move` alone changes it."""

    RECOVERING = "joining"  # it has yet to learn what it may have forgotten, or which record it belongs to
    FOLLOWER = "following"
    PRE_CANDIDATE = "asking"  # whether others would vote for it
    CANDIDATE = "standing"
    LEADER = "leader_state"
    STALE = "outdated"  # its file is an older copy than others know it to have had


TRANSITIONS = {
    Role.RECOVERING: {Role.FOLLOWER, Role.STALE},
    Role.FOLLOWER: {Role.PRE_CANDIDATE, Role.STALE},
    Role.PRE_CANDIDATE: {Role.FOLLOWER, Role.CANDIDATE},
    Role.CANDIDATE: {Role.FOLLOWER, Role.PRE_CANDIDATE, Role.LEADER},
    Role.LEADER: {Role.FOLLOWER},
    Role.STALE: set(),
}


class StateMachine(Protocol):
    """What the agreed commands make: the same on every keeper, as no clock or chance goes in."""

    def apply(self, index: int, content: bytes) -> object: ...
    def snapshot(self) -> bytes: ...
    def restore(self, content: bytes) -> None: ...
    def desired_voters(self) -> tuple[str, ...]: ...  # who should keep the record; none: who does by now


@dataclass(slots=True)
class DurableState:
    """All that a keeper has on disk."""

    name: str
    incarnation: str
    epoch: str = ""
    term: int = 0
    voted_for: str = ""  # whose incarnation it voted for in that term
    snapshot: Snapshot = Snapshot(0, 0, (), b"")
    entries: list[Entry] = field(default_factory=list)
    acknowledgements: dict[str, tuple[int, int]] = field(
        default_factory=dict
    )  # by incarnation: term, index known to be kept


@dataclass(slots=True)
class StorageUpdate:
    """What changed of it. Carried out in this order, all or nothing."""

    snapshot: Snapshot | None = None
    replaces_log: bool = False  # the snapshot replaces all entries, and not only those up to its index
    truncate_from: int = 0  # drop the entries from this index on; 0: none
    entries: list[tuple[int, Entry]] = field(default_factory=list)
    metadata: bool = False  # incarnation, epoch, term, vote or acknowledgements


class ProposalStatus(Enum):
    PENDING = "pending"
    COMMITTED = "committed"
    UNKNOWN = "unknown"  # its leader is leader no more: it may be agreed yet


@dataclass(slots=True, eq=False)
class Proposal:
    index: int
    status: ProposalStatus = ProposalStatus.PENDING
    result: object = None


@dataclass(slots=True)
class Output:
    storage_update: StorageUpdate | None = None
    envelopes: list[tuple[str, Envelope]] = field(default_factory=list)  # to keepers by name
    completed: list[Proposal] = field(default_factory=list)


class NotLeaderError(ValueError):
    """Only a leader takes proposals; `leader` is whom it takes for that, or empty."""

    def __init__(self, leader: str, why: str = "") -> None:
        super().__init__(why or (f"{leader} leads" if leader else "there is no leader"))
        self.leader = leader


class Replica:
    """See the module. `tick`, `heard` and `propose` return what is to be done."""

    def __init__(
        self,
        now: int,
        durable: DurableState,
        state_machine: StateMachine,
        seed: int,
        timeouts: RaftTimeouts,
        initial_voters: tuple[str, ...],
    ) -> None:
        """`initial_voters` names those that the operators' settings make keepers of a new record."""
        self.durable, self.state_machine, self.timeouts, self.initial_voters = (
            durable,
            state_machine,
            timeouts,
            initial_voters,
        )
        self.name, self.incarnation = durable.name, durable.incarnation
        self.random = Random(seed)
        self.log = ReplicatedLog(durable.snapshot, durable.entries)
        self.role, self.role_since = Role.RECOVERING, now
        self.started = now
        self.leader = ""  # by name
        self.leader_state: LeaderState | None = None
        self.commit_index = self.applied_index = durable.snapshot.index
        state_machine.restore(durable.snapshot.content)
        self.start_position = self.log.last_term, self.log.last_index
        self.nonce = self.random.getrandbits(60)
        self.recovery_responses: set[str] = set()  # incarnations whose answer to our hello counted
        self.votes_received: set[str] = set()
        self.leader_contact_at = now  # from a leader; one that starts may have heard one just before
        self.election_at = now  # when it acts on silence
        self.recovery_at = now
        self.membership_at = now
        self.recovery_requests: dict[str, tuple[str, int, bool]] = {}  # by name: incarnation, when, fresh
        self.incoming_snapshot: tuple[int, int, bytearray] | None = None  # a snapshot: index, term, what came
        self.proposals: dict[int, Proposal] = {}
        self.storage_update = StorageUpdate()
        self.output = Output()
        self.elections_won = 0  # that it won, for those who look
        self.stale_reason = ""  # it is outdated
        if self.voters == {self.incarnation} or (durable.epoch and not self.may_stand):
            self._move(now, Role.FOLLOWER)  # nobody else can know what it has forgotten, or it has no vote

    # What it is asked.

    @property
    def term(self) -> int:
        return self.durable.term

    @property
    def members(self) -> tuple[Member, ...]:
        return self.log.members

    def desired_voters(self) -> tuple[str, ...]:
        """Who should keep the record, as far as that was ever said."""
        return self.state_machine.desired_voters()

    @property
    def voters(self) -> set[str]:
        return {each.incarnation for each in self.members if each.is_voter}

    @property
    def may_stand(self) -> bool:
        """Its vote may be asked for: by the latest members, or by those before while the change to them is
        not agreed. One on its way out may be the only one who has the entry that says so, and must be able to
        lead until it is agreed."""
        if self.incarnation in self.voters:
            return True
        before = [members for at, members in self.log.membership_changes if at <= self.commit_index]
        return any(each.incarnation == self.incarnation and each.is_voter for each in (before or [()])[-1])

    def holds_lease(self, now: int) -> bool:
        """It may answer for the record without asking: no other can have been elected."""
        leader_state = self.leader_state
        return bool(
            leader_state
            and leader_state.has_committed(self.commit_index)
            and now < leader_state.lease_until(now)
        )

    def next_tick_at(self) -> int:
        """When `tick` has something to do, should nothing come before."""
        if self.leader_state:
            return min(self.leader_state.next_tick_at(), self.membership_at)
        if self.role is Role.RECOVERING or not self.may_stand:
            return self.recovery_at
        return self.election_at

    # What happens.

    def tick(self, now: int) -> Output:
        if self.role is Role.STALE:
            return self._done(now)
        if self.role is Role.RECOVERING or (self.role is Role.FOLLOWER and not self.may_stand):
            if now >= self.recovery_at:
                self._say_hello(now)
        elif self.leader_state:
            self.leader_state.tick(now)
            if self.leader_state.lost_majority(now):
                self._follow(now, self.durable.term, "")  # a majority is out of reach
            elif now >= self.membership_at:
                self.membership_at = now + self.timeouts.membership_interval
                if change := self.leader_state.next_membership(now):
                    self._append(now, EntryKind.MEMBERS, change)
        elif now >= self.election_at:
            self._ask(now)
        return self._done(now)

    def receive(self, now: int, envelope: Envelope) -> Output:
        message = envelope.message
        if isinstance(message, RecoveryRequest):
            self._hello(now, envelope, message)
        elif isinstance(message, RecoveryResponse):
            self._known(now, envelope, message)
        elif isinstance(message, JoinCluster):
            self._found(now, message)
        elif (
            envelope.epoch == self.durable.epoch
            and envelope.epoch
            and self.role not in (Role.STALE, Role.RECOVERING)
        ):
            # One that joins keeps nothing yet: what it kept since its start would look like what it forgot.
            self.HANDLERS[type(message)](self, now, envelope, message)
        return self._done(now)

    def propose(self, now: int, content: bytes) -> tuple[Proposal, Output]:
        """Raises NotLeading where it is not the leader, or can't take more."""
        leader_state = self.leader_state
        if leader_state is None or not leader_state.has_committed(self.commit_index):
            raise NotLeaderError(self.leader if leader_state is None else "")
        if len(self.proposals) >= MAX_PENDING_PROPOSALS or len(content) > MAX_COMMAND_BYTES:
            raise NotLeaderError(self.name, "too much waits to be agreed, or the command is too long")
        proposal = Proposal(self._append(now, EntryKind.COMMAND, content))
        self.proposals[proposal.index] = proposal
        return proposal, self._done(now)

    # Coming in.

    def _say_hello(self, now: int) -> None:
        self.recovery_at = now + self.timeouts.recovery_interval
        log = self.log
        message = RecoveryRequest(self.nonce, not self.durable.epoch, self.durable.term, *self.start_position)
        if self.role is not Role.RECOVERING:
            message.last_term, message.last_index = log.last_term, log.last_index
        names = (
            {each.name for each in self.members}
            | set(self.initial_voters)
            | set(self.state_machine.desired_voters())
        )
        for name in sorted(names):  # the same schedule must play the same again
            self.send(name, message)
        if not self.durable.epoch and self.initial_voters and self.name == min(self.initial_voters):
            self._found_record(now)

    def _found_record(self, now: int) -> None:
        """If all initial_voters have empty files there is no record, and one of them begins it."""
        incarnations = {
            name: incarnation
            for name, (incarnation, at, fresh) in self.recovery_requests.items()
            if fresh and now - at < 5 * self.timeouts.recovery_interval
        }
        incarnations[self.name] = self.incarnation
        if set(incarnations) >= set(self.initial_voters):
            members = [Member(name, incarnations[name]) for name in sorted(self.initial_voters)]
            self._begin(now, f"{self.random.getrandbits(64):016x}", members)

    def _begin(self, now: int, epoch: str, members: list[Member]) -> None:
        self.durable.epoch = epoch
        self._adopt(Snapshot(0, 0, tuple(members), b""))
        self.storage_update.metadata = True
        self._move(now, Role.FOLLOWER)
        self.leader_contact_at = now
        self._wait(now)

    def _hello(self, now: int, envelope: Envelope, message: RecoveryRequest) -> None:
        if envelope.epoch and envelope.epoch != self.durable.epoch:
            return  # of another record
        self.recovery_requests[envelope.sender] = envelope.incarnation, now, message.empty
        mark_term, mark = self._acknowledged(envelope.incarnation)
        self.send(
            envelope.sender,
            RecoveryResponse(message.nonce, not self.durable.epoch, self.durable.term, mark_term, mark),
        )
        # One that is named among us and has nothing was on its way when the record began, or is new.
        if (
            message.empty
            and self.durable.epoch
            and any(each.incarnation == envelope.incarnation for each in self.members)
        ):
            self.send(
                envelope.sender,
                JoinCluster(message.nonce, self.durable.epoch, list(self.log.snapshot.members)),
            )

    def _acknowledged(self, incarnation: str) -> tuple[int, int]:
        known = self.durable.acknowledgements.get(incarnation, (0, 0))
        if self.leader_state and (peer := self.leader_state.peers.get(incarnation)):
            known = max(known, (self.log.term_at(peer.match_index), peer.match_index))
        return known

    def _known(self, now: int, envelope: Envelope, message: RecoveryResponse) -> None:
        if self.role is not Role.RECOVERING or message.nonce != self.nonce:
            return
        if not self.durable.epoch or envelope.epoch != self.durable.epoch:
            return
        if (message.acknowledged_term, message.acknowledged_index) > self.start_position:
            self.stale_reason = (
                f"{envelope.sender} knows it to have kept entry {message.acknowledged_index} of term {message.acknowledged_term};"
                f" its file ends with {self.start_position[1]} of {self.start_position[0]}"
            )
            self._move(now, Role.STALE)
            return
        self._set_term(max(message.term, self.durable.term), UNKNOWN_VOTE)  # it may have voted in it
        self.recovery_responses.add(envelope.incarnation)
        # All if they are there: the first to answer may be one that knows less than another.
        if self.recovery_responses | {self.incarnation} >= self.voters or (
            now - self.started >= self.timeouts.recovery_wait
            and (self._majority(self.recovery_responses | {self.incarnation}))
        ):
            self._move(now, Role.FOLLOWER)
            self._wait(now)

    def _found(self, now: int, message: JoinCluster) -> None:
        if not self.durable.epoch and message.nonce == self.nonce:
            self._begin(now, message.epoch, message.members)

    # Elections.

    def _wait(self, now: int) -> None:
        self.election_at = now + self.random.randint(self.timeouts.election_min, self.timeouts.election_max)

    def _majority(self, incarnations: set[str]) -> bool:
        voters = self.voters
        return 2 * len(voters & incarnations) > len(voters)

    def _ask(self, now: int) -> None:
        """Would a majority vote for it? One that is cut off must not unseat a good leader by its terms."""
        if self.role is not Role.PRE_CANDIDATE:
            self._move(now, Role.PRE_CANDIDATE)
        self.leader, self.votes_received = "", {self.incarnation}
        self._wait(now)
        self._ballot(now, True)

    def _ballot(self, now: int, pre: bool) -> None:
        if self._majority(self.votes_received):
            return self._won(now, pre)
        message = VoteRequest(self.durable.term + pre, pre, self.log.last_term, self.log.last_index)
        for each in self.members:
            if each.is_voter and each.incarnation != self.incarnation:
                self.send(each.name, message)

    def _won(self, now: int, pre: bool) -> None:
        if pre:
            self._move(now, Role.CANDIDATE)
            self._set_term(self.durable.term + 1, self.incarnation)
            self.votes_received = {self.incarnation}
            self._wait(now)
            return self._ballot(now, False)
        self._move(now, Role.LEADER)
        self.leader, self.elections_won = self.name, self.elections_won + 1
        self.leader_state = LeaderState(now, self)
        self._append(now, EntryKind.NO_OP, b"")

    def _heard_ballot(self, now: int, envelope: Envelope, message: VoteRequest) -> None:
        durable = self.durable
        replaced = any(
            each.name == envelope.sender and each.incarnation != envelope.incarnation for each in self.members
        )
        led = now - self.leader_contact_at < self.timeouts.election_min or self.holds_lease(now)
        current = (message.last_term, message.last_index) >= (self.log.last_term, self.log.last_index)
        may = (
            self.role is not Role.RECOVERING
            and not replaced
            and not led
            and current
            and message.term >= durable.term
        )
        if message.pre_vote:
            granted = may and message.term > durable.term
            return self.send(
                envelope.sender, VoteResponse(message.term if granted else durable.term, True, granted)
            )
        if may and message.term > durable.term:
            self._follow(now, message.term, "")
        granted = may and message.term == durable.term and durable.voted_for in ("", envelope.incarnation)
        if granted and not durable.voted_for:
            self._set_term(message.term, envelope.incarnation)
            self._wait(now)
        self.send(envelope.sender, VoteResponse(durable.term, False, granted))

    def _heard_vote(self, now: int, envelope: Envelope, message: VoteResponse) -> None:
        if not message.granted:
            if message.term > self.durable.term:
                self._follow(now, message.term, self.leader)
            return
        wanted = (
            (Role.PRE_CANDIDATE, self.durable.term + 1)
            if message.pre_vote
            else (Role.CANDIDATE, self.durable.term)
        )
        if (self.role, message.term) == wanted:
            self.votes_received.add(envelope.incarnation)
            if self._majority(self.votes_received):
                self._won(now, message.pre_vote)

    def _follow(self, now: int, term: int, leader: str) -> None:
        """Another term, or the end of what it tried or led."""
        if term > self.durable.term:
            self._set_term(term, "")
        self.leader = leader
        if self.leader_state:
            self.leader_state = None
            for proposal in self.proposals.values():
                proposal.status = ProposalStatus.UNKNOWN
                self.output.completed.append(proposal)
            self.proposals.clear()
        if self.role not in (Role.FOLLOWER, Role.RECOVERING):
            self._move(now, Role.FOLLOWER)
            self._wait(now)

    def _set_term(self, term: int, voted: str) -> None:
        if (self.durable.term, self.durable.voted_for) != (term, voted):
            self.durable.term, self.durable.voted_for, self.storage_update.metadata = term, voted, True

    # The log, as a follower.

    def _led(self, now: int, envelope: Envelope, term: int) -> bool:
        """Whether it comes from the leader of this term or a later one."""
        if term < self.durable.term:
            return False
        self._follow(now, term, envelope.sender)
        self.leader_contact_at = now
        self._wait(now)
        return True

    def _heard_append(self, now: int, envelope: Envelope, message: AppendEntriesRequest) -> None:
        if not self._led(now, envelope, message.term):
            return self.send(
                envelope.sender, AppendEntriesResponse(self.durable.term, False, 0, message.sent_at)
            )
        log, before, entries = self.log, message.previous_index, message.entries
        for incarnation, term, index in message.acknowledgements:
            if incarnation == self.incarnation and (term, index) > (log.last_term, log.last_index):
                # The leader has our word for what we do not have: no count of it may include us.
                self.stale_reason = (
                    f"{envelope.sender} has its word for entry {index} of term {term}; its file ends with"
                    f" {log.last_index} of {log.last_term}"
                )
                return self._move(now, Role.STALE)
        if before < log.snapshot.index:  # what the snapshot holds is agreed, and so the same
            entries = entries[log.snapshot.index - before :]
            before = min(log.snapshot.index, before + len(message.entries))
        if before > log.last_index or (
            log.term_at(before) != message.previous_term and before == message.previous_index
        ):
            # Back to the end of its log, or to before the term that differs.
            index = min(log.last_index, before - 1)
            term = log.term_at(index)
            while index > self.commit_index and log.term_at(index) == term and before <= log.last_index:
                index -= 1
            return self.send(
                envelope.sender,
                AppendEntriesResponse(
                    self.durable.term, False, max(index, self.commit_index), message.sent_at
                ),
            )
        for place, entry in enumerate(entries):
            index = before + 1 + place
            if index <= log.last_index:
                if log.term_at(index) == entry.term:
                    continue
                if index <= self.commit_index:
                    raise RuntimeError(
                        f"{self.name}: entry {index} is agreed, and {envelope.sender} has another"
                    )
                log.truncate_from(index)
                self.storage_update.truncate_from = min(index, self.storage_update.truncate_from or index)
            log.append(entry)
            self.storage_update.entries.append((index, entry))
        held = before + len(entries)
        self._set_acknowledgements([mark for mark in message.acknowledgements if mark[2] <= held])
        self.commit_index = max(self.commit_index, min(message.commit_index, held))
        self.send(envelope.sender, AppendEntriesResponse(self.durable.term, True, held, message.sent_at))

    def _set_acknowledgements(self, acknowledgements: list[tuple[str, int, int]]) -> None:
        """What others have kept goes along with what is written anyway."""
        found = {incarnation: (term, index) for incarnation, term, index in acknowledgements}
        if self.storage_update.entries and found != self.durable.acknowledgements:
            self.durable.acknowledgements, self.storage_update.metadata = found, True

    def _heard_piece(self, now: int, envelope: Envelope, message: SnapshotChunk) -> None:
        if not self._led(now, envelope, message.term) or message.total_bytes > MAX_SNAPSHOT_BYTES:
            return None
        if message.last_included_index <= self.commit_index:
            return self.send(
                envelope.sender,
                SnapshotChunkResponse(
                    self.durable.term, message.last_included_index, message.total_bytes, message.sent_at
                ),
            )
        if self.incoming_snapshot is None or self.incoming_snapshot[:2] != (
            message.last_included_index,
            message.last_included_term,
        ):
            self.incoming_snapshot = message.last_included_index, message.last_included_term, bytearray()
        came = self.incoming_snapshot[2]
        if message.offset == len(came):
            came += message.content
        if len(came) >= message.total_bytes:
            self.incoming_snapshot = None
            snapshot = Snapshot(
                message.last_included_index, message.last_included_term, tuple(message.members), bytes(came)
            )
            if self.log.term_at(message.last_included_index) == message.last_included_term:
                self.log.compact(message.last_included_index, snapshot.content)  # what follows it stays
                self.storage_update.snapshot = snapshot
            else:
                self._adopt(snapshot)
            self.commit_index = self.applied_index = message.last_included_index
            self.state_machine.restore(snapshot.content)
        self.send(
            envelope.sender,
            SnapshotChunkResponse(
                self.durable.term,
                message.last_included_index,
                min(len(came), message.total_bytes),
                message.sent_at,
            ),
        )

    def _adopt(self, snapshot: Snapshot) -> None:
        """In place of all that it holds."""
        self.log = ReplicatedLog(snapshot, [])
        self.storage_update.snapshot, self.storage_update.replaces_log, self.storage_update.truncate_from = (
            snapshot,
            True,
            0,
        )
        self.storage_update.entries.clear()

    # The log, as the leader.

    def _append(self, now: int, kind: EntryKind, content: bytes) -> int:
        entry = Entry(self.durable.term, kind, content)
        index = self.log.append(entry)
        self.storage_update.entries.append((index, entry))
        if self.leader_state:
            self.leader_state.entry_appended(now)
            self._set_acknowledgements(self.leader_state.acknowledgements())
        return index

    def _heard_appended(self, now: int, envelope: Envelope, message: AppendEntriesResponse) -> None:
        if message.term > self.durable.term:
            return self._follow(now, message.term, "")
        if self.leader_state and message.term == self.durable.term:
            self.leader_state.append_response_received(now, envelope.incarnation, message)

    def _heard_taken(self, now: int, envelope: Envelope, message: SnapshotChunkResponse) -> None:
        if self.leader_state and message.term == self.durable.term:
            self.leader_state.snapshot_response_received(now, envelope.incarnation, message)

    # The end of each call.

    def _done(self, now: int) -> Output:
        if self.leader_state:
            self.commit_index = self.leader_state.next_commit_index(self.commit_index)
            self.leader_state.replicate(now)
        self._apply()
        gone = self.incarnation not in {each.incarnation for each in self.members}
        if self.leader_state and gone and self.log.members_index <= self.commit_index:
            self._follow(now, self.durable.term, "")  # it has left by its own work
        output, self.output = self.output, Output()
        storage_update = self.storage_update
        if (
            storage_update.metadata
            or storage_update.truncate_from
            or storage_update.entries
            or storage_update.snapshot
        ):
            output.storage_update, self.storage_update = storage_update, StorageUpdate()
        return output

    def _apply(self) -> None:
        while self.applied_index < self.commit_index:
            self.applied_index += 1
            entry = self.log.entry(self.applied_index)
            result = (
                self.state_machine.apply(self.applied_index, entry.content)
                if entry.kind == EntryKind.COMMAND
                else None
            )
            if proposal := self.proposals.pop(self.applied_index, None):
                proposal.status, proposal.result = (
                    ProposalStatus.COMMITTED,
                    result,
                )  # a leader drops nothing of its own
                self.output.completed.append(proposal)
        if self.applied_index - self.log.snapshot.index >= self.timeouts.snapshot_entries:
            self.storage_update.snapshot = self.log.compact(self.applied_index, self.state_machine.snapshot())

    def send(self, name: str, message: Message) -> None:
        if name != self.name:
            self.output.envelopes.append(
                (name, Envelope(self.durable.epoch, self.name, self.incarnation, message))
            )

    def _move(self, now: int, role: Role) -> None:
        """The one place where the role changes."""
        if role not in TRANSITIONS[self.role]:
            raise RuntimeError(f"{self.name}: {self.role.value} to {role.value}")
        self.role, self.role_since = role, now

    HANDLERS: ClassVar[dict[type, Callable[[Any, int, Envelope, Any], None]]] = {
        VoteRequest: _heard_ballot,
        VoteResponse: _heard_vote,
        AppendEntriesRequest: _heard_append,
        AppendEntriesResponse: _heard_appended,
        SnapshotChunk: _heard_piece,
        SnapshotChunkResponse: _heard_taken,
    }
