"""Responses of requests for their duplicates, in bounded memory: idempotency keys and shared reads."""

from __future__ import annotations

from enum import Enum

from oakkeel.admission.types import Outcome
from oakkeel.cached_response import CachedResponse, CacheKey, body_digest
from oakkeel.errors import OakkeelError
from oakkeel.request import NodeRequest
from oakkeel.resource_limits import ResourceLimits


class NotADuplicateError(OakkeelError, RuntimeError):
    """A request is to share a response, but duplicates no other request: a defect of this program."""


class KeyCheck(Enum):
    """What the key of a request says about it before admission."""

    PERMITTED = "permitted"  # it has no key, a new one, or is a duplicate
    MISMATCH = "mismatch"  # its idempotency key belongs to a request with another body
    CACHE_FULL = "cache full"  # it must not run: its duplicates could not be recognized


class ResponseCache:
    """Entries by request class, tenant and key; a later request replaces an expired one."""

    def __init__(self, resource_limits: ResourceLimits, read_ttl: int) -> None:
        """Make an empty cache; the result of a read may serve others for `read_ttl` nanoseconds."""
        self.capacity = resource_limits.max_results
        self.read_ttl = read_ttl
        self.entries: dict[CacheKey, CachedResponse] = {}

    def check_key(self, request: NodeRequest, now: int) -> KeyCheck:
        """Decide whether the key of a request permits to admit it, so that no effect happens twice.

        Sets `is_duplicate` of the request. `now` is in nanoseconds of the monotonic clock.
        """
        request.is_duplicate = self.find(request, now)
        if request.is_duplicate:
            return KeyCheck.MISMATCH if self.key_mismatch(request) else KeyCheck.PERMITTED
        if request.cache_key and request.request_class.at_most_once and not self.make_room(now):
            return KeyCheck.CACHE_FULL
        return KeyCheck.PERMITTED

    def find(self, request: NodeRequest, now: int) -> bool:
        """Return whether the request is a duplicate: it reached the machine before an entry expired."""
        entry = self.entries.get(request.cache_key) if request.cache_key else None
        if entry is None or now - request.queueing_delay >= entry.expires_at:
            return False
        if (
            not entry.at_most_once
            and entry.outcome is not None
            and (entry.outcome is not Outcome.COMPLETED or now - entry.finished_at > self.read_ttl)
        ):
            return False
        request.duplicate_of = entry
        return True

    def key_mismatch(self, request: NodeRequest) -> bool:
        """Return whether a duplicate has the key of another request, but a different body.

        It must neither get the result of the other request nor run, which could be a second effect.
        """
        original = request.duplicate_of
        return original is not None and original.at_most_once and original.digest != body_digest(request.body)

    def share(self, request: NodeRequest) -> None:
        """Give a duplicate the response of the request that `find` found, now or when it is there."""
        original = request.duplicate_of
        if original is None:
            raise NotADuplicateError(f"the request {request.request_id!r} is no duplicate")
        original.add_follower(request)

    def make_room(self, now: int) -> bool:
        """Evict expired entries, then a read's, if the cache is full; return whether another key fits.

        An idempotency key that is valid is never evicted: its duplicate would run a second time.
        """
        if len(self.entries) < self.capacity:
            return True
        self._evict_expired(now)
        for key, entry in self.entries.items():
            if len(self.entries) >= self.capacity and not entry.at_most_once:
                del self.entries[key]
                break
        return len(self.entries) < self.capacity

    def retain(self, request: NodeRequest, now: int, duration: int) -> None:
        """Make an entry for a request with a key; `duration` in nanoseconds."""
        if request.cache_key is None:
            return  # its duplicates can't be recognized
        self.make_room(now)
        request.cache_entry = self.entries[request.cache_key] = CachedResponse(
            request.cache_key, request, request.body, now, duration, self.entries.get(request.cache_key)
        )

    def release(self, request: NodeRequest) -> None:
        """Drop the entry of a request that never ran and never will.

        The entry that it replaced is restored: that request may have run, and duplicates of it may still be
        unread, or have become followers of this one.
        """
        entry = request.cache_entry
        if entry is None:
            return
        previous = entry.previous
        if self.entries.get(entry.key) is entry:
            del self.entries[entry.key]
        if previous and previous.at_most_once:
            self.entries.setdefault(entry.key, previous)
            self._move_followers(entry, previous)
        entry.finish(Outcome.REJECTED, b"")

    @staticmethod
    def _move_followers(entry: CachedResponse, previous: CachedResponse) -> None:
        """Move the followers that arrived before the previous entry expired: they are its duplicates."""
        for follower in entry.followers[:]:
            if follower.arrived_at - follower.queueing_delay < previous.expires_at:
                entry.followers.remove(follower)
                previous.add_follower(follower)

    def finish(self, request: NodeRequest, outcome: Outcome, result: bytes) -> None:
        """Set the outcome of a request, if it has an entry."""
        if request.cache_entry is not None:
            request.cache_entry.finish(outcome, result)

    def _evict_expired(self, now: int) -> None:
        for key in [key for key, entry in self.entries.items() if entry.evict_at <= now]:
            del self.entries[key]
