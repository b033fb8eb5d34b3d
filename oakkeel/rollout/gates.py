"""Gates of a release: compare nodes that run the new version with nodes that run the old one. Free of I/O.

The reports of both versions cover the same time. Cold processes are compared only with other cold processes,
such as the comparison targets of a batch. All metrics share one bound on the probability of halting a version
that is as good as the old.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import Enum, StrEnum

import msgspec

from oakkeel.rollout.samples import AgeClass, Arm, Population, ProcessReport, SampleCollector, Window
from oakkeel.rollout.sequential import Difference, Events, Sums, log_mean
from oakkeel.units import SECOND

FALSE_HALT_RATE = 0.01  # bound on the probability that a version as good as the old halts its release
FALSE_PASS_RATE = 0.05  # bound on the probability that a version with a loss of `margin` passes
WINDOW_NS = SECOND  # both versions are compared by their samples of the same window
# A release halts if the new version has crashed this often or more, and more often than the old version. The
# larger of the two limits applies.
MAX_DEATHS = 3
MAX_DEATH_RATIO = 0.1  # of the processes of the new version
MIN_SAMPLES = 50  # requests to each version that a metric needs before it is used
MIN_REFERENCE_WEIGHT = 1e-6  # keeps the tolerated losses above zero if the old version earns nothing

# Tolerated losses, and the typical sizes (scales) of the losses beyond them that matter.
TOLERATED_MARGIN_RATIO = 0.25  # of the margin
TOLERATED_COLD_MARGIN_RATIO = 0.5  # cold processes vary more
COLD_SCALE_RATIO = 4  # of the margin
TOLERATED_LOG_LATENCY = 0.05
LOG_LATENCY_SCALE = 0.2
TOLERATED_MEMORY_GROWTH_KB_PER_SECOND = 64.0  # beyond that of the old version
MEMORY_GROWTH_SCALE_KB_PER_SECOND = 4 * TOLERATED_MEMORY_GROWTH_KB_PER_SECOND

# Variances assumed before there are samples. Too small a value halts good versions in their first second.
INITIAL_WARM_VARIANCE = 0.1
INITIAL_COLD_VARIANCE = 0.25
INITIAL_REJECTED_VARIANCE = 0.1
INITIAL_LOG_LATENCY_VARIANCE = 0.25
INITIAL_MEMORY_GROWTH_VARIANCE = 100.0**2

PERCENT = 100
MIN_DISPLAYED_MEAN = 1e-9
MAX_DISPLAYED_SPREAD = 9.0


class Metric(StrEnum):
    """A metric by which versions are compared; its value is its name in reasons."""

    WARM_WEIGHT = "benefit"
    COLD_WEIGHT = "benefit while cold"
    REJECTED = "rejections"
    DEATHS = "crashes"
    MEMORY = "memory"
    LATENCY = "latency"


class Decision(Enum):
    """The conclusion of a gate from its samples."""

    WORSE = "worse"
    GOOD = "good"
    TOO_FEW = "too few samples"


@dataclass(slots=True, frozen=True)
class Verdict:
    """A decision of a gate, with its reason and a summary of the samples for display."""

    decision: Decision
    why: str
    summary: str


class GateState(msgspec.Struct, array_like=True):
    """The tests of a gate, stored for the next controller."""

    warm: Difference = msgspec.field(default_factory=Difference)
    cold: Difference = msgspec.field(default_factory=Difference)
    rejected: Difference = msgspec.field(default_factory=Difference)  # ratio, of warm processes
    latency: dict[str, Difference] = {}  # by request class
    memory_growth: Difference = msgspec.field(default_factory=Difference)
    deaths: Events = msgspec.field(default_factory=Events)
    population: int = 0  # maximum number of processes of the new version at the time of any crash


class Gate:
    """The sequential tests of one release, in one direction: rollout or rollback."""

    def __init__(self, now: int, state: bytes, margin: float) -> None:
        """Continue from the state of an earlier controller, which is dropped if it can't be decoded.

        `margin` is the loss to rule out, as a ratio of the earned weight.
        """
        self.margin = margin
        try:
            self.state = msgspec.msgpack.decode(state, type=GateState) if state else GateState()
        except msgspec.MsgspecError:
            self.state = GateState()
        self.collector = SampleCollector()
        self.window_start = now

    def encode_state(self) -> bytes:
        """Return the encoded state, from which the next controller continues."""
        return msgspec.msgpack.encode(self.state)

    def sample_count(self) -> float:
        """Return the number of requests to warm processes of the new version."""
        return self.state.warm.new.count

    def record(self, now: int, target: str, arm: Arm, report: ProcessReport) -> None:
        """Add a report of a target's process, which belongs to `arm`; `now` in nanoseconds."""
        self.collector.record(now, target, arm, report)

    def record_death(self, arm: Arm, running: Population) -> None:
        """Add a crash of a process of `arm`; `running` includes that process."""
        self.state.population = max(self.state.population, running.new)
        if arm is not Arm.NEITHER and running.new and running.old:
            self.state.deaths.record(arm is Arm.NEW, running.new / (running.new + running.old))
        elif arm is Arm.NEW:
            self.state.deaths.new += 1

    def evaluate(self, now: int) -> None:
        """Compare both arms over the current window once it is long enough, and start the next window."""
        if now - self.window_start < WINDOW_NS:
            return
        window = self.collector.window
        state = self.state
        _observe_loss(state.warm, window, AgeClass.WARM, INITIAL_WARM_VARIANCE)
        _observe_loss(state.cold, window, AgeClass.COLD, INITIAL_COLD_VARIANCE)
        rejected_old = window.rejected.get(Arm.OLD, Sums())
        rejected_new = window.rejected.get(Arm.NEW, Sums())
        state.rejected.observe(_negated(rejected_old), _negated(rejected_new), INITIAL_REJECTED_VARIANCE)
        self._observe_latencies(window)
        growth_old = window.memory_growth.get(Arm.OLD)
        growth_new = window.memory_growth.get(Arm.NEW)
        if growth_old and growth_new:
            state.memory_growth.observe(
                _negated(growth_old), _negated(growth_new), INITIAL_MEMORY_GROWTH_VARIANCE
            )
            window.memory_growth.clear()
        self.collector.window = Window(memory_growth=window.memory_growth)
        self.window_start = now

    def _observe_latencies(self, window: Window) -> None:
        """Compare the logs of latencies by request class; the new version is worse if they are higher."""
        tests = self.state.latency
        # In the order of the samples: that of a set differs between processes, and with it the sums.
        for request_class in dict.fromkeys(request_class for _, request_class in window.latencies):
            old = window.latencies.get((Arm.OLD, request_class), Sums())
            new = window.latencies.get((Arm.NEW, request_class), Sums())
            if old.count and new.count:
                if request_class not in tests:
                    tests[request_class] = Difference()
                tests[request_class].observe(_negated(old), _negated(new), INITIAL_LOG_LATENCY_VARIANCE)

    def verdict(self, reference: float) -> Verdict:
        """Return whether the samples so far halt the release, let it continue, or are too few.

        Losses are relative to `reference`, the mean earned weight of a request of the old version. The
        evidence of all metrics is averaged before it is compared, so that one bound on false halts holds for
        them together.
        """
        scale = self.margin * max(reference, MIN_REFERENCE_WEIGHT)
        summary = self.summary()
        if why := self._excess_deaths() or self._worse_metric(scale):
            return Verdict(Decision.WORSE, why, summary)
        if why := self._missing_evidence(scale):
            return Verdict(Decision.TOO_FEW, why, summary)
        return Verdict(Decision.GOOD, "", summary)

    def _excess_deaths(self) -> str:
        """Return a reason if the new version crashed too often, and more often than the old; else empty."""
        deaths = self.state.deaths
        max_deaths = max(MAX_DEATHS, MAX_DEATH_RATIO * self.state.population)
        if deaths.new >= max_deaths and deaths.new > deaths.old:
            return f"{deaths.new} processes of the new version crashed"
        return ""

    def _worse_metric(self, scale: float) -> str:
        """Return a reason if all metrics together show that the new version is worse; empty otherwise."""
        evidence = self._evidence(scale)
        if log_mean(list(evidence.values())) >= math.log(1 / FALSE_HALT_RATE):
            worst = max(evidence, key=lambda metric: evidence[metric])
            return f"worse than the old: {self._describe(worst)}"
        return ""

    def _missing_evidence(self, scale: float) -> str:
        """Return a reason if the samples do not yet rule out a loss of `margin`; empty if they do."""
        warm = self.state.warm
        if not _has_samples(warm):
            return (
                f"{warm.new.count:.0f} requests to the new and {warm.old.count:.0f} to the old version"
                f" at the same time; {MIN_SAMPLES} to each are needed"
            )
        if warm.log_evidence_not_worse(scale, scale) < math.log(1 / FALSE_PASS_RATE):
            return f"a loss of {_percent(self.margin)} is not ruled out yet"
        return ""

    def _evidence(self, scale: float) -> dict[Metric, float]:
        """Return, by metric, the log evidence that the new version is worse than tolerated."""
        state = self.state
        margin = self.margin
        slower = [
            test.log_evidence_worse(TOLERATED_LOG_LATENCY, LOG_LATENCY_SCALE)
            for test in state.latency.values()
            if _has_samples(test)
        ]
        return {
            Metric.WARM_WEIGHT: (
                state.warm.log_evidence_worse(TOLERATED_MARGIN_RATIO * scale, scale)
                if _has_samples(state.warm)
                else 0.0
            ),
            Metric.COLD_WEIGHT: (
                state.cold.log_evidence_worse(TOLERATED_COLD_MARGIN_RATIO * scale, COLD_SCALE_RATIO * scale)
                if _has_samples(state.cold)
                else 0.0
            ),
            Metric.REJECTED: (
                state.rejected.log_evidence_worse(TOLERATED_MARGIN_RATIO * margin, margin)
                if _has_samples(state.rejected)
                else 0.0
            ),
            Metric.DEATHS: state.deaths.log_evidence_worse(),
            Metric.MEMORY: state.memory_growth.log_evidence_worse(
                TOLERATED_MEMORY_GROWTH_KB_PER_SECOND, MEMORY_GROWTH_SCALE_KB_PER_SECOND
            ),
            Metric.LATENCY: log_mean(slower),
        }

    def reference_weight(self) -> float:
        """Return the mean earned weight of warm processes of the old version; 1 while it is not known."""
        return self.state.warm.old.mean or 1.0

    def _describe(self, worst: Metric) -> str:
        """Return the figures of both versions in the metric `worst`, for display."""
        state = self.state
        if worst is Metric.DEATHS:
            return f"{state.deaths.new} crashes of the new, {state.deaths.old} of the old"
        if worst is Metric.MEMORY:
            return (
                f"memory grows by {-state.memory_growth.new.mean:.0f} KB a second, with the old version by"
                f" {-state.memory_growth.old.mean:.0f}"
            )
        if worst is Metric.REJECTED:
            return (
                f"{_percent(-state.rejected.new.mean)} are rejected, with the old version"
                f" {_percent(-state.rejected.old.mean)}"
            )
        if worst is Metric.LATENCY:
            slowest = max(state.latency, key=lambda name: state.latency[name].loss)
            return f"{slowest} takes {_percent(math.expm1(state.latency[slowest].loss))} longer"
        test = state.cold if worst is Metric.COLD_WEIGHT else state.warm
        relative_loss = test.loss / max(MIN_DISPLAYED_MEAN, test.old.mean)
        return (
            f"{worst} {test.new.mean:.4f} a request, {_percent(relative_loss)} less than the old version's"
            f" {test.old.mean:.4f}"
        )

    def summary(self) -> str:
        """Return the main figures in one line, for display."""
        warm = self.state.warm
        spread = min(warm.spread, MAX_DISPLAYED_SPREAD)
        return (
            f"benefit {warm.new.mean:.4f} of {warm.new.count:.0f} new, {warm.old.mean:.4f} of"
            f" {warm.old.count:.0f} old, loss {warm.loss:+.4f} +- {spread:.4f};"
            f" crashes {self.state.deaths.new}, {self.state.deaths.old}"
        )


def _observe_loss(test: Difference, window: Window, age_class: AgeClass, initial_variance: float) -> None:
    """Compare the earned weight of both arms in one age class."""
    old = window.earned_weight.get((Arm.OLD, age_class), Sums())
    new = window.earned_weight.get((Arm.NEW, age_class), Sums())
    test.observe(old, new, initial_variance)


def _has_samples(test: Difference) -> bool:
    return min(test.new.count, test.old.count) >= MIN_SAMPLES


def _negated(sums: Sums) -> Sums:
    return Sums(sums.count, -sums.total, sums.squares)


def _percent(ratio: float) -> str:
    return f"{PERCENT * ratio:.1f} %"
