"""Senders at one or two levels, such as tenant and client within it, and weighted max-min shares among them.

Max-min: what there is is filled in evenly, by weight, and nobody gets more than it asks for (D. Bertsekas,
R. Gallager, "Data Networks", 1992, section 6.5.2). Senders with no place of their own count together as so
many of the most that one of them may send, so that they never get less than their share for want of a
place.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from math import inf

from oakkeel.fair_sharing.heavy_hitters import Flow, HeavyHitters


class MaxMinShares:
    """The tables of senders, the outermost level first."""

    def __init__(self, levels: int, places: int, half: int, weights: Mapping[bytes, float]) -> None:
        self.tables = [HeavyHitters(places, half) for _ in range(levels)]
        self.weights = weights
        self.unknown_share = 1.0  # the share that those keep who have no place at the outermost level

    def count(self, now: int, who: Sequence[tuple[int, bytes]], work: float, retry: bool) -> Flow:
        """Count work with its sender at each level; returns the innermost. `who` holds keys and labels."""
        flow: Flow | None = None
        for table, (key, label) in zip(self.tables, who, strict=True):
            flow = table.add(now, key, work, retry, label, flow)
        if flow is None:
            raise ValueError("an exchange of nobody")
        return flow

    def is_known(self, now: int, flow: Flow) -> bool:
        """Whether it certainly sends more than one without a place could."""
        table = self.tables[-1]
        return table.rate(now, flow) >= table.error_rate(now)

    def share_of_unknown(self, flow: Flow) -> float:
        """The share of what it sends that one not known keeps."""
        return flow.parent.unknown_share if flow.parent else self.unknown_share

    def allocate(self, now: int, whole: float) -> None:
        """Set what each sender may have of `whole` a second, at the outermost level and then within each."""
        outer = self.tables[0]
        self.unknown_share = self._share(now, outer, list(outer.flows.values()), outer.total_rate(now), whole)
        if len(self.tables) == 1:
            return
        within: dict[Flow, list[Flow]] = {flow: [] for flow in outer.flows.values()}
        for flow in self.tables[1].flows.values():
            within.setdefault(flow.parent, []).append(flow)
        for parent, flows in within.items():
            asked = outer.rate(now, parent)
            unknown = 1.0 if asked >= outer.error_rate(now) else self.unknown_share
            parent.unknown_share = self._share(
                now, self.tables[1], flows, asked, min(parent.allowed_rate, asked * unknown)
            )

    def _share(self, now: int, table: HeavyHitters, flows: list[Flow], asked: float, whole: float) -> float:
        """What each of them may have; returns the share that those not known keep."""
        for flow in flows:
            flow.allowed_rate = inf
        if asked <= whole * (1 + 1e-9):
            return 1.0
        error = table.error_rate(now)
        rates = {flow: rate for flow in flows if (rate := table.rate(now, flow)) >= error}
        rest = max(0.0, asked - sum(rates.values())) if error else 0.0
        rows = [(rate, self.weights.get(flow.label, 1.0)) for flow, rate in rates.items()]
        level = fill([*rows, *_lump(rest, error)], whole)
        for flow, rate in rates.items():
            share = level * self.weights.get(flow.label, 1.0)
            if rate > share:
                flow.allowed_rate = share
        return min(1.0, level / error) if error else 1.0


def _lump(rest: float, error: float) -> list[tuple[float, float]]:
    """Many small ones as one row: as if it had a weight of their number."""
    return [(rest, rest / error)] if rest > 0 else []


def fill(rows: list[tuple[float, float]], whole: float) -> float:
    """The level that shares `whole` out among rows of what is asked and a weight; infinite if all get all."""
    weight = sum(row[1] for row in rows)
    for asked, each in sorted(rows, key=lambda row: row[0] / row[1]):
        if asked / each * weight > whole:
            return max(0.0, whole / weight)
        whole, weight = whole - asked, weight - each
    return inf
