"""Whom to ask, whom to ask once more and when to stop, where many are asked the same thing. Free of I/O.

All that is asked may be asked twice: a question changes nothing, and an order carries an id by which its
agent knows it again. What is asked beyond once each is bounded by a budget over all, so that agents that
are slow together are not asked twice as much for it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from random import Random

MS = 1_000_000


class TargetState(Enum):
    """Where one agent is; `Asking._move` alone moves it on."""

    ASKED = "asked"
    AGAIN = "asked again"  # more than once, none has failed yet
    PAUSED = "to be asked again"  # all that were sent have failed
    ANSWERED = "answered"
    REFUSED = "refused"  # it answered that it takes nothing from us: asking again is of no use
    FAILED = "failed"  # none of the tries left, or no budget for another
    LATE = "did not answer"  # the deadline came first


TRANSITIONS = {
    TargetState.ASKED: {
        TargetState.AGAIN,
        TargetState.PAUSED,
        TargetState.ANSWERED,
        TargetState.REFUSED,
        TargetState.FAILED,
        TargetState.LATE,
    },
    TargetState.AGAIN: {
        TargetState.PAUSED,
        TargetState.ANSWERED,
        TargetState.REFUSED,
        TargetState.FAILED,
        TargetState.LATE,
    },
    TargetState.PAUSED: {TargetState.AGAIN, TargetState.FAILED, TargetState.LATE},
    TargetState.ANSWERED: set(),
    TargetState.REFUSED: set(),
    TargetState.FAILED: set(),
    TargetState.LATE: set(),
}
FINAL_STATES = {state for state, then in TRANSITIONS.items() if not then}


@dataclass(slots=True, eq=False)
class Target:
    """One agent, by its host's name."""

    name: str
    state: TargetState = TargetState.ASKED
    sent: int = 0
    open: int = 0  # tries that may still be answered
    sent_at: int = 0
    again_at: int = 0  # when it may be asked once more
    why: str = ""


class FanOut:
    """One question to many. The caller sends what `tick` names, and tells what came of each."""

    def __init__(
        self,
        now: int,
        names: Iterable[str],
        deadline: int,
        hedge: int,
        tries: int,
        seed: int,
        budget: float = 0.2,
        budget_least: int = 3,
    ) -> None:
        """`deadline` and `hedge` are nanoseconds; `budget` is the share of agents asked once more."""
        self.targets = {name: Target(name) for name in names}
        self.deadline, self.hedge, self.tries = now + deadline, hedge, max(1, tries)
        self.extra = max(budget_least, int(budget * len(self.targets)))  # sends left beyond the first of each
        self.chance = Random(seed).random

    @property
    def over(self) -> bool:
        return all(target.state in FINAL_STATES for target in self.targets.values())

    def tick(self, now: int) -> list[str]:
        """The names to send the question to by now."""
        names = []
        for target in self.targets.values():
            if target.state in FINAL_STATES:
                continue
            if now >= self.deadline:
                self._move(target, TargetState.LATE)
            elif not target.sent:
                names.append(self._send(now, target))
            elif now >= target.again_at and target.sent < self.tries and self.extra:
                self.extra -= 1
                if target.state is not TargetState.AGAIN:
                    self._move(target, TargetState.AGAIN)
                names.append(self._send(now, target))
            elif target.state is TargetState.PAUSED and not self.extra:
                self._move(target, TargetState.FAILED)
        return names

    def next_at(self) -> int:
        """When `tick` has something to do, should nothing happen before."""
        at = [
            target.again_at
            for target in self.targets.values()
            if target.state not in FINAL_STATES and target.sent < self.tries and self.extra
        ]
        return min([self.deadline, *at])

    def answered(self, now: int, name: str) -> bool:
        """An answer came: whether it is the first. One after the end is too late to be believed."""
        target = self.targets[name]
        target.open -= 1
        if target.state in FINAL_STATES:
            return False
        self._move(target, TargetState.ANSWERED)
        return True

    def refused(self, now: int, name: str, why: str) -> None:
        target = self.targets[name]
        target.open -= 1
        if target.state not in FINAL_STATES:
            target.why = why
            self._move(target, TargetState.REFUSED)

    def failed(self, now: int, name: str, why: str) -> None:
        """One try came to nothing; others of the same agent may still be on their way."""
        target = self.targets[name]
        target.open -= 1
        if target.state in FINAL_STATES:
            return None
        target.why = why
        if target.open:
            return None
        if target.sent >= self.tries:
            return self._move(target, TargetState.FAILED)
        self._move(target, TargetState.PAUSED)
        target.again_at = now + int(self.hedge * (0.5 + self.chance()))

    def _send(self, now: int, target: Target) -> str:
        target.sent += 1
        target.open += 1
        target.sent_at = now
        target.again_at = now + self.hedge
        return target.name

    def _move(self, target: Target, state: TargetState) -> None:
        if state not in TRANSITIONS[target.state]:
            raise RuntimeError(f"{target.name}: {target.state.value} to {state.value}")
        target.state = state
