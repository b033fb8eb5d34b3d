"""Intervals and timeouts of Raft replicas, in nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass

from oakkeel.units import MS


@dataclass(slots=True, frozen=True)
class RaftTimeouts:
    """Intervals and timeouts of one replica, in nanoseconds.

    Longer election timeouts prolong the time without a leader, shorter ones cause needless elections.
    """

    heartbeat_interval_ns: int = 80 * MS
    # A replica grants no vote for this long after the last message of a leader.
    min_election_timeout_ns: int = 500 * MS
    max_election_timeout_ns: int = 1000 * MS  # an election timeout is drawn between the minimum and this
    max_clock_drift_ratio: float = 0.04  # maximum deviation of a clock's rate from real time
    recovery_interval_ns: int = 200 * MS  # between two recovery requests of a replica
    # A recovering replica waits this long for the responses of all voters; then a majority is enough.
    max_recovery_wait_ns: int = 700 * MS
    membership_interval_ns: int = 200 * MS  # between two checks of the leader whether to change the members
    max_entries_before_snapshot: int = 512  # committed since the last snapshot

    @property
    def lease_ns(self) -> int:
        """The duration of a leader's lease, from its last contact with a majority.

        This is the minimum election timeout, less the drift of two clocks in opposite directions.
        """
        drift = self.max_clock_drift_ratio
        return int(self.min_election_timeout_ns * (1 - drift) / (1 + drift))
