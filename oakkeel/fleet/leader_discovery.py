"""Searches for the agent that leads the control plane: chooses the next host to query. Free of I/O.

The search starts at any agent; an agent that is not the leader names the leader that it knows. Each host is
queried once in a round, and a round without a leader is followed by a delay.

`agent/leader_locator.py` has another rule on purpose: an agent sends all its heartbeats to one replica, and
changes the replica in rotation. The search here serves one request of a client, and ends at a deadline.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

from oakkeel.errors import InvalidTransitionError
from oakkeel.units import MS

DEFAULT_ROUND_DELAY_NS = 100 * MS  # time for an election to complete


class SearchState(Enum):
    """The state of a search. Only `LeaderDiscovery._move` changes it."""

    SEARCHING = "searching"
    FOUND = "found"
    TIMED_OUT = "timed out"


class LeaderDiscovery:
    """One search for the leader among hosts."""

    def __init__(
        self, now: int, names: Iterable[str], deadline: int, round_delay: int = DEFAULT_ROUND_DELAY_NS
    ) -> None:
        """Start a search; `names` has the likeliest leaders first. `deadline` counts from `now`.

        All times are in nanoseconds.
        """
        self.names = list(names)
        self.deadline = now + deadline
        self.round_delay = round_delay
        self.state = SearchState.SEARCHING
        self.queried_this_round: set[str] = set()
        self.next_candidate = self.names[0]
        self.next_query_at = now
        self.reasons: dict[str, str] = {}  # by host: the failure, or the reason why it does not lead

    def next_host(self, now: int) -> str:
        """Return the host to query now; empty before `next_query_at` and after the end of the search."""
        if self.state is SearchState.SEARCHING and now >= self.deadline:
            self._move(SearchState.TIMED_OUT)
        if self.state is not SearchState.SEARCHING or now < self.next_query_at:
            return ""
        self.queried_this_round.add(self.next_candidate)
        return self.next_candidate

    def record_not_leader(self, now: int, name: str, leader: str, reason: str) -> None:
        """Record a response of an agent that does not lead; `leader` is the host that it names, if any."""
        self.reasons[name] = reason
        self._choose_next(now, leader)

    def record_failure(self, now: int, name: str, reason: str) -> None:
        """Record that an agent did not answer."""
        self.reasons[name] = reason
        self._choose_next(now, "")

    def record_leader(self) -> None:
        """Record that the host queried last is the leader."""
        self._move(SearchState.FOUND)

    def _choose_next(self, now: int, leader: str) -> None:
        """Choose the named leader, else the next host in order, of the hosts not queried in this round."""
        candidates = [name for name in self.names if name not in self.queried_this_round]
        if leader in candidates:
            self.next_candidate = leader
        elif candidates:
            self.next_candidate = candidates[0]
        else:
            self.queried_this_round.clear()
            self.next_candidate = leader if leader in self.names else self.names[0]
            self.next_query_at = now + self.round_delay

    def _move(self, state: SearchState) -> None:
        if self.state is not SearchState.SEARCHING:
            raise InvalidTransitionError("the search for the leader", self.state.value, state.value)
        self.state = state
