"""Responses of requests for their duplicates, in bounded memory: idempotency keys and shared reads."""

from __future__ import annotations

import time
from enum import Enum
from hashlib import blake2b

from oakkeel.admission.types import Outcome
from oakkeel.errors import OakkeelError
from oakkeel.request import CacheKey, NodeRequest
from oakkeel.request_events import SharedResponse
from oakkeel.resource_limits import ResourceLimits

DIGEST_BYTES = 16


class NotADuplicateError(OakkeelError, RuntimeError):
    """A request is to share a response, but duplicates no other request: a defect of this program."""


class KeyCheck(Enum):
    """What the key of a request says about it before admission."""

    PERMITTED = "permitted"  # it has no key, a new one, or is a duplicate
    MISMATCH = "mismatch"  # its idempotency key belongs to a request with another body
    CACHE_FULL = "cache full"  # it must not run: its duplicates could not be recognized


def body_digest(request: NodeRequest) -> bytes:
    """Return the digest that distinguishes requests with one idempotency key."""
    return blake2b(request.body, digest_size=DIGEST_BYTES).digest()


class CachedResponse:
    """The response of a request that may have duplicates, once its run is over."""

    __slots__ = (
        "at_most_once",
        "digest",
        "evict_at",
        "expires_at",
        "finished_at",
        "followers",
        "key",
        "outcome",
        "previous",
        "result",
    )

    def __init__(
        self, key: CacheKey, request: NodeRequest, now: int, duration: int, previous: CachedResponse | None
    ) -> None:
        """Make an entry that is valid for `duration` nanoseconds.

        They count from the arrival at the machine for a request that runs at most once, and from now for a
        read. `previous` is the entry that it replaces, kept until this request is known to have run.
        """
        self.key = key
        self.at_most_once = request.request_class.at_most_once
        self.expires_at = now + duration - (request.queueing_delay if self.at_most_once else 0)
        # A duplicate that arrived before the expiry may be read later, until its client times out.
        self.evict_at = self.expires_at + (request.request_class.client_timeout if self.at_most_once else 0)
        self.digest = body_digest(request) if self.at_most_once else b""
        self.outcome: Outcome | None = None
        self.result = b""
        self.finished_at = 0  # nanoseconds of the monotonic clock
        self.followers: list[NodeRequest] = []
        self.previous = previous

    def add_follower(self, request: NodeRequest) -> None:
        """Give the request this response, now or when it is there."""
        if self.outcome is not None:
            request.post(SharedResponse(self.outcome, self.result))
        else:
            self.followers.append(request)

    def finish(self, outcome: Outcome, result: bytes) -> None:
        """Set the outcome, and pass it to all followers; only the first call has an effect."""
        if self.outcome is not None:
            return
        self.outcome = outcome
        self.result = result
        self.finished_at = time.monotonic_ns()
        self.previous = None
        for request in self.followers:
            request.post(SharedResponse(outcome, result))
        self.followers.clear()


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
        original: CachedResponse | None = request.duplicate_of
        return original is not None and original.at_most_once and original.digest != body_digest(request)

    def share(self, request: NodeRequest) -> None:
        """Give a duplicate the response of the request that `find` found, now or when it is there."""
        original: CachedResponse | None = request.duplicate_of
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
            request.cache_key, request, now, duration, self.entries.get(request.cache_key)
        )

    def release(self, request: NodeRequest) -> None:
        """Drop the entry of a request that never ran and never will.

        The entry that it replaced is restored: that request may have run, and duplicates of it may still be
        unread, or have become followers of this one.
        """
        entry: CachedResponse | None = request.cache_entry
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
