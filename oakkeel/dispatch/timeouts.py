"""The timeouts of a connection, and the pauses between its reads."""

from __future__ import annotations

from oakkeel.resource_limits import ResourceLimits


def is_write_overdue(now: int, write_started_at: int, limits: ResourceLimits) -> bool:
    """Return whether a write takes too long: the dispatcher does not read, and the answers hold memory.

    `write_started_at` is in nanoseconds of the monotonic clock, as `now`; 0: no write is in progress.
    """
    return bool(write_started_at) and now - write_started_at > limits.write_timeout


def array_overdue_by(now: int, wait_started_at: int, limits: ResourceLimits) -> int:
    """Return the nanoseconds for which an array has been overdue; 0 if none is overdue.

    A dispatcher that sends incomplete arrays holds a descriptor and a buffer that other dispatchers need.
    `wait_started_at` is in nanoseconds of the monotonic clock, as `now`; 0: no array is expected.
    """
    return max(0, now - wait_started_at - limits.array_timeout) if wait_started_at else 0


def read_pause(cpu_time: int, is_discarding: bool, limits: ResourceLimits) -> int:
    """Return the nanoseconds to the next turn of a connection.

    The pause bounds the share of the event loop that one connection gets; `cpu_time` is the CPU time in
    nanoseconds that its last read and its parsing took. `is_discarding` is true for a connection whose input
    is dropped: nothing waits for its next read but its own close.
    """
    pause = cpu_time * limits.read_cpu_factor
    return max(pause, limits.discard_pause) if is_discarding else pause
