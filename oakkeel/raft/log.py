"""The log of a replica: its snapshot, and the entries after it. Free of I/O."""

from __future__ import annotations

from dataclasses import dataclass

from oakkeel.raft.messages import MAX_BATCH_BYTES, MAX_BATCH_ENTRIES, Entry, EntryKind, Member, decode_members

ENTRY_OVERHEAD_BYTES = 16  # of an entry on the wire, beside its content


@dataclass(slots=True, frozen=True, order=True)
class LogPosition:
    """An entry by its term and index: the later of two positions is the more current log."""

    term: int
    index: int


@dataclass(slots=True, frozen=True)
class Snapshot:
    """The committed state up to an index, in the state machine's own form."""

    index: int
    term: int
    members: tuple[Member, ...]
    content: bytes


class ReplicatedLog:
    """Entries by index. Indexes count from 1; index 0 is the beginning of the cluster."""

    def __init__(self, snapshot: Snapshot, entries: list[Entry]) -> None:
        """`entries` follow the snapshot without a gap."""
        self.snapshot, self.entries = snapshot, entries
        self.membership_changes = [(snapshot.index, snapshot.members)]  # by index; the snapshot's first
        for index, entry in enumerate(entries, snapshot.index + 1):
            self._note_membership(index, entry)

    @property
    def last_index(self) -> int:
        """The index of the last entry."""
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry."""
        return self.entries[-1].term if self.entries else self.snapshot.term

    @property
    def last_position(self) -> LogPosition:
        """The position of the last entry."""
        return LogPosition(self.last_term, self.last_index)

    @property
    def members(self) -> tuple[Member, ...]:
        """The members by the latest entry that names them, committed or not: that is when they count."""
        return self.membership_changes[-1][1]

    @property
    def members_index(self) -> int:
        """The index of the entry that names the members."""
        return self.membership_changes[-1][0]

    def members_as_of(self, index: int) -> tuple[Member, ...]:
        """Return the members by the entries up to an index; none where they are not known any more."""
        members: tuple[Member, ...] = ()
        for changed_at, changed_members in self.membership_changes:
            if changed_at <= index:
                members = changed_members
        return members

    def term_at(self, index: int) -> int:
        """Return the term of an entry; 0 for the beginning, and where the log does not hold the entry."""
        if index == self.snapshot.index:
            return self.snapshot.term
        offset = index - self.snapshot.index - 1
        return self.entries[offset].term if 0 <= offset < len(self.entries) else 0

    def entry(self, index: int) -> Entry:
        """Return an entry after the snapshot."""
        return self.entries[index - self.snapshot.index - 1]

    def batch_after(self, index: int) -> list[Entry]:
        """Return the entries after an index that fit one message."""
        batch: list[Entry] = []
        size = 0
        start = index - self.snapshot.index
        for entry in self.entries[start : start + MAX_BATCH_ENTRIES]:
            size += len(entry.content) + ENTRY_OVERHEAD_BYTES
            if batch and size > MAX_BATCH_BYTES:
                break
            batch.append(entry)
        return batch

    def append(self, entry: Entry) -> int:
        """Add an entry at the end and return its index."""
        self.entries.append(entry)
        self._note_membership(self.last_index, entry)
        return self.last_index

    def truncate_from(self, index: int) -> None:
        """Drop the entry at an index and all after it."""
        del self.entries[index - self.snapshot.index - 1 :]
        while len(self.membership_changes) > 1 and self.membership_changes[-1][0] >= index:
            self.membership_changes.pop()

    def compact(self, index: int, content: bytes) -> Snapshot:
        """Replace the entries up to an index by a snapshot with that content."""
        members = self.members_as_of(index)
        snapshot = Snapshot(index, self.term_at(index), members, content)
        del self.entries[: index - self.snapshot.index]
        self.snapshot = snapshot
        later_changes = [change for change in self.membership_changes if change[0] > index]
        self.membership_changes = [(index, members), *later_changes]
        return snapshot

    def _note_membership(self, index: int, entry: Entry) -> None:
        if entry.kind == EntryKind.MEMBERS:
            self.membership_changes.append((index, tuple(decode_members(entry.content))))
