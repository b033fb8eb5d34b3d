"""Which keeper an agent asks: the one that was named the leader, or else each in turn. Free of I/O."""

from __future__ import annotations

from collections.abc import Iterable, Sequence


class LeaderLocator:
    def __init__(self, keepers: Sequence[str], known: Iterable[str]) -> None:
        """`known`: hosts that there are; a name that is none of them is not gone by."""
        self.keepers, self.known = keepers, frozenset(known)
        self.name = keepers[0]
        self.turn = 0

    def told(self, keepers: Sequence[str]) -> None:
        """Who keeps the record by now."""
        self.keepers = [name for name in keepers if name in self.known] or self.keepers

    def elsewhere(self, leader: str) -> None:
        """The one that was asked does not lead, or did not answer; `leader` is whom it named, if any."""
        if leader in self.known and leader != self.name:
            self.name = leader
            return
        self.turn += 1
        self.name = self.keepers[self.turn % len(self.keepers)]
