"""Starting and finishing the batches of a release. Free of I/O.

Each function looks at the state once and returns the next step; the controller proposes it.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from oakkeel.disruption.state import OPEN_STATES, TIMEOUT_OPERATOR, DisruptionOrder, DisruptionTask
from oakkeel.rollout import commands
from oakkeel.rollout.gates import Decision, Gate
from oakkeel.rollout.observations import Observations
from oakkeel.rollout.plan import BatchLimits
from oakkeel.rollout.state_machine import Release, RolloutState
from oakkeel.units import SECOND

MAX_BATCH = 500  # targets
GRACE = 8 * SECOND  # past the time of a batch, before it counts as lost
NOT_STARTED = ("refused", "expired", "halted", "cancelled", "done")  # states of a task that changed nothing


@dataclass(slots=True, frozen=True)
class Step:
    """The next command, if there is one; `why` says what is waited for, None leaves the last reason."""

    command: commands.Command | None = None
    why: str | None = None
    retry: bool = False  # look again after a moment, not at once


@dataclass(slots=True, frozen=True)
class BatchView:
    """All that decides about a batch at one moment; `state` is the replicated state."""

    now: int
    state: RolloutState
    release: Release
    gate: Gate
    observations: Observations
    fence: int

    @property
    def tasks(self) -> dict[str, DisruptionTask]:
        """Return the tasks of the last batch's order, by target."""
        order = self.order
        return order.tasks if order else {}

    @property
    def order(self) -> DisruptionOrder | None:
        """Return the order of the last batch."""
        return self.state.orders.get(self.release.order_id)

    def halt(self, why: str) -> Step:
        """Halt the release, with what the gate has learnt."""
        return Step(self.record_verdict(why))

    def record_verdict(self, why: str = "") -> commands.RecordVerdict:
        """Store what the gate has learnt; with a reason the release halts."""
        release, gate = self.release, self.gate
        return commands.RecordVerdict(
            release.ident, self.fence, release.step, gate.encode_state(), gate.summary(), why
        )

    def last_event(self, target: str) -> str:
        """Return what happened to a target in the last batch, for people."""
        task = self.tasks.get(target)
        return task.reason or task.state if task else "nothing was ordered"


def finish_batch(view: BatchView, started_at: int) -> Step:
    """Finish the open batch once all of it has ended, or halt the release where it does not."""
    release, tasks = view.release, view.tasks
    open_targets = [
        target
        for target in (*release.in_progress, *release.controls)
        if target in tasks and tasks[target].state in OPEN_STATES
    ]
    stopped = _is_stopped(view)
    if not stopped and (halt := _check_batch(view)):
        return halt
    time_left = started_at + release.policy.batch_timeout + GRACE - view.now
    if release.state in ("running", "undoing") and time_left < 0:
        late = next((target for target in open_targets or release.in_progress), "")
        return view.halt(f"{late} was not heard of in the time of its batch")
    if waiting := _wait_for_batch(view, stopped, open_targets):
        return Step(None, waiting)
    if not release.spec.services and any(
        view.observations.fresh(view.now, target) is None for target in release.in_progress
    ):
        return Step(None, "waits to hear of all in the batch")
    updated = [
        target for target in release.in_progress if view.observations.is_updated(release, target, tasks)
    ]
    return Step(commands.FinishBatch(release.ident, view.fence, release.step, updated), "")


def _is_stopped(view: BatchView) -> bool:
    """Tell whether the batch no longer has to reach its end."""
    release, order = view.release, view.order
    order_halted = bool(order and order.halted_by not in ("", TIMEOUT_OPERATOR))
    reversed_since = release.batch_forward is release.rolling_back
    return release.state in ("paused", "halted") or order_halted or reversed_since


