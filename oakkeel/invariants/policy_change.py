"""Audit of policy changes: a version takes effect on all nodes or on none.

The invariants, numbered on from the other audits:

11. Once a version is reported as in force, no request is decided under an earlier one on any node.
12. Under a version that is reported as refused or withdrawn, no request is ever decided.
"""

from __future__ import annotations

from oakkeel.units import SECOND


class PolicyChangeAudit:
    """Receives decisions and reports with the true time, in any order."""

    def __init__(self, max_breaches: int = 50) -> None:
        """Keep `max_breaches` at most."""
        self.max_breaches = max_breaches
        self.breaches: list[str] = []
        self.in_force = 0
        self.not_made: set[int] = set()
        self.used: dict[int, str] = {}  # first node by version
        self.decided: dict[int, int] = {}  # requests, by version

    def record_decision(self, now: int, who: str, number: int) -> None:
        """Record a decision under a version."""
        self.used.setdefault(number, who)
        self.decided[number] = self.decided.get(number, 0) + 1
        if number < self.in_force:
            self._breach(now, f"11: {who} decides under {number} while {self.in_force} is in force")
        if number in self.not_made:
            self._breach(now, f"12: {who} decides under {number}, which was reported as not made")

    def record_in_force(self, now: int, number: int) -> None:
        """Record that a version was reported as in force."""
        self.in_force = max(self.in_force, number)

    def record_not_made(self, now: int, number: int) -> None:
        """Record that a version was reported as refused or withdrawn."""
        self.not_made.add(number)
        if number in self.used:
            self._breach(
                now, f"12: {self.used[number]} had decided under {number}, which is reported as not made"
            )

    def _breach(self, now: int, text: str) -> None:
        if len(self.breaches) < self.max_breaches:
            self.breaches.append(f"{now / SECOND:.3f} s: promise {text}")
