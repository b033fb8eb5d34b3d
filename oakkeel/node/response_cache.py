"""Responses of requests for their duplicates, in bounded memory: idempotency keys and shared reads."""

from __future__ import annotations

import time
from hashlib import blake2b

from oakkeel.admission.types import Outcome
from oakkeel.errors import OakkeelError
from oakkeel.request import CacheKey, NodeRequest
from oakkeel.request_events import SharedResponse
from oakkeel.resource_limits import ResourceLimits


class NotADuplicateError(OakkeelError, RuntimeError):
    """A response was asked for a request that no other was found for: a defect of this program."""


def body_digest(request: NodeRequest) -> bytes:
    """The digest that tells two requests with one idempotency key apart."""
    return blake2b(request.body, digest_size=16).digest()


class CachedResponse:
    """One request that may have duplicates: still running, or finished with its outcome and result."""

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
        """Make an entry that holds for `duration` nanoseconds.

        They count from the arrival at the machine for what may run once, and from now for a read. `previous`
        is the entry that it replaces, kept while this one may still turn out never to have run.
        """
        self.key, self.at_most_once = key, request.request_class.at_most_once
        self.expires_at = now + duration - (request.queueing_delay if self.at_most_once else 0)
        # A duplicate that came in time may be read as late as its client waits, and must still find it.
        self.evict_at = self.expires_at + (request.request_class.client_timeout if self.at_most_once else 0)
        self.digest = body_digest(request) if self.at_most_once else b""
        self.outcome: Outcome | None = None
        self.result, self.finished_at = b"", 0
        self.followers: list[NodeRequest] = []
        self.previous = previous

    def add_follower(self, request: NodeRequest) -> None:
        """Give the request this response, now or when there is one."""
        if self.outcome is not None:
            request.post(SharedResponse(self.outcome, self.result))
        else:
            self.followers.append(request)

    def finish(self, outcome: Outcome, result: bytes) -> None:
        """Take the outcome, and pass it to all that wait for it. Only the first one counts."""
        if self.outcome is not None:
            return
        self.outcome, self.result, self.finished_at = outcome, result, time.monotonic_ns()
        self.previous = None
        for request in self.followers:
            request.post(SharedResponse(outcome, result))
        self.followers.clear()


class ResponseCache:
    """Entries by request class, tenant and key. A later request replaces one whose time is up."""

    def __init__(self, resource_limits: ResourceLimits, read_ttl: int) -> None:
        """Make an empty cache; the result of a read may serve others for `read_ttl` nanoseconds."""
        self.capacity, self.read_ttl = resource_limits.max_results, read_ttl
        self.entries: dict[CacheKey, CachedResponse] = {}

    def find(self, request: NodeRequest, now: int) -> bool:
        """Whether the request is a duplicate: it reached the machine before the time of an entry was up."""
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
        """Whether a duplicate has the key of another request, but a different body.

        A result that was not made for it would be an answer to nothing it asked, and to run it might be a
        second effect.
        """
        original: CachedResponse | None = request.duplicate_of
        return original is not None and original.at_most_once and original.digest != body_digest(request)

    def share(self, request: NodeRequest) -> None:
        """Give a duplicate the response of the request that `find` found, now or when there is one."""
        original: CachedResponse | None = request.duplicate_of
        if original is None:
            raise NotADuplicateError("the request duplicates none")
        original.add_follower(request)

    def full(self, now: int) -> bool:
        """Whether there is no room for another key, not even in place of a read's or of an expired one."""
        if len(self.entries) < self.capacity:
            return False
        self._evict_expired(now)
        for key, entry in self.entries.items():
            if len(self.entries) >= self.capacity and not entry.at_most_once:
                del self.entries[key]
                break
        return len(self.entries) >= self.capacity

    def retain(self, request: NodeRequest, now: int, duration: int) -> None:
        """Make an entry for a request with a key; `duration` in nanoseconds."""
        if request.cache_key is None:
            return  # nothing that its duplicates could be known by
        self.full(now)  # makes room
        request.cache_entry = self.entries[request.cache_key] = CachedResponse(
            request.cache_key, request, now, duration, self.entries.get(request.cache_key)
        )

    def release(self, request: NodeRequest) -> None:
        """Drop the entry of a request that never ran and never will.

        The entry that it replaced is there again: that request may have run, and duplicates of it may still
        be unread, or have been taken for duplicates of this one.
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
        """Followers that arrived while the previous entry held are duplicates of that one."""
        for follower in entry.followers[:]:
            if follower.arrived_at - follower.queueing_delay < previous.expires_at:
                entry.followers.remove(follower)
                previous.add_follower(follower)

    def finish(self, request: NodeRequest, outcome: Outcome, result: bytes) -> None:
        """Take the outcome of a request that has an entry."""
        if request.cache_entry is not None:
            request.cache_entry.finish(outcome, result)

    def _evict_expired(self, now: int) -> None:
        for key in [key for key, entry in self.entries.items() if entry.evict_at <= now]:
            del self.entries[key]
