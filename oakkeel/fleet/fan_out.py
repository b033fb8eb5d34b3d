"""One request to many agents: whom to send it to, whom to try again, and when to stop. Free of I/O.

Every request may be sent twice: one that reads changes nothing, and an order carries an ID by which its agent
recognises it. Retries and hedged requests share one budget over all targets, so that agents that are slow
together are not sent twice as much for it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from random import Random

from oakkeel.backoff import with_jitter
from oakkeel.errors import InvalidTransitionError

DEFAULT_RETRY_SHARE = 0.2
DEFAULT_MIN_RETRIES = 3


class TargetState(Enum):
    """The state of the request to one agent; `FanOut._move` alone changes it."""

    SENT = "asked"
    RETRIED = "asked again"  # more than once, none has failed yet
    BACKING_OFF = "to be asked again"  # all that were sent have failed
    ANSWERED = "answered"
    REJECTED = "refused"  # the agent takes nothing from us: another try is of no use
    FAILED = "failed"  # no try left, or no budget for another
    TIMED_OUT = "did not answer"  # the deadline came first


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

    deadline: int  # for all of it
    hedge: int  # without an answer for so long, a second request is sent
    tries: int  # for each target
    retry_share: float = DEFAULT_RETRY_SHARE  # of the targets: requests beyond the first of each
    min_retries: int = DEFAULT_MIN_RETRIES  # allowed however few targets there are


@dataclass(slots=True, eq=False)
class Target:
    """The requests to one agent, by the name of its host."""

    name: str
    state: TargetState = TargetState.SENT
    sent: int = 0
    in_flight: int = 0  # tries that may still be answered
    retry_at: int = 0  # monotonic nanoseconds
    reason: str = ""


class FanOut:
    """Decides on one request to many agents.

    The caller sends the request to the names that `tick` returns, and reports what became of each.
    """

    def __init__(self, now: int, names: Iterable[str], policy: FanOutPolicy, seed: int) -> None:
        """Start a fan-out to these hosts; `now` is monotonic nanoseconds."""
        self.targets = {name: Target(name) for name in names}
        self.policy = policy
        self.deadline = now + policy.deadline
        self.max_tries = max(1, policy.tries)
        self.retries_left = max(policy.min_retries, int(policy.retry_share * len(self.targets)))
        self.random = Random(seed).random

    @property
    def finished(self) -> bool:
        """Whether every target has a final state."""
        return all(target.state in FINAL_STATES for target in self.targets.values())

    def tick(self, now: int) -> list[str]:
        """Return the hosts to send the request to now."""
        names = []
        for target in self.targets.values():
            if target.state in FINAL_STATES:
                continue
            if now >= self.deadline:
                self._move(target, TargetState.TIMED_OUT)
            elif not target.sent:
                names.append(self._send(now, target))
            elif now >= target.retry_at and target.sent < self.max_tries and self.retries_left:
                self.retries_left -= 1
                if target.state is not TargetState.RETRIED:
                    self._move(target, TargetState.RETRIED)
                names.append(self._send(now, target))
            elif target.state is TargetState.BACKING_OFF and not self.retries_left:
                self._move(target, TargetState.FAILED)
        return names

    def next_at(self) -> int:
        """Return when `tick` has something to do, should nothing happen before."""
        retries = [
            target.retry_at
            for target in self.targets.values()
            if target.state not in FINAL_STATES and target.sent < self.max_tries and self.retries_left
        ]
        return min([self.deadline, *retries])

    def answered(self, now: int, name: str) -> bool:
        """Take a response; return whether it is the first. One after the end is too late to count."""
        target = self.targets[name]
        target.in_flight -= 1
        if target.state in FINAL_STATES:
            return False
        self._move(target, TargetState.ANSWERED)
        return True

    def rejected(self, now: int, name: str, reason: str) -> None:
        """Take note that the agent accepts nothing from this client."""
        target = self.targets[name]
        target.in_flight -= 1
        if target.state not in FINAL_STATES:
            target.reason = reason
            self._move(target, TargetState.REJECTED)

    def failed(self, now: int, name: str, reason: str) -> None:
        """Take note that one try failed; others to the same agent may still be in flight."""
        target = self.targets[name]
        target.in_flight -= 1
        if target.state in FINAL_STATES:
            return
        target.reason = reason
        if target.in_flight:
            return
        if target.sent >= self.max_tries:
            self._move(target, TargetState.FAILED)
            return
        self._move(target, TargetState.BACKING_OFF)
        target.retry_at = now + with_jitter(self.policy.hedge, self.random())

    def _send(self, now: int, target: Target) -> str:
        target.sent += 1
        target.in_flight += 1
        target.retry_at = now + self.policy.hedge
        return target.name

    def _move(self, target: Target, state: TargetState) -> None:
        if state not in TRANSITIONS[target.state]:
            raise InvalidTransitionError(target.name, target.state.value, state.value)
        target.state = state
