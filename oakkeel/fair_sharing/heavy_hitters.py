"""The heaviest recent flows, in fixed memory: the Space-Saving algorithm with exponential decay.

Source: A. Metwally, D. Agrawal, A. El Abbadi, "Efficient Computation of Frequent and Top-k Elements in Data
Streams", ICDT 2005, with weights, and with time by forward decay (G. Cormode, V. Shkapenyuk, D. Srivastava,
B. Xu, "Forward Decay", ICDE 2009).

Bounds: the true sum of a flow is the sum of its weights, each halved with every `half_life` of its age. The
`count` of a flow is at least its true sum and exceeds it by at most `count_error`. `count_error` is at most
total / max_flows, where total is the true sum of all flows. Every flow whose true sum exceeds
total / max_flows is in the table. It follows that `count - count_error` never exceeds the true sum of a flow.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from heapq import heapify, heappush, heapreplace

from oakkeel.units import SECOND

MAX_HALVINGS_PER_SCALE = 40.0  # a larger scale would cost the counts their precision
MAX_RESCALE_HALVINGS = 1000.0  # a larger power of two overflows a float


class Flow:
    """A flow in the table, with sums in the scale of the table: `HeavyHitters` converts them to rates."""

    __slots__ = (
        "allowed_rate",
        "count",
        "count_error",
        "key",
        "label",
        "parent",
        "retries",
        "theoretical_arrival_time",
        "unknown_share",
    )

    def __init__(self, key: int, label: bytes, parent: Flow | None) -> None:
        """Start with nothing counted and no limit; `parent` is the flow of the outer level."""
        self.key = key
        self.label = label
        self.parent = parent
        self.count = self.count_error = self.retries = 0.0  # `retries`: the part of the count that is retries
        # The following fields are set when capacity is allocated or used.
        self.allowed_rate = math.inf  # per second; infinite while the flow has no limit
        # In nanoseconds, as in the generic cell rate algorithm (GCRA): the time at which the work charged so
        # far is used up at the allowed rate. The flow exceeds its share if that time is more than a burst
        # ahead.
        self.theoretical_arrival_time = 0
        self.unknown_share = 1.0  # share of their work that inner flows outside the table may send

    @property
    def is_limited(self) -> bool:
        """Return whether the flow has a limit."""
        return self.allowed_rate < math.inf


@dataclass(frozen=True, slots=True)
class PastRates:
    """The rates of a flow `age` nanoseconds ago, in weight per second."""

    rate: float
    retry_rate: float
    age: int


class HeavyHitters:
    """The table of flows. Keys are keyed hashes of the names of flows, so that no client can choose them."""

    def __init__(self, max_flows: int, half_life: int) -> None:
        """Start empty; `half_life` is the age in nanoseconds at which a weight counts half."""
        self.max_flows = max_flows
        self.half_life = half_life
        self.flows: dict[int, Flow] = {}
        self.heap: list[tuple[float, int]] = []  # a lower bound of the flow's count, and its key
        self.landmark = 0  # the instant in nanoseconds at which the scale is one
        self.sum = 0.0  # of the weights of all flows, in the scale of the table

    def add(
        self,
        now: int,
        key: int,
        weight: float,
        is_retry: bool = False,
        label: bytes = b"",
        parent: Flow | None = None,
    ) -> Flow:
        """Add a weight to the count of its flow, and return the flow.

        A new flow in a full table replaces the lightest one and inherits its count as count error. `label`
        and `parent` are used only for a new flow.
        """
        scaled_weight = weight * self.scale(now)
        self.sum += scaled_weight
        flow = self.flows.get(key)
        if flow is None:
            flow = Flow(key, label, parent)
            if len(self.flows) < self.max_flows:
                heappush(self.heap, (scaled_weight, key))
            else:
                lightest = self._lightest()
                del self.flows[lightest.key]
                flow.count = flow.count_error = lightest.count
                heapreplace(self.heap, (flow.count + scaled_weight, key))
            self.flows[key] = flow
        flow.count += scaled_weight
        if is_retry:
            flow.retries += scaled_weight
        return flow

    def restore(self, now: int, key: int, past: PastRates, label: bytes, parent: Flow | None) -> Flow:
        """Add a flow by its rates at an earlier time, and return it."""
        weight_per_rate = 0.5 ** (past.age / self.half_life) * self.half_life / (math.log(2) * SECOND)
        flow = self.add(now, key, past.rate * weight_per_rate, False, label, parent)
        flow.retries = past.retry_rate * weight_per_rate * self.scale(now)
        return flow

    def rate(self, now: int, flow: Flow) -> float:
        """Return a lower bound of the flow's recent weight per second."""
        return (flow.count - flow.count_error) * self._rate_factor(now)

    def retry_rate(self, now: int, flow: Flow) -> float:
        """Return the recent weight per second of the retries of the flow."""
        return flow.retries * self._rate_factor(now)

    def total_rate(self, now: int) -> float:
        """Return the exact recent weight of all flows per second."""
        return self.sum * self._rate_factor(now)

    def error_rate(self, now: int) -> float:
        """Return the maximum rate of a flow outside the table, at most `total_rate` / max_flows."""
        if len(self.flows) < self.max_flows:
            return 0.0  # all flows are in the table
        return self._lightest().count * self._rate_factor(now)

    def _rate_factor(self, now: int) -> float:
        """Return the weight per second that corresponds to a scaled sum of one."""
        return math.log(2) * SECOND / self.half_life / self.scale(now)

    def scale(self, now: int) -> float:
        """Return the scaled count of a weight of one that is added at `now`."""
        exponent = (now - self.landmark) / self.half_life
        if exponent > MAX_HALVINGS_PER_SCALE:
            self._rescale(now, 2.0 ** -min(exponent, MAX_RESCALE_HALVINGS))
            return 1.0
        scale: float = 2.0**exponent
        return scale

    def _rescale(self, now: int, factor: float) -> None:
        """Multiply all sums by `factor`, so that a weight of one added at `now` counts one."""
        self.landmark = now
        self.sum *= factor
        for flow in self.flows.values():
            flow.count *= factor
            flow.count_error *= factor
            flow.retries *= factor
        self.heap = [(flow.count, flow.key) for flow in self.flows.values()]
        heapify(self.heap)

    def _lightest(self) -> Flow:
        """Return the flow with the minimum count.

        Counts only grow, so the heap is corrected lazily: an outdated entry at its top is replaced.
        """
        while True:
            count, key = self.heap[0]
            flow = self.flows[key]
            if flow.count == count:
                return flow
            heapreplace(self.heap, (flow.count, key))
