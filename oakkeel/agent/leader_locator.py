"""Selects the replica for an agent's requests: the known leader, or else each voter in turn. Free of I/O."""

from __future__ import annotations

from collections.abc import Iterable, Sequence


class LeaderLocator:
    """Selects the host whose replica receives the requests of an agent."""

    def __init__(self, voters: Sequence[str], hosts: Iterable[str]) -> None:
        """`hosts` are the hosts of the settings; a leader that is not among them is ignored."""
        self.voters = voters
        self.hosts = frozenset(hosts)
        self.current = voters[0]  # host that requests are sent to
        self.voter_index = 0

    def set_voters(self, voters: Sequence[str]) -> None:
        """Use the voters that the leader reports."""
        self.voters = [name for name in voters if name in self.hosts] or self.voters

    def redirect(self, leader: str) -> None:
        """Select the leader that the current host named, or the next voter if `leader` is empty.

        Called if the current host is not the leader, or did not respond.
        """
        if leader in self.hosts and leader != self.current:
            self.current = leader
            return
        self.voter_index += 1
        self.current = self.voters[self.voter_index % len(self.voters)]
