"""Retry-After: how long a rejected client stays away from this node."""

from __future__ import annotations

from oakkeel.admission.types import NodeLimits
from oakkeel.units import MS

MIN_RETRY_AFTER_NS = 25 * MS  # where low ranks are shed: a client stays away with all that it has
MAX_RETRY_AFTER_NS = 500 * MS  # from a node that is full, or whose cores are full of parsing
MIN_PEERS_FOR_MAX_RETRY_AFTER = 8  # with fewer, those that stay away leave cores idle
PARSING_EXPONENT = 3  # a small parsing backlog adds little


def retry_after(parsing_per_core: float, rejects_by_depth: bool, limits: NodeLimits) -> int:
    """Return the nanoseconds after which to retry, longer the less a retry could be served here."""
    fullness = 1.0 if rejects_by_depth else min(1.0, parsing_per_core) ** PARSING_EXPONENT
    fullness *= min(1.0, limits.peers / MIN_PEERS_FOR_MAX_RETRY_AFTER)
    duration = int(MIN_RETRY_AFTER_NS + (MAX_RETRY_AFTER_NS - MIN_RETRY_AFTER_NS) * fullness)
    return min(duration, limits.max_retry_after)
