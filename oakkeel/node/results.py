"""What is kept of exchanges so that their repeats can take their result, within a bound on memory."""

from __future__ import annotations

import time

from oakkeel.bounds import Bounds
from oakkeel.exchange import Event, LiveExchange
from oakkeel.interface import Outcome


class CachedResult:
    """One kept exchange: under way, or over with its outcome and result."""

    __slots__ = ("key", "until", "once", "outcome", "result", "ended", "followers")

    def __init__(self, key: tuple[int, bytes], until: int, once: bool) -> None:
        self.key, self.until, self.once = key, until, once
        self.outcome: Outcome | None = None
        self.result, self.ended = b"", 0
        self.followers: list[LiveExchange] = []

    def end(self, outcome: Outcome, result: bytes) -> None:
        """Its run is over, or it never comes: all that wait for it are told."""
        if self.outcome is None:
            self.outcome, self.result, self.ended = outcome, result, time.monotonic_ns()
            for ex in self.followers:
                ex.tell(Event.SHARED, outcome, result)
            self.followers.clear()


class ResultCache:
    """By endpoint group and key. A later exchange that is kept takes the place of an earlier one."""

    def __init__(self, bounds: Bounds, fresh: int) -> None:
        self.most, self.fresh = bounds.kept, fresh
        self.results: dict[tuple[int, bytes], CachedResult] = {}

    def find(self, ex: LiveExchange, now: int) -> bool:
        """Whether it repeats one that is kept: it reached the machine while that one lived."""
        kept = self.results.get(ex.key) if ex.key else None
        if kept is None or now - ex.backlog >= kept.until:
            return False
        if not kept.once and kept.outcome is not None and (
                kept.outcome is not Outcome.COMPLETED or now - kept.ended > self.fresh):
            return False
        ex.earlier = kept
        return True

    def share(self, ex: LiveExchange) -> None:
        kept = ex.earlier
        if kept.outcome is not None:
            ex.tell(Event.SHARED, kept.outcome, kept.result)
        else:
            kept.followers.append(ex)

    def full(self, now: int) -> bool:
        """No room for another key, not even in place of a read's or of one whose time is up."""
        if len(self.results) < self.most:
            return False
        self._sweep(now)
        for key, kept in self.results.items():
            if len(self.results) >= self.most and not kept.once:
                del self.results[key]
                break
        return len(self.results) >= self.most

    def remember(self, ex: LiveExchange, now: int, duration: int) -> None:
        if ex.key is None:
            return  # nothing that its repeats could be known by
        self.full(now)  # makes room
        ex.cached = self.results[ex.key] = CachedResult(ex.key, now + duration, ex.group.once)

    def forget(self, ex: LiveExchange) -> None:
        kept: CachedResult | None = ex.cached
        if kept is not None:
            if self.results.get(kept.key) is kept:
                del self.results[kept.key]
            kept.end(Outcome.ERROR, b"")

    def ended(self, ex: LiveExchange, outcome: Outcome, result: bytes) -> None:
        if ex.cached is not None:
            ex.cached.end(outcome, result)

    def _sweep(self, now: int) -> None:
        for key in [key for key, kept in self.results.items() if kept.until <= now]:
            del self.results[key]
