"""Requests by state: the allowed transitions, the number in each state, and the memory in use."""

from __future__ import annotations

from heapq import heappop, heappush

from oakkeel.admission.types import NodeLimits, Request
from oakkeel.admission.types import RequestState as State
from oakkeel.errors import InvalidTransitionError

TRANSITIONS = {
    State.READ: {State.DELAYED, State.QUEUED, State.COALESCED, State.FINISHED},
    State.DELAYED: {State.QUEUED, State.FINISHED},
    State.QUEUED: {State.RUNNING, State.FINISHED},
    State.COALESCED: {State.FINISHED},
    State.RUNNING: {State.AWAITING_CALL, State.ORPHANED, State.FINISHED},
    State.AWAITING_CALL: {State.CALLING, State.RUNNING, State.RELEASING, State.FINISHED},
    State.CALLING: {State.AWAITING_CALL, State.RUNNING, State.RELEASING, State.FINISHED},
    State.ORPHANED: {State.RELEASING, State.FINISHED},
    State.RELEASING: {State.FINISHED},
    State.FINISHED: set(),
}
# Bound once for the request path: access to a member through its enumeration is slow in CPython 3.11.
DELAYED = State.DELAYED
QUEUED = State.QUEUED
RUNNING = State.RUNNING
AWAITING_CALL = State.AWAITING_CALL
CALLING = State.CALLING
ORPHANED = State.ORPHANED

STATES_WITHOUT_MEMORY = frozenset({State.READ, State.FINISHED})
STATES_WITH_QUEUED_MEMORY = frozenset({State.DELAYED, State.QUEUED, State.COALESCED})


class Occupancy:
    """Counts requests by state, with the memory that they and the retained keys take."""

    def __init__(self, limits: NodeLimits) -> None:
        """Start with no request and no key."""
        self.counts = [0] * len(State)  # number of requests, by state
        self.memory_kb = 0.0
        self.key_kb = limits.key_kb
        self.key_expiries: list[int] = []  # a heap of the times at which retained keys expire
        self.memory_factors = [self._memory_factor(state, limits) for state in State]

    @staticmethod
    def _memory_factor(state: State, limits: NodeLimits) -> float:
        """Return the memory of a request in this state divided by its memory when queued."""
        if state in STATES_WITHOUT_MEMORY:
            return 0
        return 1 if state in STATES_WITH_QUEUED_MEMORY else limits.running_memory_factor

    def move(self, now: int, request: Request, state: State) -> None:
        """Change the state of a request; no other code changes it."""
        old_state = request.state
        if state not in TRANSITIONS[old_state]:
            raise InvalidTransitionError("a request", old_state.name, state.name)
        if old_state is RUNNING:
            request.service_time += now - request.state_since
        self.counts[old_state] -= 1
        self.counts[state] += 1
        self.memory_kb += request.memory_kb * (self.memory_factors[state] - self.memory_factors[old_state])
        request.state = state
        request.state_since = now

    def retain_key(self, expires_at: int) -> None:
        """Count the memory of an idempotency key until it expires."""
        self.memory_kb += self.key_kb
        heappush(self.key_expiries, expires_at)

    def expire_keys(self, now: int) -> None:
        """Free the memory of the keys that have expired."""
        while self.key_expiries and self.key_expiries[0] <= now:
            heappop(self.key_expiries)
            self.memory_kb -= self.key_kb

    def waiting_count(self) -> int:
        """Count the requests that wait for a core."""
        return self.counts[DELAYED] + self.counts[QUEUED]

    def run_slots_in_use(self) -> int:
        """Count the requests that hold a run slot: those running or waiting for their call to be placed."""
        return self.counts[RUNNING] + self.counts[ORPHANED] + self.counts[AWAITING_CALL]

    def calls_in_flight(self) -> int:
        """Count the requests with a downstream call in flight."""
        return self.counts[CALLING]
