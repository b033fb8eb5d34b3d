"""The heaviest senders of late, in fixed memory: Space-Saving over a window that fades.

Source: A. Metwally, D. Agrawal, A. El Abbadi, "Efficient Computation of Frequent and Top-k Elements in Data
Streams", ICDT 2005, with weights, and with time by forward decay (G. Cormode, V. Shkapenyuk, D. Srivastava,
B. Xu, "Forward Decay", ICDE 2009).

Bound, for `most` places and all that was added, each weight halved with every `half` of its age: a sender's
`count` is its true sum or more, by no more than `count - error` says; `error` is never over total / most;
and no sender whose true sum is over total / most is missing. So `count - error` never accuses anybody of
more than it sent.
"""

from __future__ import annotations

import math
from heapq import heapify, heappush, heapreplace
from typing import Any

REBASE = 40.0  # halvings after which all counts are brought back to scale


class Flow:
    """One that has a place. Its sums are in the scale of their table: ask `HeavyHitters` for rates."""

    __slots__ = ("allowed", "count", "error", "free_at", "key", "label", "parent", "rest", "retries")

    def __init__(self, key: int, label: bytes, parent: Any) -> None:
        self.key, self.label, self.parent = key, label, parent
        self.count = self.error = self.retries = 0.0
        # What is made of it: what it may have a second, infinite where it may have all; when that lets it
        # have more; and the share that those within it keep who have no place of their own.
        self.allowed, self.free_at, self.rest = math.inf, 0, 1.0


class HeavyHitters:
    """Keys are whole numbers that nobody can choose: a keyed hash of whatever names a sender."""

    def __init__(self, most: int, half: int) -> None:
        """`half` in nanoseconds: the age at which what was sent counts half."""
        self.most, self.half = most, half
        self.senders: dict[int, Flow] = {}
        self.heap: list[tuple[float, int]] = []  # a count that is not over the sender's, and its key
        self.landmark, self.sum = 0, 0.0

    def add(
        self, now: int, key: int, weight: float, retry: bool = False, label: bytes = b"", parent: Any = None
    ) -> Flow:
        """Count what a sender sent; returns its place. `parent` is kept as it was when it got the place."""
        scaled = weight * self.scale(now)
        self.sum += scaled
        sender = self.senders.get(key)
        if sender is None:
            sender = Flow(key, label, parent)
            if len(self.senders) < self.most:
                heappush(self.heap, (scaled, key))
            else:
                least = self._least()
                del self.senders[least.key]
                sender.count = sender.error = least.count
                heapreplace(self.heap, (sender.count + scaled, key))
            self.senders[key] = sender
        sender.count += scaled
        if retry:
            sender.retries += scaled
        return sender

    def rate(self, now: int, sender: Flow) -> float:
        """At least what it sends a second, of late: never more than it did."""
        return (sender.count - sender.error) * self._a_second(now)

    def retry_rate(self, now: int, sender: Flow) -> float:
        """The part of it that was further tries."""
        return sender.retries * self._a_second(now)

    def total(self, now: int) -> float:
        """What all together send a second, of late; exact."""
        return self.sum * self._a_second(now)

    def error(self, now: int) -> float:
        """What a sender with no place may send a second, at the most: never over total / most, often less."""
        if len(self.senders) < self.most:
            return 0.0  # all have a place
        return self._least().count * self._a_second(now)

    def _a_second(self, now: int) -> float:
        return math.log(2) * 1e9 / self.half / self.scale(now)

    def scale(self, now: int) -> float:
        """What a weight of one counts by now."""
        exponent = (now - self.landmark) / self.half
        if exponent > REBASE:
            self._rebase(now, 2.0 ** -min(exponent, 1000.0))
            return 1.0
        return 2.0**exponent

    def _rebase(self, now: int, factor: float) -> None:
        self.landmark = now
        self.sum *= factor
        for sender in self.senders.values():
            sender.count *= factor
            sender.error *= factor
            sender.retries *= factor
        self.heap = [(sender.count, sender.key) for sender in self.senders.values()]
        heapify(self.heap)

    def _least(self) -> Flow:
        """The one with the least count. Counts only grow, so one that is behind in the heap goes back in."""
        while True:
            count, key = self.heap[0]
            sender = self.senders[key]
            if sender.count == count:
                return sender
            heapreplace(self.heap, (sender.count, key))
