"""Starts and finishes the batches of a release. Free of I/O.

Each function decides the next step from a `BatchView`; the controller proposes the command of the step.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from oakkeel.disruption.state import OPEN_FLEET_TASK_STATES, TIMEOUT_OPERATOR, DisruptionOrder, DisruptionTask
from oakkeel.rollout import commands
from oakkeel.rollout.gates import Decision, Gate
from oakkeel.rollout.observations import Observations
from oakkeel.rollout.plan import BatchLimits
from oakkeel.rollout.release import MOVING_STATES, STOPPED_STATES, Release, RolloutState, TargetState
from oakkeel.rollout.samples import Arm
from oakkeel.units import SECOND

MAX_BATCH = 500  # targets of one batch
BATCH_GRACE_NS = 8 * SECOND  # added to the timeout of a batch, for its last reports to arrive
MAX_LISTED_TARGETS = 5  # targets that one reason names
# Final states of a task after which a batch finishes without a report of the new process: the task was not
# started, or it completed. A target that does not run the intended version is changed again by a later batch.
ENDED_WITHOUT_FAILURE = ("refused", "expired", "halted", "cancelled", "done")


@dataclass(slots=True, frozen=True)
class Step:
    """The next command, if any, and the reason why the release waits."""

    command: commands.Command | None = None
    why: str | None = None  # None keeps the last reason, an empty text clears it
    retry: bool = False  # whether to plan again after a delay


@dataclass(slots=True, frozen=True)
class BatchView:
    """The inputs of all decisions on a batch at one time; `state` is the replicated state."""

    now: int  # monotonic nanoseconds
    state: RolloutState
    release: Release
    gate: Gate
    observations: Observations
    fence: int  # fencing token of the controller's lease

    @property
    def tasks(self) -> dict[str, DisruptionTask]:
        """Return the tasks of the order of the last batch, by target."""
        order = self.order
        return order.tasks if order else {}

    @property
    def order(self) -> DisruptionOrder | None:
        """Return the order of the last batch."""
        return self.state.orders.get(self.release.order_id)

    def halt_step(self, why: str) -> Step:
        """Return the step that halts the release."""
        return Step(self.verdict_command(why))

    def verdict_command(self, why: str = "") -> commands.RecordVerdict:
        """Return the command that stores the state of the gate, and with a reason halts the release."""
        release = self.release
        gate = self.gate
        return commands.RecordVerdict(
            release.ident, self.fence, release.step, gate.encode_state(), gate.summary(), why
        )

    def last_outcome(self, target: str) -> str:
        """Return the reason or state of the task of a target in the last batch, for display."""
        task = self.tasks.get(target)
        return task.reason or task.state if task else "it was not part of the order"


def finish_batch(view: BatchView, started_at: int) -> Step:
    """Return the step that finishes the open batch, halts the release, or waits.

    A batch finishes once its tasks have ended and its targets have reported. The release halts if a target
    failed, if the gate finds the new version worse, or if the batch exceeds its timeout; `started_at` is in
    monotonic nanoseconds.
    """
    release = view.release
    tasks = view.tasks
    open_targets = [
        target
        for target in (*release.in_progress, *release.comparison_targets)
        if target in tasks and tasks[target].state in OPEN_FLEET_TASK_STATES
    ]
    is_stopped = _is_stopped(view)
    if not is_stopped and (why := _failure_reason(view)):
        return view.halt_step(why)
    time_left = started_at + release.policy.batch_timeout + BATCH_GRACE_NS - view.now
    if release.state in MOVING_STATES and time_left < 0:
        late_target = next((target for target in open_targets or release.in_progress), "")
        return view.halt_step(f"{late_target} did not finish before the timeout of its batch")
    if wait_reason := _wait_reason(view, is_stopped, open_targets):
        return Step(None, wait_reason)
    if not release.spec.services and any(
        view.observations.fresh_observation(view.now, target) is None for target in release.in_progress
    ):
        return Step(None, "waits for reports of all targets in the batch")
    updated = [
        target for target in release.in_progress if view.observations.is_updated(release, target, tasks)
    ]
    return Step(commands.FinishBatch(release.ident, view.fence, release.step, updated), "")


def _is_stopped(view: BatchView) -> bool:
    """Return whether the open batch need not complete: it was halted, or its release stopped or reversed."""
    release = view.release
    order = view.order
    order_halted = bool(order and order.halted_by not in ("", TIMEOUT_OPERATOR))
    is_reversed = release.batch_forward is release.rolling_back
    return release.state in STOPPED_STATES or order_halted or is_reversed


def _failure_reason(view: BatchView) -> str:
    """Return why the release has to halt, for a failed target or a worse version; empty if neither."""
    release = view.release
    tasks = view.tasks
    for target in release.in_progress:
        if target in tasks and tasks[target].state == "failed":
            version = "old" if release.rolling_back else "new"
            return f"{target} did not start with the {version} version: {view.last_outcome(target)}"
    if release.policy.gated and not release.rolling_back:
        verdict = view.gate.verdict(view.gate.reference_weight())
        if verdict.decision is Decision.WORSE:
            return verdict.why
    return ""


def _wait_reason(view: BatchView, is_stopped: bool, open_targets: list[str]) -> str:
    """Return why the open batch has to wait; empty if it can finish.

    A stopped batch does not wait for broken targets: they do not recover without an operator.
    """
    release = view.release
    tasks = view.tasks
    permits = view.state.permits
    targets_with_permit = [
        target
        for target in release.in_progress
        if target in permits and permits[target].order_id == release.order_id
    ]
    if open_targets or targets_with_permit:
        awaited_targets = {*open_targets, *targets_with_permit} & set(release.in_progress)
        if not is_stopped or any(
            not view.observations.is_broken(view.now, target) for target in awaited_targets
        ):
            names = ", ".join((open_targets or targets_with_permit)[:MAX_LISTED_TARGETS])
            return f"batch {release.batch}: {names} not available again yet"
        return ""
    all_ended = all(
        tasks[target].state in ENDED_WITHOUT_FAILURE for target in release.in_progress if target in tasks
    )
    arrived_targets = [
        target
        for target in release.in_progress
        if view.observations.has_reached_batch_version(view.now, release, target)
    ]
    if not is_stopped and len(arrived_targets) < len(release.in_progress) and not all_ended:
        return f"batch {release.batch}: waits for reports of the running versions"
    return ""


def start_batch(view: BatchView, remaining: list[str], busy: dict[str, str]) -> Step:
    """Return the step that starts the next batch; `busy` describes the open order by target."""
    release = view.release
    policy = release.policy
    observations = view.observations
    targets_without_order = [target for target in remaining if target not in busy]
    if not targets_without_order:
        return Step(None, f"{remaining[0]} has an open order: {busy[remaining[0]]}")
    max_targets = batch_size(release, len(remaining))
    choice = observations.planner.choose(
        view.now,
        targets_without_order,
        observations.targets,
        observations.allocator.unavailable,
        BatchLimits(max_targets, policy.max_load, release.rolling_back, len(release.targets) > 1),
    )
    if not choice.targets:
        return Step(None, choice.why, retry=True)
    comparison_targets: list[str] = []
    if policy.control and policy.gated and not release.batch and not release.spec.services:
        comparison_targets = _choose_comparison_targets(view, choice.targets)
    return Step(
        commands.StartBatch(
            release.ident,
            view.fence,
            release.step,
            release.unix,
            _with_generations(observations, choice.targets),
            _with_generations(observations, comparison_targets),
        )
    )


def batch_size(release: Release, remaining: int) -> int:
    """Return the maximum number of targets of the next batch, out of the remaining ones.

    A gated release starts with its canaries and grows by a factor, so that a bad version reaches few targets
    before the gates have samples. A batch of a rollback has as many targets as its policy allows.
    """
    policy = release.policy
    if release.rolling_back:
        size = policy.max_batch or remaining
    elif not release.batch:
        size = policy.canary
    else:
        updated = sum(target.state is TargetState.NEW for target in release.targets.values())
        size = max(policy.canary, int(updated * (policy.growth - 1)) if policy.gated else remaining)
        size = min(size, policy.max_batch or size)
    return max(1, min(size, MAX_BATCH))


def _with_generations(observations: Observations, targets: Sequence[str]) -> list[tuple[str, int]]:
    observed = observations.targets
    return [(target, observed[target].generation if target in observed else 0) for target in targets]


def _choose_comparison_targets(view: BatchView, chosen: list[str]) -> list[str]:
    """Choose targets that run the old version to restart together with the canaries, for comparison.

    Returns at most one for each canary; none if the budgets do not allow canaries and comparison targets
    together.
    """
    observations = view.observations
    release = view.release
    unavailable = observations.allocator.unavailable
    candidates = [
        target
        for target in observations.planner.site_of
        if target not in chosen
        and (observation := observations.targets.get(target))
        and observation.is_serving
        and observations.arm(release, target, observation.version) is Arm.OLD
        and not unavailable.find_violation([*chosen, target])
    ]
    limits = BatchLimits(len(chosen), release.policy.max_load)
    choice = observations.planner.choose(view.now, candidates, observations.targets, unavailable, limits)
    return [] if unavailable.find_violation([*chosen, *choice.targets]) else choice.targets
