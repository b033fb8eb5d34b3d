"""Finding the agent that leads the control plane: whom to ask next, and what came of it. Free of I/O.

Any agent may be asked first; one that does not lead names whom it takes for the leader. A host that was asked
in this round already is passed over, and after a round without a leader there is a pause.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum

from oakkeel.errors import InvalidTransitionError
from oakkeel.units import MS

DEFAULT_PAUSE = 100 * MS


class SearchState(Enum):
    """The state of a search; `LeaderDiscovery._move` alone changes it."""

    SEARCHING = "asking"
    FOUND = "found"
    TIMED_OUT = "nobody"  # the deadline came first


class LeaderDiscovery:
    """One search for the leader, over hosts in the order in which they are likely to lead."""

    def __init__(self, now: int, names: Iterable[str], deadline: int, pause: int = DEFAULT_PAUSE) -> None:
        """Start a search among hosts, the likeliest first. Times in nanoseconds."""
        self.names = list(names)
        self.deadline = now + deadline
        self.pause = pause
        self.state = SearchState.SEARCHING
        self.asked_this_round: set[str] = set()
        self.next = self.names[0]
        self.not_before = now
        self.responses = 0  # agents that answered, whoever led
        self.reasons: dict[str, str] = {}  # by host: why it was not the leader

    def next_host(self, now: int) -> str:
        """Return the host to ask now; empty for none, until `not_before` or for good."""
        if self.state is SearchState.SEARCHING and now >= self.deadline:
            self._move(SearchState.TIMED_OUT)
        if self.state is not SearchState.SEARCHING or now < self.not_before:
            return ""
        self.asked_this_round.add(self.next)
        return self.next

    def not_leader(self, now: int, name: str, leader: str, reason: str) -> None:
        """Take the response of an agent that does not lead, and names the leader that it knows or none."""
        self.responses += 1
        self.reasons[name] = reason
        self._choose_next(now, leader)

    def failed(self, now: int, name: str, reason: str) -> None:
        """Take note that an agent did not answer."""
        self.reasons[name] = reason
        self._choose_next(now, "")

    def found(self) -> None:
        """Take note that the host that was asked last leads."""
        self._move(SearchState.FOUND)

    def _choose_next(self, now: int, leader: str) -> None:
        candidates = [name for name in self.names if name not in self.asked_this_round]
        if leader in candidates:
            self.next = leader
        elif candidates:
            self.next = candidates[0]
        else:
            self.asked_this_round.clear()
            self.next = leader if leader in self.names else self.names[0]
            self.not_before = now + self.pause

    def _move(self, state: SearchState) -> None:
        if self.state is not SearchState.SEARCHING:
            raise InvalidTransitionError("the search for the leader", self.state.value, state.value)
        self.state = state
