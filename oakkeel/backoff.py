"""Delays before another attempt: exponential backoff and jitter.

This module has no I/O and no state: callers pass a random number, so the same seed gives the same delays.
"""

from __future__ import annotations

MAX_DOUBLINGS = 16


def exponential_delay(base_ns: int, max_ns: int, failures: int) -> int:
    """Return `base_ns` doubled for each of `failures` consecutive failures, at most `max_ns`."""
    return min(max_ns, base_ns << min(failures, MAX_DOUBLINGS))


def with_jitter(delay_ns: int, random_value: float) -> int:
    """Return 50 to 150 percent of a delay, so that callers that failed together do not retry together.

    `random_value` is uniform in [0, 1).
    """
    return int(delay_ns * (0.5 + random_value))
