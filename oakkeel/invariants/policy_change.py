"""Whether a change of policy took hold everywhere or nowhere, by what was decided when under which version.

11. From when a version is told as in force, no exchange is decided under an earlier one anywhere.
12. Under a version that is told as not made, no exchange ever was decided.
"""

from __future__ import annotations

from oakkeel.units import SECOND


class PolicyChangeAudit:
    """Told with the true time; what is decided after the end of something is found when either comes."""

    def __init__(self, max_breaches: int = 50) -> None:
        """Keep so many breaches."""
        self.max_breaches = max_breaches
        self.breaches: list[str] = []
        self.in_force = 0
        self.not_made: set[int] = set()
        self.used: dict[int, str] = {}  # by version: who was first
        self.decided: dict[int, int] = {}  # how many exchanges, by version

    def record_decision(self, now: int, who: str, number: int) -> None:
        """Check a decision under a version."""
        self.used.setdefault(number, who)
        self.decided[number] = self.decided.get(number, 0) + 1
        if number < self.in_force:
            self._breach(now, f"11: {who} decides under {number} while {self.in_force} is in force")
        if number in self.not_made:
            self._breach(now, f"12: {who} decides under {number}, which was told as not made")

    def record_in_force(self, now: int, number: int) -> None:
        """Note that a version was reported as in force."""
        self.in_force = max(self.in_force, number)

    def record_not_made(self, now: int, number: int) -> None:
        """Note that a version was reported as not made."""
        self.not_made.add(number)
        if number in self.used:
            self._breach(now, f"12: {self.used[number]} had decided under {number}, told as not made")

    def _breach(self, now: int, text: str) -> None:
        if len(self.breaches) < self.max_breaches:
            self.breaches.append(f"{now / SECOND:.3f} s: promise {text}")
