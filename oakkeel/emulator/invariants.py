"""Checks the four rules of request handling from outside; shares no code with the node or its decisions.

1. An attempt gets one response, by its deadline, and is reported as completed only if it ran.
2. An attempt runs at most once, and an at-most-once request takes effect at most once.
3. An attempt that reaches a draining node after its grace period does not run.
4. A node does not run more requests at once than its limits allow.

The audit receives the attempts that clients sent, the responses and the runs on the machines, but not the
reasons for the node's decisions.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from typing import NamedTuple

from oakkeel.units import MS

TOLERANCE_NS = 50_000_000  # by which a response may miss its deadline


class Response(NamedTuple):
    """One response of a node."""

    sent_at: int  # nanoseconds
    status: str


@dataclass(slots=True)
class Attempt:
    """One attempt of one request; times in nanoseconds."""

    sent_at: int
    deadline: int
    at_most_once: bool  # the request may not take effect twice
    request_name: str  # the same for all attempts of one request
    node: str
    responses: list[Response] = field(default_factory=list)
    runs: int = 0
    response_waived: bool = False  # the client disconnected, or the node crashed

    def breaches(self, attempt_id: int, now: int) -> list[str]:
        """Return the breaches of rule 1 that can be detected at the end of the scenario."""
        breaches = []
        if len(self.responses) > 1:
            breaches.append(f"rule 1: attempt {attempt_id} got {len(self.responses)} responses")
        if self.response_waived:
            return breaches
        latest = self.deadline + TOLERANCE_NS
        if not self.responses:
            if now > latest:
                breaches.append(f"rule 1: attempt {attempt_id} got no response")
            return breaches
        first = self.responses[0]
        if first.sent_at > latest:
            delay_ms = (first.sent_at - self.deadline) // MS
            breaches.append(f"rule 1: the response to attempt {attempt_id} was {delay_ms} ms late")
        if first.status == "completed" and not self.runs:
            breaches.append(f"rule 1: attempt {attempt_id} was reported as completed but never ran")
        return breaches


class RuleAudit:
    """Collects breaches of the four rules during a scenario."""

    def __init__(self, max_breaches: int = 1000) -> None:
        """Breaches beyond `max_breaches` are dropped."""
        self.attempts: dict[int, Attempt] = {}
        self.effects: Counter[str] = Counter()  # completed runs by request name
        self.breaches: list[str] = []
        self.max_breaches = max_breaches
        self.grace_ends: dict[str, int] = {}  # end of the grace period by node, in nanoseconds

    def attempt_sent(
        self, attempt_id: int, now: int, deadline: int, at_most_once: bool, request_name: str, node: str
    ) -> None:
        """Record an attempt that a client sent to a node."""
        self.attempts[attempt_id] = Attempt(now, deadline, at_most_once, request_name, node)

    def response_sent(self, attempt_id: int, now: int, status: str) -> None:
        """Record a response that a node sent."""
        self.attempts[attempt_id].responses.append(Response(now, status))

    def waive_response(self, attempt_id: int, now: int) -> None:
        """Waive the response of an attempt whose client or node is gone, unless the deadline has passed."""
        attempt = self.attempts[attempt_id]
        attempt.response_waived = attempt.response_waived or now <= attempt.deadline

    def drain_started(self, node: str, grace_end: int) -> None:
        """Record that a node drains and may not run requests that arrive after `grace_end`."""
        self.grace_ends[node] = grace_end

    def run_started(self, attempt_id: int, arrived_at: int) -> None:
        """Record the start of a run; `arrived_at`: when the attempt reached the machine."""
        attempt = self.attempts[attempt_id]
        attempt.runs += 1
        if attempt.runs > 1:
            self._add_breach(f"rule 2: attempt {attempt_id} ran {attempt.runs} times")
        if arrived_at > self.grace_ends.get(attempt.node, arrived_at):
            self._add_breach(
                f"rule 3: attempt {attempt_id} reached {attempt.node} after its grace period and ran"
            )

    def run_completed(self, attempt_id: int) -> None:
        """Record that a run completed and took effect."""
        attempt = self.attempts[attempt_id]
        self.effects[attempt.request_name] += 1
        if attempt.at_most_once and self.effects[attempt.request_name] > 1:
            self._add_breach(
                f"rule 2: {attempt.request_name} took effect {self.effects[attempt.request_name]} times"
            )

    def node_stalled(self, node: str, since: int, until: int) -> None:
        """Extend the deadlines of a node's attempts by a stall of its machine, as the node can't avoid it."""
        for attempt in self.attempts.values():
            if attempt.node == node and attempt.sent_at < until and attempt.deadline > since:
                attempt.deadline += until - since

    def node_overloaded(self, node: str, reason: str) -> None:
        """Record a node that ran more requests at once than its limits allow."""
        self._add_breach(f"rule 4: {node} was overloaded: {reason}")

    def end(self, now: int) -> list[str]:
        """Return all breaches, including those that can be detected only at the end of the scenario."""
        for attempt_id, attempt in self.attempts.items():
            for breach in attempt.breaches(attempt_id, now):
                self._add_breach(breach)
        return self.breaches

    def _add_breach(self, breach: str) -> None:
        if len(self.breaches) < self.max_breaches:
            self.breaches.append(breach)
