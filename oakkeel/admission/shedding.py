"""Load shedding: the rank below which requests are rejected, and whether clients may retry elsewhere."""

from __future__ import annotations

from oakkeel.admission.overload import DEPTH_PER_CORE, LATENCY_RATIO, Stage, StageThresholds
from oakkeel.admission.types import Rejection, Request

MAX_SHED_RATIO = 0.9  # maximum of the threshold and so of the share of arrivals that is shed: some must run
# Share of the distance to its target by which the threshold moves at each arrival, for each core.
SHED_STEP_RATIO_PER_CORE = 0.08
MAX_ARRIVAL_RETRY_RATIO = 0.1  # share of retries among arrivals above which other nodes are assumed full too
MAX_PARSING_PER_CORE_FOR_RETRY = 0.75  # parsing backlog above which a retry only adds parsing work elsewhere


def position_in_shedding_range(value: float, thresholds: StageThresholds) -> float:
    """Return the position of a signal between REORDER (0) and BACKPRESSURE (1), or outside of these."""
    return (value - thresholds.reorder) / (thresholds.backpressure - thresholds.reorder)


class SheddingThreshold:
    """The rank below which requests are shed from REORDER on."""

    def __init__(self, cores: int) -> None:
        """Start with nothing shed."""
        self.threshold = 0.0
        self.step_ratio = min(1.0, SHED_STEP_RATIO_PER_CORE * cores)

    def update(self, depth: float, latency_ratio: float) -> None:
        """Move the threshold one step towards the target that the higher of both signals sets.

        `depth` is the depth for each core, `latency_ratio` the mean of time to completion divided by latency
        objective. The threshold moves in steps, as the depth of a node with few cores has only a few values.
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
    """Return the kind of rejection for a request of low rank.

    Another node may have capacity, unless the request or many of the arrivals are already retries;
    `retry_ratio` is the share of retries among recent arrivals.
    """
    if request.retry_attempt or not marks_retries or retry_ratio > MAX_ARRIVAL_RETRY_RATIO:
        return Rejection.FINAL
    return Rejection.RETRY_ON_OTHER_NODE


def full_node_rejection(request: Request, parsing_backlog: float, cores: int) -> Rejection:
    """Return the kind of rejection for a request that this node can't serve in time.

    Another node may have capacity, unless retries fill this node. `parsing_backlog` is the mean of the last
    seconds.
    """
    if request.retry_attempt or parsing_backlog > MAX_PARSING_PER_CORE_FOR_RETRY * cores:
        return Rejection.FINAL
    return Rejection.RETRY_ON_OTHER_NODE
