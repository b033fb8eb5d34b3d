"""Chooses the targets of the next batch of a release by the last reports. Free of I/O.

The replicated state machine enforces the disruption budgets independently of a plan. A plan keeps them, and
follows these rules:

- a target whose last report is stale is not chosen, and counts as unavailable;
- the last serving target of a group, or of the dependents of a service, is not chosen;
- a service and a target that depends on it are not chosen together;
- the remaining targets of a site must have the capacity for its load; a target that warms up has a part of
  its capacity;
- sites take turns, the site with the most serving targets first.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from oakkeel.disruption.topology import DEPENDENCY_REASON_PREFIX, Topology, UnavailableTargets
from oakkeel.units import SECOND

MAX_REPORT_AGE_NS = 3 * SECOND  # an older report is stale
COLD_CAPACITY_RATIO = 0.25  # of the capacity of a serving target
MAX_CANDIDATES_PER_SITE = 64  # checked for one place in a batch
MIN_CHECKED_LOAD = 0.05  # of a site, in nodes' worth of cores; a lower load is not checked
MIN_CAPACITY = 1e-9  # in nodes' worth of cores, so that a load always exceeds a capacity of zero
NEVER_OBSERVED_AT_NS = -(1 << 62)
NONE_AVAILABLE = "all remaining targets are unavailable"


@dataclass(slots=True)
class TargetObservation:
    """The last report of one target."""

    name: str
    phase: str = "unknown"
    generation: int = 0
    version: str = ""
    observed_at: int = NEVER_OBSERVED_AT_NS  # the earliest possible time, in nanoseconds
    load: float = 0.0  # ratio of its cores in use
    backing_off: bool = False  # the process crashed repeatedly, and its restart is delayed

    def is_fresh(self, now: int) -> bool:
        """Return whether the report is recent enough to act on."""
        return now - self.observed_at <= MAX_REPORT_AGE_NS

    @property
    def is_serving(self) -> bool:
        """Return whether the target serves, and has warmed up."""
        return self.phase == "serving"


@dataclass(slots=True)
class BatchChoice:
    """The targets to change now, or the reason why there are none."""

    targets: list[str] = field(default_factory=list)
    why: str = ""


@dataclass(slots=True, frozen=True)
class BatchLimits:
    """The limits and options of one batch."""

    max_targets: int
    max_load: float  # maximum load of the remaining targets of a site, as a ratio of their cores
    broken_first: bool = False  # choose unavailable targets before available ones, as in a rollback
    keep_last: bool = True  # never choose the last serving target of a group


class BatchPlanner:
    """Chooses batches within one topology."""

    def __init__(self, topology: Topology) -> None:
        """Index the targets of a topology by group, site and dependency."""
        self.topology = topology
        self.groups = {group.name: group for group in topology.groups}
        self.site_of: dict[str, str] = {}  # name of the group of the site, by target
        self.groups_of: dict[str, list[str]] = {}  # names of its budget groups, by target
        for group in topology.groups:
            for target in group.targets:
                self.groups_of.setdefault(target, []).append(group.name)
                if group.name.startswith("site "):
                    self.site_of[target] = group.name
        # The rank spreads a batch over hosts: a host starts few targets at a time, and may fail as a whole.
        self.rank = {target: rank for names in topology.hosts.values() for rank, target in enumerate(names)}
        self.services_of: dict[str, list[str]] = {}  # by instance: the services on which it depends
        for service, instances in topology.dependents.items():
            for instance in instances:
                self.services_of.setdefault(instance, []).append(service)

    def choose(
        self,
        now: int,
        candidates: Iterable[str],
        observations: dict[str, TargetObservation],
        unavailable: UnavailableTargets,
        limits: BatchLimits,
    ) -> BatchChoice:
        """Choose targets of the next batch from the candidates.

        The first target of a batch is one that serves, unless `limits.broken_first` is set or no candidate is
        available.
        """
        broken: list[str] = []
        available: list[str] = []
        stale_count = 0
        for target in candidates:
            observation = observations.get(target)
            if observation is None or not observation.is_fresh(now):
                stale_count += 1
            elif target not in unavailable.reasons:
                available.append(target)
            elif observation.phase != "draining" and not any(
                reason.startswith(DEPENDENCY_REASON_PREFIX) for reason in unavailable.reasons[target]
            ):
                broken.append(target)
        if not broken and not available:
            return BatchChoice(
                [], f"the last reports of {stale_count} targets are stale" if stale_count else NONE_AVAILABLE
            )
        selection = _Selection(self, now, observations, unavailable, limits)
        if limits.broken_first:
            selection.targets = broken[: limits.max_targets]
        selection.fill(available)
        targets = selection.targets
        if not limits.broken_first and len(targets) < limits.max_targets and (targets or not available):
            targets += broken[: limits.max_targets - len(targets)]
        if targets:
            return BatchChoice(targets)
        return BatchChoice([], selection.objection or NONE_AVAILABLE)


class _Selection:
    """The targets chosen for a batch, and the load and capacity of the remaining ones."""

    def __init__(
        self,
        planner: BatchPlanner,
        now: int,
        observations: dict[str, TargetObservation],
        unavailable: UnavailableTargets,
        limits: BatchLimits,
    ) -> None:
        self.planner = planner
        self.unavailable = unavailable
        self.limits = limits
        self.targets: list[str] = []
        self.objection = ""  # why the last candidate was not chosen
        self.chosen_count: dict[str, int] = {}  # by site
        self.serving_count: dict[str, int] = {}  # by group
        self.capacity: dict[str, float] = {}  # by site, in nodes' worth of cores
        self.load: dict[str, float] = {}  # by site, in nodes' worth of cores
        for target in planner.groups_of:
            self._count_target(now, target, observations.get(target))

    def _count_target(self, now: int, target: str, observation: TargetObservation | None) -> None:
        """Add a target to the serving counts of its groups, and to the capacity and load of its site."""
        site = self.planner.site_of.get(target, "")
        available = target not in self.unavailable.reasons
        if observation is None or not observation.is_fresh(now):
            if available:  # such as a downstream service, which reports no phase
                self._change_serving_count(target, 1)
        elif observation.is_serving and available:
            self._change_serving_count(target, 1)
            self.capacity[site] = self.capacity.get(site, 0.0) + 1.0
            self.load[site] = self.load.get(site, 0.0) + observation.load
        elif observation.phase == "cold":
            self.capacity[site] = self.capacity.get(site, 0.0) + COLD_CAPACITY_RATIO
            self.load[site] = self.load.get(site, 0.0) + observation.load

    def _change_serving_count(self, target: str, change: int) -> None:
        for group in self.planner.groups_of.get(target, ()):
            self.serving_count[group] = self.serving_count.get(group, 0) + change

    def fill(self, available: list[str]) -> None:
        """Choose from available targets, site by site in turn, up to the size of the batch."""
        by_site: dict[str, list[str]] = {}
        rank = self.planner.rank
        for target in sorted(available, key=lambda target: (rank.get(target, 0), target), reverse=True):
            by_site.setdefault(self.planner.site_of.get(target, ""), []).append(target)
        while len(self.targets) < self.limits.max_targets and by_site:
            target = self._next_target(by_site)
            if not target:
                break
            self._add(target)

    def _next_target(self, by_site: dict[str, list[str]]) -> str:
        """Return the next target without an objection, empty if none; drop sites without such a target."""
        for site in sorted(
            by_site, key=lambda site: (self.chosen_count.get(site, 0), -self.serving_count.get(site, 0), site)
        ):
            for target in by_site[site][-MAX_CANDIDATES_PER_SITE:][::-1]:
                self.objection = self._find_objection(target)
                if not self.objection:
                    by_site[site].remove(target)
                    return target
            del by_site[site]  # an objection holds for the rest of the batch
        return ""

    def _find_objection(self, target: str) -> str:
        """Return why a target may not be added to the batch; empty if it may."""
        return (
            self._dependency_objection(target)
            or self._last_serving_objection(target)
            or str(self.unavailable.find_violation([*self.targets, target]) or "")
            or self._load_objection(target)
        )

    def _dependency_objection(self, target: str) -> str:
        for service in self.planner.services_of.get(target, ()):
            if service in self.unavailable.reasons or service in self.targets:
                return f"{service} is unavailable, and {target} depends on it"
        for dependent in self.planner.topology.dependents.get(target, ()):
            if dependent in self.unavailable.reasons or dependent in self.targets:
                return f"{dependent} is unavailable, and depends on {target}"
        return ""

    def _last_serving_objection(self, target: str) -> str:
        if not self.limits.keep_last:
            return ""
        groups_of = self.planner.groups_of
        groups = self.planner.groups
        for name in groups_of.get(target, ()):
            if self.serving_count.get(name, 0) <= 1 and len(groups[name].targets) > 1:
                return f"{target} is the last serving target of {name}"
        dependents = self.planner.topology.dependents.get(target, ())
        for name in {name for dependent in dependents for name in groups_of.get(dependent, ())}:
            members = groups[name].targets
            if self.serving_count.get(name, 0) <= sum(dependent in members for dependent in dependents):
                return f"the dependents of {target} are the last serving targets of {name}"
        return ""

    def _load_objection(self, target: str) -> str:
        dependents = self.planner.topology.dependents.get(target, ())
        site_of = self.planner.site_of
        max_load = self.limits.max_load
        for site in {site_of.get(target, ""), *(site_of.get(dependent, "") for dependent in dependents)}:
            lost_count = sum(site_of.get(name, "") == site for name in (target, *dependents)) if site else 0
            if not lost_count or lost_count >= len(self.planner.groups[site].targets):
                continue  # all targets of the site stop together: no target remains to carry its load
            capacity = self.capacity.get(site, 0.0) - lost_count
            load = self.load.get(site, 0.0)
            if load > MIN_CHECKED_LOAD and load > max_load * max(capacity, MIN_CAPACITY):
                return (
                    f"{site}: the remaining targets would carry {load:.2f} on {max(0.0, capacity):.2f} nodes'"
                    f" worth of cores, above the maximum ratio of {max_load:g}"
                )
        return ""

    def _add(self, target: str) -> None:
        """Add a target to the batch; its dependents stop serving with it."""
        for name in (target, *self.planner.topology.dependents.get(target, ())):
            self._change_serving_count(name, -1)
            site = self.planner.site_of.get(name, "")
            self.capacity[site] = self.capacity.get(site, 0.0) - 1.0
        site = self.planner.site_of.get(target, "")
        self.chosen_count[site] = self.chosen_count.get(site, 0) + 1
        self.targets.append(target)
