"""Intervals and timeouts of Raft replicas, in nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass

from oakkeel.units import MS


@dataclass(slots=True, frozen=True)
class RaftTimeouts:
    """Intervals and timeouts of one replica, in nanoseconds.

    Longer election timeouts cost time without a leader, shorter ones cause elections in vain.
    """

    heartbeat: int = 80 * MS  # between two heartbeats of a leader
    election_min: int = 500 * MS  # nobody stands against a leader heard within this time
    election_max: int = 1000 * MS  # each election timeout is drawn between the two
    clock_drift: float = 0.04  # by which share the speeds of two clocks may differ
    recovery_interval: int = 200 * MS  # between two recovery requests of a replica that has just started
    recovery_wait: int = 700 * MS  # a recovering replica waits so long for all voters, then for a majority
    membership_interval: int = 200 * MS  # between two checks of a leader whether the members should change
    snapshot_entries: int = 512  # a count: entries committed since the last snapshot, before the next one

    @property
    def lease(self) -> int:
        """For how long after a majority heard from it a leader may be sure to be the only one."""
        return int(self.election_min * (1 - self.clock_drift) / (1 + self.clock_drift))
