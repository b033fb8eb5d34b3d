"""Bounded cache of responses for duplicate requests: idempotency keys and shared reads."""

from __future__ import annotations

import time
from enum import Enum

from oakkeel.admission.types import Outcome
from oakkeel.cached_response import CachedResponse, CacheKey, body_digest, reached_machine_at
from oakkeel.errors import OakkeelError
from oakkeel.request import NodeRequest
from oakkeel.request_events import SharedResponse
from oakkeel.resource_limits import ResourceLimits


class NotADuplicateError(OakkeelError, RuntimeError):
    """A request that is no duplicate was to get a shared response: a defect of this program."""


class KeyCheck(Enum):
    """Result of the check of a request's key before admission."""

    PERMITTED = "permitted"  # the request has no key or a new key, or is a duplicate
    MISMATCH = "mismatch"  # the idempotency key belongs to a request with another body
    CACHE_FULL = "cache full"  # the request must not run: its duplicates could not be recognized


class ResponseCache:
    """Entries by request class, tenant and key; a new request replaces the expired entry of its key.

    A read is an idempotent request: its entry may be evicted early, as a second run has no further effect.
    """

    def __init__(self, resource_limits: ResourceLimits, read_ttl: int) -> None:
        """Make an empty cache; the result of a read serves duplicates for `read_ttl` nanoseconds."""
        self.capacity = resource_limits.max_results  # entries
        self.read_ttl = read_ttl
        self.entries: dict[CacheKey, CachedResponse] = {}

    def check_key(self, request: NodeRequest, now: int) -> KeyCheck:
        """Check whether the key of a request permits its admission, so that no effect happens twice.

        Sets `is_duplicate` of the request. `now` is in nanoseconds of the monotonic clock.
        """
        request.is_duplicate = self.find_original(request, now)
        if request.is_duplicate:
            return KeyCheck.MISMATCH if self.has_key_mismatch(request) else KeyCheck.PERMITTED
        if request.cache_key and request.request_class.at_most_once and not self.make_room(now):
            return KeyCheck.CACHE_FULL
        return KeyCheck.PERMITTED

    def find_original(self, request: NodeRequest, now: int) -> bool:
        """Return whether the request reached the host while the entry of its key was valid.

        If so, it is a duplicate, and its `duplicate_of` is set to that entry.
        """
        entry = self.entries.get(request.cache_key) if request.cache_key else None
        if entry is None or now - request.queueing_delay >= entry.expires_at:
            return False
        if not entry.at_most_once and entry.outcome not in (None, Outcome.COMPLETED):
            return False
        if self._is_stale(entry, now):
            return False
        request.duplicate_of = entry
        return True

    def repeats_known_request(self, request: NodeRequest, now: int) -> bool:
        """Return whether a request repeats one that runs at most once and may have run."""
        return request.request_class.at_most_once and self.find_original(request, now)

    def has_key_mismatch(self, request: NodeRequest) -> bool:
        """Return whether a duplicate has the key of the original request, but a different body.

        Such a request must neither get the result of the original nor run: a run could have a second effect.
        """
        original = request.duplicate_of
        return original is not None and original.at_most_once and original.digest != body_digest(request.body)

    def _is_stale(self, entry: CachedResponse, now: int) -> bool:
        """Return whether the result of a read is too old to be shared."""
        is_completed_read = not entry.at_most_once and entry.outcome is Outcome.COMPLETED
        return is_completed_read and now - entry.current_at > self.read_ttl

    def share(self, request: NodeRequest, now: int) -> None:
        """Give a duplicate the response of its original request, at once or when the original finishes.

        A read is rejected if its original has become too old since `find_original`.
        """
        original = request.duplicate_of
        if original is None:
            raise NotADuplicateError(f"the request {request.request_id!r} is no duplicate")
        if self._is_stale(original, now):
            request.post(SharedResponse(Outcome.REJECTED, b""))
        else:
            original.add_follower(request)

    def make_room(self, now: int) -> bool:
        """Make room for one entry if the cache is full; return whether there is room.

        Evicts the expired entries and, if these do not suffice, the entry of one read.
        A valid idempotency key is never evicted: a duplicate would run a second time.
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
        """Make an entry that is valid for `duration` nanoseconds, if the request has a key."""
        if request.cache_key is None:
            return  # duplicates can't be recognized without a key
        self.make_room(now)
        request.cache_entry = self.entries[request.cache_key] = CachedResponse(
            request.cache_key, request, request.body, now, duration, self.entries.get(request.cache_key)
        )

    def release(self, request: NodeRequest) -> None:
        """Drop the entry of a request that has not run and will not run.

        An at-most-once entry that it replaced is restored: the request of that entry may have run, and its
        duplicates may still be unread or may be followers of the dropped entry.
        """
        entry = request.cache_entry
        if entry is None:
            return
        previous = entry.replaced_entry
        if self.entries.get(entry.key) is entry:
            del self.entries[entry.key]
        if previous and previous.at_most_once:
            self.entries.setdefault(entry.key, previous)
            self._move_followers(entry, previous)
        entry.finish(Outcome.REJECTED, b"")

    @staticmethod
    def _move_followers(entry: CachedResponse, previous: CachedResponse) -> None:
        """Move the followers that arrived before `previous` expired: they are duplicates of its request."""
        for follower in entry.followers[:]:
            if reached_machine_at(follower) < previous.expires_at:
                entry.followers.remove(follower)
                previous.add_follower(follower)

    def finish(
        self, request: NodeRequest, outcome: Outcome, result: bytes, current_at: int | None = None
    ) -> None:
        """Store the outcome and the result of a request in its entry, if there is one.

        `current_at` is a time at which the result was surely current, in nanoseconds of the monotonic clock;
        None: now.
        """
        entry = request.cache_entry
        if entry is None:
            return
        if current_at is None:
            current_at = time.monotonic_ns()
        is_completed_read = not entry.at_most_once and outcome is Outcome.COMPLETED
        entry.finish(outcome, result, current_at, current_at + self.read_ttl if is_completed_read else None)

    def _evict_expired(self, now: int) -> None:
        for key in [key for key, entry in self.entries.items() if entry.evict_at <= now]:
            del self.entries[key]
