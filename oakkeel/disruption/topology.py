"""The targets, what depends on what, and the budget of unavailable targets of each group. Free of I/O.

A target is an instance or a downstream service. Taking out a service takes out what depends on it.
"""

from __future__ import annotations

import msgspec


class BudgetGroup(msgspec.Struct, array_like=True, frozen=True):
    """Targets of which at most some may be unavailable at a time."""

    name: str  # as fleet, site woodbrook, kind catalogue
    max_unavailable: int
    targets: tuple[str, ...]


class Topology(msgspec.Struct, array_like=True, frozen=True):
    """The topology of the operators' settings; replicated, so that all decide alike."""

    hosts: dict[str, tuple[str, ...]] = {}  # the targets of each host's agent
    groups: tuple[BudgetGroup, ...] = ()
    dependents: dict[str, tuple[str, ...]] = {}  # by service: the instances that depend on it


class UnavailableTargets:
    """The unavailable targets with the reasons, and an up-to-date count for each budget group."""

    def __init__(self, topology: Topology) -> None:
        """All targets of the topology are available at first."""
        self.topology = topology
        self.groups = {group.name: group for group in topology.groups}
        self.groups_of: dict[str, list[str]] = {}  # by target
        for group in topology.groups:
            for target in group.targets:
                self.groups_of.setdefault(target, []).append(group.name)
        self.reasons: dict[str, set[str]] = {}  # by unavailable target
        self.counts = dict.fromkeys(self.groups, 0)

    def add(self, target: str, reason: str) -> None:
        """Add a reason why a target is unavailable, and so all that depends on it."""
        reasons = self.reasons.setdefault(target, set())
        if reason in reasons:
            return
        reasons.add(reason)
        if len(reasons) == 1:
            for name in self.groups_of.get(target, ()):
                self.counts[name] += 1
            for instance in self.topology.dependents.get(target, ()):
                self.add(instance, f"hangs on {target}")

    def remove(self, target: str, reason: str) -> None:
        """Remove a reason; without any the target is available."""
        reasons = self.reasons.get(target)
        if not reasons or reason not in reasons:
            return
        reasons.discard(reason)
        if not reasons:
            del self.reasons[target]
            for name in self.groups_of.get(target, ()):
                self.counts[name] -= 1
            for instance in self.topology.dependents.get(target, ()):
                self.remove(instance, f"hangs on {target}")

    def set(self, target: str, reason: str, applies: bool) -> None:
        """Add or remove a reason."""
        (self.add if applies else self.remove)(target, reason)

    def find_violation(self, targets: list[str]) -> str:
        """Return which budget forbids taking these out as well; empty where none does."""
        more: dict[str, int] = {}
        added = {
            dependent
            for target in targets
            for dependent in (target, *self.topology.dependents.get(target, ()))
            if dependent not in self.reasons
        }
        for target in added:
            for name in self.groups_of.get(target, ()):
                more[name] = more.get(name, 0) + 1
        for name, count in more.items():
            if self.counts[name] + count > self.groups[name].max_unavailable:
                return (
                    f"{name}: {self.counts[name]} out, {count} more would pass its bound of"
                    f" {self.groups[name].max_unavailable}"
                )
        return ""
