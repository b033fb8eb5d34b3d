"""Lengths of time for people."""

from __future__ import annotations


def span(nanoseconds: int) -> str:
    """A length of time in few letters; `never` below zero."""
    if nanoseconds < 0:
        return "never"
    seconds = nanoseconds / 1e9
    for size, unit in ((86400, "d"), (3600, "h"), (60, "m")):
        if seconds >= 2 * size:
            return f"{seconds / size:.0f}{unit}"
    return f"{seconds:.1f}s" if seconds < 10 else f"{seconds:.0f}s"
