"""Audit of policy changes: a version takes effect on all nodes or on none.

The invariants, numbered after those of the other audits:

11. Once a version is reported as in force, no node decides a request under an earlier version.
12. No request is decided under a version that is reported as refused or withdrawn.
"""

from __future__ import annotations

from oakkeel.units import SECOND


class PolicyChangeAudit:
    """Checks the invariants at each decision and report, which come with the true time in any order."""

    def __init__(self, max_breaches: int = 50) -> None:
        """Keep at most `max_breaches` breaches."""
        self.max_breaches = max_breaches
        self.breaches: list[str] = []
        self.in_force = 0  # latest version that was reported as in force
        self.refused_or_withdrawn: set[int] = set()
        self.first_nodes: dict[int, str] = {}  # node that decided the first request, by version
        self.decision_counts: dict[int, int] = {}  # number of decided requests, by version

    def record_decision(self, now: int, node: str, number: int) -> None:
        """Record that a node decided a request under a version."""
        self.first_nodes.setdefault(number, node)
        self.decision_counts[number] = self.decision_counts.get(number, 0) + 1
        if number < self.in_force:
            self._breach(now, f"11: {node} decides under version {number} while {self.in_force} is in force")
        if number in self.refused_or_withdrawn:
            self._breach(
                now, f"12: {node} decides under version {number}, which was reported as refused or withdrawn"
            )

    def record_in_force(self, now: int, number: int) -> None:
        """Record that a version was reported as in force."""
        self.in_force = max(self.in_force, number)

    def record_refused_or_withdrawn(self, now: int, number: int) -> None:
        """Record that a version was reported as refused or withdrawn."""
        self.refused_or_withdrawn.add(number)
        if number in self.first_nodes:
            self._breach(
                now,
                f"12: {self.first_nodes[number]} had decided under version {number}, which is reported as"
                " refused or withdrawn",
            )

    def _breach(self, now: int, text: str) -> None:
        if len(self.breaches) < self.max_breaches:
            self.breaches.append(f"{now / SECOND:.3f} s: invariant {text}")
