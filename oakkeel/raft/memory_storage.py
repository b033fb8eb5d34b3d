"""What `Keep` does to what is on disk, as plain values: the meaning that any store of it has. Free of I/O."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from oakkeel.raft.log import Snapshot
from oakkeel.raft.messages import Entry
from oakkeel.raft.replica import Durable, Keep


@dataclass(slots=True)
class Disk:
    """One keeper's file. `load` gives what a keeper that starts finds in it."""

    head: Durable
    snapshot: Snapshot = Snapshot(0, 0, (), b"")
    entries: dict[int, Entry] = field(default_factory=dict)
    writes: int = 0

    def write(self, durable: Durable, keep: Keep) -> None:
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

    def load(self) -> Durable:
        entries = [self.entries[index] for index in sorted(self.entries)]
        return replace(self.head, snapshot=self.snapshot, entries=entries, marks=dict(self.head.marks))

    def copy(self) -> Disk:
        """As a backup takes it."""
        return Disk(
            replace(self.head, marks=dict(self.head.marks)), self.snapshot, dict(self.entries), self.writes
        )
