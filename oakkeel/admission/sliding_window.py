"""Sums, counts and means over the last few seconds: these measure and decide nothing."""

from __future__ import annotations

from oakkeel.units import MS

WINDOW_STEP, WINDOW_BUCKETS = 500 * MS, 12


class SlidingWindow:
    """Sums and counts over the last few seconds, in buckets of time that are used again."""

    __slots__ = ("bucket_numbers", "counts", "step", "sums")

    def __init__(self, step: int = WINDOW_STEP) -> None:
        """Start empty, with buckets of `step` nanoseconds."""
        self.step, self.sums = step, [0.0] * WINDOW_BUCKETS
        self.counts, self.bucket_numbers = [0] * WINDOW_BUCKETS, [0] * WINDOW_BUCKETS

    def add(self, now: int, value: float) -> None:
        """Count a value at this time."""
        number = now // self.step
        bucket = number % WINDOW_BUCKETS
        if self.bucket_numbers[bucket] != number:
            self.bucket_numbers[bucket], self.sums[bucket], self.counts[bucket] = number, 0.0, 0
        self.sums[bucket] += value
        self.counts[bucket] += 1

    def total(self, now: int) -> tuple[float, int]:
        """Return the sum and the count of the values within the window."""
        oldest = now // self.step - WINDOW_BUCKETS
        live = [bucket for bucket in range(WINDOW_BUCKETS) if self.bucket_numbers[bucket] > oldest]
        return sum(self.sums[bucket] for bucket in live), sum(self.counts[bucket] for bucket in live)

    def mean(self, now: int, default: float) -> float:
        """Return the mean of the values within the window, or the default where there are none."""
        total, count = self.total(now)
        return total / count if count else default
