"""The heaviest flows of late, in fixed memory: Space-Saving over a window that fades.

Source: A. Metwally, D. Agrawal, A. El Abbadi, "Efficient Computation of Frequent and Top-k Elements in Data
Streams", ICDT 2005, with weights, and with time by forward decay (G. Cormode, V. Shkapenyuk, D. Srivastava,
B. Xu, "Forward Decay", ICDE 2009).

Bound, for `max_flows` and all that was added, each weight halved with every `half_life` of its age: the
`count` of a flow is its true sum or more, by no more than `error`, which is never over total / max_flows; and
no flow whose true sum is over total / max_flows is missing. So `count - error` never accuses anybody of more
than it sent.
"""

from __future__ import annotations

import math
from heapq import heapify, heappush, heapreplace
from typing import Any

REBASE = 40.0  # halvings after which all counts are brought back to scale


class Flow:
    """A flow in the table. Its sums are in the scale of the table: ask `HeavyHitters` for rates."""

    __slots__ = (
        "allowed_rate",
        "count",
        "error",
        "free_at",
        "key",
        "label",
        "parent",
        "retries",
        "unknown_share",
    )

    def __init__(self, key: int, label: bytes, parent: Any) -> None:
        """Start with nothing counted and no limit."""
        self.key, self.label, self.parent = key, label, parent
        self.count = self.error = self.retries = 0.0
        # Set by the shares: what it may have a second, infinite where it may have all; when that lets it have
        # more; and the share that flows within it keep which are not in the table.
        self.allowed_rate, self.free_at, self.unknown_share = math.inf, 0, 1.0


class HeavyHitters:
    """The table. Keys are whole numbers that nobody can choose: a keyed hash of whatever names a flow."""

    def __init__(self, max_flows: int, half_life: int) -> None:
        """Take `half_life` in nanoseconds: the age at which what was sent counts half."""
        self.max_flows, self.half_life = max_flows, half_life
        self.flows: dict[int, Flow] = {}
        self.heap: list[tuple[float, int]] = []  # a count that is not over the flow's, and its key
        self.landmark, self.sum = 0, 0.0

    def add(
        self, now: int, key: int, weight: float, retry: bool = False, label: bytes = b"", parent: Any = None
    ) -> Flow:
        """Count what a flow sent, and return it; `parent` stays as it was when it entered the table."""
        scaled = weight * self.scale(now)
        self.sum += scaled
        flow = self.flows.get(key)
        if flow is None:
            flow = Flow(key, label, parent)
            if len(self.flows) < self.max_flows:
                heappush(self.heap, (scaled, key))
            else:
                least = self._lightest()
                del self.flows[least.key]
                flow.count = flow.error = least.count
                heapreplace(self.heap, (flow.count + scaled, key))
            self.flows[key] = flow
        flow.count += scaled
        if retry:
            flow.retries += scaled
        return flow

    def rate(self, now: int, flow: Flow) -> float:
        """Return at least what it sends a second, of late: never more than it did."""
        return (flow.count - flow.error) * self._rate_factor(now)

    def retry_rate(self, now: int, flow: Flow) -> float:
        """Return the part of it that was retries."""
        return flow.retries * self._rate_factor(now)

    def total_rate(self, now: int) -> float:
        """Return what all together send a second, of late; exact."""
        return self.sum * self._rate_factor(now)

    def error_rate(self, now: int) -> float:
        """Return what a flow outside the table sends a second at the most: never over total / max_flows."""
        if len(self.flows) < self.max_flows:
            return 0.0  # all are in the table
        return self._lightest().count * self._rate_factor(now)

    def _rate_factor(self, now: int) -> float:
        return math.log(2) * 1e9 / self.half_life / self.scale(now)

    def scale(self, now: int) -> float:
        """Return what a weight of one counts by now."""
        exponent = (now - self.landmark) / self.half_life
        if exponent > REBASE:
            self._rebase(now, 2.0 ** -min(exponent, 1000.0))
            return 1.0
        scale: float = 2.0**exponent
        return scale

    def _rebase(self, now: int, factor: float) -> None:
        self.landmark = now
        self.sum *= factor
        for flow in self.flows.values():
            flow.count *= factor
            flow.error *= factor
            flow.retries *= factor
        self.heap = [(flow.count, flow.key) for flow in self.flows.values()]
        heapify(self.heap)

    def _lightest(self) -> Flow:
        """Return the flow with the least count. Counts only grow: one behind in the heap goes back in."""
        while True:
            count, key = self.heap[0]
            flow = self.flows[key]
            if flow.count == count:
                return flow
            heapreplace(self.heap, (flow.count, key))
