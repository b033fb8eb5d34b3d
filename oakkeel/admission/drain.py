"""Drain: the notice that a node will stop, with the grace period in which it still admits requests."""

from __future__ import annotations

from oakkeel.admission.deadline import ANSWER_HEADROOM_NS


class Drain:
    """The notice to drain: the times of the stop and of the end of the grace period (0: no drain)."""

    __slots__ = ("grace_end", "stop_at")

    def __init__(self) -> None:
        """Start without a notice."""
        self.stop_at = 0
        self.grace_end = 0

    def start(self, now: int, time_to_stop: int, grace_period: int) -> None:
        """Stop in `time_to_stop` nanoseconds, and admit requests for `grace_period` nanoseconds.

        A further notice moves the stop, but not the end of the grace period.
        """
        self.stop_at = now + time_to_stop
        self.grace_end = self.grace_end or now + grace_period

    def cancel(self) -> None:
        """Withdraw the notice."""
        self.stop_at = 0
        self.grace_end = 0

    @property
    def is_draining(self) -> bool:
        """Return whether there is a notice to drain."""
        return bool(self.stop_at)

    def is_past_grace(self, now: int, queueing_delay: int) -> bool:
        """Return whether a request reached the machine after the grace period.

        Within the grace period, clients may not have received the notice yet.
        """
        if not self.grace_end:
            return False
        return now - queueing_delay > self.grace_end - ANSWER_HEADROOM_NS
