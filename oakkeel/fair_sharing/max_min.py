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
        self.rest = 1.0  # the share that those keep who have no place at the outermost level

    def count(self, now: int, who: Sequence[tuple[int, bytes]], work: float, retry: bool) -> Flow:
        """Count work with its sender at each level; returns the innermost. `who` holds keys and labels."""
        sender: Flow | None = None
        for table, (key, label) in zip(self.tables, who, strict=True):
            sender = table.add(now, key, work, retry, label, sender)
        if sender is None:
            raise ValueError("an exchange of nobody")
        return sender

    def known(self, now: int, sender: Flow) -> bool:
        """Whether it certainly sends more than one without a place could."""
        table = self.tables[-1]
        return table.rate(now, sender) >= table.error(now)

    def kept_of_rest(self, sender: Flow) -> float:
        """The share of what it sends that one not known keeps."""
        return sender.parent.rest if sender.parent else self.rest

    def share_out(self, now: int, whole: float) -> None:
        """Set what each sender may have of `whole` a second, at the outermost level and then within each."""
        outer = self.tables[0]
        self.rest = self._share(now, outer, list(outer.senders.values()), outer.total(now), whole)
        if len(self.tables) == 1:
            return
        within: dict[Flow, list[Flow]] = {sender: [] for sender in outer.senders.values()}
        for sender in self.tables[1].senders.values():
            within.setdefault(sender.parent, []).append(sender)
        for parent, senders in within.items():
            asked = outer.rate(now, parent)
            unknown = 1.0 if asked >= outer.error(now) else self.rest
            parent.rest = self._share(
                now, self.tables[1], senders, asked, min(parent.allowed, asked * unknown)
            )

    def _share(self, now: int, table: HeavyHitters, senders: list[Flow], asked: float, whole: float) -> float:
        """What each of them may have; returns the share that those not known keep."""
        for sender in senders:
            sender.allowed = inf
        if asked <= whole * (1 + 1e-9):
            return 1.0
        error = table.error(now)
        rates = {sender: rate for sender in senders if (rate := table.rate(now, sender)) >= error}
        rest = max(0.0, asked - sum(rates.values())) if error else 0.0
        rows = [(rate, self.weights.get(sender.label, 1.0)) for sender, rate in rates.items()]
        level = fill([*rows, *_lump(rest, error)], whole)
        for sender, rate in rates.items():
            share = level * self.weights.get(sender.label, 1.0)
            if rate > share:
                sender.allowed = share
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
