"""Flows at one or two levels, such as tenant and client within it, and weighted max-min shares among them.

Max-min: capacity is divided evenly, by weight, and no flow gets more than its demand (D. Bertsekas,
R. Gallager, "Data Networks", 1992, section 6.5.2). Flows outside the table count together, as flows of the
maximum rate that one of them may have, so that a flow without an entry does not get less than its share.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from math import inf

from oakkeel.errors import OakkeelError
from oakkeel.fair_sharing.heavy_hitters import Flow, HeavyHitters

DEFAULT_WEIGHT = 1.0
DEMAND_TOLERANCE_RATIO = 1e-9  # rounding of a sum must not start to limit flows


class MissingFlowError(OakkeelError, ValueError):
    """A request or an inner flow names no flow: a defect of the caller."""


@dataclass(frozen=True, slots=True)
class Demand:
    """What one flow, or many small ones together, would use if it had no limit."""

    rate: float  # of work, per second
    weight: float


class MaxMinShares:
    """The tables of flows, the outermost level first."""

    def __init__(self, levels: int, max_flows: int, half_life: int, weights: Mapping[bytes, float]) -> None:
        """Start with no flow; `half_life` in nanoseconds; `weights` by label, and may change later."""
        self.tables = [HeavyHitters(max_flows, half_life) for _ in range(levels)]
        self.weights = weights
        self.unknown_share = 1.0  # of their work, for flows outside the table of the outermost level

    def count(self, now: int, flow_keys: Sequence[tuple[int, bytes]], work: float, retry: bool) -> Flow:
        """Count work with its flow at each level, and return the innermost; a key and a label for each."""
        flow: Flow | None = None
        for table, (key, label) in zip(self.tables, flow_keys, strict=True):
            flow = table.add(now, key, work, retry, label, flow)
        if flow is None:
            raise MissingFlowError("a request names no flow: its flow keys are empty")
        return flow

    def is_heavy(self, now: int, flow: Flow) -> bool:
        """Return whether the flow certainly sends more than a flow outside the table could."""
        table = self.tables[-1]
        return table.rate(now, flow) >= table.error_rate(now)

    def unknown_flow_share(self, flow: Flow) -> float:
        """Return the part of its work that an unknown flow, a sibling of `flow`, may send."""
        return flow.parent.unknown_share if flow.parent else self.unknown_share

    def allocate(self, now: int, capacity: float) -> None:
        """Set the allowed rate of each flow, so that no flow takes the capacity that others need.

        `capacity` is work per second. It is divided at the outermost level, and each share within it.
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
            unknown = 1.0 if demand >= outer.error_rate(now) else self.unknown_share
            parent.unknown_share = self._allocate_table(
                now, inner, flows, demand, min(parent.allowed_rate, demand * unknown)
            )

    def _allocate_table(
        self, now: int, table: HeavyHitters, flows: list[Flow], demand: float, capacity: float
    ) -> float:
        """Set the allowed rate of each of `flows`; return the share that unknown flows keep.

        `demand` is the rate of all flows that share this capacity, those outside the table included.
        """
        for flow in flows:
            flow.allowed_rate = inf
        if demand <= capacity * (1 + DEMAND_TOLERANCE_RATIO):
            return 1.0
        error = table.error_rate(now)
        rates = {flow: rate for flow in flows if (rate := table.rate(now, flow)) >= error}
        unknown_rate = max(0.0, demand - sum(rates.values())) if error else 0.0
        demands = [Demand(rate, self._weight(flow)) for flow, rate in rates.items()]
        if unknown_rate > 0:
            demands.append(Demand(unknown_rate, unknown_rate / error))  # as many flows of the rate `error`
        level = fair_level(demands, capacity)
        for flow, rate in rates.items():
            share = level * self._weight(flow)
            if rate > share:
                flow.allowed_rate = share
        return min(1.0, level / error) if error else 1.0

    def _weight(self, flow: Flow) -> float:
        return self.weights.get(flow.label, DEFAULT_WEIGHT)


def fair_level(demands: list[Demand], capacity: float) -> float:
    """Return the rate for each unit of weight that divides `capacity`; infinite if every demand fits.

    A flow gets the level times its weight, or its demand where that is less: the max-min fair share.
    """
    remaining_capacity = capacity
    remaining_weight = sum(demand.weight for demand in demands)
    for demand in sorted(demands, key=lambda demand: demand.rate / demand.weight):
        if demand.rate / demand.weight * remaining_weight > remaining_capacity:
            return max(0.0, remaining_capacity / remaining_weight)
        remaining_capacity -= demand.rate
        remaining_weight -= demand.weight
    return inf
