"""Duplicates: when a request shares the result of another, and how long its key is retained for that."""

from __future__ import annotations

from oakkeel.admission.types import Idempotency, Request


def is_coalesced(request: Request, cache_ttl: int, memory_full: bool) -> bool:
    """Return whether a request waits for the result of the one that it duplicates.

    That prevents a second effect, and a result is cheaper than a run. A read is not coalesced into a full
    memory; `cache_ttl` (nanoseconds) is how long an answer may serve reads, 0 where none may.
    """
    if not request.is_duplicate:
        return False
    return request.request_class.at_most_once or bool(cache_ttl and not memory_full)


def retains_key(request: Request, cache_ttl: int) -> bool:
    """Return whether later requests with the key of an admitted one are duplicates."""
    if not request.has_key:
        return False
    return bool(cache_ttl) or request.request_class.idempotency is Idempotency.IDEMPOTENCY_KEY


def key_retention(now: int, request: Request, cache_ttl: int) -> int:
    """Return for how many nanoseconds a key is retained.

    That is as long as a retry may come, or as long as an answer may serve reads.
    """
    if request.request_class.at_most_once:
        return request.request_class.idempotency_window
    return max(0, request.deadline - now) + cache_ttl
