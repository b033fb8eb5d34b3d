"""Which keeper an agent asks: the one that was named the leader, or else each in turn. Free of I/O."""

from __future__ import annotations

from collections.abc import Iterable, Sequence


class LeaderLocator:
    """The voter that an agent sends its requests to."""

    def __init__(self, voters: Sequence[str], hosts: Iterable[str]) -> None:
        """`known`: hosts that there are; a name that is none of them is not gone by."""
        self.voters, self.hosts = voters, frozenset(hosts)
        self.current = voters[0]
        self.position = 0

    def set_voters(self, voters: Sequence[str]) -> None:
        """Who keeps the record by now."""
        self.voters = [name for name in voters if name in self.hosts] or self.voters

    def redirect(self, leader: str) -> None:
        """The one that was asked does not lead, or did not answer; `leader` is whom it named, if any."""
        if leader in self.hosts and leader != self.current:
            self.current = leader
            return
        self.position += 1
        self.current = self.voters[self.position % len(self.voters)]
