"""Outcomes of the requests of one node since its start, by request class: sums that can be subtracted.

Free of I/O. Loaded only if the node has a control link.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from oakkeel.admission.types import Request
from oakkeel.units import SECOND

MAX_CLASSES = 16  # the first ones seen: a status message must fit a line
MIN_LATENCY_SECONDS = 1e-6  # the logarithm needs a positive number


@dataclass(slots=True)
class Moments:
    """Count, sum and sum of squares of values."""

    count: float = 0.0
    total: float = 0.0
    squares: float = 0.0

    def add(self, value: float) -> None:
        """Count one value."""
        self.count += 1
        self.total += value
        self.squares += value * value

    def as_list(self) -> list[float]:
        """Return the form of status messages: count, sum and sum of squares."""
        return [self.count, self.total, self.squares]


class OutcomeCounters:
    """Sums over answered requests."""

    def __init__(self, highest_weight: float) -> None:
        """Start at zero; `highest_weight` is that of any request class, and the unit of earned weights."""
        self.highest_weight = highest_weight or 1.0
        self.earned_weight = Moments()
        self.latencies: dict[str, Moments] = {}  # logarithms of seconds until completed

    def count(self, now: int, request: Request, class_name: str, completed: bool) -> None:
        """Count one answer; a late one earns the part of its weight that its class gives."""
        earned = 0.0
        if completed:
            request_class = request.request_class
            timeliness = 1.0 if now <= request.objective_end else request_class.late_weight
            earned = request_class.priority_weight / self.highest_weight * timeliness
            if class_name in self.latencies or len(self.latencies) < MAX_CLASSES:
                seconds = (now - request.arrived_at) / SECOND
                moments = self.latencies.setdefault(class_name, Moments())
                moments.add(math.log(max(MIN_LATENCY_SECONDS, seconds)))
        self.earned_weight.add(earned)
