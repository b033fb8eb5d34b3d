"""Decides when to send, retry, hedge and give up a request to many agents. Free of I/O.

Every request is idempotent: a read changes nothing, and an order has an ID by which its agent recognises it.
Retries and hedged requests share one budget over all targets, which limits the additional load on agents
that are slow at the same time. The budget of a fan-out to few targets is at least `min_retry_budget`.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from random import Random

from oakkeel.backoff import with_jitter
from oakkeel.errors import InvalidTransitionError

DEFAULT_RETRY_BUDGET_RATIO = 0.2
DEFAULT_MIN_RETRY_BUDGET = 3


class TargetState(Enum):
    """The state of the request to one agent, by its text in messages. Only `FanOut._move` changes it."""

    SENT = "sent"
    RETRIED = "sent again"  # a retry or a hedged request is in flight
    BACKING_OFF = "to be sent again"  # all attempts so far have failed
    ANSWERED = "answered"
    REJECTED = "refused"  # the agent does not accept this client: no retry can succeed; also in JSON output
    FAILED = "failed"  # no attempt is left, or no retry budget
    TIMED_OUT = "did not answer"  # no response before the deadline


TRANSITIONS = {
    TargetState.SENT: {
        TargetState.RETRIED,
        TargetState.BACKING_OFF,
        TargetState.ANSWERED,
        TargetState.REJECTED,
        TargetState.FAILED,
        TargetState.TIMED_OUT,
    },
    TargetState.RETRIED: {
        TargetState.BACKING_OFF,
        TargetState.ANSWERED,
        TargetState.REJECTED,
        TargetState.FAILED,
        TargetState.TIMED_OUT,
    },
    TargetState.BACKING_OFF: {TargetState.RETRIED, TargetState.FAILED, TargetState.TIMED_OUT},
    TargetState.ANSWERED: set(),
    TargetState.REJECTED: set(),
    TargetState.FAILED: set(),
    TargetState.TIMED_OUT: set(),
}
FINAL_STATES = {state for state, successors in TRANSITIONS.items() if not successors}


@dataclass(slots=True, frozen=True)
class FanOutPolicy:
    """Limits of one fan-out. Times in nanoseconds."""

    deadline: int  # after the start, for all targets
    hedge_delay: int  # without a response for this time, another attempt is sent, up to `max_attempts`
    max_attempts: int  # for each target
    retry_budget_ratio: float = DEFAULT_RETRY_BUDGET_RATIO  # of the number of targets
    min_retry_budget: int = DEFAULT_MIN_RETRY_BUDGET  # lower bound of the budget, for few targets


def retry_budget(targets: int, policy: FanOutPolicy) -> int:
    """Return the total number of retries and hedged requests that a fan-out may send.

    `targets` is the number of its targets. They share one budget: without it, agents that are slow at the
    same time would receive twice the requests.
    """
    return max(policy.min_retry_budget, int(policy.retry_budget_ratio * targets))


class Action(Enum):
    """The decision for one target."""

    WAIT = "wait"
    SEND = "send"
    RETRY = "retry"  # or send a hedged request
    TIME_OUT = "time out"
    GIVE_UP = "give up"


@dataclass(slots=True, eq=False)
class Target:
    """The attempts to send a request to one agent."""

    name: str  # of the host
    state: TargetState = TargetState.SENT
    sent_count: int = 0  # attempts so far
    in_flight_count: int = 0  # attempts that may still be answered
    retry_at: int = 0  # monotonic nanoseconds
    reason: str = ""  # of the last failure


class FanOut:
    """Decides on the attempts of one request to many agents.

    The caller sends the request to the hosts that `tick` returns, and records the outcome of each attempt.
    """

    def __init__(self, now: int, names: Iterable[str], policy: FanOutPolicy, seed: int) -> None:
        """Start a fan-out to these hosts; `now` is monotonic nanoseconds."""
        self.targets = {name: Target(name) for name in names}
        self.policy = policy
        self.deadline = now + policy.deadline
        self.max_attempts = max(1, policy.max_attempts)
        self.retries_left = retry_budget(len(self.targets), policy)
        self.random = Random(seed).random

    @property
    def is_finished(self) -> bool:
        """Whether every target has a final state."""
        return all(target.state in FINAL_STATES for target in self.targets.values())

    def tick(self, now: int) -> list[str]:
        """Return the hosts to which to send the request now."""
        names = []
        for target in self.targets.values():
            if target.state in FINAL_STATES:
                continue
            action = self._decide(now, target)
            if action is Action.TIME_OUT:
                self._move(target, TargetState.TIMED_OUT)
            elif action is Action.SEND:
                names.append(self._send(now, target))
            elif action is Action.RETRY:
                self.retries_left -= 1
                if target.state is not TargetState.RETRIED:
                    self._move(target, TargetState.RETRIED)
                names.append(self._send(now, target))
            elif action is Action.GIVE_UP:
                self._move(target, TargetState.FAILED)
        return names

    def _decide(self, now: int, target: Target) -> Action:
        """Return the decision for a target that has no final state; `now` is monotonic nanoseconds.

        A retry after a failure and a hedged request without a response follow one rule: `retry_at` has
        passed, and the target may be retried.
        """
        if now >= self.deadline:
            return Action.TIME_OUT
        if not target.sent_count:
            return Action.SEND
        if now >= target.retry_at and self._may_retry(target):
            return Action.RETRY
        if target.state is TargetState.BACKING_OFF and not self.retries_left:
            return Action.GIVE_UP
        return Action.WAIT

    def _may_retry(self, target: Target) -> bool:
        """Return whether neither the attempts of a target nor the retry budget are used up."""
        return target.sent_count < self.max_attempts and self.retries_left > 0

    def next_tick_at(self) -> int:
        """Return the time of the next `tick`, in monotonic nanoseconds, unless a response arrives earlier."""
        retries = [
            target.retry_at
            for target in self.targets.values()
            if target.state not in FINAL_STATES and self._may_retry(target)
        ]
        return min([self.deadline, *retries])

    def record_response(self, now: int, name: str) -> bool:
        """Record a response; return whether it counts: it is the first, and arrived before the deadline."""
        target = self.targets[name]
        target.in_flight_count -= 1
        if target.state in FINAL_STATES:
            return False
        self._move(target, TargetState.ANSWERED)
        return True

    def record_rejection(self, now: int, name: str, reason: str) -> None:
        """Record that the agent does not accept this client."""
        target = self.targets[name]
        target.in_flight_count -= 1
        if target.state not in FINAL_STATES:
            target.reason = reason
            self._move(target, TargetState.REJECTED)

    def record_failure(self, now: int, name: str, reason: str) -> None:
        """Record that one attempt failed; other attempts to the same agent may still be in flight."""
        target = self.targets[name]
        target.in_flight_count -= 1
        if target.state in FINAL_STATES:
            return
        target.reason = reason
        if target.in_flight_count:
            return
        if target.sent_count >= self.max_attempts:
            self._move(target, TargetState.FAILED)
            return
        self._move(target, TargetState.BACKING_OFF)
        target.retry_at = now + with_jitter(self.policy.hedge_delay, self.random())

    def _send(self, now: int, target: Target) -> str:
        target.sent_count += 1
        target.in_flight_count += 1
        target.retry_at = now + self.policy.hedge_delay
        return target.name

    def _move(self, target: Target, state: TargetState) -> None:
        if state not in TRANSITIONS[target.state]:
            raise InvalidTransitionError(target.name, target.state.value, state.value)
        target.state = state
