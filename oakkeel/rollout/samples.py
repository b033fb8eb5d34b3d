"""The samples that gates compare: totals that processes report, and their differences in one window.

Each process reports totals since its start. The difference of two reports is added to the samples of the arm
(new or old version) and age class of the process. Free of I/O.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum

import msgspec

from oakkeel.rollout.sequential import Sums
from oakkeel.units import SECOND

MIN_MEMORY_WINDOW_NS = 5 * SECOND  # minimum time between two readings: in less time, noise exceeds the growth
MAX_REQUEST_CLASSES = 16


class Arm(StrEnum):
    """The side of the comparison to which a process belongs."""

    NEW = "new"
    OLD = "old"
    NEITHER = ""


class AgeClass(StrEnum):
    """Whether a process is still warming up."""

    COLD = "cold"
    WARM = "warm"


class Samples(msgspec.Struct, array_like=True):
    """The totals of one process since its start, and its memory."""

    # For each request, the part of its full priority weight that its response earned.
    earned_weight: Sums = msgspec.field(default_factory=Sums)
    rejected: float = 0.0  # number of requests
    failed: float = 0.0  # number of requests
    memory_kb: float = 0.0  # resident memory at the time of the report
    latencies: dict[str, Sums] = {}  # by request class: sums of the logs of the seconds until completion


@dataclass(slots=True, frozen=True)
class ProcessIdentity:
    """The process to which totals belong; the totals of a new generation start at zero."""

    version: str
    generation: int


@dataclass(slots=True, frozen=True)
class ProcessReport:
    """The totals of one process at one time."""

    process: ProcessIdentity
    age_class: AgeClass
    samples: Samples


@dataclass(slots=True, frozen=True)
class MemoryReading:
    """The resident memory of a process at one time."""

    observed_at: int  # nanoseconds
    memory_kb: float


@dataclass(slots=True, eq=False)
class ProcessBaseline:
    """The last report of one process, which is subtracted from its next report."""

    report: ProcessReport
    arm: Arm
    memory: MemoryReading | None = None  # start of the current measurement of memory growth


@dataclass(slots=True, frozen=True)
class Population:
    """The number of running processes of each arm."""

    new: int
    old: int


@dataclass(slots=True, eq=False)
class Window:
    """The samples since the last comparison, by arm and age class or request class."""

    earned_weight: dict[tuple[Arm, AgeClass], Sums] = field(default_factory=dict)
    rejected: dict[Arm, Sums] = field(default_factory=dict)
    latencies: dict[tuple[Arm, str], Sums] = field(default_factory=dict)
    memory_growth: dict[Arm, Sums] = field(default_factory=dict)


class SampleCollector:
    """Adds the reports of all processes to the current window."""

    def __init__(self) -> None:
        """Start without any report."""
        self.baselines: dict[str, ProcessBaseline] = {}  # by target
        self.window = Window()

    def record(self, now: int, target: str, arm: Arm, report: ProcessReport) -> None:
        """Add the samples of a target's process since its last report to the window.

        The last two reports are subtracted only if they have the same process, arm and age class. `now` is in
        monotonic nanoseconds.
        """
        baseline = self.baselines.get(target)
        if baseline is None or baseline.report.process != report.process:
            self.baselines[target] = ProcessBaseline(report, arm)
            return
        if report.samples.earned_weight.count < baseline.report.samples.earned_weight.count:
            return  # the report is older than the last one
        same_arm_and_age_class = baseline.report.age_class is report.age_class and baseline.arm is arm
        if same_arm_and_age_class and arm is not Arm.NEITHER:
            self._add_to_window(now, baseline, report.samples)
        else:
            baseline.memory = None
        baseline.report = report
        baseline.arm = arm

    def _add_to_window(self, now: int, baseline: ProcessBaseline, samples: Samples) -> None:
        """Add the samples of a process since its last report to the window; `samples` are its new totals."""
        window = self.window
        arm = baseline.arm
        age_class = baseline.report.age_class
        before = baseline.report.samples
        earned_weight = samples.earned_weight.minus(before.earned_weight)
        window.earned_weight.setdefault((arm, age_class), Sums()).add(earned_weight)
        if age_class is AgeClass.COLD:
            return
        rejected = max(0.0, samples.rejected - before.rejected)
        window.rejected.setdefault(arm, Sums()).add(Sums(earned_weight.count, rejected, rejected))
        for request_class, latencies in list(samples.latencies.items())[:MAX_REQUEST_CLASSES]:
            earlier = before.latencies.get(request_class, Sums())
            window.latencies.setdefault((arm, request_class), Sums()).add(latencies.minus(earlier))
        self._add_memory(baseline, MemoryReading(now, samples.memory_kb))

    def _add_memory(self, baseline: ProcessBaseline, reading: MemoryReading) -> None:
        """Add the memory growth per second, measured over times long enough to average out noise."""
        first = baseline.memory
        if first is None:
            baseline.memory = reading
            return
        elapsed = reading.observed_at - first.observed_at
        if elapsed >= MIN_MEMORY_WINDOW_NS:
            rate = (reading.memory_kb - first.memory_kb) / (elapsed / SECOND)
            self.window.memory_growth.setdefault(baseline.arm, Sums()).add(Sums(1, rate, rate * rate))
            baseline.memory = reading
