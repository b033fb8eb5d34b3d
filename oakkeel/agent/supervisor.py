"""When to wait for an instance, start it, end it or let it rest. Free of I/O: time and chance are handed in.

The acting half tells what happened (`heard`, `died`, `spawned`, ...), calls `tick` now and then, and carries
out the steps that come back. Silence is never taken for death: only the end of the process proves that.
Nothing is killed that was not told to leave first and given its drain time.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from random import Random

from oakkeel.agent.instances import REPORTED, TRANSITIONS, Goal, Instance, Phase
from oakkeel.backoff import exponential_delay, with_jitter
from oakkeel.units import MS, SECOND

RECALL = 200 * MS  # from one word to a node that it may stay to the next


@dataclass(slots=True, frozen=True)
class SupervisionTimeouts:
    """How long the agent waits for what. Nanoseconds, but for counts."""

    silent: int = 750 * MS  # without a report, until an instance counts as silent
    start: int = 10 * SECOND  # the same while its process has yet to open its control link
    stuck: int = 30 * SECOND  # silent, until all it may have read is overdue: longer than any async timeout
    restart_stuck: bool = True
    drain: int = 10 * SECOND  # from SIGTERM to SIGKILL
    backoff: int = 500 * MS  # before the first start after a death; doubled with each in a row
    backoff_most: int = 30 * SECOND
    steady: int = 30 * SECOND  # serving for so long ends a row of deaths
    budget: int = 5  # starts after deaths within the window; then it rests until the window is over
    window: int = 300 * SECOND
    starting: int = 4  # processes of the host that may be starting at one time


class Action(Enum):
    """What a step asks the executor to do."""

    START = "start"  # a process of the instance's new generation
    TERM = "term"  # tell it to leave, for good
    DRAIN = "leave"  # tell it to leave in a way that can be taken back
    CANCEL_DRAIN = "stay"  # take that back
    KILL = "kill"


@dataclass(slots=True, frozen=True)
class Step:
    """Something for the acting half to do."""

    action: Action
    instance: Instance


class Supervisor:
    """The instances of one host. `away` holds, by site, how many of them may be out at one time."""

    def __init__(
        self,
        instances: Iterable[Instance],
        timeouts: SupervisionTimeouts,
        max_unavailable: dict[str, int],
        seed: int,
        unix_time: Callable[[], int],
    ) -> None:
        """`unix` gives the time for people; no decision hangs on it."""
        self.instances = list(instances)
        self.timeouts, self.max_unavailable, self.unix_time = timeouts, max_unavailable, unix_time
        self.random = Random(seed).random
        self.unavailable = dict.fromkeys({each.site for each in self.instances}, 0)  # by site
        self.starting_count = 0
        for each in self.instances:
            self.unavailable[each.site] += _out(each)
            self.starting_count += each.phase is Phase.STARTING

    # What happened.

    def report_received(
        self, now: int, instance: Instance, state: str, generation: int, report: object
    ) -> None:
        """A report came. One of another generation is by a process that is not ours to believe."""
        if not instance.alive:
            return  # on its way since before it ended
        if generation != instance.process_generation:
            instance.why = f"generation {generation} answers in place of {instance.process_generation}"
            return
        instance.last_report_at, instance.report = now, report
        instance.running_version = getattr(report, "version", "")
        reported_phase = REPORTED[state]
        if (instance.phase is not Phase.DRAINING and reported_phase is not instance.phase) or (
            instance.drain_cancelled and reported_phase in (Phase.COLD, Phase.SERVING)
        ):
            instance.drain_cancelled = instance.drain_cancellable = instance.kill_after_drain = False
            self._transition(now, instance, reported_phase)
        if instance.phase is Phase.SERVING and now - instance.phase_since > self.timeouts.steady:
            instance.failures = 0

    def process_started(self, now: int, instance: Instance) -> None:
        """Its process is there."""
        instance.spawned, instance.dirty = True, True

    def start_failed(self, now: int, instance: Instance, why: str) -> None:
        """No process came of it: as bad as one that dies at once."""
        self.process_exited(now, instance, why)

    def process_adopted(self, now: int, instance: Instance, generation: int) -> None:
        """Its process was found running when the agent started."""
        instance.process_generation, instance.spawned = generation, True
        instance.generation = max(instance.generation, generation)
        instance.last_report_at = now  # it has its time to answer from now on
        instance.report = None
        if not instance.alive:
            self._transition(now, instance, Phase.STARTING)
        instance.drain_sent_at = (
            0  # it is told again: it may not have heard, and a second time changes nothing
        )

    def process_not_found(self, now: int, instance: Instance, written: int) -> None:
        """No process of it is there when an agent starts. `written` is the generation that the last one told
        before its program began: by that it is known whether one was ever made."""
        if not instance.alive:
            return
        if instance.spawned or written == instance.process_generation:
            self.process_exited(now, instance, "ended while no agent watched")
        else:
            self.start_abandoned(now, instance)

    def start_abandoned(self, now: int, instance: Instance) -> None:
        """The agent ended between deciding on a process and making it."""
        instance.start_not_before = now
        self._transition(now, instance, Phase.STOPPED)

    def process_exited(self, now: int, instance: Instance, why: str) -> None:
        """Its process has ended: proved, not guessed."""
        if not instance.alive:
            return
        expected = instance.phase is Phase.DRAINING or instance.goal is Goal.DOWN
        instance.drain_sent_at, instance.kill_after_drain, instance.report = 0, False, None
        instance.drain_cancellable = instance.drain_cancelled = False
        if expected:
            instance.start_not_before = now
            self._transition(now, instance, Phase.STOPPED)
            return
        timeouts = self.timeouts
        instance.why, instance.crash_count = why, instance.crash_count + 1
        instance.crashes.append(now)
        while instance.crashes and instance.crashes[0] <= now - timeouts.window:
            instance.crashes.popleft()
        while len(instance.crashes) > timeouts.budget + 1:
            instance.crashes.popleft()
        delay = exponential_delay(timeouts.backoff, timeouts.backoff_most, instance.failures)
        instance.failures += 1
        instance.start_not_before = now + with_jitter(delay, self.random())
        if len(instance.crashes) > timeouts.budget:
            instance.restarts_exhausted = True
            instance.start_not_before = max(instance.start_not_before, instance.crashes[0] + timeouts.window)
        self._transition(now, instance, Phase.FAILING)

    # What is wanted.

    def order_start(self, now: int, instance: Instance) -> None:
        """By an order: at once, whatever it did before."""
        instance.goal, instance.dirty = Goal.UP, True
        instance.start_not_before, instance.failures, instance.restarts_exhausted = now, 0, False
        instance.crashes.clear()

    def order_stop(self, now: int, instance: Instance, kill: bool, soft: bool = False) -> None:
        """By an order: drained, and killed after its drain time if `kill`. One that leaves softly can be
        called back."""
        instance.goal, instance.dirty = Goal.DOWN, True
        if instance.phase is Phase.FAILING:
            self._transition(now, instance, Phase.STOPPED)
        elif instance.alive:
            instance.drain_cancellable = soft
            self._drain(now, instance, kill)

    def cancel_stop(self, now: int, instance: Instance) -> None:
        """By a cancel: it takes work again, or is started anew where it has ended by then."""
        self.order_start(now, instance)
        if instance.phase is Phase.DRAINING and instance.drain_cancellable:
            instance.drain_cancelled, instance.drain_sent_at = True, 0

    def revert_unsent_drain(self, now: int, instance: Instance, state: str) -> None:
        """It was to leave and was never told; `state` is what it reported last."""
        instance.goal, instance.dirty = Goal.UP, True
        instance.drain_cancellable = instance.kill_after_drain = instance.drain_cancelled = False
        instance.drain_sent_at = 0
        if instance.phase is Phase.DRAINING:
            self._transition(now, instance, Phase.SERVING if state == "serving" else Phase.COLD)

    def order_restart(self, now: int, instance: Instance) -> None:
        """By an order: drained, and started again."""
        self.order_start(now, instance)
        if instance.alive:
            self._drain(now, instance, True)

    def has_capacity(self, instance: Instance) -> bool:
        """Whether it may be taken out: what is out counts whoever took it, or if it died."""
        return _out(instance) or self.unavailable[instance.site] < self.max_unavailable[instance.site]

    def tick(self, now: int) -> list[Step]:
        """What is to be done by now. Called often; each step comes once."""
        steps = []
        for instance in self.instances:
            phase = instance.phase
            if phase in (Phase.STOPPED, Phase.FAILING):
                if (
                    instance.goal is Goal.UP
                    and now >= instance.start_not_before
                    and self._has_generation_left(instance)
                    and self.starting_count < self.timeouts.starting
                ):
                    self._start(now, instance)
                    steps.append(Step(Action.START, instance))
            elif phase is Phase.DRAINING:
                if instance.drain_cancelled:
                    if now - instance.drain_sent_at >= RECALL:
                        instance.drain_sent_at = now
                        steps.append(Step(Action.CANCEL_DRAIN, instance))
                elif not instance.drain_sent_at:
                    instance.drain_sent_at = now
                    steps.append(Step(Action.DRAIN if instance.drain_cancellable else Action.TERM, instance))
                elif instance.kill_after_drain and now - instance.drain_sent_at >= self.timeouts.drain:
                    instance.drain_sent_at = now  # should even that not be enough
                    steps.append(Step(Action.KILL, instance))
            else:
                self._check_silence(now, instance)
        return steps

    def _has_generation_left(self, instance: Instance) -> bool:
        """Whether it may have a generation more: a number that was used before must never come again."""
        if instance.generation < instance.generation_limit or (
            not instance.spawned and instance.process_generation
        ):
            return True
        instance.why = "no generation is left for it until the record is heard"
        return False

    def _check_silence(self, now: int, instance: Instance) -> None:
        timeouts, silence = self.timeouts, now - max(instance.last_report_at, instance.phase_since)
        if instance.phase is Phase.SILENT:
            if now - instance.phase_since > timeouts.stuck:
                self._transition(now, instance, Phase.STUCK)
        elif instance.phase is Phase.STUCK:
            if timeouts.restart_stuck and self._spend_restart(now, instance):
                instance.why = "stuck"
                self._drain(now, instance, True)
        elif silence > (timeouts.start if not instance.report else timeouts.silent):
            self._transition(now, instance, Phase.SILENT)

    def _spend_restart(self, now: int, instance: Instance) -> bool:
        """Book a restart on the budget, if it has room."""
        while instance.crashes and instance.crashes[0] <= now - self.timeouts.window:
            instance.crashes.popleft()
        if len(instance.crashes) >= self.timeouts.budget:
            return False
        instance.crashes.append(now)
        return True

    def _start(self, now: int, instance: Instance) -> None:
        """A new generation, unless the last one is known never to have been there."""
        if instance.spawned or not instance.process_generation:
            instance.generation += 1
            instance.process_generation, instance.spawned = instance.generation, False
            instance.changed_at = self.unix_time()
            if instance.task is None:
                instance.changed_by = "the agent"
        instance.restarts_exhausted = False
        instance.last_report_at = now
        self._transition(now, instance, Phase.STARTING)

    def _drain(self, now: int, instance: Instance, kill: bool) -> None:
        instance.kill_after_drain = kill or instance.kill_after_drain
        if instance.phase is not Phase.DRAINING:
            instance.drain_sent_at = 0
            self._transition(now, instance, Phase.DRAINING)

    def _transition(self, now: int, instance: Instance, phase: Phase) -> None:
        """The one place where a phase changes."""
        if phase not in TRANSITIONS[instance.phase]:
            raise RuntimeError(f"{instance.name}: {instance.phase.value} to {phase.value}")
        self.unavailable[instance.site] -= _out(instance)
        self.starting_count -= instance.phase is Phase.STARTING
        instance.phase, instance.phase_since, instance.dirty = phase, now, True
        self.unavailable[instance.site] += _out(instance)
        self.starting_count += phase is Phase.STARTING


def _out(instance: Instance) -> bool:
    return instance.phase is not Phase.SERVING
