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
        self.steps: dict[int, list[Request]] = {}  # requests with a timer, by step number

    def set(self, now: int, request: Request, due_at: int) -> None:
        """Set a timer for the start of the step that contains `due_at`; if it has begun, of the next step.

        The timer may fire up to one step before `due_at`: `is_due` allows for that.
        """
        step_number = max(due_at // self.step, now // self.step + 1)
        if step_number not in self.steps:
            self.steps[step_number] = []
            self.host.set_timer(step_number, step_number * self.step)
        self.steps[step_number].append(request)

    def set_not_before(self, now: int, request: Request, due_at: int) -> None:
        """Set a timer that fires within one step after `due_at`, and not before."""
        self.set(now, request, due_at + self.step)

    def is_due(self, now: int, due_at: int) -> bool:
        """Return whether `due_at` has passed or is less than a step ahead: its timer may fire early."""
        return now + self.step > due_at

    def at(self, token: int) -> list[Request]:
        """Return the requests of the step of this token."""
        return self.steps.get(token, [])

    def take_expired(self, token: int) -> list[Request]:
        """Remove the step of this token, and return its requests."""
        return self.steps.pop(token, [])

    def pending(self) -> list[Request]:
        """Return the requests of all timers by time; a request appears once for each of its timers."""
        return [request for step in sorted(self.steps) for request in self.steps[step]]
