"""Health: whether a node should be on the endpoint list."""

from __future__ import annotations

# Mean staleness of arrivals (queueing delay before parsing), as a share of the latency objective.
MAX_HEALTHY_STALENESS_RATIO = 0.6
MAX_STALENESS_RATIO_TO_RECOVER = MAX_HEALTHY_STALENESS_RATIO / 2


def is_healthy(was_healthy: bool, is_draining: bool, staleness_ratio: float) -> bool:
    """Return whether clients should use the node: a node that parses too late can't even reject in time.

    `staleness_ratio` is the mean over the last seconds of queueing delay divided by latency objective.
    """
    limit = MAX_HEALTHY_STALENESS_RATIO if was_healthy else MAX_STALENESS_RATIO_TO_RECOVER
    return not is_draining and staleness_ratio < limit
