"""Retry-After: the time for which a rejected client sends no requests to this node."""

from __future__ import annotations

from oakkeel.admission.types import NodeLimits
from oakkeel.units import MS

# For a node that sheds only low ranks; short, as the client holds back its requests of high rank as well.
MIN_RETRY_AFTER_NS = 25 * MS
MAX_RETRY_AFTER_NS = 500 * MS  # for a node that is full or whose cores are busy parsing
MIN_PEERS_FOR_MAX_RETRY_AFTER = 8  # with fewer peers, clients that hold back leave cores idle
PARSING_EXPONENT = 3  # with this exponent, a small parsing backlog adds little


def retry_after(parsing_per_core: float, rejects_by_depth: bool, limits: NodeLimits) -> int:
    """Return the nanoseconds until a retry, which grow with the load of the node."""
    fullness = 1.0 if rejects_by_depth else min(1.0, parsing_per_core) ** PARSING_EXPONENT
    fullness *= min(1.0, limits.peers / MIN_PEERS_FOR_MAX_RETRY_AFTER)
    duration = int(MIN_RETRY_AFTER_NS + (MAX_RETRY_AFTER_NS - MIN_RETRY_AFTER_NS) * fullness)
    return min(duration, limits.max_retry_after)
