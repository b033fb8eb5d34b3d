"""The heaviest flows of recent time, in fixed memory: Space-Saving over a window with exponential decay.

Source: A. Metwally, D. Agrawal, A. El Abbadi, "Efficient Computation of Frequent and Top-k Elements in Data
Streams", ICDT 2005, with weights, and with time by forward decay (G. Cormode, V. Shkapenyuk, D. Srivastava,
B. Xu, "Forward Decay", ICDE 2009).

Bound, for `max_flows` and all that was added, each weight halved with every `half_life` of its age: the
`count` of a flow is its true sum or more, by no more than `error`, which is never over total / max_flows;
and no flow whose true sum is over total / max_flows is missing. So `count - error` never exceeds what a flow
sent.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from heapq import heapify, heappush, heapreplace

from oakkeel.units import SECOND

MAX_HALVINGS_PER_SCALE = 40.0  # a scale that grows further would lose the precision of the counts
MAX_RESCALE_HALVINGS = 1000.0  # two to the power of more is no float


class Flow:
    """A flow in the table. Its sums are in the scale of the table: `HeavyHitters` converts them to rates."""

    __slots__ = (
        "allowed_rate",
        "count",
        "error",
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
        self.count = self.error = self.retries = 0.0
        # Set when capacity is allocated.
        self.allowed_rate = math.inf  # per second; infinite while the flow has no limit
        # Theoretical arrival time of GCRA, in nanoseconds: when the work charged so far is used up at the
        # allowed rate. A flow whose time is more than a burst ahead is over its share.
        self.theoretical_arrival_time = 0
        self.unknown_share = 1.0  # part of their work that inner flows outside the table may send

    @property
    def is_limited(self) -> bool:
        """Return whether the flow has a limit."""
        return self.allowed_rate < math.inf


@dataclass(frozen=True, slots=True)
class PastRates:
    """The rates of a flow some time ago, in weight per second; `age` in nanoseconds."""

    rate: float
    retry_rate: float
    age: int


class HeavyHitters:
    """The table. Keys are whole numbers that no client can choose: a keyed hash of what names a flow."""

    def __init__(self, max_flows: int, half_life: int) -> None:
        """Start empty; `half_life` is the age in nanoseconds at which a weight counts half."""
        self.max_flows = max_flows
        self.half_life = half_life
        self.flows: dict[int, Flow] = {}
        self.heap: list[tuple[float, int]] = []  # a lower bound of the flow's count, and its key
        self.landmark = 0  # nanoseconds; the instant at which the scale is one
        self.sum = 0.0

    def add(
        self,
        now: int,
        key: int,
        weight: float,
        retry: bool = False,
        label: bytes = b"",
        parent: Flow | None = None,
    ) -> Flow:
        """Count a weight with its flow, and return the flow.

        A new flow in a full table replaces the lightest one and inherits its count as error. `label` and
        `parent` are those of the flow's first weight.
        """
        scaled = weight * self.scale(now)
        self.sum += scaled
        flow = self.flows.get(key)
        if flow is None:
            flow = Flow(key, label, parent)
            if len(self.flows) < self.max_flows:
                heappush(self.heap, (scaled, key))
            else:
                lightest = self._lightest()
                del self.flows[lightest.key]
                flow.count = flow.error = lightest.count
                heapreplace(self.heap, (flow.count + scaled, key))
            self.flows[key] = flow
        flow.count += scaled
        if retry:
            flow.retries += scaled
        return flow

    def restore(self, now: int, key: int, past: PastRates, label: bytes, parent: Flow | None) -> Flow:
        """Add a flow by its rates at an earlier time, and return it."""
        weight_per_rate = 0.5 ** (past.age / self.half_life) * self.half_life / (math.log(2) * SECOND)
        flow = self.add(now, key, past.rate * weight_per_rate, False, label, parent)
        flow.retries = past.retry_rate * weight_per_rate * self.scale(now)
        return flow

    def rate(self, now: int, flow: Flow) -> float:
        """Return a lower bound of the flow's recent weight per second."""
        return (flow.count - flow.error) * self._rate_factor(now)

    def retry_rate(self, now: int, flow: Flow) -> float:
        """Return the part of the flow's rate that was retries."""
        return flow.retries * self._rate_factor(now)

    def total_rate(self, now: int) -> float:
        """Return the recent weight of all flows per second; exact."""
        return self.sum * self._rate_factor(now)

    def error_rate(self, now: int) -> float:
        """Return the maximum rate of a flow outside the table: never over total / max_flows."""
        if len(self.flows) < self.max_flows:
            return 0.0  # all are in the table
        return self._lightest().count * self._rate_factor(now)

    def _rate_factor(self, now: int) -> float:
        """Return the weight per second that a scaled sum of one stands for."""
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
        """Multiply all sums by `factor`, so that a weight added at `now` counts one."""
        self.landmark = now
        self.sum *= factor
        for flow in self.flows.values():
            flow.count *= factor
            flow.error *= factor
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
