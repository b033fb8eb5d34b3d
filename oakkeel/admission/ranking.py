"""Ranking: the priority weight of a request for each second of service time, among what arrives."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from oakkeel.admission.sliding_window import WINDOW_STEP_NS, WINDOW_STEPS, SlidingWindow
from oakkeel.admission.types import NodeLimits, Request
from oakkeel.units import SECOND

OBJECTIVE_PER_INITIAL_SERVICE_TIME = 6  # the service time of a class before any request of it completes
SERVICE_TIME_DECAY_RATIO = 0.8  # at each poll with none observed: requests run again as probes


@dataclass(frozen=True, slots=True)
class RankRange:
    """The ranks that the requests of one class and tenant are spread over, within 0 to 1."""

    start: float
    width: float


class Demand(NamedTuple):
    """What one class and tenant ask for; the order is that of the ranks."""

    weight_per_ns: float
    class_index: int
    tenant_index: int
    arrivals: int


def allowance_weight(rate: float, allowance: float, over_allowance_weight: float) -> float:
    """Return the mean weight of the requests of a tenant, which is lower above its allowance.

    `rate` and `allowance` are requests a second at this node. The weight is a mean, because no single request
    is known to be above the allowance.
    """
    within = min(1.0, allowance / rate) if rate and allowance else 1.0
    return within + (1 - within) * over_allowance_weight


class Ranking:
    """The ranks of request classes and tenants, and the service times behind them."""

    def __init__(self, limits: NodeLimits) -> None:
        """Start with equal ranks and service times guessed from the latency objectives."""
        classes = limits.request_classes
        tenants = max(1, len(limits.tenants))
        self.limits = limits
        # In nanoseconds, of runs that completed or were abandoned.
        self.observed_service_times = [SlidingWindow() for _ in classes]
        self.service_times = [
            request_class.latency_objective / OBJECTIVE_PER_INITIAL_SERVICE_TIME for request_class in classes
        ]
        self.arrivals = [[SlidingWindow() for _ in range(tenants)] for _ in classes]
        self.ranks = [[RankRange(start=0.0, width=1.0)] * tenants for _ in classes]

    def count_and_rank(self, now: int, request: Request, chance: float) -> float:
        """Count a request that arrived, and return its rank; `chance` from 0 to 1 spreads equal requests."""
        class_index = request.request_class.index
        tenant_index = request.tenant.index if request.tenant else 0
        if not request.retry_attempt:
            self.arrivals[class_index][tenant_index].add(now, 1)
        rank_range = self.ranks[class_index][tenant_index]
        return rank_range.start + rank_range.width * chance

    def service_time(self, request: Request) -> float:
        """Return the expected service time of a request, in nanoseconds."""
        return self.service_times[request.request_class.index]

    def poll(self, now: int, started: int) -> None:
        """Update the service times and the ranks; `started` is when the node started."""
        for index, window in enumerate(self.observed_service_times):
            self.service_times[index] = window.mean(now, self.service_times[index] * SERVICE_TIME_DECAY_RATIO)
        window_ns = min(WINDOW_STEPS * WINDOW_STEP_NS, max(1, now - started))
        demands: list[Demand] = []
        for tenant_index in range(len(self.arrivals[0])):
            demands += self._demands_of_tenant(now, tenant_index, window_ns)
        demands.sort()
        self._assign_ranks(demands)

    def _demands_of_tenant(self, now: int, tenant_index: int, window_ns: int) -> list[Demand]:
        limits = self.limits
        counts = [windows[tenant_index].count(now) for windows in self.arrivals]
        rate = sum(counts) * SECOND / window_ns
        allowance = limits.tenants[tenant_index].allowance_per_s / limits.peers if limits.tenants else 0.0
        weight = allowance_weight(rate, allowance, limits.over_allowance_weight)
        demands = []
        for request_class in limits.request_classes:
            index = request_class.index
            weight_per_ns = request_class.priority_weight * weight / max(1, self.service_times[index])
            demands.append(Demand(weight_per_ns, index, tenant_index, counts[index]))
        return demands

    def _assign_ranks(self, demands: list[Demand]) -> None:
        """Give each demand its part of 0 to 1 by its arrivals, the lowest weight first."""
        total = sum(demand.arrivals for demand in demands) or 1
        below = 0
        for demand in demands:
            rank_range = RankRange(below / total, demand.arrivals / total)
            self.ranks[demand.class_index][demand.tenant_index] = rank_range
            below += demand.arrivals
