"""Durations and ages for display."""

from __future__ import annotations

NANOSECONDS_PER_SECOND = 1e9
UNITS = ((86400, "d"), (3600, "h"), (60, "m"))  # lengths in seconds
MIN_UNIT_COUNT = 2  # a duration of fewer units is shown in the next smaller unit
MAX_SECONDS_WITH_FRACTION = 10


def format_duration(nanoseconds: int) -> str:
    """Return a duration in one unit, such as 1.5s or 12m; `never` if it is negative."""
    if nanoseconds < 0:
        return "never"
    seconds = nanoseconds / NANOSECONDS_PER_SECOND
    for size, unit in UNITS:
        if seconds >= MIN_UNIT_COUNT * size:
            return f"{seconds / size:.0f}{unit}"
    return f"{seconds:.1f}s" if seconds < MAX_SECONDS_WITH_FRACTION else f"{seconds:.0f}s"


def format_age(nanoseconds: int) -> str:
    """Return an age, such as 3.0s ago; `never` if it is negative."""
    return "never" if nanoseconds < 0 else f"{format_duration(nanoseconds)} ago"
