"""What `StorageUpdate` does to what is on disk, as plain values: the meaning that any store of it has. Free of I/O."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from oakkeel.raft.log import Snapshot
from oakkeel.raft.messages import Entry
from oakkeel.raft.replica import DurableState, StorageUpdate


@dataclass(slots=True)
class InMemoryStorage:
    """One replica's file. `load` gives what a replica that starts finds in it."""

    head: DurableState
    snapshot: Snapshot = Snapshot(0, 0, (), b"")
    entries: dict[int, Entry] = field(default_factory=dict)
    writes: int = 0

    def write(self, durable: DurableState, storage_update: StorageUpdate) -> None:
        self.writes += 1
        if storage_update.metadata:
            self.head = replace(durable, entries=[], acknowledgements=dict(durable.acknowledgements))
        if storage_update.snapshot and storage_update.replaces_log:
            self.entries.clear()
        if storage_update.truncate_from:
            for index in [each for each in self.entries if each >= storage_update.truncate_from]:
                del self.entries[index]
        self.entries.update(storage_update.entries)
        if storage_update.snapshot:
            self.snapshot = storage_update.snapshot
            for index in [each for each in self.entries if each <= storage_update.snapshot.index]:
                del self.entries[index]

    def load(self) -> DurableState:
        entries = [self.entries[index] for index in sorted(self.entries)]
        return replace(
            self.head,
            snapshot=self.snapshot,
            entries=entries,
            acknowledgements=dict(self.head.acknowledgements),
        )

    def copy(self) -> InMemoryStorage:
        """As a backup takes it."""
        return InMemoryStorage(
            replace(self.head, acknowledgements=dict(self.head.acknowledgements)),
            self.snapshot,
            dict(self.entries),
            self.writes,
        )
