"""Rank: the position (0 lowest, 1 highest) of a request among recent arrivals.

Arrivals are ordered by priority weight per second of service time.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from oakkeel.admission.sliding_window import DEFAULT_WINDOW_STEP_NS, WINDOW_STEPS, SlidingWindow
from oakkeel.admission.types import NodeLimits, Request
from oakkeel.units import SECOND

# Until a request of a class completes, its service time is taken as the latency objective divided by this.
OBJECTIVE_PER_INITIAL_SERVICE_TIME = 6
# Factor on the expected service time at each poll without an observation; requests then run again as probes.
SERVICE_TIME_DECAY_RATIO = 0.8


@dataclass(frozen=True, slots=True)
class RankRange:
    """The ranks that the requests of one class and tenant are spread over, within 0 to 1."""

    start: float
    width: float


class Demand(NamedTuple):
    """The demand of one class and tenant; demands sort in the order of their ranks."""

    weight_per_ns: float
    class_index: int
    tenant_index: int
    arrivals: int


def allowance_weight(rate: float, allowance: float, excess_allowance_weight: float) -> float:
    """Return the mean weight factor of the requests of a tenant, which is lower above its allowance.

    `rate` and `allowance` are requests a second at this node. The factor is a mean, because no single request
    can be said to be above the allowance.
    """
    within = min(1.0, allowance / rate) if rate and allowance else 1.0
    return within + (1 - within) * excess_allowance_weight


class Ranking:
    """The ranks of request classes and tenants, and the expected service times that they depend on."""

    def __init__(self, limits: NodeLimits) -> None:
        """Start with equal ranks and with service times estimated from the latency objectives."""
        classes = limits.request_classes
        tenants = max(1, len(limits.tenants))
        self.limits = limits
        # Service times in nanoseconds of runs that completed or were abandoned, by class.
        self.observed_service_times = [SlidingWindow() for _ in classes]
        self.service_times = [
            request_class.latency_objective / OBJECTIVE_PER_INITIAL_SERVICE_TIME for request_class in classes
        ]
        # By class, then by tenant.
        self.arrivals = [[SlidingWindow() for _ in range(tenants)] for _ in classes]
        self.ranks = [[RankRange(start=0.0, width=1.0)] * tenants for _ in classes]

    def count_and_rank(self, now: int, request: Request, random_value: float) -> float:
        """Count a request that arrived, and return its rank.

        `random_value`, from 0 to 1, spreads the requests of one class and tenant over their ranks.
        """
        class_index = request.request_class.index
        tenant_index = request.tenant.index if request.tenant else 0
        if not request.retry_attempt:
            self.arrivals[class_index][tenant_index].add(now, 1)
        rank_range = self.ranks[class_index][tenant_index]
        return rank_range.start + rank_range.width * random_value

    def service_time(self, request: Request) -> float:
        """Return the expected service time of a request, in nanoseconds."""
        return self.service_times[request.request_class.index]

    def poll(self, now: int, started_at: int) -> None:
        """Update the service times and the ranks; `started_at` is the start time of the node."""
        for index, window in enumerate(self.observed_service_times):
            self.service_times[index] = window.mean(now, self.service_times[index] * SERVICE_TIME_DECAY_RATIO)
        window_ns = min(WINDOW_STEPS * DEFAULT_WINDOW_STEP_NS, max(1, now - started_at))
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
        weight = allowance_weight(rate, allowance, limits.excess_allowance_weight)
        demands = []
        for request_class in limits.request_classes:
            index = request_class.index
            weight_per_ns = request_class.priority_weight * weight / max(1, self.service_times[index])
            demands.append(Demand(weight_per_ns, index, tenant_index, counts[index]))
        return demands

    def _assign_ranks(self, demands: list[Demand]) -> None:
        """Divide the range 0 to 1 among the demands by their arrivals, the lowest weight first."""
        total = sum(demand.arrivals for demand in demands) or 1
        lower_ranked_arrivals = 0
        for demand in demands:
            rank_range = RankRange(lower_ranked_arrivals / total, demand.arrivals / total)
            self.ranks[demand.class_index][demand.tenant_index] = rank_range
            lower_ranked_arrivals += demand.arrivals
