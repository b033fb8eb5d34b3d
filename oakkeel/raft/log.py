"""The log of a replica: a snapshot and the entries that follow it. Free of I/O."""

from __future__ import annotations

from dataclasses import dataclass

from oakkeel.raft.messages import MAX_BATCH_BYTES, MAX_BATCH_ENTRIES, Entry, EntryKind, Member, decode_members

ENTRY_OVERHEAD_BYTES = 16  # on the wire, in addition to the content


@dataclass(slots=True, frozen=True, order=True)
class LogPosition:
    """Term and index of an entry; of two logs, the one with the greater last position is more up to date."""

    term: int
    index: int


@dataclass(slots=True, frozen=True)
class Snapshot:
    """The state up to a committed index, as the state machine encodes it."""

    index: int
    term: int
    members: tuple[Member, ...]
    content: bytes


@dataclass(slots=True, frozen=True)
class MembershipChange:
    """The members that are in effect from the entry at `index` on."""

    index: int
    members: tuple[Member, ...]


class ReplicatedLog:
    """Entries by index. Indexes count from 1; index 0 is the beginning of the cluster."""

    def __init__(self, snapshot: Snapshot, entries: list[Entry]) -> None:
        """`entries` follow the snapshot without a gap."""
        self.snapshot = snapshot
        self.entries = entries
        # in the order of the index; the first change holds the members of the snapshot
        self.membership_changes = [MembershipChange(snapshot.index, snapshot.members)]
        for index, entry in enumerate(entries, snapshot.index + 1):
            self._record_membership(index, entry)

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
        """The members by the latest entry that names them, which takes effect before it is committed."""
        return self.membership_changes[-1].members

    @property
    def members_index(self) -> int:
        """The index of the entry that names the members."""
        return self.membership_changes[-1].index

    def members_as_of(self, index: int) -> tuple[Member, ...]:
        """Return the members by the entries up to an index; empty if the snapshot is of a later index."""
        members: tuple[Member, ...] = ()
        for change in self.membership_changes:
            if change.index <= index:
                members = change.members
        return members

    def term_at(self, index: int) -> int:
        """Return the term of an entry; 0 for index 0 and for entries that the log does not hold."""
        if index == self.snapshot.index:
            return self.snapshot.term
        offset = index - self.snapshot.index - 1
        return self.entries[offset].term if 0 <= offset < len(self.entries) else 0

    def entry(self, index: int) -> Entry:
        """Return an entry after the snapshot."""
        return self.entries[index - self.snapshot.index - 1]

    def batch_after(self, index: int) -> list[Entry]:
        """Return the entries after an index that fit into one message."""
        batch: list[Entry] = []
        size_bytes = 0
        start = index - self.snapshot.index
        for entry in self.entries[start : start + MAX_BATCH_ENTRIES]:
            size_bytes += len(entry.content) + ENTRY_OVERHEAD_BYTES
            if batch and size_bytes > MAX_BATCH_BYTES:
                break
            batch.append(entry)
        return batch

    def append(self, entry: Entry) -> int:
        """Append an entry and return its index."""
        self.entries.append(entry)
        self._record_membership(self.last_index, entry)
        return self.last_index

    def truncate_from(self, index: int) -> None:
        """Drop the entry at an index and all entries after it."""
        del self.entries[index - self.snapshot.index - 1 :]
        while len(self.membership_changes) > 1 and self.membership_changes[-1].index >= index:
            self.membership_changes.pop()

    def compact(self, index: int, content: bytes) -> Snapshot:
        """Replace the entries up to an index with a snapshot. `content` is its encoded state."""
        members = self.members_as_of(index)
        snapshot = Snapshot(index, self.term_at(index), members, content)
        del self.entries[: index - self.snapshot.index]
        self.snapshot = snapshot
        later_changes = [change for change in self.membership_changes if change.index > index]
        self.membership_changes = [MembershipChange(index, members), *later_changes]
        return snapshot

    def _record_membership(self, index: int, entry: Entry) -> None:
        if entry.kind == EntryKind.MEMBERS:
            self.membership_changes.append(MembershipChange(index, tuple(decode_members(entry.content))))
