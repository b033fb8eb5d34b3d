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

MS = 1_000_000
SECOND = 1000 * MS
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
    START = "start"  # a process of the instance's new generation
    TERM = "term"  # tell it to leave, for good
    LEAVE = "leave"  # tell it to leave in a way that can be taken back
    STAY = "stay"  # take that back
    KILL = "kill"


@dataclass(slots=True, frozen=True)
class Step:
    """Something for the acting half to do."""

    act: Action
    instance: Instance


class Supervisor:
    """The instances of one host. `away` holds, by site, how many of them may be out at one time."""

    def __init__(
        self,
        instances: Iterable[Instance],
        patience: SupervisionTimeouts,
        away: dict[str, int],
        seed: int,
        unix: Callable[[], int],
    ) -> None:
        """`unix` gives the time for people; no decision hangs on it."""
        self.instances = list(instances)
        self.patience, self.away, self.unix = patience, away, unix
        self.chance = Random(seed).random
        self.out = dict.fromkeys({each.site for each in self.instances}, 0)  # by site
        self.booting = 0
        for each in self.instances:
            self.out[each.site] += _out(each)
            self.booting += each.phase is Phase.STARTING

    # What happened.

    def heard(self, now: int, instance: Instance, state: str, generation: int, report: object) -> None:
        """A report came. One of another generation is by a process that is not ours to believe."""
        if not instance.alive:
            return  # on its way since before it ended
        if generation != instance.born:
            instance.why = f"generation {generation} answers in place of {instance.born}"
            return
        instance.heard, instance.report = now, report
        instance.ran = getattr(report, "version", "")
        told = REPORTED[state]
        if (instance.phase is not Phase.DRAINING and told is not instance.phase) or (
            instance.recalled and told in (Phase.COLD, Phase.SERVING)
        ):
            instance.recalled = instance.soft = instance.kill = False
            self._move(now, instance, told)
        if instance.phase is Phase.SERVING and now - instance.since > self.patience.steady:
            instance.failures = 0

    def spawned(self, now: int, instance: Instance) -> None:
        """Its process is there."""
        instance.spawned, instance.dirty = True, True

    def not_spawned(self, now: int, instance: Instance, why: str) -> None:
        """No process came of it: as bad as one that dies at once."""
        self.died(now, instance, why)

    def taken_up(self, now: int, instance: Instance, generation: int) -> None:
        """Its process was found running when the agent started."""
        instance.born, instance.spawned = generation, True
        instance.generation = max(instance.generation, generation)
        instance.heard = now  # it has its time to answer from now on
        instance.report = None
        if not instance.alive:
            self._move(now, instance, Phase.STARTING)
        instance.left_at = 0  # it is told again: it may not have heard, and a second time changes nothing

    def found_none(self, now: int, instance: Instance, written: int) -> None:
        """No process of it is there when an agent starts. `written` is the generation that the last one told
        before its program began: by that it is known whether one was ever made."""
        if not instance.alive:
            return
        if instance.spawned or written == instance.born:
            self.died(now, instance, "ended while no agent watched")
        else:
            self.never_there(now, instance)

    def never_there(self, now: int, instance: Instance) -> None:
        """The agent ended between deciding on a process and making it."""
        instance.start_at = now
        self._move(now, instance, Phase.STOPPED)

    def died(self, now: int, instance: Instance, why: str) -> None:
        """Its process has ended: proved, not guessed."""
        if not instance.alive:
            return None
        asked = instance.phase is Phase.DRAINING or instance.goal is Goal.DOWN
        instance.left_at, instance.kill, instance.report = 0, False, None
        instance.soft = instance.recalled = False
        if asked:
            instance.start_at = now
            return self._move(now, instance, Phase.STOPPED)
        patience = self.patience
        instance.why, instance.died = why, instance.died + 1
        instance.deaths.append(now)
        while instance.deaths and instance.deaths[0] <= now - patience.window:
            instance.deaths.popleft()
        while len(instance.deaths) > patience.budget + 1:
            instance.deaths.popleft()
        wait = min(patience.backoff_most, patience.backoff << min(instance.failures, 16))
        instance.failures += 1
        instance.start_at = now + int(wait * (0.5 + self.chance()))
        if len(instance.deaths) > patience.budget:
            instance.resting = True
            instance.start_at = max(instance.start_at, instance.deaths[0] + patience.window)
        self._move(now, instance, Phase.FAILING)

    # What is wanted.

    def want_up(self, now: int, instance: Instance) -> None:
        """By an order: at once, whatever it did before."""
        instance.goal, instance.dirty = Goal.UP, True
        instance.start_at, instance.failures, instance.resting = now, 0, False
        instance.deaths.clear()

    def want_down(self, now: int, instance: Instance, kill: bool, soft: bool = False) -> None:
        """By an order: drained, and killed after its drain time if `kill`. One that leaves softly can be
        called back."""
        instance.goal, instance.dirty = Goal.DOWN, True
        if instance.phase is Phase.FAILING:
            self._move(now, instance, Phase.STOPPED)
        elif instance.alive:
            instance.soft = soft
            self._leave(now, instance, kill)

    def want_back(self, now: int, instance: Instance) -> None:
        """By a cancel: it takes work again, or is started anew where it has ended by then."""
        self.want_up(now, instance)
        if instance.phase is Phase.DRAINING and instance.soft:
            instance.recalled, instance.left_at = True, 0

    def stays(self, now: int, instance: Instance, state: str) -> None:
        """It was to leave and was never told; `state` is what it reported last."""
        instance.goal, instance.dirty = Goal.UP, True
        instance.soft = instance.kill = instance.recalled = False
        instance.left_at = 0
        if instance.phase is Phase.DRAINING:
            self._move(now, instance, Phase.SERVING if state == "serving" else Phase.COLD)

    def want_anew(self, now: int, instance: Instance) -> None:
        """By an order: drained, and started again."""
        self.want_up(now, instance)
        if instance.alive:
            self._leave(now, instance, True)

    def room(self, instance: Instance) -> bool:
        """Whether it may be taken out: what is out counts whoever took it, or if it died."""
        return _out(instance) or self.out[instance.site] < self.away[instance.site]

    def tick(self, now: int) -> list[Step]:
        """What is to be done by now. Called often; each step comes once."""
        steps = []
        for instance in self.instances:
            phase = instance.phase
            if phase in (Phase.STOPPED, Phase.FAILING):
                if (
                    instance.goal is Goal.UP
                    and now >= instance.start_at
                    and self._numbered(instance)
                    and self.booting < self.patience.starting
                ):
                    self._begin(now, instance)
                    steps.append(Step(Action.START, instance))
            elif phase is Phase.DRAINING:
                if instance.recalled:
                    if now - instance.left_at >= RECALL:
                        instance.left_at = now
                        steps.append(Step(Action.STAY, instance))
                elif not instance.left_at:
                    instance.left_at = now
                    steps.append(Step(Action.LEAVE if instance.soft else Action.TERM, instance))
                elif instance.kill and now - instance.left_at >= self.patience.drain:
                    instance.left_at = now  # should even that not be enough
                    steps.append(Step(Action.KILL, instance))
            else:
                self._watch(now, instance)
        return steps

    def _numbered(self, instance: Instance) -> bool:
        """Whether it may have a generation more: a number that was used before must never come again."""
        if instance.generation < instance.limit or (not instance.spawned and instance.born):
            return True
        instance.why = "no generation is left for it until the record is heard"
        return False

    def _watch(self, now: int, instance: Instance) -> None:
        patience, quiet = self.patience, now - max(instance.heard, instance.since)
        if instance.phase is Phase.SILENT:
            if now - instance.since > patience.stuck:
                self._move(now, instance, Phase.STUCK)
        elif instance.phase is Phase.STUCK:
            if patience.restart_stuck and self._spend(now, instance):
                instance.why = "stuck"
                self._leave(now, instance, True)
        elif quiet > (patience.start if not instance.report else patience.silent):
            self._move(now, instance, Phase.SILENT)

    def _spend(self, now: int, instance: Instance) -> bool:
        """Book a restart on the budget, if it has room."""
        while instance.deaths and instance.deaths[0] <= now - self.patience.window:
            instance.deaths.popleft()
        if len(instance.deaths) >= self.patience.budget:
            return False
        instance.deaths.append(now)
        return True

    def _begin(self, now: int, instance: Instance) -> None:
        """A new generation, unless the last one is known never to have been there."""
        if instance.spawned or not instance.born:
            instance.generation += 1
            instance.born, instance.spawned = instance.generation, False
            instance.changed = self.unix()
            if instance.part is None:
                instance.changed_by = "the agent"
        instance.resting = False
        instance.heard = now
        self._move(now, instance, Phase.STARTING)

    def _leave(self, now: int, instance: Instance, kill: bool) -> None:
        instance.kill = kill or instance.kill
        if instance.phase is not Phase.DRAINING:
            instance.left_at = 0
            self._move(now, instance, Phase.DRAINING)

    def _move(self, now: int, instance: Instance, phase: Phase) -> None:
        """The one place where a phase changes."""
        if phase not in TRANSITIONS[instance.phase]:
            raise RuntimeError(f"{instance.name}: {instance.phase.value} to {phase.value}")
        self.out[instance.site] -= _out(instance)
        self.booting -= instance.phase is Phase.STARTING
        instance.phase, instance.since, instance.dirty = phase, now, True
        self.out[instance.site] += _out(instance)
        self.booting += phase is Phase.STARTING


def _out(instance: Instance) -> bool:
    return instance.phase is not Phase.SERVING
