"""The rank of a request: its priority weight for the service time of its class, among what arrives."""

from __future__ import annotations

from oakkeel.admission.sliding_window import WINDOW_BUCKETS, WINDOW_STEP, SlidingWindow
from oakkeel.admission.types import NodeLimits, Request
from oakkeel.units import SECOND

SERVICE_TIME_FADE = 0.8  # a poll, of a service time that nothing confirms any more


class Ranking:
    """Ranks of request classes and tenants, and the service times that they go by."""

    def __init__(self, limits: NodeLimits) -> None:
        """Start with equal ranks, and with a service time of a sixth of the latency objective."""
        self.limits, classes, tenants = limits, limits.request_classes, max(1, len(limits.tenants))
        self.completed = [SlidingWindow() for _ in classes]  # service times
        self.service_times = [row.latency_objective / 6 for row in classes]
        self.arrivals = [[SlidingWindow() for _ in range(tenants)] for _ in classes]
        self.ranks = [[(0.0, 1.0)] * tenants for _ in classes]  # place among the arrivals, breadth

    def rank(self, now: int, request: Request, chance: float) -> float:
        """Count a request that arrived, and return its rank."""
        index, tenant = request.request_class.index, request.tenant.index if request.tenant else 0
        if not request.retry_attempt:
            self.arrivals[index][tenant].add(now, 1)
        below, breadth = self.ranks[index][tenant]
        return below + breadth * chance

    def poll(self, now: int, started: int) -> None:
        """Give each request class and tenant its rank, the least weight for its service time first."""
        limits, rows, known = self.limits, [], zip(self.completed, self.service_times, strict=True)
        self.service_times = [window.mean(now, last * SERVICE_TIME_FADE) for window, last in known]
        for tenant in range(len(self.arrivals[0])):
            counts = [windows[tenant].total(now)[1] for windows in self.arrivals]
            rate = sum(counts) * SECOND / min(WINDOW_BUCKETS * WINDOW_STEP, max(1, now - started))
            allowance = limits.tenants[tenant].allowance_per_s / limits.peers if limits.tenants else 0.0
            within = min(1.0, allowance / rate) if rate and allowance else 1.0
            weight = within + (1 - within) * limits.over_allowance_weight
            for row in limits.request_classes:
                density = row.priority_weight * weight / max(1, self.service_times[row.index])
                rows.append((density, row.index, tenant, counts[row.index]))
        rows.sort()
        total, below = sum(row[3] for row in rows) or 1, 0
        for _, index, tenant, number in rows:
            self.ranks[index][tenant] = (below / total, number / total)
            below += number
