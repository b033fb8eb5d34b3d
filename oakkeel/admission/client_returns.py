"""Measures the time between two requests of one client. This module makes no decisions."""

from __future__ import annotations

from typing import NamedTuple

from oakkeel.admission.sliding_window import SlidingWindow
from oakkeel.units import SECOND

RETURNS_WINDOW_STEP_NS = 2 * SECOND


class ReturnTimes(NamedTuple):
    """The sum and the number of the return times that fall into one step."""

    total_ns: float
    return_count: int


class ClientReturns:
    """The return times of clients over the last seconds: the time between two requests of one client."""

    __slots__ = ("last_seen", "max_clients", "return_times", "step", "steps")

    def __init__(self, step: int, steps: int, max_clients: int) -> None:
        """Start with no client seen.

        The first step ends at `step` nanoseconds, and each later step at twice the end of the previous one.
        """
        self.step = step
        self.steps = steps
        self.max_clients = max_clients
        self.last_seen: dict[int, int] = {}  # time of the last request by client, the oldest first
        self.return_times = [SlidingWindow(RETURNS_WINDOW_STEP_NS) for _ in range(steps + 1)]

    def record_request(self, now: int, client: int) -> None:
        """Count the time since the last request of this client, in the step that contains it."""
        return_time = now - self.last_seen.pop(client, -(self.step << self.steps))
        self.last_seen[client] = now
        self.return_times[min(self.steps, (return_time // self.step).bit_length())].add(now, return_time)
        if len(self.last_seen) > self.max_clients:
            del self.last_seen[next(iter(self.last_seen))]

    def times_by_step(self, now: int) -> list[ReturnTimes]:
        """Return the return times of each step, the shortest step first."""
        return [ReturnTimes(window.total(now), window.count(now)) for window in self.return_times]
