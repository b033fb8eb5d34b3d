"""Overload stages with hysteresis (the source's degradation ladder), shedding threshold and concurrency."""

from __future__ import annotations

from enum import IntEnum

from oakkeel.admission.sliding_window import SlidingWindow
from oakkeel.admission.types import NodeLimits


class Stage(IntEnum):
    """The overload stages."""

    NORMAL, EXPAND, REAP, REORDER, BACKPRESSURE, REJECT = range(6)


# A row's n-th figure enters the n-th stage after NORMAL; a stage is left below it less the slack.
CPU = (0.70, 0.80, 0.85, 0.90, 0.95)  # busy share of the cores
CPU_SLACK = 0.05
CPU_DEPTH = (0.0, 0.0, 1.0, 1.0, 3.0)  # a CPU stage acts only while the depth exceeds this
DEPTH = (0.75, 1.0, 1.25, 1.75, 3.0)  # requests queued and on the cores, for each core
DEPTH_SLACK = 0.25
LATENCY = (0.5, 0.6, 0.75, 0.9, 1.1)  # mean time to completion over the latency objective
LATENCY_SLACK = 0.1
SHED_MOST, SHED_STEP = 0.9, 0.08  # of arrivals, rejected as low; its step by arrival and core
# Concurrency.
RUN = (1.0, 1.24)  # runs for each core, below EXPAND and from it on
STALE = 0.2  # of the latency objective unread: reading goes first until it is below
RUN_LEAST = 0.5  # of the cores, however much is being read
RUN_QUEUE = 1.25  # runs, reading, checks and new connections together
OVERLOAD_ROOM = 0.7  # of the overload multiple, for all that could be on the cores


def next_stage(stage: int, value: float, row: tuple[float, ...], slack: float) -> int:
    """Climb to the highest stage reached; fall only below a threshold less its slack."""
    while stage < Stage.REJECT and value >= row[stage]:
        stage += 1
    while stage > Stage.NORMAL and value < row[stage - 1] - slack:
        stage -= 1
    return stage


class OverloadStages:
    """The stage of each signal, and the rank below which requests are shed."""

    def __init__(self, cores: int) -> None:
        """Start at NORMAL, with nothing shed."""
        self.cpu = self.depth = self.latency = int(Stage.NORMAL)
        self.latencies = SlidingWindow()  # to completion, over the latency objective
        self.threshold, self.step = 0.0, min(1.0, SHED_STEP * cores)

    def highest(self) -> int:
        """Return the highest stage of all signals."""
        return max(self.cpu, self.depth, self.latency)

    def arrival_stage(self, depth: float) -> int:
        """Follow the depth, and return the stage that a new request meets."""
        self.depth = next_stage(self.depth, depth, DEPTH, DEPTH_SLACK)
        stage = max(self.depth, self.latency)
        return max(stage, self.cpu) if depth > CPU_DEPTH[max(0, self.cpu - 1)] else stage

    def poll(self, now: int, core_busy: float, depth: float) -> None:
        """Follow all signals."""
        self.cpu = next_stage(self.cpu, core_busy, CPU, CPU_SLACK)
        self.latency = next_stage(self.latency, self.latencies.mean(now, 0.0), LATENCY, LATENCY_SLACK)
        self.depth = next_stage(self.depth, depth, DEPTH, DEPTH_SLACK)

    def follow_threshold(self, now: int, depth: float) -> None:
        """Move the shedding threshold: it rises with the signals from REORDER to BACKPRESSURE."""
        signals = ((depth, DEPTH), (self.latencies.mean(now, 0.0), LATENCY))
        position = max((value - row[2]) / (row[3] - row[2]) for value, row in signals)
        self.threshold += self.step * (SHED_MOST * min(1.0, max(0.0, position)) - self.threshold)


class Capacity:
    """The bounds on concurrency of one node."""

    def __init__(self, limits: NodeLimits) -> None:
        """Start with nothing being read."""
        self.limits, self.run = limits, limits.cores * RUN[0]
        self.reading, self.readings = 0.0, SlidingWindow()  # what else wanted a core when last seen
        self.staleness = 0.0  # of the last arrival: time unread over its latency objective

    def observe(self, now: int, reading: float) -> None:
        """Note what else wants a core."""
        self.reading = max(0.0, reading)
        self.readings.add(now, self.reading)

    def runs(self, expanded: bool) -> float:
        """Return how many may run now."""
        reading = self.reading / self.limits.cores
        self.run = max(RUN_LEAST, min(RUN[expanded], RUN_QUEUE - reading)) * self.limits.cores
        if self.staleness > STALE and reading > RUN_LEAST:
            return 0  # in a jam one run beside the reading makes all that is read too old to be served
        return self.run

    def most(self, warmth: float) -> float:
        """Return how many may run or call before the cores are overloaded."""
        return (1 + (self.limits.overload_multiple - 1) * warmth) * self.limits.cores * OVERLOAD_ROOM
