"""How soon clients return. This module measures and decides nothing."""

from __future__ import annotations

from typing import NamedTuple

from oakkeel.admission.sliding_window import SlidingWindow
from oakkeel.units import SECOND

RETURNS_WINDOW_STEP_NS = 2 * SECOND


class ReturnTimes(NamedTuple):
    """The times between two requests of one client that fall into one step."""

    total_ns: float
    returns: int


class ClientReturns:
    """Times between two requests of one client, over the last seconds."""

    __slots__ = ("gap_step", "gap_steps", "gaps", "last_seen", "max_clients")

    def __init__(self, gap_step: int, gap_steps: int, max_clients: int) -> None:
        """Start with no client seen. Each step doubles; the first ends at `gap_step` nanoseconds."""
        self.gap_step = gap_step
        self.gap_steps = gap_steps
        self.max_clients = max_clients
        self.last_seen: dict[int, int] = {}  # in the order of the times
        self.gaps = [SlidingWindow(RETURNS_WINDOW_STEP_NS) for _ in range(gap_steps + 1)]

    def seen(self, now: int, client: int) -> None:
        """Count the time since a client was last seen."""
        gap = now - self.last_seen.pop(client, -(self.gap_step << self.gap_steps))
        self.last_seen[client] = now
        self.gaps[min(self.gap_steps, (gap // self.gap_step).bit_length())].add(now, gap)
        if len(self.last_seen) > self.max_clients:
            del self.last_seen[next(iter(self.last_seen))]

    def by_step(self, now: int) -> list[ReturnTimes]:
        """Return the times of each step, the shortest first."""
        return [ReturnTimes(window.total(now), window.count(now)) for window in self.gaps]
