"""Sums over the request outcomes of one node since its start.

The difference of two status reports gives the sums for the time between them. Performs no I/O. Imported
only if the node has a control link.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from oakkeel.admission.types import Request
from oakkeel.units import SECOND

MAX_CLASSES = 16  # only the first request classes are counted: a status message must fit in one line
MIN_LATENCY_SECONDS = 1e-6  # the logarithm needs a positive number


@dataclass(slots=True)
class Moments:
    """Count, sum and sum of squares of a series of values."""

    count: float = 0.0
    total: float = 0.0
    squares: float = 0.0

    def add(self, value: float) -> None:
        """Add one value to the series."""
        self.count += 1
        self.total += value
        self.squares += value * value

    def as_list(self) -> list[float]:
        """Return count, sum and sum of squares, the form used in status messages."""
        return [self.count, self.total, self.squares]


class OutcomeCounters:
    """Sums over answered requests: the earned weight of all, and the latencies of each request class."""

    def __init__(self, highest_weight: float) -> None:
        """Start at zero; `highest_weight` of all request classes is the unit of earned weights."""
        self.highest_weight = highest_weight or 1.0
        self.earned_weight = Moments()
        self.latencies: dict[str, Moments] = {}  # by class name: logarithms of latencies in seconds

    def count(self, now: int, request: Request, class_name: str, is_completed: bool) -> None:
        """Count one answer; `late_weight` of the class reduces the earned weight of a late answer."""
        earned = 0.0
        if is_completed:
            request_class = request.request_class
            timeliness = 1.0 if now <= request.objective_end else request_class.late_weight
            earned = request_class.priority_weight / self.highest_weight * timeliness
            if class_name in self.latencies or len(self.latencies) < MAX_CLASSES:
                seconds = (now - request.arrived_at) / SECOND
                moments = self.latencies.setdefault(class_name, Moments())
                moments.add(math.log(max(MIN_LATENCY_SECONDS, seconds)))
        self.earned_weight.add(earned)
