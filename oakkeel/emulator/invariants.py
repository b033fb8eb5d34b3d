"""Whether the four rules hold, by what is seen from outside. Shares no code with the node or its decisions.

It is told what callers sent and got, and what machines did, and knows nothing of why.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

SLACK = 50_000_000  # nanoseconds that an answer may come after its due time


@dataclass(slots=True)
class Attempt:
    """One try of one exchange."""

    sent: int
    due: int
    once: bool  # it may not take effect twice
    work: str  # names what it would do; a further try of it has the same name
    node: str
    answers: list[tuple[int, str]] = field(default_factory=list)
    runs: int = 0
    excused: bool = False  # its caller was gone, or its node died under it


class RuleAudit:
    def __init__(self, most_breaches: int = 1000) -> None:
        self.tries: dict[int, Attempt] = {}
        self.effects: Counter[str] = Counter()  # runs that were finished, by the work they did
        self.breaches: list[str] = []
        self.most = most_breaches
        self.leaves: dict[str, int] = {}  # by node: when its grace was over

    def sent(self, ident: int, now: int, due: int, once: bool, work: str, node: str) -> None:
        self.tries[ident] = Attempt(now, due, once, work, node)

    def answered(self, ident: int, now: int, word: str) -> None:
        self.tries[ident].answers.append((now, word))

    def excused(self, ident: int, now: int) -> None:
        """Its caller is gone, or its node: no answer is owed, unless it was due by then."""
        seen = self.tries[ident]
        seen.excused = seen.excused or now <= seen.due

    def leaves_by(self, node: str, grace_end: int) -> None:
        self.leaves[node] = grace_end

    def arrived_and_ran(self, ident: int, arrived: int) -> None:
        """A run was begun for what reached the machine at that time."""
        seen = self.tries[ident]
        seen.runs += 1
        if seen.runs > 1:
            self._breach(f"rule 2: try {ident} ran {seen.runs} times")
        if arrived > self.leaves.get(seen.node, arrived):
            self._breach(f"rule 3: try {ident} reached {seen.node} after its grace and ran")

    def effect(self, ident: int) -> None:
        """A run was finished, and did what it does."""
        seen = self.tries[ident]
        self.effects[seen.work] += 1
        if seen.once and self.effects[seen.work] > 1:
            self._breach(f"rule 2: {seen.work} took effect {self.effects[seen.work]} times")

    def stood_still(self, node: str, since: int, until: int) -> None:
        """A machine that stands still can answer nothing: the time is not counted against its node."""
        for seen in self.tries.values():
            if seen.node == node and seen.sent < until and seen.due > since:
                seen.due += until - since

    def fell(self, node: str, why: str) -> None:
        self._breach(f"rule 4: {node} fell over: {why}")

    def end(self, now: int) -> list[str]:
        """All breaches, with those that only the end of the day shows."""
        for ident, seen in self.tries.items():
            if len(seen.answers) > 1:
                self._breach(f"rule 1: try {ident} got {len(seen.answers)} answers")
            if seen.excused:
                continue
            if not seen.answers and now > seen.due + SLACK:
                self._breach(f"rule 1: try {ident} got no answer")
            elif seen.answers and seen.answers[0][0] > seen.due + SLACK:
                late = (seen.answers[0][0] - seen.due) // 1_000_000
                self._breach(f"rule 1: the answer to try {ident} was {late} ms late")
            if seen.answers and seen.answers[0][1] == "completed" and not seen.runs:
                self._breach(f"rule 1: try {ident} was answered as completed and never ran")
        return self.breaches

    def _breach(self, text: str) -> None:
        if len(self.breaches) < self.most:
            self.breaches.append(text)
