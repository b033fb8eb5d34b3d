"""Load report: the value by which clients limit the requests that they send to this node."""

from __future__ import annotations

from oakkeel.admission.overload import DEPTH_PER_CORE
from oakkeel.admission.types import LoadReportKind, NodeLimits

MAX_BUSY_PER_CORE = 2.0  # requests for each core that want one; above it the advertised share falls
# Factors on the advertised share at each report: at the start, each poll and each change of a drain.
SHARE_DECREASE_RATIO = 0.8
SHARE_INCREASE_RATIO = 1.15
MIN_ADVERTISED_SHARE_RATIO = 0.05  # a few requests must still come, or clients would not notice a recovery


class LoadReport:
    """Computes the value of the kind `NodeLimits.load_report`, and remembers the last reported value."""

    def __init__(self, limits: NodeLimits) -> None:
        """Start with an advertised share of 1 and nothing reported."""
        self.limits = limits
        self.last_reported = -1.0
        self.share = 1.0

    def next_value(
        self, is_draining: bool, threshold: float, busy_per_core: float, warmth: float
    ) -> float | None:
        """Return the value to report; None if it has not changed or clients use no load reports.

        `threshold` is the shedding threshold, `busy_per_core` the requests for each core that want one, and
        `warmth` the share of full speed that the node has at least (slow start).
        """
        kind = self.limits.load_report
        if kind is LoadReportKind.NONE:
            return None
        threshold = 1.0 if is_draining else threshold
        self._update_share(busy_per_core)
        if kind is LoadReportKind.MINIMUM_RANK:
            value = threshold
        elif kind is LoadReportKind.ADVERTISED_SHARE:
            value = MIN_ADVERTISED_SHARE_RATIO if is_draining else min(self.share, warmth)
        else:
            value = max(1.0, DEPTH_PER_CORE.reject * self.limits.cores * (1 - threshold))
        if value == self.last_reported:
            return None
        self.last_reported = value
        return value

    def _update_share(self, busy_per_core: float) -> None:
        """Lower the share while too many requests want a core, else raise it.

        A request that its client sends to another node costs no parsing on this node.
        """
        factor = SHARE_DECREASE_RATIO if busy_per_core > MAX_BUSY_PER_CORE else SHARE_INCREASE_RATIO
        self.share = min(1.0, max(MIN_ADVERTISED_SHARE_RATIO, self.share * factor))
