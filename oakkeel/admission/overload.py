"""Overload stages with hysteresis, from the CPU use, the depth and the latency of a node.

The depth is the number of requests for each core that are queued or hold a run slot.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import IntEnum

from oakkeel.admission.sliding_window import SlidingWindow


class Stage(IntEnum):
    """The overload stages; each adds a measure to those of the lower stages."""

    NORMAL = 0
    EXPAND = 1  # more requests run at one time
    REAP = 2  # idle connections close sooner
    REORDER = 3  # low ranks are shed; the queue is ordered by rank at every stage
    BACKPRESSURE = 4  # admitted requests are delayed
    REJECT = 5  # all requests are rejected except those that the fair share decides on


@dataclass(frozen=True, slots=True)
class StageThresholds:
    """The value of a signal at which each stage begins; it ends below that value minus the hysteresis."""

    expand: float
    reap: float
    reorder: float
    backpressure: float
    reject: float
    hysteresis: float
    begins_at: tuple[float, ...] = field(init=False)  # by stage

    def __post_init__(self) -> None:
        """Order the values by stage."""
        values = (0.0, self.expand, self.reap, self.reorder, self.backpressure, self.reject)
        object.__setattr__(self, "begins_at", values)


# Share of the cores that is busy.
CPU_BUSY_RATIO = StageThresholds(
    expand=0.70, reap=0.80, reorder=0.85, backpressure=0.90, reject=0.95, hysteresis=0.05
)
# Requests that are queued or hold a run slot, for each core.
DEPTH_PER_CORE = StageThresholds(
    expand=0.75, reap=1.0, reorder=1.25, backpressure=1.75, reject=3.0, hysteresis=0.25
)
# Mean of time to completion divided by latency objective.
LATENCY_RATIO = StageThresholds(
    expand=0.5, reap=0.6, reorder=0.75, backpressure=0.9, reject=1.1, hysteresis=0.1
)

# A CPU stage applies only above this depth: busy cores without a queue are no overload.
CPU_STAGE_MIN_DEPTH_PER_CORE = {
    Stage.NORMAL: 0.0,
    Stage.EXPAND: 0.0,
    Stage.REAP: 0.0,
    Stage.REORDER: 1.0,
    Stage.BACKPRESSURE: 1.0,
    Stage.REJECT: 3.0,
}
# Requests that the depth leaves out: with few cores, each request is a large step of depth.
UNCOUNTED_DEPTH_REQUESTS = 2


def depth_per_core(waiting: int, run_slots_in_use: int, cores: int) -> float:
    """Return the number of requests for each core that are queued or hold a run slot.

    Requests with a downstream call in flight are not counted: `ConcurrencyLimits.max_active` limits them.
    """
    return max(0, waiting + run_slots_in_use - UNCOUNTED_DEPTH_REQUESTS) / cores


def next_stage(stage: Stage, value: float, thresholds: StageThresholds) -> Stage:
    """Return the stage that follows `stage` at this value of its signal.

    The stage rises at once. It falls only once the value is below the threshold by more than the hysteresis,
    so that it does not flap while the value is near a threshold.
    """
    begins_at = thresholds.begins_at
    level = int(stage)
    while level < Stage.REJECT and value >= begins_at[level + 1]:
        level += 1
    while level > Stage.NORMAL and value < begins_at[level] - thresholds.hysteresis:
        level -= 1
    return stage if level == stage else Stage(level)


class OverloadStages:
    """The overload stage by each signal: CPU use, depth and latency."""

    def __init__(self) -> None:
        """Start at NORMAL."""
        self.cpu_stage = Stage.NORMAL
        self.depth_stage = Stage.NORMAL
        self.latency_stage = Stage.NORMAL
        self.latency_ratios = SlidingWindow()  # time to completion divided by latency objective

    def highest(self) -> Stage:
        """Return the highest stage of all signals."""
        return max(self.cpu_stage, self.depth_stage, self.latency_stage)

    def rejects_by_depth(self) -> bool:
        """Return whether the depth alone was at REJECT at its last update."""
        return self.depth_stage is Stage.REJECT

    def arrival_stage(self, depth: float) -> Stage:
        """Update the stage of the depth per core, and return the stage for an arriving request."""
        self.depth_stage = next_stage(self.depth_stage, depth, DEPTH_PER_CORE)
        stage = max(self.depth_stage, self.latency_stage)
        if depth > CPU_STAGE_MIN_DEPTH_PER_CORE[self.cpu_stage]:
            return max(stage, self.cpu_stage)
        return stage

    def poll(self, now: int, core_busy: float, depth: float) -> None:
        """Update the stage of each signal: busy share of the cores, latency and depth per core."""
        self.cpu_stage = next_stage(self.cpu_stage, core_busy, CPU_BUSY_RATIO)
        self.latency_stage = next_stage(self.latency_stage, self.latency_ratios.mean(now, 0.0), LATENCY_RATIO)
        self.depth_stage = next_stage(self.depth_stage, depth, DEPTH_PER_CORE)
