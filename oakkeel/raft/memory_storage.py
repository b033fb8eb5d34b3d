"""What `StorageUpdate` does to what is on disk, as plain values: the meaning that any store of it has. Free of I/O."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from oakkeel.raft.log import Snapshot
from oakkeel.raft.messages import Entry
from oakkeel.raft.replica import DurableState, StorageUpdate


@dataclass(slots=True)
class InMemoryStorage:
    """One keeper's file. `load` gives what a keeper that starts finds in it."""

    head: DurableState
    snapshot: Snapshot = Snapshot(0, 0, (), b"")
    entries: dict[int, Entry] = field(default_factory=dict)
    writes: int = 0

    def write(self, durable: DurableState, keep: StorageUpdate) -> None:
        self.writes += 1
        if keep.head:
            self.head = replace(durable, entries=[], marks=dict(durable.marks))
        if keep.snapshot and keep.whole:
            self.entries.clear()
        if keep.cut:
            for index in [each for each in self.entries if each >= keep.cut]:
                del self.entries[index]
        self.entries.update(keep.entries)
        if keep.snapshot:
            self.snapshot = keep.snapshot
            for index in [each for each in self.entries if each <= keep.snapshot.index]:
                del self.entries[index]

    def load(self) -> DurableState:
        entries = [self.entries[index] for index in sorted(self.entries)]
        return replace(self.head, snapshot=self.snapshot, entries=entries, marks=dict(self.head.marks))

    def copy(self) -> InMemoryStorage:
        """As a backup takes it."""
        return InMemoryStorage(
            replace(self.head, marks=dict(self.head.marks)), self.snapshot, dict(self.entries), self.writes
        )
