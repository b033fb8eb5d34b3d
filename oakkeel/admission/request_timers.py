"""Timers of requests, gathered in steps: this keeps time and decides nothing."""

from __future__ import annotations

from oakkeel.admission.types import Host, Request
from oakkeel.resource_limits import MS

TIMER_STEP = 16 * MS


class RequestTimers:
    """Wakes requests at a time; one timer of the host serves all requests of a step."""

    __slots__ = ("host", "steps")

    def __init__(self, host: Host) -> None:
        """Start with no timer."""
        self.host = host
        self.steps: dict[int, list[Request]] = {}

    def set(self, now: int, request: Request, at: int) -> None:
        """Look at the request again at a time, or as soon after it as the next step is."""
        step = max(at // TIMER_STEP, now // TIMER_STEP + 1)
        if step not in self.steps:
            self.steps[step] = []
            self.host.set_timer(step, step * TIMER_STEP)
        self.steps[step].append(request)

    def expired(self, token: int) -> list[Request]:
        """Take the requests whose timer this is."""
        return self.steps.pop(token, [])

    def pending(self) -> list[Request]:
        """List the requests of all timers by time; one is there as often as it has timers."""
        return [request for step in sorted(self.steps) for request in self.steps[step]]
