"""Weighted max-min shares of flows at one or two levels, such as tenants and the clients of each tenant.

Max-min: capacity is divided in proportion to the weights, and no flow gets more than its demand (D.
Bertsekas, R. Gallager, "Data Networks", 1992, section 6.5.2). Flows outside the table are treated as flows of
the maximum rate that such a flow may have, so that none of them gets less than its share.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import inf

from oakkeel.errors import OakkeelError
from oakkeel.fair_sharing.heavy_hitters import Flow, HeavyHitters

DEFAULT_WEIGHT = 1.0
DEMAND_TOLERANCE_RATIO = 1e-9  # a rounding error of a sum must not limit flows


class MissingFlowError(OakkeelError, ValueError):
    """A request has no flow, or an inner flow has no outer flow: a defect of the caller."""


@dataclass(frozen=True, slots=True)
class Demand:
    """The work that a flow, or many small flows together, would use without a limit."""

    rate: float  # of work, per second
    weight: float


class MaxMinShares:
    """The tables of flows by level, the outermost first, and the allocation of capacity to flows."""

    def __init__(self, levels: int, max_flows: int, half_life: int, weights: Mapping[bytes, float]) -> None:
        """Start with no flow; `half_life` is in nanoseconds.

        `weights` has the weights of flows by label; the caller may change them later.
        """
        self.tables = [HeavyHitters(max_flows, half_life) for _ in range(levels)]
        self.weights = weights
        self.unknown_share = 1.0  # share of their work that flows outside the outermost table may send

    def count(self, now: int, flow_keys: Sequence[tuple[int, bytes]], work: float, is_retry: bool) -> Flow:
        """Count work for its flow at each level, and return the innermost flow.

        `flow_keys` has a key and a label for each level.
        """
        flow: Flow | None = None
        for table, (key, label) in zip(self.tables, flow_keys, strict=True):
            flow = table.add(now, key, work, is_retry, label, flow)
        if flow is None:
            raise MissingFlowError("a request has no flow: its flow keys are empty")
        return flow

    def is_heavy_hitter(self, now: int, flow: Flow) -> bool:
        """Return whether the flow has the maximum rate of a flow outside the table, or more."""
        table = self.tables[-1]
        return table.rate(now, flow) >= table.error_rate(now)

    def unknown_flow_share(self, flow: Flow) -> float:
        """Return the share of its work that a sibling of `flow` outside the table may send."""
        return flow.parent.unknown_share if flow.parent else self.unknown_share

    def allocate(self, now: int, capacity: float) -> None:
        """Set the allowed rate of each flow, so that no flow takes the capacity that other flows need.

        `capacity` is work per second. It is divided among the outer flows, and the share of each outer flow
        among its inner flows.
        """
        outer = self.tables[0]
        self.unknown_share = self._allocate_table(
            now, outer, list(outer.flows.values()), outer.total_rate(now), capacity
        )
        if len(self.tables) == 1:
            return
        inner = self.tables[1]
        children: dict[Flow | None, list[Flow]] = {flow: [] for flow in outer.flows.values()}
        for flow in inner.flows.values():
            children.setdefault(flow.parent, []).append(flow)
        for parent, flows in children.items():
            if parent is None:
                raise MissingFlowError("a flow of the inner level has no outer flow")
            demand = outer.rate(now, parent)
            outer_share = 1.0 if demand >= outer.error_rate(now) else self.unknown_share
            parent.unknown_share = self._allocate_table(
                now, inner, flows, demand, min(parent.allowed_rate, demand * outer_share)
            )

    def _allocate_table(
        self, now: int, table: HeavyHitters, flows: list[Flow], demand: float, capacity: float
    ) -> float:
        """Set the allowed rate of each of `flows`; return the share of work that unknown flows may send.

        `demand` is the rate of all flows that share this capacity, including flows outside the table.
        """
        for flow in flows:
            flow.allowed_rate = inf
        if demand <= capacity * (1 + DEMAND_TOLERANCE_RATIO):
            return 1.0
        error_rate = table.error_rate(now)
        rates = {flow: rate for flow in flows if (rate := table.rate(now, flow)) >= error_rate}
        unknown_rate = max(0.0, demand - sum(rates.values())) if error_rate else 0.0
        demands = [Demand(rate, self._weight(flow)) for flow, rate in rates.items()]
        if unknown_rate > 0:
            # The weight is the number of flows if each of them has the maximum rate `error_rate`.
            demands.append(Demand(unknown_rate, unknown_rate / error_rate))
        rate_per_weight = fair_rate_per_weight(demands, capacity)
        for flow, rate in rates.items():
            share = rate_per_weight * self._weight(flow)
            if rate > share:
                flow.allowed_rate = share
        return min(1.0, rate_per_weight / error_rate) if error_rate else 1.0

    def _weight(self, flow: Flow) -> float:
        return self.weights.get(flow.label, DEFAULT_WEIGHT)


def fair_rate_per_weight(demands: list[Demand], capacity: float) -> float:
    """Return the max-min rate for each unit of weight; infinite if the capacity meets every demand.

    The max-min fair share of a flow is this rate times its weight, or its demand if that is less.
    """
    remaining_capacity = capacity
    remaining_weight = sum(demand.weight for demand in demands)
    for demand in sorted(demands, key=lambda demand: demand.rate / demand.weight):
        if demand.rate / demand.weight * remaining_weight > remaining_capacity:
            return max(0.0, remaining_capacity / remaining_weight)
        remaining_capacity -= demand.rate
        remaining_weight -= demand.weight
    return inf
