"""Storage of durable state in memory: the reference implementation of a storage. Free of I/O."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from oakkeel.raft.durable_state import EMPTY_SNAPSHOT, DurableState, StorageUpdate
from oakkeel.raft.log import Snapshot
from oakkeel.raft.messages import Entry


@dataclass(slots=True)
class InMemoryStorage:
    """The stored state of one replica."""

    metadata: DurableState
    snapshot: Snapshot = EMPTY_SNAPSHOT
    entries: dict[int, Entry] = field(default_factory=dict)
    write_count: int = 0  # number of calls of `write`

    def write(self, durable: DurableState, update: StorageUpdate) -> None:
        """Store an update."""
        self.write_count += 1
        if update.updates_metadata:
            self.metadata = replace(durable, entries=[], acknowledgements=dict(durable.acknowledgements))
        if update.snapshot and update.replaces_log:
            self.entries.clear()
        if update.truncate_from:
            self._drop([index for index in self.entries if index >= update.truncate_from])
        self.entries.update(update.entries)
        if update.snapshot:
            self.snapshot = update.snapshot
            self._drop([index for index in self.entries if index <= self.snapshot.index])

    def _drop(self, indexes: list[int]) -> None:
        for index in indexes:
            del self.entries[index]

    def load(self) -> DurableState:
        """Return the stored state, as a replica reads it when it starts."""
        return replace(
            self._metadata_copy(),
            snapshot=self.snapshot,
            entries=[self.entries[index] for index in sorted(self.entries)],
        )

    def copy(self) -> InMemoryStorage:
        """Return a copy that later writes do not change."""
        return InMemoryStorage(self._metadata_copy(), self.snapshot, dict(self.entries), self.write_count)

    def _metadata_copy(self) -> DurableState:
        return replace(self.metadata, acknowledgements=dict(self.metadata.acknowledgements))
