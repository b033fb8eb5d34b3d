"""The entries that a keeper holds: what stands in its snapshot, and those after it. Free of I/O."""

from __future__ import annotations

from dataclasses import dataclass

from oakkeel.raft.messages import MAX_BATCH_BYTES, MAX_BATCH_ENTRIES, Entry, EntryKind, Member, decode_members


@dataclass(slots=True, frozen=True)
class Snapshot:
    """All that was agreed up to an index, in the machine's own form."""

    index: int
    term: int
    members: tuple[Member, ...]
    content: bytes


class ReplicatedLog:
    """Indexes count from 1; index 0 is what a record begins with."""

    def __init__(self, snapshot: Snapshot, entries: list[Entry]) -> None:
        self.snapshot, self.entries = snapshot, entries
        self.membership_changes = [
            (snapshot.index, snapshot.members)
        ]  # of the members, the first by the snapshot
        for place, entry in enumerate(entries):
            self._note_membership(snapshot.index + 1 + place, entry)

    @property
    def last_index(self) -> int:
        return self.snapshot.index + len(self.entries)

    @property
    def last_term(self) -> int:
        return self.entries[-1].term if self.entries else self.snapshot.term

    @property
    def members(self) -> tuple[Member, ...]:
        """By the latest entry that names them, agreed or not: that is when they count."""
        return self.membership_changes[-1][1]

    @property
    def members_index(self) -> int:
        return self.membership_changes[-1][0]

    def term_at(self, index: int) -> int:
        """0 where it holds no such entry, and for the beginning."""
        if index == self.snapshot.index:
            return self.snapshot.term
        place = index - self.snapshot.index - 1
        return self.entries[place].term if 0 <= place < len(self.entries) else 0

    def entry(self, index: int) -> Entry:
        return self.entries[index - self.snapshot.index - 1]

    def batch_after(self, index: int) -> list[Entry]:
        """The next ones that one letter can hold."""
        batch: list[Entry] = []
        size = 0
        for entry in self.entries[
            index - self.snapshot.index : index - self.snapshot.index + MAX_BATCH_ENTRIES
        ]:
            size += len(entry.content) + 16
            if batch and size > MAX_BATCH_BYTES:
                break
            batch.append(entry)
        return batch

    def append(self, entry: Entry) -> int:
        self.entries.append(entry)
        self._note_membership(self.last_index, entry)
        return self.last_index

    def truncate_from(self, index: int) -> None:
        """Drop that one and all after it."""
        del self.entries[index - self.snapshot.index - 1 :]
        while len(self.membership_changes) > 1 and self.membership_changes[-1][0] >= index:
            self.membership_changes.pop()

    def compact(self, index: int, content: bytes) -> Snapshot:
        """What is agreed up to an index becomes the snapshot."""
        members = [each for at, each in self.membership_changes if at <= index][-1]
        snapshot = Snapshot(index, self.term_at(index), members, content)
        del self.entries[: index - self.snapshot.index]
        self.snapshot = snapshot
        self.membership_changes = [
            (index, members),
            *((at, each) for at, each in self.membership_changes if at > index),
        ]
        return snapshot

    def _note_membership(self, index: int, entry: Entry) -> None:
        if entry.kind == EntryKind.MEMBERS:
            self.membership_changes.append((index, tuple(decode_members(entry.content))))
