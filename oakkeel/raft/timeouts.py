"""How fast keepers talk, and how long they wait before they act on silence. Nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass

MS = 1_000_000
SECOND = 1000 * MS


@dataclass(slots=True, frozen=True)
class RaftTimeouts:
    """A longer wait costs time without a leader, a shorter one elections in vain."""

    heartbeat: int = 80 * MS  # between signs of life of a leader
    election_min: int = 500 * MS  # nobody stands against a leader heard within this time
    election_max: int = 1000 * MS  # a wait is drawn between the two
    clock_drift: float = 0.04  # by how much two clocks may go at different speeds
    recovery_interval: int = 200 * MS  # between questions of one that has just started
    recovery_wait: int = 700 * MS  # one that has just started waits for all to say what it may have forgotten
    membership_interval: int = 200 * MS  # between looks at who should be a member
    snapshot_entries: int = 512  # entries agreed since the last snapshot, before the next

    @property
    def lease(self) -> int:
        """So long after a majority heard from it, a leader may be sure to be the only one."""
        return int(self.election_min * (1 - self.clock_drift) / (1 + self.clock_drift))
