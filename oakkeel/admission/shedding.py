"""Load shedding: below which rank a request is rejected, and whether its client may retry elsewhere."""

from __future__ import annotations

from oakkeel.admission.overload import DEPTH_PER_CORE, LATENCY_RATIO, Stage, StageThresholds
from oakkeel.admission.types import Rejection, Request

MAX_SHED_RATIO = 0.9  # of arrivals; some of the lowest ranks still run
SHED_STEP_RATIO_PER_CORE = 0.08  # of the way to its target that the threshold moves at each arrival
MAX_RETRY_RATIO = 0.1  # of arrivals; above it the other nodes are full as well
MAX_PARSING_PER_CORE_FOR_RETRY = 0.75  # above it, a retry only adds parsing work elsewhere


def position_in_shedding_range(value: float, thresholds: StageThresholds) -> float:
    """Return where a signal stands between REORDER (0) and BACKPRESSURE (1); it may be outside."""
    return (value - thresholds.reorder) / (thresholds.backpressure - thresholds.reorder)


class SheddingThreshold:
    """The rank below which requests are shed from REORDER on."""

    def __init__(self, cores: int) -> None:
        """Start with nothing shed."""
        self.threshold = 0.0
        self.step_ratio = min(1.0, SHED_STEP_RATIO_PER_CORE * cores)

    def update(self, depth: float, latency_ratio: float) -> None:
        """Move the threshold towards the higher of both signals.

        It moves in steps, because the depth of a node with few cores has only few values.
        """
        position = max(
            position_in_shedding_range(depth, DEPTH_PER_CORE),
            position_in_shedding_range(latency_ratio, LATENCY_RATIO),
        )
        self.threshold += self.step_ratio * (MAX_SHED_RATIO * min(1.0, max(0.0, position)) - self.threshold)

    def sheds(self, stage: Stage, rank: float) -> bool:
        """Return whether a request of this rank is shed, to keep the cores for higher ranks."""
        return stage >= Stage.REORDER and rank < self.threshold


def low_rank_rejection(request: Request, marks_retries: bool, retry_ratio: float) -> Rejection:
    """Return how a request of low rank is rejected.

    Another node may have capacity, unless the request or many of the arrivals are retries already;
    `retry_ratio` is the part of recent arrivals that are.
    """
    if request.retry_attempt or not marks_retries or retry_ratio > MAX_RETRY_RATIO:
        return Rejection.FINAL
    return Rejection.RETRY_ELSEWHERE


def full_node_rejection(request: Request, parsing_backlog: float, cores: int) -> Rejection:
    """Return how a request is rejected that this node can't serve in time.

    Another node may, unless retries are what fills this one. `parsing_backlog` is the mean of the last
    seconds.
    """
    if request.retry_attempt or parsing_backlog > MAX_PARSING_PER_CORE_FOR_RETRY * cores:
        return Rejection.FINAL
    return Rejection.RETRY_ELSEWHERE
