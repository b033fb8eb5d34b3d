"""Chooses the targets that a release changes next. Free of I/O; a function of what was last reported.

Nothing is chosen that would leave a site or a service with less than it needs. The disruption budgets hold by
the replicated state, whatever is planned here; the plan stays inside them, and in addition:

- a target whose last report is stale is not touched, and counts as unavailable;
- the last one that serves of a group, or of those that depend on a service, stays;
- never both sides of a dependency at one time;
- those left at a site must carry its measured load, cold ones a part of theirs;
- sites take turns, the one with the most serving targets first.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from oakkeel.disruption.topology import DEPENDENCY_REASON_PREFIX, Topology, UnavailableTargets
from oakkeel.units import SECOND

STALE_AFTER = 3 * SECOND  # a report of that age says nothing about now
COLD_CAPACITY = 0.25  # part of its load that a cold target carries
MAX_ATTEMPTS = 64  # targets tried of one site, for one place in a batch
MIN_LOAD = 0.05  # of a site, below which its capacity is not checked


@dataclass(slots=True)
class TargetObservation:
    """One target by its last report."""

    name: str
    phase: str = "unknown"
    generation: int = 0
    version: str = ""
    observed_at: int = -(1 << 62)  # it is no older than that, by the controller's clock
    load: float = 0.0
    backing_off: bool = False

    def is_fresh(self, now: int) -> bool:
        """Tell whether the report still says something about now."""
        return now - self.observed_at <= STALE_AFTER

    @property
    def is_serving(self) -> bool:
        """Tell whether the target serves, and is not cold any more."""
        return self.phase == "serving"


@dataclass(slots=True)
class BatchChoice:
    """What to change now; with nothing chosen, why not."""

    targets: list[str] = field(default_factory=list)
    why: str = ""


@dataclass(slots=True, frozen=True)
class BatchLimits:
    """What a batch has to keep to."""

    max_targets: int
    max_load: float  # of the targets that keep serving at a site
    broken_first: bool = False  # as for a rollback; else what does not serve comes after all that does
    keep_last: bool = True  # the last target of a group that serves stays


class BatchPlanner:
    """Made for a topology, and asked before each batch."""

    def __init__(self, topology: Topology) -> None:
        """Index the targets of a topology by group, site and dependency."""
        self.topology = topology
        self.groups = {group.name: group for group in topology.groups}
        self.site: dict[str, str] = {}
        self.groups_of: dict[str, list[str]] = {}
        for group in topology.groups:
            for target in group.targets:
                self.groups_of.setdefault(target, []).append(group.name)
                if group.name.startswith("site "):
                    self.site[target] = group.name
        # Those of one host apart from each other: a host starts few at a time, and may be lost as a whole.
        self.rank = {target: rank for names in topology.hosts.values() for rank, target in enumerate(names)}
        self.services_of: dict[str, list[str]] = {}  # by instance: services that it depends on
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
        """Choose targets of the next batch among the candidates.

        A target that does not serve is never the first of a release, unless `limits.broken_first` is set.
        """
        broken, able = [], []
        stale = 0
        for target in candidates:
            observation = observations.get(target)
            if observation is None or not observation.is_fresh(now):
                stale += 1
            elif target not in unavailable.reasons:
                able.append(target)
            elif observation.phase != "draining" and not any(
                reason.startswith(DEPENDENCY_REASON_PREFIX) for reason in unavailable.reasons[target]
            ):
                broken.append(target)
        if not broken and not able:
            return BatchChoice(
                [], f"{stale} of which nothing new is known" if stale else "all that is left is out"
            )
        selection = _Selection(self, now, observations, unavailable, limits)
        if limits.broken_first:
            selection.targets = broken[: limits.max_targets]
        selection.fill(able)
        targets = selection.targets
        if not limits.broken_first and len(targets) < limits.max_targets and (targets or not able):
            targets += broken[: limits.max_targets - len(targets)]
        if targets:
            return BatchChoice(targets)
        return BatchChoice([], selection.objection or "all that is left is out")


class _Selection:
    """The targets chosen so far, and what keeps serving without them."""

    def __init__(
        self,
        planner: BatchPlanner,
        now: int,
        observations: dict[str, TargetObservation],
        unavailable: UnavailableTargets,
        limits: BatchLimits,
    ) -> None:
        self.planner, self.unavailable, self.limits = planner, unavailable, limits
        self.targets: list[str] = []
        self.objection = ""  # to the last target that was tried
        self.chosen_at: dict[str, int] = {}  # number chosen, by site
        self.serving: dict[str, int] = {}  # by group
        self.capacity: dict[str, float] = {}  # by site
        self.load: dict[str, float] = {}  # by site
        for target in planner.groups_of:
            self._count(now, target, observations.get(target))

    def _count(self, now: int, target: str, observation: TargetObservation | None) -> None:
        site = self.planner.site.get(target, "")
        available = target not in self.unavailable.reasons
        if observation is None or not observation.is_fresh(now):
            if available:  # a downstream service is reported as up or not
                self._add_serving(target, 1)
        elif observation.is_serving and available:
            self._add_serving(target, 1)
            self.capacity[site] = self.capacity.get(site, 0.0) + 1.0
            self.load[site] = self.load.get(site, 0.0) + observation.load
        elif observation.phase == "cold":
            self.capacity[site] = self.capacity.get(site, 0.0) + COLD_CAPACITY
            self.load[site] = self.load.get(site, 0.0) + observation.load

    def _add_serving(self, target: str, number: int) -> None:
        for group in self.planner.groups_of.get(target, ()):
            self.serving[group] = self.serving.get(group, 0) + number

    def fill(self, able: list[str]) -> None:
        """Choose among targets that serve, sites in turn, up to the size of the batch."""
        by_site: dict[str, list[str]] = {}
        rank = self.planner.rank
        for target in sorted(able, key=lambda target: (rank.get(target, 0), target), reverse=True):
            by_site.setdefault(self.planner.site.get(target, ""), []).append(target)
        while len(self.targets) < self.limits.max_targets and by_site:
            target = self._next(by_site)
            if not target:
                break
            self._take(target)

    def _next(self, by_site: dict[str, list[str]]) -> str:
        """Take a target that nothing stands against; drops the sites that have none."""
        for site in sorted(
            by_site, key=lambda site: (self.chosen_at.get(site, 0), -self.serving.get(site, 0), site)
        ):
            for target in by_site[site][-MAX_ATTEMPTS:][::-1]:
                self.objection = self._object(target)
                if not self.objection:
                    by_site[site].remove(target)
                    return target
            del by_site[site]  # what stands against one there stands against it for this batch
        return ""

    def _object(self, target: str) -> str:
        """Say what stands against a target; empty: nothing."""
        return (
            self._dependency_objection(target)
            or self._last_serving_objection(target)
            or self.unavailable.find_violation([*self.targets, target])
            or self._load_objection(target)
        )

    def _dependency_objection(self, target: str) -> str:
        for service in self.planner.services_of.get(target, ()):
            if service in self.unavailable.reasons or service in self.targets:
                return f"{service} is out, on which {target} hangs"
        for dependent in self.planner.topology.dependents.get(target, ()):
            if dependent in self.unavailable.reasons or dependent in self.targets:
                return f"{dependent} is out, which hangs on {target}"
        return ""

    def _last_serving_objection(self, target: str) -> str:
        if not self.limits.keep_last:
            return ""
        groups_of, groups = self.planner.groups_of, self.planner.groups
        for name in groups_of.get(target, ()):
            if self.serving.get(name, 0) <= 1 and len(groups[name].targets) > 1:
                return f"{target} is the last that serves of {name}"
        dependents = self.planner.topology.dependents.get(target, ())
        for name in {name for dependent in dependents for name in groups_of.get(dependent, ())}:
            members = groups[name].targets
            if self.serving.get(name, 0) <= sum(dependent in members for dependent in dependents):
                return f"what hangs on {target} is the last that serves of {name}"
        return ""

    def _load_objection(self, target: str) -> str:
        dependents = self.planner.topology.dependents.get(target, ())
        site_of, max_load = self.planner.site, self.limits.max_load
        for site in {site_of.get(target, ""), *(site_of.get(dependent, "") for dependent in dependents)}:
            lost = sum(site_of.get(name, "") == site for name in (target, *dependents)) if site else 0
            if not lost or lost >= len(self.planner.groups[site].targets):
                continue  # it is all of the site: nothing else there could carry its load
            capacity = self.capacity.get(site, 0.0) - lost
            if self.load.get(site, 0.0) > MIN_LOAD and self.load[site] > max_load * max(capacity, 1e-9):
                return (
                    f"{site}: those left would carry {self.load[site]:.2f} on {max(0.0, capacity):.2f} nodes'"
                    f" worth of cores, over {max_load:g}"
                )
        return ""

    def _take(self, target: str) -> None:
        """Add a target to the batch; what depends on it stops serving with it."""
        for name in (target, *self.planner.topology.dependents.get(target, ())):
            self._add_serving(name, -1)
            site = self.planner.site.get(name, "")
            self.capacity[site] = self.capacity.get(site, 0.0) - 1.0
        site = self.planner.site.get(target, "")
        self.chosen_at[site] = self.chosen_at.get(site, 0) + 1
        self.targets.append(target)
