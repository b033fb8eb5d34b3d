"""Simulated time: what is to happen, in the order of its time and then of its making."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

SECOND = 1_000_000_000


class ScheduledEvent:
    """One thing that is to happen; it can be called off."""

    __slots__ = ("act", "words")

    def __init__(self, act: Callable[..., None], words: tuple[Any, ...]) -> None:
        self.words = words
        self.act: Callable[..., None] | None = act

    def call_off(self) -> None:
        self.act = None


class Clock:
    """Nanoseconds from the start of the day."""

    def __init__(self) -> None:
        self.now = self.order = self.happened = 0
        self.ahead: list[tuple[int, int, ScheduledEvent]] = []

    def at(self, when: int, act: Callable[..., None], *words: Any) -> ScheduledEvent:
        self.order += 1
        happening = ScheduledEvent(act, words)
        heappush(self.ahead, (max(when, self.now), self.order, happening))
        return happening

    def after(self, wait: int, act: Callable[..., None], *words: Any) -> ScheduledEvent:
        return self.at(self.now + wait, act, *words)

    def run(self, until: int) -> None:
        """All that happens up to a time, that time included."""
        ahead = self.ahead
        while ahead and ahead[0][0] <= until:
            when, _, happening = heappop(ahead)
            if happening.act is not None:
                self.now = when
                self.happened += 1
                happening.act(*happening.words)
        self.now = until
