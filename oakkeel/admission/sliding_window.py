"""Sums, counts and means over the last few seconds. This module makes no decisions."""

from __future__ import annotations

from oakkeel.units import MS

DEFAULT_WINDOW_STEP_NS = 500 * MS
WINDOW_STEPS = 12


class SlidingWindow:
    """Sums and counts over the last few seconds, in a ring of buckets of `step` nanoseconds each."""

    __slots__ = ("bucket_numbers", "counts", "step", "sums")

    def __init__(self, step: int = DEFAULT_WINDOW_STEP_NS) -> None:
        """Start empty."""
        self.step = step
        self.sums = [0.0] * WINDOW_STEPS
        self.counts = [0] * WINDOW_STEPS
        self.bucket_numbers = [0] * WINDOW_STEPS

    def add(self, now: int, value: float) -> None:
        """Add a value to the bucket of the time `now`."""
        bucket_number = now // self.step
        bucket = bucket_number % WINDOW_STEPS
        if self.bucket_numbers[bucket] != bucket_number:
            self.bucket_numbers[bucket] = bucket_number
            self.sums[bucket] = 0.0
            self.counts[bucket] = 0
        self.sums[bucket] += value
        self.counts[bucket] += 1

    def total(self, now: int) -> float:
        """Return the sum of the values within the window."""
        return sum([self.sums[bucket] for bucket in self._live_buckets(now)])

    def count(self, now: int) -> int:
        """Return the number of values within the window."""
        return sum([self.counts[bucket] for bucket in self._live_buckets(now)])

    def mean(self, now: int, default: float) -> float:
        """Return the mean of the values within the window, or the default where there are none."""
        total = 0.0
        count = 0
        for bucket in self._live_buckets(now):
            total += self.sums[bucket]
            count += self.counts[bucket]
        return total / count if count else default

    def _live_buckets(self, now: int) -> list[int]:
        oldest = now // self.step - WINDOW_STEPS
        return [bucket for bucket, bucket_number in enumerate(self.bucket_numbers) if bucket_number > oldest]
