"""The targets, their dependencies, and the budget of unavailable targets of each group. Free of I/O.

A target is an instance or a downstream service. While a service is unavailable, the instances that depend on
the service are unavailable too.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

# Reasons why a target is unavailable. Operators and scripts see the texts in the output of `oakkeel places`.
PERMIT_REASON = "a place"  # it has a disruption permit
NOT_SERVING_REASON = "does not serve"
UNKNOWN_REASON = "not known"  # its agent is silent
PROPOSED_REASON = "to be granted"  # a permit was proposed and is not committed yet
DEPENDENCY_REASON_PREFIX = "hangs on "  # before the name of the service that it depends on
BUDGET_EXCEEDED_TEXT = "would exceed its maximum"  # part of the message of each violation


class BudgetGroup(msgspec.Struct, array_like=True, frozen=True):
    """A group of targets of which at most `max_unavailable` may be unavailable at one time."""

    name: str  # such as `fleet`, `site woodbrook`, `kind catalogue`
    max_unavailable: int
    targets: tuple[str, ...]


class Topology(msgspec.Struct, array_like=True, frozen=True):
    """The targets, budgets and dependencies that the operators' settings define.

    The topology is replicated, so that all replicas decide the same.
    """

    hosts: dict[str, tuple[str, ...]] = {}  # the targets of each host
    groups: tuple[BudgetGroup, ...] = ()
    dependents: dict[str, tuple[str, ...]] = {}  # by service: the instances that depend on the service


@dataclass(slots=True, frozen=True)
class BudgetViolation:
    """A budget that additional unavailable targets would exceed."""

    group: str
    unavailable: int  # number of unavailable targets now
    additional: int  # number of targets that would become unavailable too
    max_unavailable: int

    def __str__(self) -> str:
        """Return the violation as a message for operators."""
        return (
            f"{self.group}: {self.unavailable} unavailable, {self.additional} more {BUDGET_EXCEEDED_TEXT}"
            f" of {self.max_unavailable}"
        )


class UnavailableTargets:
    """The unavailable targets with their reasons, and their count in each budget group."""

    def __init__(self, topology: Topology) -> None:
        """Start with all targets of the topology available."""
        self.topology = topology
        self.groups = {group.name: group for group in topology.groups}
        self.groups_of: dict[str, list[str]] = {}  # by target
        for group in topology.groups:
            for target in group.targets:
                self.groups_of.setdefault(target, []).append(group.name)
        self.reasons: dict[str, set[str]] = {}  # by unavailable target
        self.counts = dict.fromkeys(self.groups, 0)

    def add(self, target: str, reason: str) -> None:
        """Add a reason why a target is unavailable. The instances that depend on it are unavailable too."""
        reasons = self.reasons.setdefault(target, set())
        if reason in reasons:
            return
        reasons.add(reason)
        if len(reasons) == 1:
            for name in self.groups_of.get(target, ()):
                self.counts[name] += 1
            for instance in self.topology.dependents.get(target, ()):
                self.add(instance, DEPENDENCY_REASON_PREFIX + target)

    def remove(self, target: str, reason: str) -> None:
        """Remove a reason why a target is unavailable. A target without a reason is available."""
        reasons = self.reasons.get(target)
        if not reasons or reason not in reasons:
            return
        reasons.discard(reason)
        if not reasons:
            del self.reasons[target]
            for name in self.groups_of.get(target, ()):
                self.counts[name] -= 1
            for instance in self.topology.dependents.get(target, ()):
                self.remove(instance, DEPENDENCY_REASON_PREFIX + target)

    def set(self, target: str, reason: str, applies: bool) -> None:
        """Add a reason if it applies, else remove it."""
        (self.add if applies else self.remove)(target, reason)

    def is_exceeded(self, name: str) -> bool:
        """Whether more targets of a budget group are unavailable than its maximum."""
        return self.counts[name] > self.groups[name].max_unavailable

    def find_violation(self, targets: list[str]) -> BudgetViolation | None:
        """Return a budget that would be exceeded if these targets became unavailable too; else None.

        This is the rule of maximum unavailable: an unavailable target is not counted twice, and a service
        counts with the instances that depend on it.
        """
        newly_unavailable = {
            affected_target
            for target in targets
            for affected_target in (target, *self.topology.dependents.get(target, ()))
            if affected_target not in self.reasons
        }
        additional: dict[str, int] = {}
        for target in newly_unavailable:
            for name in self.groups_of.get(target, ()):
                additional[name] = additional.get(name, 0) + 1
        for name, count in additional.items():
            maximum = self.groups[name].max_unavailable
            if self.counts[name] + count > maximum:
                return BudgetViolation(name, self.counts[name], count, maximum)
        return None
