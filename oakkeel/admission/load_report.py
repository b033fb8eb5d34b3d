"""What clients are told: how much to send, and after what idle time a connection closes."""

from __future__ import annotations

from oakkeel.admission.overload import DEPTH
from oakkeel.admission.types import LoadReportKind, NodeLimits
from oakkeel.units import MS, SECOND

# Advertised share: moved each poll by what wants a core, for each core.
BUSY, STEP_DOWN, STEP_UP, SHARE_LEAST = 2.0, 0.8, 1.15, 0.05
NEW_MOST, NEW_RATE = 1.5, 8  # new connections a second and core, while more are read
SAVED = (20 * SECOND, 4 * SECOND)  # idle time that saves a new connection, below REAP and from it on
IDLE_LEAST = 10 * MS
GAP_STEP, GAP_STEPS = 64 * MS, 9  # times between two requests of a client, by doubled steps
CLIENTS_MOST = 512  # whose times between are measured, those last seen


class LoadReport:
    """The value by which clients choose how much to send, in the meaning that they give to it."""

    def __init__(self, limits: NodeLimits) -> None:
        """Start with the whole share, and nothing reported."""
        self.limits, self.reported, self.share = limits, -1.0, 1.0

    def next_value(self, draining: bool, threshold: float, busy: float, warmth: float) -> float | None:
        """Return the value to report; None where it is as it was, or clients take none."""
        kind = self.limits.load_report
        if kind is LoadReportKind.NONE:
            return None
        threshold = 1.0 if draining else threshold
        # A rejection costs its reading, one sent elsewhere nothing: lower until what wants a core is bounded.
        step = STEP_DOWN if busy > BUSY else STEP_UP
        self.share = min(1.0, max(SHARE_LEAST, self.share * step))
        value = {
            LoadReportKind.MINIMUM_RANK: threshold,
            LoadReportKind.ADVERTISED_SHARE: SHARE_LEAST if draining else min(self.share, warmth),
            LoadReportKind.CONCURRENCY_LIMIT: max(1.0, DEPTH[4] * self.limits.cores * (1 - threshold)),
        }[kind]
        if value == self.reported:
            return None
        self.reported = value
        return value


# A full table rejects clients unseen; where new connections crowd the cores it may fill: that costs nothing.
def idle_time(returns: list[tuple[float, int]], saved: int) -> int:
    """Return the idle time that closes a connection where a later return does not pay for its place."""
    others = sum(count for _, count in returns)
    keep, best, net = IDLE_LEAST, 0.0, 0.0
    for step, (time, count) in enumerate(returns[:GAP_STEPS]):
        net, others = net + saved * count - time, others - count
        if net - (GAP_STEP << step) * others > best:
            best, keep = net - (GAP_STEP << step) * others, GAP_STEP << step
    return keep


def crowded_idle_time(connections: float, reading: float, cores: int) -> int:
    """Return the idle time that bounds new connections, where these crowd the cores."""
    return int(connections * SECOND / (NEW_RATE * cores)) if reading > NEW_MOST * cores else 0