def _check_batch(view: BatchView) -> Step | None:
    """Halt where a target has failed, or the gates find the new version worse."""
    release, tasks = view.release, view.tasks
    for target in release.in_progress:
        if target in tasks and tasks[target].state == "failed":
            version = "old" if release.rolling_back else "new"
            return view.halt(f"{target} did not come up with the {version}: {view.last_event(target)}")
    if release.policy.gated and not release.rolling_back:
        verdict = view.gate.verdict(view.gate.reference_weight())
        if verdict.decision is Decision.WORSE:
            return view.halt(verdict.why)
    return None


def _wait_for_batch(view: BatchView, stopped: bool, open_targets: list[str]) -> str:
    """Say what of the batch is waited for; empty: nothing."""
    release, tasks, permits = view.release, view.tasks, view.state.permits
    taken_out = [
        target
        for target in release.in_progress
        if target in permits and permits[target].order_id == release.order_id
    ]
    if open_targets or taken_out:
        # What is broken will not come back by itself: a halted release says so and lets it be.
        missing = {*open_targets, *taken_out} & set(release.in_progress)
        if not stopped or any(not view.observations.is_broken(view.now, target) for target in missing):
            return f"batch {release.batch}: {', '.join((open_targets or taken_out)[:5])} not back yet"
        return ""
    # Where no task was started, the targets that have not arrived can be tried again.
    nothing_started = all(
        tasks[target].state in NOT_STARTED for target in release.in_progress if target in tasks
    )
    arrived = [
        target for target in release.in_progress if view.observations.has_arrived(view.now, release, target)
    ]
    if not stopped and len(arrived) < len(release.in_progress) and not nothing_started:
        return f"batch {release.batch}: waits to hear what it runs"
    return ""


def start_batch(view: BatchView, remaining: list[str], busy: dict[str, str]) -> Step:
    """Start the next batch of the remaining targets; `busy` are those with an open order, and whose."""
    release, policy, observations = view.release, view.release.policy, view.observations
    free = [target for target in remaining if target not in busy]
    if not free:
        return Step(None, f"{busy[remaining[0]]} stands on {remaining[0]}")
    max_targets = max(1, min(_batch_size(release, len(remaining)), MAX_BATCH))
    choice = observations.planner.choose(
        view.now,
        free,
        observations.targets,
        observations.allocator.unavailable,
        BatchLimits(max_targets, policy.max_load, release.rolling_back, len(release.targets) > 1),
    )
    if not choice.targets:
        return Step(None, choice.why, retry=True)
    controls: list[str] = []
    if policy.control and policy.gated and not release.batch and not release.spec.services:
        controls = _choose_controls(view, choice.targets)
    return Step(
        commands.StartBatch(
            release.ident,
            view.fence,
            release.step,
            release.unix,
            _with_generations(observations, choice.targets),
            _with_generations(observations, controls),
        )
    )


def _batch_size(release: Release, remaining: int) -> int:
    """Return how many targets the next batch may have by the policy."""
    policy = release.policy
    if release.rolling_back:
        return policy.max_batch or remaining
    if not release.batch:
        return policy.canary
    updated = sum(target.state == "new" for target in release.targets.values())
    size = max(policy.canary, int(updated * (policy.growth - 1)) if policy.gated else remaining)
    return min(size, policy.max_batch or size)


def _with_generations(observations: Observations, targets: Sequence[str]) -> list[tuple[str, int]]:
    known = observations.targets
    return [(target, known[target].generation if target in known else 0) for target in targets]


def _choose_controls(view: BatchView, chosen: list[str]) -> list[str]:
    """Choose as many old targets, to restart beside the canaries, where the budgets allow both."""
    observations, release = view.observations, view.release
    unavailable = observations.allocator.unavailable
    others = [
        target
        for target in observations.planner.site
        if target not in chosen
        and (observation := observations.targets.get(target))
        and observation.is_serving
        and observations.arm(release, target, observation.version) == "old"
        and not unavailable.find_violation([*chosen, target])
    ]
    limits = BatchLimits(len(chosen), release.policy.max_load)
    found = observations.planner.choose(view.now, others, observations.targets, unavailable, limits).targets
    return [] if unavailable.find_violation([*chosen, *found]) else found
