"""Circuit breaker: blocks downstream calls while they are expected to fail, except for probes."""

from __future__ import annotations

from oakkeel.units import SECOND

MAX_FAILURES_IN_ROW = 5
PROBE_INTERVAL_NS = SECOND


class CircuitBreaker:
    """Opens after failures in a row; while open, it lets at most one half-open probe through per interval."""

    __slots__ = ("failures_in_row", "next_probe_at")

    def __init__(self) -> None:
        """Start with the breaker closed."""
        self.failures_in_row = 0
        self.next_probe_at = 0

    def is_open(self) -> bool:
        """Return whether the breaker is open: calls are expected to fail."""
        return self.failures_in_row >= MAX_FAILURES_IN_ROW

    def allows_call(self, now: int) -> bool:
        """Return whether a call may be placed; while the breaker is open, at most one probe per interval."""
        return not self.is_open() or now >= self.next_probe_at

    def call_placed(self, now: int) -> None:
        """Delay the next probe until one interval after this call."""
        self.next_probe_at = now + PROBE_INTERVAL_NS

    def call_succeeded(self) -> None:
        """Close the breaker."""
        self.failures_in_row = 0

    def call_failed(self) -> None:
        """Count a failure."""
        self.failures_in_row += 1
