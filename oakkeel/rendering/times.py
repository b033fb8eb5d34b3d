"""Lengths of time for people."""

from __future__ import annotations

NANOSECONDS = 1e9
UNITS = ((86400, "d"), (3600, "h"), (60, "m"))  # seconds


def format_duration(nanoseconds: int) -> str:
    """Return a length of time in few letters; `never` below zero."""
    if nanoseconds < 0:
        return "never"
    seconds = nanoseconds / NANOSECONDS
    for size, unit in UNITS:
        if seconds >= 2 * size:
            return f"{seconds / size:.0f}{unit}"
    return f"{seconds:.1f}s" if seconds < 10 else f"{seconds:.0f}s"


def format_age(nanoseconds: int) -> str:
    """Return how long ago something was; `never` below zero."""
    return "never" if nanoseconds < 0 else f"{format_duration(nanoseconds)} ago"
