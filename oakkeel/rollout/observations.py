"""The last reports of agents about targets, as the rollout controller received them. Free of I/O."""

from __future__ import annotations

from dataclasses import dataclass

from oakkeel.disruption.allocator import PermitAllocator
from oakkeel.disruption.state import DisruptionTask
from oakkeel.rollout.gates import Gate
from oakkeel.rollout.messages import TargetStatus
from oakkeel.rollout.plan import BatchPlanner, TargetObservation
from oakkeel.rollout.release import Release, TargetState
from oakkeel.rollout.samples import AgeClass, Arm, Population, ProcessIdentity, ProcessReport

COLD_PHASE = "cold"  # warming up
RUNNING_PHASES = (COLD_PHASE, "serving")
# Phases of a target that has a process, except while the process drains.
PROCESS_PHASES = ("starting", COLD_PHASE, "serving", "silent", "stuck")
BROKEN_PHASES = ("failing", "stopped", "silent", "stuck")


@dataclass(slots=True, frozen=True)
class DeathCount:
    """The number of crashes of the processes of a target since its agent started."""

    incarnation: int  # of the agent
    deaths: int


class Observations:
    """The last report of each target, and the conditions of a release that depend on it."""

    def __init__(self, allocator: PermitAllocator) -> None:
        """Start without any report."""
        self.allocator = allocator
        self.planner = BatchPlanner(allocator.topology)
        self.targets: dict[str, TargetObservation] = {}
        self.death_counts: dict[str, DeathCount] = {}

    def update_topology(self) -> None:
        """Use a changed topology from now on."""
        self.planner = BatchPlanner(self.allocator.topology)

    def record(self, status: TargetStatus, observed_at: int) -> str | None:
        """Store a report no older than `observed_at`, in monotonic nanoseconds.

        Returns the version in the previous report; None if a later report is stored already.
        """
        previous = self.targets.get(status.name)
        if previous and previous.observed_at > observed_at:
            return None
        previous_version = previous.version if previous else status.version
        self.targets[status.name] = TargetObservation(
            status.name,
            status.phase,
            status.generation,
            status.version or (previous_version if status.age < 0 else ""),
            observed_at,
            status.load,
            status.backing_off,
        )
        return previous_version

    def add_to_gate(
        self,
        now: int,
        gate: Gate,
        release: Release,
        incarnation: int,
        status: TargetStatus,
        previous_version: str,
    ) -> None:
        """Add a recorded report to the gate; `previous_version` is the version in the report before it.

        `incarnation` is that of the agent, which counts crashes from zero in each incarnation.
        """
        previous = self.death_counts.get(status.name)
        self.death_counts[status.name] = DeathCount(incarnation, status.deaths)
        if previous and previous.incarnation == incarnation and status.deaths > previous.deaths:
            arms = [
                self.arm(release, name, observation.version)
                for name, observation in self.targets.items()
                if observation.is_serving or name == status.name
            ]
            running = Population(arms.count(Arm.NEW), arms.count(Arm.OLD))
            gate.record_death(self.arm(release, status.name, previous_version), running)
        if status.samples is not None and status.phase in RUNNING_PHASES:
            process = ProcessIdentity(status.version, status.generation)
            age_class = AgeClass.COLD if status.phase == COLD_PHASE else AgeClass.WARM
            arm = self.arm(release, status.name, status.version)
            gate.record(now, status.name, arm, ProcessReport(process, age_class, status.samples))

    def arm(self, release: Release, target: str, version: str) -> Arm:
        """Return the arm of a target that runs `version`.

        In a release of services, an instance belongs to the arm of the services on which it depends, and to
        neither arm while their states differ.
        """
        if not release.spec.services:
            return Arm.NEW if version == release.spec.version else Arm.OLD
        states = {
            release.targets[service].state
            for service in self.planner.services_of.get(target, ())
            if service in release.targets
        }
        if states == {TargetState.NEW}:
            return Arm.NEW
        return Arm.OLD if states == {TargetState.OLD} else Arm.NEITHER

    def fresh_observation(self, now: int, target: str) -> TargetObservation | None:
        """Return the last report of a target, unless it is stale."""
        observation = self.targets.get(target)
        return observation if observation and observation.is_fresh(now) else None

    def has_reached_batch_version(self, now: int, release: Release, target: str) -> bool:
        """Return whether a target of the open batch runs the version of the batch.

        A service, which reports no version, has arrived once it is available.
        """
        if release.spec.services:
            return target not in self.allocator.unavailable.reasons
        observation = self.fresh_observation(now, target)
        return bool(
            observation
            and observation.phase in RUNNING_PHASES
            and (observation.version == release.spec.version) is release.batch_forward
        )

    def deviates(self, now: int, release: Release, target: str) -> bool:
        """Return whether a target runs another version than a finished batch assigned to it.

        A target deviates if it crashed and restarted before its agent received the assignment.
        """
        observation = self.fresh_observation(now, target)
        if release.spec.services or observation is None:
            return False
        updated = observation.version == release.spec.version
        return observation.phase in RUNNING_PHASES and updated is release.rolling_back

    def is_broken(self, now: int, target: str) -> bool:
        """Return whether a target is down and will not recover without an operator."""
        observation = self.fresh_observation(now, target)
        return bool(observation and (observation.backing_off or observation.phase in BROKEN_PHASES))

    def is_updated(self, release: Release, target: str, tasks: dict[str, DisruptionTask]) -> bool:
        """Return whether a target runs the new version, or may start with it at any moment.

        A target without a process, or with a draining one, may start with the version of the batch and has to
        be changed again. A service runs the new version if its operator has replaced it.
        """
        if release.spec.services:
            replaced = target in tasks and tasks[target].state == "done"
            return replaced is release.batch_forward
        observation = self.targets.get(target)
        if observation is None or observation.phase not in PROCESS_PHASES:
            return True
        return observation.version == release.spec.version
