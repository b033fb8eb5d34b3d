"""The search for the agent that leads the control plane: which host to request next. Free of I/O.

The search starts at any agent; one that is not the leader names the leader that it knows. Each host is
requested once in a round, and after a round without a leader there is a delay.

`agent/leader_locator.py` has another rule on purpose: an agent keeps one replica for all its heartbeats, and
changes it in rotation. This search serves one request of a client, has rounds and a deadline, and ends.
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
    """One search for the leader, over hosts in the order in which they are likely to lead."""

    def __init__(
        self, now: int, names: Iterable[str], deadline: int, round_delay: int = DEFAULT_ROUND_DELAY_NS
    ) -> None:
        """Start a search among hosts, the likeliest first; `deadline` after `now`. Times in nanoseconds."""
        self.names = list(names)
        self.deadline = now + deadline
        self.round_delay = round_delay
        self.state = SearchState.SEARCHING
        self.requested_this_round: set[str] = set()
        self.next = self.names[0]
        self.not_before = now
        self.reasons: dict[str, str] = {}  # by host: why it was not the leader

    def next_host(self, now: int) -> str:
        """Return the host to request now; empty before `not_before`, and after the end of the search."""
        if self.state is SearchState.SEARCHING and now >= self.deadline:
            self._move(SearchState.TIMED_OUT)
        if self.state is not SearchState.SEARCHING or now < self.not_before:
            return ""
        self.requested_this_round.add(self.next)
        return self.next

    def not_leader(self, now: int, name: str, leader: str, reason: str) -> None:
        """Record a response of an agent that does not lead; `leader` is the one that it knows, or empty."""
        self.reasons[name] = reason
        self._choose_next(now, leader)

    def failed(self, now: int, name: str, reason: str) -> None:
        """Record that an agent did not answer."""
        self.reasons[name] = reason
        self._choose_next(now, "")

    def found(self) -> None:
        """Record that the last requested host leads."""
        self._move(SearchState.FOUND)

    def _choose_next(self, now: int, leader: str) -> None:
        """Choose the named leader, or the next host in order, that was not requested in this round."""
        candidates = [name for name in self.names if name not in self.requested_this_round]
        if leader in candidates:
            self.next = leader
        elif candidates:
            self.next = candidates[0]
        else:
            self.requested_this_round.clear()
            self.next = leader if leader in self.names else self.names[0]
            self.not_before = now + self.round_delay

    def _move(self, state: SearchState) -> None:
        if self.state is not SearchState.SEARCHING:
            raise InvalidTransitionError("the search for the leader", self.state.value, state.value)
        self.state = state
