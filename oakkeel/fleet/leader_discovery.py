"""Finding the agent that leads the record: whom to ask next, and what came of it. Free of I/O.

Any agent may be asked first; one that does not lead names whom it takes for the leader. A name that was asked
in this round already is passed over, and after a round in which nobody led there is a pause.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

MS = 1_000_000


class SearchState(Enum):
    """`LeaderDiscovery._move` alone changes it."""

    ASKING = "asking"
    FOUND = "found"
    NOBODY = "nobody"  # the deadline came first


class LeaderDiscovery:
    def __init__(self, now: int, names: Iterable[str], deadline: int, pause: int = 100 * MS) -> None:
        """`names`: the likeliest first. Times in nanoseconds."""
        self.names, self.deadline, self.pause = list(names), now + deadline, pause
        self.state = SearchState.ASKING
        self.asked: set[str] = set()  # in this round
        self.next = self.names[0]
        self.not_before = now
        self.heard = 0  # agents that answered, whoever led
        self.why: dict[str, str] = {}

    def whom(self, now: int) -> str:
        """Whom to ask by now; empty: nobody, until `not_before` or for ever."""
        if self.state is SearchState.ASKING and now >= self.deadline:
            self._move(SearchState.NOBODY)
        if self.state is not SearchState.ASKING or now < self.not_before:
            return ""
        self.asked.add(self.next)
        return self.next

    def elsewhere(self, now: int, name: str, leader: str, why: str) -> None:
        """It does not lead, and names whom it takes for the leader, or nobody."""
        self.heard += 1
        self.why[name] = why
        self._turn(now, leader)

    def failed(self, now: int, name: str, why: str) -> None:
        self.why[name] = why
        self._turn(now, "")

    def found(self) -> None:
        self._move(SearchState.FOUND)

    def _turn(self, now: int, leader: str) -> None:
        left = [name for name in self.names if name not in self.asked]
        if leader in left:
            self.next = leader
        elif left:
            self.next = left[0]
        else:
            self.asked.clear()
            self.next, self.not_before = leader if leader in self.names else self.names[0], now + self.pause

    def _move(self, state: SearchState) -> None:
        if self.state is not SearchState.ASKING:
            raise RuntimeError(f"{self.state.value} to {state.value}")
        self.state = state
