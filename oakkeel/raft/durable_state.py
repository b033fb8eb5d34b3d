"""The durable state of a replica, and updates of it. Free of I/O."""

from __future__ import annotations

from dataclasses import dataclass, field

from oakkeel.raft.log import LogPosition, Snapshot
from oakkeel.raft.messages import Entry

EMPTY_SNAPSHOT = Snapshot(0, 0, (), b"")


@dataclass(slots=True)
class DurableState:
    """The state that a replica keeps on disk."""

    name: str
    incarnation: str
    epoch: str = ""  # random ID of the cluster; empty until the replica belongs to a cluster
    term: int = 0
    voted_for: str = ""  # the incarnation that got the vote in `term`; empty: none
    snapshot: Snapshot = EMPTY_SNAPSHOT
    entries: list[Entry] = field(default_factory=list)
    acknowledgements: dict[str, LogPosition] = field(default_factory=dict)  # by incarnation


@dataclass(slots=True)
class StorageUpdate:
    """A change of the durable state. A storage applies the fields in their order, atomically."""

    snapshot: Snapshot | None = None
    replaces_log: bool = False  # the snapshot replaces all entries, even the ones after its index
    truncate_from: int = 0  # index of the first entry to drop; 0: no entry is dropped
    entries: list[tuple[int, Entry]] = field(default_factory=list)
    updates_metadata: bool = False  # incarnation, epoch, term, vote or acknowledgements changed

    @property
    def is_empty(self) -> bool:
        """Whether the update changes nothing."""
        return not (self.updates_metadata or self.truncate_from or self.entries or self.snapshot)
