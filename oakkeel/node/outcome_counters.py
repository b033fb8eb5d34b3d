"""What came of the exchanges of one node since its start, by endpoint group: sums that can be subtracted.

Free of I/O. Loaded only where a node has a control link.
"""

from __future__ import annotations

import math

from oakkeel.admission.types import Request

SECOND = 1_000_000_000
MOST_GROUPS = 16  # the first ones seen; a report has room for no more


class OutcomeCounters:
    """Each sum is a list of count, sum and sum of squares."""

    def __init__(self, most_benefit: float) -> None:
        """`most_benefit`: of any endpoint group, which benefits are told as parts of."""
        self.most = most_benefit or 1.0
        self.benefit = [0.0, 0.0, 0.0]
        self.times: dict[str, list[float]] = {}  # logarithms of seconds until completed

    def answered(self, now: int, request: Request, group: str, completed: bool) -> None:
        """One was answered; what is late brings the part that its group says."""
        brought = 0.0
        if completed:
            brought = (
                request.request_class.priority_weight
                / self.most
                * (1.0 if now <= request.objective_end else request.request_class.late_weight)
            )
            if group in self.times or len(self.times) < MOST_GROUPS:
                _add(
                    self.times.setdefault(group, [0.0, 0.0, 0.0]),
                    math.log(max(1e-6, (now - request.arrived_at) / SECOND)),
                )
        _add(self.benefit, brought)


def _add(sums: list[float], value: float) -> None:
    sums[0] += 1
    sums[1] += value
    sums[2] += value * value
