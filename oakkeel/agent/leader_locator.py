"""Which replica an agent sends requests to: the known leader, or else each voter in turn. Free of I/O."""

from __future__ import annotations

from collections.abc import Iterable, Sequence


class LeaderLocator:
    """The voter that an agent sends its requests to."""

    def __init__(self, voters: Sequence[str], hosts: Iterable[str]) -> None:
        """`hosts` are those of the settings; a leader that is none of them is ignored."""
        self.voters = voters
        self.hosts = frozenset(hosts)
        self.current = voters[0]
        self.position = 0

    def set_voters(self, voters: Sequence[str]) -> None:
        """Take the voters that the leader reports."""
        self.voters = [name for name in voters if name in self.hosts] or self.voters

    def redirect(self, leader: str) -> None:
        """Go to the leader that the current voter named, or to the next voter if it named none.

        Called if the current voter is not the leader, or did not respond.
        """
        if leader in self.hosts and leader != self.current:
            self.current = leader
            return
        self.position += 1
        self.current = self.voters[self.position % len(self.voters)]
