"""Which requests share the result of another, and how long a key is retained to recognize duplicates."""

from __future__ import annotations

from oakkeel.admission.types import Idempotency, Request


def is_coalesced(request: Request, cache_ttl: int, lacks_memory: bool) -> bool:
    """Return whether a request waits for the result of the request that it duplicates.

    Coalescing prevents a second effect, and a shared result is cheaper than a run. A read is not coalesced
    while the memory is full. `cache_ttl` is the time in nanoseconds for which an answer may serve reads, 0 if
    no answer may be reused.
    """
    if not request.is_duplicate:
        return False
    return request.request_class.at_most_once or bool(cache_ttl and not lacks_memory)


def retains_key(request: Request, cache_ttl: int) -> bool:
    """Return whether later requests with the key of an admitted request are duplicates."""
    if not request.has_key:
        return False
    return bool(cache_ttl) or request.request_class.idempotency is Idempotency.IDEMPOTENCY_KEY


def key_retention(now: int, request: Request, cache_ttl: int) -> int:
    """Return the nanoseconds for which a key is retained.

    The key is retained as long as a retry may arrive, or as long as the answer may serve reads.
    """
    if request.request_class.at_most_once:
        return request.request_class.idempotency_window
    return max(0, request.deadline - now) + cache_ttl
