"""The state machine of a host's instances: it applies the rules of `supervision_rules`. Free of I/O.

Its caller reports events (`apply_report`, `record_exit`, ...), calls `tick` periodically and executes
the returned steps. Only the end of its process shows that an instance is down; missing reports do not.
A process is killed only after it was asked to drain and its time for that (`kill_timeout`) has expired.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from oakkeel.agent.instances import REPORTED_PHASES, TRANSITIONS, Goal, Instance, Phase
from oakkeel.agent.supervision_rules import (
    Action,
    SupervisionTimeouts,
    decide_restart,
    has_generation_left,
    is_silent,
    is_start_due,
    is_stuck,
    is_unavailable,
    next_drain_action,
    remove_old_crashes,
)
from oakkeel.control.messages import NodeStatus
from oakkeel.errors import InvalidTransitionError

AGENT_NAME = "the agent"  # stored as `changed_by` of an instance that no operator changed


@dataclass(slots=True, frozen=True)
class Step:
    """An action on an instance, for the executor."""

    action: Action
    instance: Instance


class Supervisor:
    """Supervises the instances of one host. `max_unavailable` is the host's part of each site's budget."""

    def __init__(
        self,
        instances: Iterable[Instance],
        timeouts: SupervisionTimeouts,
        max_unavailable: dict[str, int],
        seed: int,
        unix_time: Callable[[], int],
    ) -> None:
        """`unix_time` returns the wall-clock time for display; no decision depends on it."""
        self.instances = list(instances)
        self.timeouts = timeouts
        self.max_unavailable = max_unavailable
        self.unix_time = unix_time
        self.random = Random(seed).random
        self.unavailable = dict.fromkeys({instance.site for instance in self.instances}, 0)  # count by site
        self.starting_count = 0
        for instance in self.instances:
            self.unavailable[instance.site] += is_unavailable(instance)
            self.starting_count += instance.phase is Phase.STARTING

    # Events.

    def apply_report(
        self, now: int, instance: Instance, state: str, generation: int, report: NodeStatus
    ) -> None:
        """Apply the report of a node; a report of another generation is ignored."""
        if not instance.has_process:
            return  # the report was sent before the process ended
        if generation != instance.process_generation:
            instance.why = (
                f"received a report of generation {generation}, expected {instance.process_generation}"
            )
            return
        instance.last_report_at = now
        instance.report = report
        instance.running_version = report.version
        reported_phase = REPORTED_PHASES[state]
        has_other_phase = instance.phase is not Phase.DRAINING and reported_phase is not instance.phase
        has_resumed_service = instance.is_drain_cancelled and reported_phase in (Phase.COLD, Phase.SERVING)
        if has_other_phase or has_resumed_service:
            instance.is_drain_cancelled = False
            instance.is_drain_cancellable = False
            instance.kill_after_drain = False
            self._transition(now, instance, reported_phase)
        if instance.phase is Phase.SERVING and now - instance.phase_since > self.timeouts.steady_after_ns:
            instance.consecutive_crashes = 0

    def record_start(self, now: int, instance: Instance, stop_after_ns: int = 0) -> None:
        """Record that the process of an instance was started.

        `stop_after_ns` is the time that its configuration gives it from SIGTERM to SIGKILL; 0: unknown.
        """
        instance.is_spawned = True
        instance.stop_after_ns = stop_after_ns
        instance.is_changed = True

    def record_failed_start(self, now: int, instance: Instance, why: str) -> None:
        """Record that the process of an instance could not be started, which counts as a crash."""
        self.record_exit(now, instance, why)

    def record_adoption(self, now: int, instance: Instance, generation: int, stop_after_ns: int = 0) -> None:
        """Take over a process that was running when the agent started; see `record_start`."""
        instance.process_generation = generation
        instance.is_spawned = True
        instance.generation = max(instance.generation, generation)
        instance.stop_after_ns = stop_after_ns
        instance.last_report_at = now  # the silence timeout starts now
        instance.report = None
        if not instance.has_process:
            self._transition(now, instance, Phase.STARTING)
        # A drain is sent again: it is idempotent, and the earlier drain may not have arrived.
        instance.drain_sent_at = 0

    def record_missing_process(self, now: int, instance: Instance, recorded_generation: int) -> None:
        """Record that an instance has no process when the agent starts."""
        if not instance.has_process:
            return
        # The pid file's `recorded_generation` shows whether a process of the last generation was started.
        if instance.is_spawned or recorded_generation == instance.process_generation:
            self.record_exit(now, instance, "its process ended while no agent was running")
        else:
            self.record_abandoned_start(now, instance)

    def record_abandoned_start(self, now: int, instance: Instance) -> None:
        """Record that a start was decided, but no process was started."""
        instance.start_not_before = now
        self._transition(now, instance, Phase.STOPPED)

    def record_exit(self, now: int, instance: Instance, why: str) -> None:
        """Record that the process of an instance has ended: stopped after a drain, otherwise crashed."""
        if not instance.has_process:
            return
        is_expected = instance.phase is Phase.DRAINING or instance.goal is Goal.DOWN
        instance.drain_sent_at = 0
        instance.kill_after_drain = False
        instance.report = None
        instance.is_drain_cancellable = False
        instance.is_drain_cancelled = False
        if is_expected:
            instance.start_not_before = now
            self._transition(now, instance, Phase.STOPPED)
        else:
            self._record_crash(now, instance, why)
            self._transition(now, instance, Phase.FAILING)

    def _record_crash(self, now: int, instance: Instance, why: str) -> None:
        """Count a crash and set when the instance may be started again."""
        timeouts = self.timeouts
        instance.why = why
        instance.crashes_since_agent_start += 1
        instance.crash_times.append(now)
        remove_old_crashes(now, instance.crash_times, timeouts.restart_window_ns)
        while len(instance.crash_times) > timeouts.max_restarts + 1:
            instance.crash_times.popleft()
        decision = decide_restart(
            now, instance.crash_times, instance.consecutive_crashes, timeouts, self.random()
        )
        instance.consecutive_crashes += 1
        instance.start_not_before = decision.start_not_before
        if decision.restarts_exhausted:
            instance.restarts_exhausted = True

    # Commands.

    def order_start(self, now: int, instance: Instance) -> None:
        """Start an instance without backoff and with a new restart budget."""
        instance.goal = Goal.UP
        instance.is_changed = True
        instance.start_not_before = now
        instance.consecutive_crashes = 0
        instance.restarts_exhausted = False
        instance.crash_times.clear()

    def order_stop(self, now: int, instance: Instance, kill: bool, cancellable: bool = False) -> None:
        """Drain an instance. `kill`: kill it after the drain timeout; `cancellable`: allow a cancellation."""
        instance.goal = Goal.DOWN
        instance.is_changed = True
        if instance.phase is Phase.FAILING:
            self._transition(now, instance, Phase.STOPPED)
        elif instance.has_process:
            instance.is_drain_cancellable = cancellable
            self._drain(now, instance, kill)

    def cancel_stop(self, now: int, instance: Instance) -> None:
        """Cancel the drain of an instance, or start the instance again if its process has ended."""
        self.order_start(now, instance)
        if instance.phase is Phase.DRAINING and instance.is_drain_cancellable:
            instance.is_drain_cancelled = True
            instance.drain_sent_at = 0

    def revert_unsent_drain(self, now: int, instance: Instance, reported_state: str) -> None:
        """Revert a drain that was not sent. `reported_state` is the last state that the process reported."""
        instance.goal = Goal.UP
        instance.is_changed = True
        instance.is_drain_cancellable = False
        instance.kill_after_drain = False
        instance.is_drain_cancelled = False
        instance.drain_sent_at = 0
        if instance.phase is Phase.DRAINING:
            self._transition(now, instance, Phase.SERVING if reported_state == "serving" else Phase.COLD)

    def order_restart(self, now: int, instance: Instance) -> None:
        """Drain an instance, kill it after the drain timeout, and start it again."""
        self.order_start(now, instance)
        if instance.has_process:
            self._drain(now, instance, True)

    def has_capacity(self, instance: Instance) -> bool:
        """Whether an instance may be taken out of service; crashed instances count against the budget too."""
        has_budget = self.unavailable[instance.site] < self.max_unavailable[instance.site]
        return is_unavailable(instance) or has_budget

    def tick(self, now: int) -> list[Step]:
        """Return the steps that are due; each is returned once."""
        steps = []
        for instance in self.instances:
            if action := self._next_action(now, instance):
                steps.append(Step(action, instance))
        return steps

    def _next_action(self, now: int, instance: Instance) -> Action | None:
        if instance.phase in (Phase.STOPPED, Phase.FAILING):
            if not self._may_start(now, instance):
                return None
            self._start(now, instance)
            return Action.START
        if instance.phase is Phase.DRAINING:
            action = next_drain_action(now, instance, self.timeouts)
            if action is not None:
                instance.drain_sent_at = now  # a kill is repeated after the same timeout
            return action
        self._check_silence(now, instance)
        return None

    def _may_start(self, now: int, instance: Instance) -> bool:
        if not is_start_due(now, instance):
            return False
        if not has_generation_left(instance):
            instance.why = "no reserved generation is left; it is started once the leader reserves more"
            return False
        return self.starting_count < self.timeouts.max_starting

    def _check_silence(self, now: int, instance: Instance) -> None:
        if instance.phase is Phase.SILENT:
            if is_stuck(now, instance, self.timeouts):
                self._transition(now, instance, Phase.STUCK)
        elif instance.phase is Phase.STUCK:
            if self.timeouts.restart_stuck and self._spend_restart(now, instance):
                instance.why = "stuck: it sent no report for the stuck timeout"
                self._drain(now, instance, True)
        elif is_silent(now, instance, self.timeouts):
            self._transition(now, instance, Phase.SILENT)

    def _spend_restart(self, now: int, instance: Instance) -> bool:
        """Charge a restart to the restart budget; return False if the budget is spent."""
        remove_old_crashes(now, instance.crash_times, self.timeouts.restart_window_ns)
        if len(instance.crash_times) >= self.timeouts.max_restarts:
            return False
        instance.crash_times.append(now)
        return True

    def _start(self, now: int, instance: Instance) -> None:
        """Begin a start with a new generation, or with the last generation if no process has used it."""
        if instance.is_spawned or not instance.process_generation:
            instance.generation += 1
            instance.process_generation = instance.generation
            instance.is_spawned = False
            instance.changed_at = self.unix_time()
            if instance.task is None:
                instance.changed_by = AGENT_NAME
        instance.restarts_exhausted = False
        instance.last_report_at = now
        self._transition(now, instance, Phase.STARTING)

    def _drain(self, now: int, instance: Instance, kill: bool) -> None:
        instance.kill_after_drain = kill or instance.kill_after_drain
        if instance.phase is not Phase.DRAINING:
            instance.drain_sent_at = 0
            self._transition(now, instance, Phase.DRAINING)

    def _transition(self, now: int, instance: Instance, phase: Phase) -> None:
        """Change the phase of an instance; no other function changes it. Raises InvalidTransitionError."""
        if phase not in TRANSITIONS[instance.phase]:
            raise InvalidTransitionError(instance.name, instance.phase.value, phase.value)
        self.unavailable[instance.site] -= is_unavailable(instance)
        self.starting_count -= instance.phase is Phase.STARTING
        instance.phase = phase
        instance.phase_since = now
        instance.is_changed = True
        self.unavailable[instance.site] += is_unavailable(instance)
        self.starting_count += phase is Phase.STARTING
