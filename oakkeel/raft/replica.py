"""One keeper of the record: who leads, what is agreed, what is kept. Free of I/O.

Made after Raft (D. Ongaro, "Consensus: bridging theory and practice", 2014: terms, log, one change of
members at a time, pre-vote, a leader's lease, snapshots). Beyond it:

- A keeper has a life of its own for each file. One whose file was lost is another member of the same name,
  which has no vote until the leader has put it in the other's place.
- One that starts asks the others what it may have forgotten. Where they know it to have kept more than its
  file holds, the file is an old copy: it is `OUTDATED`, and begins a new life. Until a majority has answered
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

    JOINING = "joining"  # it has yet to learn what it may have forgotten, or which record it belongs to
    FOLLOWING = "following"
    ASKING = "asking"  # whether others would vote for it
    STANDING = "standing"
    LEADING = "leading"
    OUTDATED = "outdated"  # its file is an older copy than others know it to have had


TRANSITIONS = {
    Role.JOINING: {Role.FOLLOWING, Role.OUTDATED},
    Role.FOLLOWING: {Role.ASKING, Role.OUTDATED},
    Role.ASKING: {Role.FOLLOWING, Role.STANDING},
    Role.STANDING: {Role.FOLLOWING, Role.ASKING, Role.LEADING},
    Role.LEADING: {Role.FOLLOWING},
    Role.OUTDATED: set(),
}


class StateMachine(Protocol):
    """What the agreed commands make: the same on every keeper, as no clock or chance goes in."""

    def apply(self, index: int, content: bytes) -> object: ...
    def fold(self) -> bytes: ...
    def restore(self, content: bytes) -> None: ...
    def keepers(self) -> tuple[str, ...]: ...  # who should keep the record; none: who does by now


@dataclass(slots=True)
class DurableState:
    """All that a keeper has on disk."""

    name: str
    life: str
    epoch: str = ""
    term: int = 0
    voted: str = ""  # whose life it voted for in that term
    snapshot: Snapshot = Snapshot(0, 0, (), b"")
    entries: list[Entry] = field(default_factory=list)
    marks: dict[str, tuple[int, int]] = field(default_factory=dict)  # by life: term, index known to be kept


@dataclass(slots=True)
class StorageUpdate:
    """What changed of it. Carried out in this order, all or nothing."""

    snapshot: Snapshot | None = None
    whole: bool = False  # the snapshot replaces all entries, and not only those up to its index
    cut: int = 0  # drop the entries from this index on; 0: none
    entries: list[tuple[int, Entry]] = field(default_factory=list)
    head: bool = False  # life, epoch, term, vote or marks


class ProposalStatus(Enum):
    WAITING = "waiting"
    AGREED = "agreed"
    UNKNOWN = "unknown"  # its leader is leader no more: it may be agreed yet


@dataclass(slots=True, eq=False)
class Proposal:
    index: int
    fate: ProposalStatus = ProposalStatus.WAITING
    result: object = None


@dataclass(slots=True)
class Output:
    keep: StorageUpdate | None = None
    send: list[tuple[str, Envelope]] = field(default_factory=list)  # to keepers by name
    ended: list[Proposal] = field(default_factory=list)


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
        held: DurableState,
        machine: StateMachine,
        seed: int,
        pace: RaftTimeouts,
        founders: tuple[str, ...],
    ) -> None:
        """`founders` names those that the operators' settings make keepers of a new record."""
        self.durable, self.machine, self.pace, self.founders = held, machine, pace, founders
        self.name, self.life = held.name, held.life
        self.random = Random(seed)
        self.log = ReplicatedLog(held.snapshot, held.entries)
        self.role, self.since = Role.JOINING, now
        self.started = now
        self.leader = ""  # by name
        self.leading: LeaderState | None = None
        self.commit = self.applied = held.snapshot.index
        machine.restore(held.snapshot.content)
        self.began = self.log.last_term, self.log.last
        self.nonce = self.random.getrandbits(60)
        self.answered: set[str] = set()  # lives whose answer to our hello counted
        self.votes: set[str] = set()
        self.heard_at = now  # from a leader; one that starts may have heard one just before
        self.due = now  # when it acts on silence
        self.hello_at = now
        self.tend_at = now
        self.hellos: dict[str, tuple[str, int, bool]] = {}  # by name: life, when, fresh
        self.arriving: tuple[int, int, bytearray] | None = None  # a snapshot: index, term, what came
        self.proposals: dict[int, Proposal] = {}
        self.keep = StorageUpdate()
        self.steps = Output()
        self.elections = 0  # that it won, for those who look
        self.why = ""  # it is outdated
        if self.voters == {self.life} or (held.epoch and not self.counts):
            self._move(now, Role.FOLLOWING)  # nobody else can know what it has forgotten, or it has no vote

    # What it is asked.

    @property
    def term(self) -> int:
        return self.durable.term

    @property
    def members(self) -> tuple[Member, ...]:
        return self.log.members

    def wanted(self) -> tuple[str, ...]:
        """Who should keep the record, as far as that was ever said."""
        return self.machine.keepers()

    @property
    def voters(self) -> set[str]:
        return {each.life for each in self.members if each.votes}

    @property
    def counts(self) -> bool:
        """Its vote may be asked for: by the latest members, or by those before while the change to them is
        not agreed. One on its way out may be the only one who has the entry that says so, and must be able to
        lead until it is agreed."""
        if self.life in self.voters:
            return True
        before = [members for at, members in self.log.changes if at <= self.commit]
        return any(each.life == self.life and each.votes for each in (before or [()])[-1])

    def leads(self, now: int) -> bool:
        """It may answer for the record without asking: no other can have been elected."""
        leading = self.leading
        return bool(leading and leading.ready(self.commit) and now < leading.lease_until(now))

    def next_at(self) -> int:
        """When `tick` has something to do, should nothing come before."""
        if self.leading:
            return min(self.leading.next_at(), self.tend_at)
        if self.role is Role.JOINING or not self.counts:
            return self.hello_at
        return self.due

    # What happens.

    def tick(self, now: int) -> Output:
        if self.role is Role.OUTDATED:
            return self._done(now)
        if self.role is Role.JOINING or (self.role is Role.FOLLOWING and not self.counts):
            if now >= self.hello_at:
                self._say_hello(now)
        elif self.leading:
            self.leading.tick(now)
            if self.leading.lost(now):
                self._follow(now, self.durable.term, "")  # a majority is out of reach
            elif now >= self.tend_at:
                self.tend_at = now + self.pace.tend
                if change := self.leading.wanted_members(now):
                    self._append(now, EntryKind.MEMBERS, change)
        elif now >= self.due:
            self._ask(now)
        return self._done(now)

    def heard(self, now: int, letter: Envelope) -> Output:
        word = letter.word
        if isinstance(word, RecoveryRequest):
            self._hello(now, letter, word)
        elif isinstance(word, RecoveryResponse):
            self._known(now, letter, word)
        elif isinstance(word, JoinCluster):
            self._found(now, word)
        elif (
            letter.epoch == self.durable.epoch
            and letter.epoch
            and self.role not in (Role.OUTDATED, Role.JOINING)
        ):
            # One that joins keeps nothing yet: what it kept since its start would look like what it forgot.
            self.HANDLERS[type(word)](self, now, letter, word)
        return self._done(now)

    def propose(self, now: int, content: bytes) -> tuple[Proposal, Output]:
        """Raises NotLeading where it is not the leader, or can't take more."""
        leading = self.leading
        if leading is None or not leading.ready(self.commit):
            raise NotLeaderError(self.leader if leading is None else "")
        if len(self.proposals) >= MAX_PENDING_PROPOSALS or len(content) > MAX_COMMAND_BYTES:
            raise NotLeaderError(self.name, "too much waits to be agreed, or the command is too long")
        proposal = Proposal(self._append(now, EntryKind.COMMAND, content))
        self.proposals[proposal.index] = proposal
        return proposal, self._done(now)

    # Coming in.

    def _say_hello(self, now: int) -> None:
        self.hello_at = now + self.pace.hello
        log = self.log
        word = RecoveryRequest(self.nonce, not self.durable.epoch, self.durable.term, *self.began)
        if self.role is not Role.JOINING:
            word.last_term, word.last = log.last_term, log.last
        names = {each.name for each in self.members} | set(self.founders) | set(self.machine.keepers())
        for name in sorted(names):  # the same schedule must play the same again
            self.send(name, word)
        if not self.durable.epoch and self.founders and self.name == min(self.founders):
            self._found_record(now)

    def _found_record(self, now: int) -> None:
        """If all founders have empty files there is no record, and one of them begins it."""
        lives = {
            name: life
            for name, (life, at, fresh) in self.hellos.items()
            if fresh and now - at < 5 * self.pace.hello
        }
        lives[self.name] = self.life
        if set(lives) >= set(self.founders):
            members = [Member(name, lives[name]) for name in sorted(self.founders)]
            self._begin(now, f"{self.random.getrandbits(64):016x}", members)

    def _begin(self, now: int, epoch: str, members: list[Member]) -> None:
        self.durable.epoch = epoch
        self._adopt(Snapshot(0, 0, tuple(members), b""))
        self.keep.head = True
        self._move(now, Role.FOLLOWING)
        self.heard_at = now
        self._wait(now)

    def _hello(self, now: int, letter: Envelope, word: RecoveryRequest) -> None:
        if letter.epoch and letter.epoch != self.durable.epoch:
            return  # of another record
        self.hellos[letter.name] = letter.life, now, word.fresh
        mark_term, mark = self._mark(letter.life)
        self.send(
            letter.name,
            RecoveryResponse(word.nonce, not self.durable.epoch, self.durable.term, mark_term, mark),
        )
        # One that is named among us and has nothing was on its way when the record began, or is new.
        if word.fresh and self.durable.epoch and any(each.life == letter.life for each in self.members):
            self.send(
                letter.name, JoinCluster(word.nonce, self.durable.epoch, list(self.log.snapshot.members))
            )

    def _mark(self, life: str) -> tuple[int, int]:
        known = self.durable.marks.get(life, (0, 0))
        if self.leading and (peer := self.leading.peers.get(life)):
            known = max(known, (self.log.term_at(peer.match), peer.match))
        return known

    def _known(self, now: int, letter: Envelope, word: RecoveryResponse) -> None:
        if self.role is not Role.JOINING or word.nonce != self.nonce:
            return
        if not self.durable.epoch or letter.epoch != self.durable.epoch:
            return
        if (word.mark_term, word.mark) > self.began:
            self.why = (
                f"{letter.name} knows it to have kept entry {word.mark} of term {word.mark_term};"
                f" its file ends with {self.began[1]} of {self.began[0]}"
            )
            self._move(now, Role.OUTDATED)
            return
        self._set_term(max(word.term, self.durable.term), UNKNOWN_VOTE)  # it may have voted in it
        self.answered.add(letter.life)
        # All if they are there: the first to answer may be one that knows less than another.
        if self.answered | {self.life} >= self.voters or (
            now - self.started >= self.pace.ask_all and (self._majority(self.answered | {self.life}))
        ):
            self._move(now, Role.FOLLOWING)
            self._wait(now)

    def _found(self, now: int, word: JoinCluster) -> None:
        if not self.durable.epoch and word.nonce == self.nonce:
            self._begin(now, word.epoch, word.members)

    # Elections.

    def _wait(self, now: int) -> None:
        self.due = now + self.random.randint(self.pace.least, self.pace.most)

    def _majority(self, lives: set[str]) -> bool:
        voters = self.voters
        return 2 * len(voters & lives) > len(voters)

    def _ask(self, now: int) -> None:
        """Would a majority vote for it? One that is cut off must not unseat a good leader by its terms."""
        if self.role is not Role.ASKING:
            self._move(now, Role.ASKING)
        self.leader, self.votes = "", {self.life}
        self._wait(now)
        self._ballot(now, True)

    def _ballot(self, now: int, pre: bool) -> None:
        if self._majority(self.votes):
            return self._won(now, pre)
        word = VoteRequest(self.durable.term + pre, pre, self.log.last_term, self.log.last)
        for each in self.members:
            if each.votes and each.life != self.life:
                self.send(each.name, word)

    def _won(self, now: int, pre: bool) -> None:
        if pre:
            self._move(now, Role.STANDING)
            self._set_term(self.durable.term + 1, self.life)
            self.votes = {self.life}
            self._wait(now)
            return self._ballot(now, False)
        self._move(now, Role.LEADING)
        self.leader, self.elections = self.name, self.elections + 1
        self.leading = LeaderState(now, self)
        self._append(now, EntryKind.NOTHING, b"")

    def _heard_ballot(self, now: int, letter: Envelope, word: VoteRequest) -> None:
        durable = self.durable
        replaced = any(each.name == letter.name and each.life != letter.life for each in self.members)
        led = now - self.heard_at < self.pace.least or self.leads(now)
        current = (word.last_term, word.last) >= (self.log.last_term, self.log.last)
        may = (
            self.role is not Role.JOINING
            and not replaced
            and not led
            and current
            and word.term >= durable.term
        )
        if word.pre:
            granted = may and word.term > durable.term
            return self.send(letter.name, VoteResponse(word.term if granted else durable.term, True, granted))
        if may and word.term > durable.term:
            self._follow(now, word.term, "")
        granted = may and word.term == durable.term and durable.voted in ("", letter.life)
        if granted and not durable.voted:
            self._set_term(word.term, letter.life)
            self._wait(now)
        self.send(letter.name, VoteResponse(durable.term, False, granted))

    def _heard_vote(self, now: int, letter: Envelope, word: VoteResponse) -> None:
        if not word.granted:
            if word.term > self.durable.term:
                self._follow(now, word.term, self.leader)
            return
        wanted = (Role.ASKING, self.durable.term + 1) if word.pre else (Role.STANDING, self.durable.term)
        if (self.role, word.term) == wanted:
            self.votes.add(letter.life)
            if self._majority(self.votes):
                self._won(now, word.pre)

    def _follow(self, now: int, term: int, leader: str) -> None:
        """Another term, or the end of what it tried or led."""
        if term > self.durable.term:
            self._set_term(term, "")
        self.leader = leader
        if self.leading:
            self.leading = None
            for proposal in self.proposals.values():
                proposal.fate = ProposalStatus.UNKNOWN
                self.steps.ended.append(proposal)
            self.proposals.clear()
        if self.role not in (Role.FOLLOWING, Role.JOINING):
            self._move(now, Role.FOLLOWING)
            self._wait(now)

    def _set_term(self, term: int, voted: str) -> None:
        if (self.durable.term, self.durable.voted) != (term, voted):
            self.durable.term, self.durable.voted, self.keep.head = term, voted, True

    # The log, as a follower.

    def _led(self, now: int, letter: Envelope, term: int) -> bool:
        """Whether it comes from the leader of this term or a later one."""
        if term < self.durable.term:
            return False
        self._follow(now, term, letter.name)
        self.heard_at = now
        self._wait(now)
        return True

    def _heard_append(self, now: int, letter: Envelope, word: AppendEntriesRequest) -> None:
        if not self._led(now, letter, word.term):
            return self.send(letter.name, AppendEntriesResponse(self.durable.term, False, 0, word.sent))
        log, before, entries = self.log, word.before, word.entries
        for life, term, index in word.marks:
            if life == self.life and (term, index) > (log.last_term, log.last):
                # The leader has our word for what we do not have: no count of it may include us.
                self.why = (
                    f"{letter.name} has its word for entry {index} of term {term}; its file ends with"
                    f" {log.last} of {log.last_term}"
                )
                return self._move(now, Role.OUTDATED)
        if before < log.snapshot.index:  # what the snapshot holds is agreed, and so the same
            entries = entries[log.snapshot.index - before :]
            before = min(log.snapshot.index, before + len(word.entries))
        if before > log.last or (log.term_at(before) != word.before_term and before == word.before):
            # Back to the end of its log, or to before the term that differs.
            index = min(log.last, before - 1)
            term = log.term_at(index)
            while index > self.commit and log.term_at(index) == term and before <= log.last:
                index -= 1
            return self.send(
                letter.name,
                AppendEntriesResponse(self.durable.term, False, max(index, self.commit), word.sent),
            )
        for place, entry in enumerate(entries):
            index = before + 1 + place
            if index <= log.last:
                if log.term_at(index) == entry.term:
                    continue
                if index <= self.commit:
                    raise RuntimeError(f"{self.name}: entry {index} is agreed, and {letter.name} has another")
                log.cut(index)
                self.keep.cut = min(index, self.keep.cut or index)
            log.append(entry)
            self.keep.entries.append((index, entry))
        held = before + len(entries)
        self._set_marks([mark for mark in word.marks if mark[2] <= held])
        self.commit = max(self.commit, min(word.commit, held))
        self.send(letter.name, AppendEntriesResponse(self.durable.term, True, held, word.sent))

    def _set_marks(self, marks: list[tuple[str, int, int]]) -> None:
        """What others have kept goes along with what is written anyway."""
        found = {life: (term, index) for life, term, index in marks}
        if self.keep.entries and found != self.durable.marks:
            self.durable.marks, self.keep.head = found, True

    def _heard_piece(self, now: int, letter: Envelope, word: SnapshotChunk) -> None:
        if not self._led(now, letter, word.term) or word.total > MAX_SNAPSHOT_BYTES:
            return None
        if word.index <= self.commit:
            return self.send(
                letter.name, SnapshotChunkResponse(self.durable.term, word.index, word.total, word.sent)
            )
        if self.arriving is None or self.arriving[:2] != (word.index, word.index_term):
            self.arriving = word.index, word.index_term, bytearray()
        came = self.arriving[2]
        if word.offset == len(came):
            came += word.content
        if len(came) >= word.total:
            self.arriving = None
            snapshot = Snapshot(word.index, word.index_term, tuple(word.members), bytes(came))
            if self.log.term_at(word.index) == word.index_term:
                self.log.fold(word.index, snapshot.content)  # what follows it stays
                self.keep.snapshot = snapshot
            else:
                self._adopt(snapshot)
            self.commit = self.applied = word.index
            self.machine.restore(snapshot.content)
        self.send(
            letter.name,
            SnapshotChunkResponse(self.durable.term, word.index, min(len(came), word.total), word.sent),
        )

    def _adopt(self, snapshot: Snapshot) -> None:
        """In place of all that it holds."""
        self.log = ReplicatedLog(snapshot, [])
        self.keep.snapshot, self.keep.whole, self.keep.cut = snapshot, True, 0
        self.keep.entries.clear()

    # The log, as the leader.

    def _append(self, now: int, kind: EntryKind, content: bytes) -> int:
        entry = Entry(self.durable.term, kind, content)
        index = self.log.append(entry)
        self.keep.entries.append((index, entry))
        if self.leading:
            self.leading.appended(now)
            self._set_marks(self.leading.marks())
        return index

    def _heard_appended(self, now: int, letter: Envelope, word: AppendEntriesResponse) -> None:
        if word.term > self.durable.term:
            return self._follow(now, word.term, "")
        if self.leading and word.term == self.durable.term:
            self.leading.answered(now, letter.life, word)

    def _heard_taken(self, now: int, letter: Envelope, word: SnapshotChunkResponse) -> None:
        if self.leading and word.term == self.durable.term:
            self.leading.taken(now, letter.life, word)

    # The end of each call.

    def _done(self, now: int) -> Output:
        if self.leading:
            self.commit = self.leading.agreed(self.commit)
            self.leading.replicate(now)
        self._apply()
        gone = self.life not in {each.life for each in self.members}
        if self.leading and gone and self.log.members_at <= self.commit:
            self._follow(now, self.durable.term, "")  # it has left by its own work
        steps, self.steps = self.steps, Output()
        keep = self.keep
        if keep.head or keep.cut or keep.entries or keep.snapshot:
            steps.keep, self.keep = keep, StorageUpdate()
        return steps

    def _apply(self) -> None:
        while self.applied < self.commit:
            self.applied += 1
            entry = self.log.entry(self.applied)
            result = (
                self.machine.apply(self.applied, entry.content) if entry.kind == EntryKind.COMMAND else None
            )
            if proposal := self.proposals.pop(self.applied, None):
                proposal.fate, proposal.result = (
                    ProposalStatus.AGREED,
                    result,
                )  # a leader drops nothing of its own
                self.steps.ended.append(proposal)
        if self.applied - self.log.snapshot.index >= self.pace.fold:
            self.keep.snapshot = self.log.fold(self.applied, self.machine.fold())

    def send(self, name: str, word: Message) -> None:
        if name != self.name:
            self.steps.send.append((name, Envelope(self.durable.epoch, self.name, self.life, word)))

    def _move(self, now: int, role: Role) -> None:
        """The one place where the role changes."""
        if role not in TRANSITIONS[self.role]:
            raise RuntimeError(f"{self.name}: {self.role.value} to {role.value}")
        self.role, self.since = role, now

    HANDLERS: ClassVar[dict[type, Callable[[Any, int, Envelope, Any], None]]] = {
        VoteRequest: _heard_ballot,
        VoteResponse: _heard_vote,
        AppendEntriesRequest: _heard_append,
        AppendEntriesResponse: _heard_appended,
        SnapshotChunk: _heard_piece,
        SnapshotChunkResponse: _heard_taken,
    }
