"""What there is to take out, what hangs on what, and how many of each group may be out. Free of I/O.

A thing is an instance or a service below. Taking out a service takes out what hangs on it.
"""

from __future__ import annotations

import msgspec


class BudgetGroup(msgspec.Struct, array_like=True, frozen=True):
    name: str  # as fleet, site woodbrook, kind catalogue
    max_unavailable: int
    targets: tuple[str, ...]


class Topology(msgspec.Struct, array_like=True, frozen=True):
    """As the operators' settings say; part of what is agreed, so that all reckon alike."""

    hosts: dict[str, tuple[str, ...]] = {}  # the things that each host's agent looks after
    groups: tuple[BudgetGroup, ...] = ()
    dependents: dict[str, tuple[str, ...]] = {}  # by service: the instances that can't do without it


class UnavailableTargets:
    """What is out and why, with a count for each group that is brought along by every change."""

    def __init__(self, layout: Topology) -> None:
        self.topology = layout
        self.groups = {group.name: group for group in layout.groups}
        self.groups_of: dict[str, list[str]] = {}  # by thing: its groups
        for group in layout.groups:
            for thing in group.targets:
                self.groups_of.setdefault(thing, []).append(group.name)
        self.reasons: dict[str, set[str]] = {}  # by thing that is out
        self.counts = dict.fromkeys(self.groups, 0)

    def add(self, thing: str, reason: str) -> None:
        reasons = self.reasons.setdefault(thing, set())
        if reason in reasons:
            return
        reasons.add(reason)
        if len(reasons) == 1:
            for name in self.groups_of.get(thing, ()):
                self.counts[name] += 1
            for instance in self.topology.dependents.get(thing, ()):
                self.add(instance, f"hangs on {thing}")

    def remove(self, thing: str, reason: str) -> None:
        reasons = self.reasons.get(thing)
        if not reasons or reason not in reasons:
            return
        reasons.discard(reason)
        if not reasons:
            del self.reasons[thing]
            for name in self.groups_of.get(thing, ()):
                self.counts[name] -= 1
            for instance in self.topology.dependents.get(thing, ()):
                self.remove(instance, f"hangs on {thing}")

    def set(self, thing: str, reason: str, is_so: bool) -> None:
        (self.add if is_so else self.remove)(thing, reason)

    def find_violation(self, things: list[str]) -> str:
        """What keeps these from being taken out as well; empty where nothing does."""
        more: dict[str, int] = {}
        news = {
            each
            for thing in things
            for each in (thing, *self.topology.dependents.get(thing, ()))
            if each not in self.reasons
        }
        for thing in news:
            for name in self.groups_of.get(thing, ()):
                more[name] = more.get(name, 0) + 1
        for name, count in more.items():
            if self.counts[name] + count > self.groups[name].max_unavailable:
                return (
                    f"{name}: {self.counts[name]} out, {count} more would pass its bound of"
                    f" {self.groups[name].max_unavailable}"
                )
        return ""
