"""What agents last reported about targets, as the rollout controller sees it. Free of I/O."""

from __future__ import annotations

from dataclasses import dataclass

from oakkeel.disruption.allocator import PermitAllocator
from oakkeel.disruption.state import DisruptionTask
from oakkeel.rollout.gates import Gate
from oakkeel.rollout.messages import TargetStatus
from oakkeel.rollout.plan import BatchPlanner, TargetObservation
from oakkeel.rollout.state_machine import Release

RUNNING_PHASES = ("cold", "serving")
PROCESS_PHASES = ("starting", "cold", "serving", "silent", "stuck")  # with a process that stays
BROKEN_PHASES = ("failing", "stopped", "silent", "stuck")


@dataclass(slots=True, frozen=True)
class DeathCount:
    """How often a target's process has ended by itself since its agent started."""

    incarnation: int  # of the agent
    deaths: int


class Observations:
    """The last report of each target, and what it means for a release."""

    def __init__(self, allocator: PermitAllocator) -> None:
        """Begin without any report."""
        self.allocator = allocator
        self.planner = BatchPlanner(allocator.topology)
        self.targets: dict[str, TargetObservation] = {}
        self.death_counts: dict[str, DeathCount] = {}

    def update_topology(self) -> None:
        """Take over a changed topology."""
        self.planner = BatchPlanner(self.allocator.topology)

    def record(self, status: TargetStatus, observed_at: int) -> str | None:
        """Store a report no older than `observed_at`.

        Returns the version that was known before; None where a newer report is known already.
        """
        known = self.targets.get(status.name)
        if known and known.observed_at > observed_at:
            return None
        before = known.version if known else status.version
        self.targets[status.name] = TargetObservation(
            status.name,
            status.phase,
            status.generation,
            status.version or (before if status.age < 0 else ""),
            observed_at,
            status.load,
            status.backing_off,
        )
        return before

    def feed(
        self, now: int, gate: Gate, release: Release, incarnation: int, status: TargetStatus, before: str
    ) -> None:
        """Give a recorded report to the gate; `before` is the version that was known until then."""
        known = self.death_counts.get(status.name)
        self.death_counts[status.name] = DeathCount(incarnation, status.deaths)
        if known and known.incarnation == incarnation and status.deaths > known.deaths:
            arms = [
                self.arm(release, name, observation.version)
                for name, observation in self.targets.items()
                if observation.is_serving or name == status.name
            ]
            gate.record_death(
                status.name, self.arm(release, status.name, before), arms.count("new"), arms.count("old")
            )
        if status.samples is not None and status.phase in RUNNING_PHASES:
            gate.record(
                now,
                status.name,
                self.arm(release, status.name, status.version),
                status.version,
                status.generation,
                status.phase == "cold",
                status.samples,
            )

    def arm(self, release: Release, target: str, version: str) -> str:
        """Return `new`, `old`, or empty for neither.

        In a release of services an instance belongs to the arm of the services that it depends on.
        """
        if not release.spec.services:
            if target not in release.targets:
                return "old" if version != release.spec.version else "new"
            return "new" if version == release.spec.version else "old"
        states = {
            release.targets[service].state
            for service in self.planner.services_of.get(target, ())
            if service in release.targets
        }
        return {"old": "old", "new": "new"}.get(states.pop(), "") if len(states) == 1 else ""

    def fresh(self, now: int, target: str) -> TargetObservation | None:
        """Return the last report of a target, unless it is stale."""
        observation = self.targets.get(target)
        return observation if observation and observation.is_fresh(now) else None

    def has_arrived(self, now: int, release: Release, target: str) -> bool:
        """Tell whether a target of the open batch runs what the batch brings."""
        if release.spec.services:
            return target not in self.allocator.unavailable.reasons
        observation = self.fresh(now, target)
        return bool(
            observation
            and observation.phase in RUNNING_PHASES
            and (observation.version == release.spec.version) is release.batch_forward
        )

    def deviates(self, now: int, release: Release, target: str) -> bool:
        """Tell whether a target runs something else than the finished batch gave it.

        That is so where it died before its agent had heard of its version.
        """
        observation = self.fresh(now, target)
        if release.spec.services or observation is None:
            return False
        updated = observation.version == release.spec.version
        return observation.phase in RUNNING_PHASES and updated is release.rolling_back

    def is_broken(self, now: int, target: str) -> bool:
        """Tell whether a target will not come back by itself."""
        observation = self.fresh(now, target)
        return bool(observation and (observation.backing_off or observation.phase in BROKEN_PHASES))

    def is_updated(self, release: Release, target: str, tasks: dict[str, DisruptionTask]) -> bool:
        """Tell whether a target runs the new version by now, or will run it.

        One with no process, or whose process drains, may be started with what the batch brings at any moment,
        and has to be changed again. For a service: whether the operator has replaced it.
        """
        if release.spec.services:
            replaced = target in tasks and tasks[target].state == "done"
            return replaced is release.batch_forward
        observation = self.targets.get(target)
        if observation is None or observation.phase not in PROCESS_PHASES:
            return True
        return observation.version == release.spec.version
