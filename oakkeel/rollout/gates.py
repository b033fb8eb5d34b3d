"""Gates of a release: compares the new version with the old at the same time, by the nodes' reports.

Free of I/O. Each process counts from its start; what it added between two reports goes to its arm, new or
old, and to its age class: cold processes are compared with cold ones only, such as the controls of the first
batch. All metrics share one bound on the probability to halt a version that is as good as the old.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from oakkeel.rollout.sequential import Difference, Events, Sums, log_mean
from oakkeel.units import SECOND

FALSE_HALT_RATE = 0.01
FALSE_PASS_RATE = 0.05
WINDOW = SECOND  # nanoseconds of samples that are compared at once
MEMORY_WINDOW = 5 * SECOND  # nanoseconds over which memory growth is measured
MAX_REQUEST_CLASSES = 16
TOLERATED_MEMORY_GROWTH = 64.0  # KB a second more than the old
MAX_DEATHS, MAX_DEATH_RATIO = 3, 0.1  # of the new version: enough to halt whatever the old does
MIN_SAMPLES = 50  # requests of each arm before a metric counts


class Samples(msgspec.Struct, array_like=True):
    """What one process has counted since its start."""

    earned_weight: Sums = msgspec.field(
        default_factory=Sums
    )  # of each request: achieved part of its full weight
    rejected: float = 0.0
    failed: float = 0.0
    memory_kb: float = 0.0
    latencies: dict[str, Sums] = {}  # by request class: logs of seconds until completed


class Decision(Enum):
    """What a gate concludes from its samples."""

    WORSE = "worse"
    GOOD = "good"
    TOO_FEW = "too few samples"


@dataclass(slots=True)
class Verdict:
    """A decision of a gate, with its reason and a summary of the samples for people."""

    decision: Decision
    why: str
    summary: str


class GateState(msgspec.Struct, array_like=True):
    """All that a gate has learnt, for the next controller."""

    warm: Difference = msgspec.field(default_factory=Difference)
    cold: Difference = msgspec.field(default_factory=Difference)
    rejected: Difference = msgspec.field(default_factory=Difference)  # parts of the warm ones' requests
    latency: dict[str, Difference] = {}  # by request class
    memory_growth: Difference = msgspec.field(default_factory=Difference)
    deaths: Events = msgspec.field(default_factory=Events)
    population: int = 0  # most processes of the new version when one died


@dataclass(slots=True, eq=False)
class ProcessBaseline:
    """The last report of one process, from which the next one is counted."""

    identity: tuple[str, int, str]  # version, generation, age class
    samples: Samples
    arm: str = ""
    memory: list[tuple[int, float]] = field(default_factory=list)  # time, KB


@dataclass(slots=True, eq=False)
class Window:
    """The samples since the last comparison, by arm and age class or request class."""

    earned_weight: dict[tuple[str, str], Sums] = field(default_factory=dict)
    rejected: dict[str, Sums] = field(default_factory=dict)
    latencies: dict[tuple[str, str], Sums] = field(default_factory=dict)
    memory_growth: dict[str, Sums] = field(default_factory=dict)


class Gate:
    """The sequential tests of one release in one direction."""

    def __init__(self, now: int, state: bytes, margin: float) -> None:
        """Go on from an earlier controller's state; one that can't be decoded is dropped.

        `margin` is the part of the earned_weight that is too much to lose.
        """
        self.margin = margin
        try:
            self.state = msgspec.msgpack.decode(state, type=GateState) if state else GateState()
        except msgspec.MsgspecError:
            self.state = GateState()
        self.baselines: dict[str, ProcessBaseline] = {}
        self.window, self.window_start = Window(), now

    def encode_state(self) -> bytes:
        """Return the state for the next controller."""
        return msgspec.msgpack.encode(self.state)

    def sample_count(self) -> float:
        """Return the requests of warm processes of the new version."""
        return self.state.warm.new.count

    def record(
        self, now: int, target: str, arm: str, version: str, generation: int, cold: bool, samples: Samples
    ) -> None:
        """Add a report of a process. `arm` is `new` or `old`, or empty where the target is in neither."""
        age = "cold" if cold else "warm"
        baseline, identity = self.baselines.get(target), (version, generation, age)
        if baseline is None or baseline.identity[:2] != identity[:2]:
            self.baselines[target] = ProcessBaseline(identity, samples, arm)
            return
        if samples.earned_weight.count < baseline.samples.earned_weight.count:
            return  # an older report
        if baseline.identity == identity and baseline.arm == arm and arm:
            self._add_to_window(now, baseline, samples)
        else:
            baseline.memory.clear()
        baseline.identity, baseline.samples, baseline.arm = identity, samples, arm

    def _add_to_window(self, now: int, baseline: ProcessBaseline, samples: Samples) -> None:
        """Add what a process counted since its last report."""
        window, before, (_, _, age) = self.window, baseline.samples, baseline.identity
        earned_weight = samples.earned_weight.minus(before.earned_weight)
        window.earned_weight.setdefault((baseline.arm, age), Sums()).add(earned_weight)
        if age == "cold":
            return
        rejected = max(0.0, samples.rejected - before.rejected)
        window.rejected.setdefault(baseline.arm, Sums()).add(Sums(earned_weight.count, rejected, rejected))
        for request_class, latencies in list(samples.latencies.items())[:MAX_REQUEST_CLASSES]:
            earlier = before.latencies.get(request_class, Sums())
            window.latencies.setdefault((baseline.arm, request_class), Sums()).add(latencies.minus(earlier))
        self._add_memory(now, baseline, samples.memory_kb)

    def _add_memory(self, now: int, baseline: ProcessBaseline, memory: float) -> None:
        """Add the growth by the second, over times long enough for noise to average out."""
        baseline.memory.append((now, memory))
        since, first = baseline.memory[0]
        if now - since >= MEMORY_WINDOW:
            rate = (memory - first) / ((now - since) / SECOND)
            self.window.memory_growth.setdefault(baseline.arm, Sums()).add(Sums(1, rate, rate * rate))
            baseline.memory = [(now, memory)]

    def record_death(self, target: str, arm: str, new: int, old: int) -> None:
        """Add a process that ended by itself while so many new and old ones were running."""
        self.state.population = max(self.state.population, new)
        if arm and new and old:
            self.state.deaths.record(arm == "new", new / (new + old))
        elif arm == "new":
            self.state.deaths.new += 1

    def evaluate(self, now: int) -> None:
        """Compare both arms over the current window, once it is long enough, and begin the next."""
        if now - self.window_start < WINDOW:
            return
        window, state = self.window, self.state
        empty = Sums()
        # Too small a first guess of the variance halts good ones in their first second: cold ones vary.
        for age, test, guess in (("warm", state.warm, 0.1), ("cold", state.cold, 0.25)):
            test.observe(
                window.earned_weight.get(("old", age), empty),
                window.earned_weight.get(("new", age), empty),
                guess,
            )
        rejected_old, rejected_new = window.rejected.get("old", empty), window.rejected.get("new", empty)
        state.rejected.observe(_negated(rejected_old), _negated(rejected_new), 0.1)
        for request_class in {request_class for _, request_class in window.latencies}:
            old = window.latencies.get(("old", request_class), empty)
            new = window.latencies.get(("new", request_class), empty)
            if old.count and new.count:
                if request_class not in state.latency:
                    state.latency[request_class] = Difference()
                # Logs of times: the new is worse where they are higher.
                state.latency[request_class].observe(_negated(old), _negated(new), 0.25)
        growth_old, growth_new = window.memory_growth.get("old"), window.memory_growth.get("new")
        if growth_old and growth_new:
            state.memory_growth.observe(_negated(growth_old), _negated(growth_new), 100.0**2)
            window.memory_growth.clear()
        self.window, self.window_start = Window(memory_growth=window.memory_growth), now

    def verdict(self, reference: float) -> Verdict:
        """Judge all samples so far; losses are measured by the old version's earned_weight, `reference`."""
        state = self.state
        scale = self.margin * max(reference, 1e-6)
        summary = self.summary()
        max_deaths = max(MAX_DEATHS, MAX_DEATH_RATIO * state.population)
        if state.deaths.new >= max_deaths and state.deaths.new > state.deaths.old:
            return Verdict(Decision.WORSE, f"{state.deaths.new} of the new died by themselves", summary)
        evidence = self._evidence(scale)
        if log_mean(list(evidence.values())) >= math.log(1 / FALSE_HALT_RATE):
            worst = max(evidence, key=lambda name: evidence[name])
            return Verdict(Decision.WORSE, f"worse than the old: {self._describe(worst)}", summary)
        if not _has_samples(state.warm):
            return Verdict(
                Decision.TOO_FEW,
                f"{state.warm.new.count:.0f} exchanges of the new and"
                f" {state.warm.old.count:.0f} of the old at the same time",
                summary,
            )
        if state.warm.not_worse(scale, scale) < math.log(1 / FALSE_PASS_RATE):
            return Verdict(
                Decision.TOO_FEW, f"a loss of {100 * self.margin:.1f} % can't be told from none yet", summary
            )
        return Verdict(Decision.GOOD, "", summary)

    def _evidence(self, scale: float) -> dict[str, float]:
        """Return the log evidence by metric that the new version is worse than tolerated."""
        state, margin = self.state, self.margin
        slower = [test.worse(0.05, 0.2) for test in state.latency.values() if _has_samples(test)]
        return {
            "benefit": state.warm.worse(0.25 * scale, scale) if _has_samples(state.warm) else 0.0,
            "benefit while cold": (
                state.cold.worse(0.5 * scale, 4 * scale) if _has_samples(state.cold) else 0.0
            ),
            "denials": state.rejected.worse(0.25 * margin, margin) if _has_samples(state.rejected) else 0.0,
            "deaths": state.deaths.worse(),
            "memory": state.memory_growth.worse(TOLERATED_MEMORY_GROWTH, 4 * TOLERATED_MEMORY_GROWTH),
            "time": log_mean(slower),
        }

    def reference_weight(self) -> float:
        """Return the mean earned_weight of warm processes of the old version, 1 while it is not known."""
        return self.state.warm.old.mean or 1.0

    def _describe(self, worst: str) -> str:
        state = self.state
        if worst == "deaths":
            return f"{state.deaths.new} deaths of the new, {state.deaths.old} of the old"
        if worst == "memory":
            return (
                f"memory grows {-state.memory_growth.new.mean:.0f} KB a second, the old's"
                f" {-state.memory_growth.old.mean:.0f}"
            )
        if worst == "denials":
            return (
                f"{100 * -state.rejected.new.mean:.1f} % are denied, of the old's"
                f" {100 * -state.rejected.old.mean:.1f} %"
            )
        if worst == "time":
            slowest = max(state.latency, key=lambda name: state.latency[name].loss)
            return f"{slowest} takes {100 * math.expm1(state.latency[slowest].loss):.1f} % longer"
        test = state.cold if worst.endswith("cold") else state.warm
        return (
            f"{worst} {test.new.mean:.4f} an exchange, the old's {test.old.mean:.4f},"
            f" {100 * test.loss / max(1e-9, test.old.mean):.1f} % less"
        )

    def summary(self) -> str:
        """Return the main figures in one line, for people."""
        warm = self.state.warm
        return (
            f"benefit {warm.new.mean:.4f} of {warm.new.count:.0f} new, {warm.old.mean:.4f} of"
            f" {warm.old.count:.0f} old, loss {warm.loss:+.4f} +- {min(warm.spread, 9.0):.4f};"
            f" deaths {self.state.deaths.new}, {self.state.deaths.old}"
        )


def _has_samples(test: Difference) -> bool:
    return min(test.new.count, test.old.count) >= MIN_SAMPLES


def _negated(sums: Sums) -> Sums:
    return Sums(sums.count, -sums.total, sums.squares)
