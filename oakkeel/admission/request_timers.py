"""Timers of requests, rounded down to steps: a timer may fire up to one step early.

This module makes no decisions.
"""

from __future__ import annotations

from oakkeel.admission.types import Host, Request


class RequestTimers:
    """The timers of requests; one timer of the host serves all requests of a step."""

    __slots__ = ("host", "step", "steps")

    def __init__(self, host: Host, step: int) -> None:
        """Start with no timer; `step` is in nanoseconds."""
        self.host = host
        self.step = step
        self.steps: dict[int, list[Request]] = {}

    def set(self, now: int, request: Request, at: int) -> None:
        """Set a timer for the start of the step that contains `at`, or of the next step if it has begun.

        The timer may fire up to one step before `at`: `is_due` allows for that.
        """
        number = max(at // self.step, now // self.step + 1)
        if number not in self.steps:
            self.steps[number] = []
            self.host.set_timer(number, number * self.step)
        self.steps[number].append(request)

    def set_not_before(self, now: int, request: Request, at: int) -> None:
        """Set a timer that fires within one step after `at`, and not before."""
        self.set(now, request, at + self.step)

    def is_due(self, now: int, at: int) -> bool:
        """Return whether `at` has passed or is within a step: its timer may have fired early."""
        return now + self.step > at

    def take_expired(self, token: int) -> list[Request]:
        """Remove the step of this token, and return its requests."""
        return self.steps.pop(token, [])

    def pending(self) -> list[Request]:
        """Return the requests of all timers by time; a request appears once for each of its timers."""
        return [request for step in sorted(self.steps) for request in self.steps[step]]
