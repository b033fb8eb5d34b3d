"""Checks the four rules by what is seen from outside; shares no code with the node or its decisions.

The audit is given what clients sent and received and what machines did, and no reasons for it.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

TOLERANCE = 50_000_000  # nanoseconds that a response may come after its deadline
MILLISECOND = 1_000_000


class Response(NamedTuple):
    """What a node responded, and when."""

    at: int  # nanoseconds
    status: str


@dataclass(slots=True)
class Attempt:
    """One attempt of one request; times in nanoseconds."""

    sent_at: int
    deadline: int
    at_most_once: bool  # it may not take effect twice
    work: str  # names the effect; a further attempt of the same request has the same name
    node: str
    responses: list[Response] = field(default_factory=list)
    runs: int = 0
    excused: bool = False  # its client was gone, or its node died under it

    def breaches(self, attempt_id: int, now: int) -> list[str]:
        """Return what shows at the end of the scenario to have broken rule 1."""
        found = []
        if len(self.responses) > 1:
            found.append(f"rule 1: try {attempt_id} got {len(self.responses)} answers")
        if self.excused:
            return found
        latest = self.deadline + TOLERANCE
        if not self.responses:
            if now > latest:
                found.append(f"rule 1: try {attempt_id} got no answer")
            return found
        first = self.responses[0]
        if first.at > latest:
            late = (first.at - self.deadline) // MILLISECOND
            found.append(f"rule 1: the answer to try {attempt_id} was {late} ms late")
        if first.status == "completed" and not self.runs:
            found.append(f"rule 1: try {attempt_id} was answered as completed and never ran")
        return found


class RuleAudit:
    """Collects breaches of the four rules during a scenario."""

    def __init__(self, max_breaches: int = 1000) -> None:
        """List `max_breaches` at most; further ones are dropped."""
        self.attempts: dict[int, Attempt] = {}
        self.effects: Counter[str] = Counter()  # completed runs by the work that they did
        self.breaches: list[str] = []
        self.max_breaches = max_breaches
        self.grace_ends: dict[str, int] = {}  # by node

    def sent(
        self, attempt_id: int, now: int, deadline: int, at_most_once: bool, work: str, node: str
    ) -> None:
        """Record an attempt that a client sent to a node."""
        self.attempts[attempt_id] = Attempt(now, deadline, at_most_once, work, node)

    def answered(self, attempt_id: int, now: int, status: str) -> None:
        """Record a response of the node."""
        self.attempts[attempt_id].responses.append(Response(now, status))

    def excused(self, attempt_id: int, now: int) -> None:
        """Record that the client or the node is gone: it needs no response unless one was due before."""
        attempt = self.attempts[attempt_id]
        attempt.excused = attempt.excused or now <= attempt.deadline

    def drain_started(self, node: str, grace_end: int) -> None:
        """Record that the node drains and may run nothing that arrives after its grace period."""
        self.grace_ends[node] = grace_end

    def run_started(self, attempt_id: int, arrived_at: int) -> None:
        """Record the start of a run for a request that reached the machine at `arrived_at`."""
        attempt = self.attempts[attempt_id]
        attempt.runs += 1
        if attempt.runs > 1:
            self._add(f"rule 2: try {attempt_id} ran {attempt.runs} times")
        if arrived_at > self.grace_ends.get(attempt.node, arrived_at):
            self._add(f"rule 3: try {attempt_id} reached {attempt.node} after its grace and ran")

    def took_effect(self, attempt_id: int) -> None:
        """Record that a run completed and had its effect."""
        attempt = self.attempts[attempt_id]
        self.effects[attempt.work] += 1
        if attempt.at_most_once and self.effects[attempt.work] > 1:
            self._add(f"rule 2: {attempt.work} took effect {self.effects[attempt.work]} times")

    def node_stalled(self, node: str, since: int, until: int) -> None:
        """Extend deadlines by a stall: a stalled machine can't respond, which isn't its node's fault."""
        for attempt in self.attempts.values():
            if attempt.node == node and attempt.sent_at < until and attempt.deadline > since:
                attempt.deadline += until - since

    def node_overloaded(self, node: str, reason: str) -> None:
        """Record a node that ran more at once than its machine bears."""
        self._add(f"rule 4: {node} fell over: {reason}")

    def end(self, now: int) -> list[str]:
        """Return all breaches, with those that only the end of the scenario shows."""
        for attempt_id, attempt in self.attempts.items():
            for breach in attempt.breaches(attempt_id, now):
                self._add(breach)
        return self.breaches

    def _add(self, breach: str) -> None:
        if len(self.breaches) < self.max_breaches:
            self.breaches.append(breach)
