"""Flows at one or two levels, such as tenant and client within it, and weighted max-min shares among them.

Max-min: what there is is filled in evenly, by weight, and nobody gets more than it asks for (D. Bertsekas,
R. Gallager, "Data Networks", 1992, section 6.5.2). Flows outside the table count together as so many of the
most that one of them may send, so that they never get less than their share for want of a place.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from math import inf

from oakkeel.fair_sharing.heavy_hitters import Flow, HeavyHitters


class MaxMinShares:
    """The tables of flows, the outermost level first."""

    def __init__(self, levels: int, max_flows: int, half_life: int, weights: Mapping[bytes, float]) -> None:
        """Start with no flow; `weights` by label, and may change later."""
        self.tables = [HeavyHitters(max_flows, half_life) for _ in range(levels)]
        self.weights = weights
        self.unknown_share = 1.0  # kept by flows outside the table of the outermost level

    def count(self, now: int, flow_keys: Sequence[tuple[int, bytes]], work: float, retry: bool) -> Flow:
        """Count work with its flow at each level, and return the innermost; a key and a label for each."""
        flow: Flow | None = None
        for table, (key, label) in zip(self.tables, flow_keys, strict=True):
            flow = table.add(now, key, work, retry, label, flow)
        if flow is None:
            raise ValueError("a request of no flow")
        return flow

    def is_known(self, now: int, flow: Flow) -> bool:
        """Tell whether it certainly sends more than a flow outside the table could."""
        table = self.tables[-1]
        return table.rate(now, flow) >= table.error_rate(now)

    def share_of_unknown(self, flow: Flow) -> float:
        """Return the share of what it sends that an unknown flow keeps."""
        return flow.parent.unknown_share if flow.parent else self.unknown_share

    def allocate(self, now: int, capacity: float) -> None:
        """Set what each flow may have of `capacity` a second, at the outermost level and then within each."""
        outer = self.tables[0]
        self.unknown_share = self._allocate_table(
            now, outer, list(outer.flows.values()), outer.total_rate(now), capacity
        )
        if len(self.tables) == 1:
            return
        within: dict[Flow, list[Flow]] = {flow: [] for flow in outer.flows.values()}
        for flow in self.tables[1].flows.values():
            within.setdefault(flow.parent, []).append(flow)
        for parent, flows in within.items():
            asked = outer.rate(now, parent)
            unknown = 1.0 if asked >= outer.error_rate(now) else self.unknown_share
            parent.unknown_share = self._allocate_table(
                now, self.tables[1], flows, asked, min(parent.allowed_rate, asked * unknown)
            )

    def _allocate_table(
        self, now: int, table: HeavyHitters, flows: list[Flow], asked: float, capacity: float
    ) -> float:
        """Set what each of them may have; return the share that unknown flows keep."""
        for flow in flows:
            flow.allowed_rate = inf
        if asked <= capacity * (1 + 1e-9):
            return 1.0
        error = table.error_rate(now)
        rates = {flow: rate for flow in flows if (rate := table.rate(now, flow)) >= error}
        rest = max(0.0, asked - sum(rates.values())) if error else 0.0
        rows = [(rate, self.weights.get(flow.label, 1.0)) for flow, rate in rates.items()]
        level = fill([*rows, *_lump(rest, error)], capacity)
        for flow, rate in rates.items():
            share = level * self.weights.get(flow.label, 1.0)
            if rate > share:
                flow.allowed_rate = share
        return min(1.0, level / error) if error else 1.0


def _lump(rest: float, error: float) -> list[tuple[float, float]]:
    """Return many small flows as one row, with a weight of their number."""
    return [(rest, rest / error)] if rest > 0 else []


def fill(rows: list[tuple[float, float]], capacity: float) -> float:
    """Return the level that shares the capacity among rows of demand and weight; infinite if all get all."""
    weight = sum(row[1] for row in rows)
    for asked, row_weight in sorted(rows, key=lambda row: row[0] / row[1]):
        if asked / row_weight * weight > capacity:
            return max(0.0, capacity / weight)
        capacity, weight = capacity - asked, weight - row_weight
    return inf
