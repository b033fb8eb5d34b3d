"""Simulated time: events run in order of time, and in the order of scheduling at equal times."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import TypeVarTuple

Arguments = TypeVarTuple("Arguments")


class ScheduledEvent:
    """A callback with its arguments, which a clock calls once unless the event is cancelled."""

    __slots__ = ("arguments", "callback")

    def __init__(self, callback: Callable[[*Arguments], None], arguments: tuple[*Arguments]) -> None:
        """Create an event that calls `callback` with `arguments`."""
        self.arguments: tuple[object, ...] = arguments
        self.callback: Callable[..., None] | None = callback

    def cancel(self) -> None:
        """Prevent the callback from running; has no effect once it has run."""
        self.callback = None


class Clock:
    """The time of a simulation, in nanoseconds from its start, and the events scheduled in it."""

    def __init__(self) -> None:
        """Start at 0 with nothing scheduled."""
        self.now = 0
        self.sequence = 0  # number of the event scheduled last
        self.events_processed = 0
        self.scheduled: list[tuple[int, int, ScheduledEvent]] = []  # heap by time and sequence

    def call_at(
        self, when: int, callback: Callable[[*Arguments], None], *arguments: *Arguments
    ) -> ScheduledEvent:
        """Schedule a call for the time `when`, or for now if that time is past."""
        self.sequence += 1
        event = ScheduledEvent(callback, arguments)
        heappush(self.scheduled, (max(when, self.now), self.sequence, event))
        return event

    def call_after(
        self, delay: int, callback: Callable[[*Arguments], None], *arguments: *Arguments
    ) -> ScheduledEvent:
        """Schedule a call `delay` nanoseconds from now."""
        return self.call_at(self.now + delay, callback, *arguments)

    def run(self, until: int) -> None:
        """Run all events up to and including the time `until`."""
        scheduled = self.scheduled
        while scheduled and scheduled[0][0] <= until:
            when, _, event = heappop(scheduled)
            if event.callback is not None:
                self.now = when
                self.events_processed += 1
                event.callback(*event.arguments)
        self.now = until
