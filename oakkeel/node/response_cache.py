"""Results of exchanges for their repeats, within a bound on memory: deduplication, and shared reads."""

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


class CachedResponse:
    """One exchange that may be repeated: under way, or over with its outcome and result."""

    __slots__ = (
        "before",
        "body",
        "dropped",
        "ended",
        "followers",
        "key",
        "once",
        "outcome",
        "result",
        "until",
    )

    def __init__(
        self, key: CacheKey, request: NodeRequest, now: int, duration: int, before: CachedResponse | None
    ) -> None:
        """`duration` in nanoseconds: of what may run once from its arrival at the machine, of a read from
        now."""
        self.key, self.once = key, request.request_class.at_most_once
        self.until = now + duration - (request.queueing_delay if self.once else 0)
        # One that came in time may be read as late as its caller waits, and must still find it.
        self.dropped = self.until + (request.request_class.client_timeout if self.once else 0)
        self.body = blake2b(request.body, digest_size=16).digest() if self.once else b""
        self.outcome: Outcome | None = None
        self.result, self.ended = b"", 0
        self.followers: list[NodeRequest] = []
        self.before = before  # whose place it has, while it may still turn out never to have run

    def follow(self, request: NodeRequest) -> None:
        """It takes the result, now or when there is one."""
        if self.outcome is not None:
            request.post(SharedResponse(self.outcome, self.result))
        else:
            self.followers.append(request)

    def end(self, outcome: Outcome, result: bytes) -> None:
        """Its run is over, or it never comes: all that wait for it are told."""
        if self.outcome is None:
            self.outcome, self.result, self.ended = outcome, result, time.monotonic_ns()
            self.before = None
            for request in self.followers:
                request.post(SharedResponse(outcome, result))
            self.followers.clear()


class ResponseCache:
    """By endpoint group, tenant and key. A later exchange takes the place of one whose time is up."""

    def __init__(self, resource_limits: ResourceLimits, fresh: int) -> None:
        """`fresh`: nanoseconds for which the result of a read may serve others."""
        self.most, self.fresh = resource_limits.max_results, fresh
        self.results: dict[CacheKey, CachedResponse] = {}

    def find(self, request: NodeRequest, now: int) -> bool:
        """Whether it repeats one that is here: it reached the machine while that one's time was not up."""
        cached = self.results.get(request.cache_key) if request.cache_key else None
        if cached is None or now - request.queueing_delay >= cached.until:
            return False
        if (
            not cached.once
            and cached.outcome is not None
            and (cached.outcome is not Outcome.COMPLETED or now - cached.ended > self.fresh)
        ):
            return False
        request.duplicate_of = cached
        return True

    def differs(self, request: NodeRequest) -> bool:
        """Whether it has the key of the one that it would repeat, but asks for something else. A result that
        was not made for it would be an answer to nothing it asked, and to run it might be a second effect."""
        earlier = request.duplicate_of
        return (
            earlier is not None
            and earlier.once
            and earlier.body != blake2b(request.body, digest_size=16).digest()
        )

    def share(self, request: NodeRequest) -> None:
        """Give it the response of the one that `find` has named, now or when there is one."""
        earlier: CachedResponse | None = request.duplicate_of
        if earlier is None:
            raise NotADuplicateError("the request duplicates none")
        earlier.follow(request)

    def full(self, now: int) -> bool:
        """No room for another key, not even in place of a read's or of one whose time is up."""
        if len(self.results) < self.most:
            return False
        self._sweep(now)
        for key, cached in self.results.items():
            if len(self.results) >= self.most and not cached.once:
                del self.results[key]
                break
        return len(self.results) >= self.most

    def remember(self, request: NodeRequest, now: int, duration: int) -> None:
        if request.cache_key is None:
            return  # nothing that its repeats could be known by
        self.full(now)  # makes room
        request.cache_entry = self.results[request.cache_key] = CachedResponse(
            request.cache_key, request, now, duration, self.results.get(request.cache_key)
        )

    def forget(self, request: NodeRequest) -> None:
        """It never ran, and never will. One whose place it had is there again: that one may have run, and
        repeats of it may still be unread, or have been taken for repeats of this one."""
        cached: CachedResponse | None = request.cache_entry
        if cached is None:
            return
        before = cached.before
        if self.results.get(cached.key) is cached:
            del self.results[cached.key]
        if before and before.once:
            self.results.setdefault(cached.key, before)
            for each in [
                each for each in cached.followers if each.arrived_at - each.queueing_delay < before.until
            ]:
                cached.followers.remove(each)
                before.follow(each)
        cached.end(Outcome.REJECTED, b"")

    def ended(self, request: NodeRequest, outcome: Outcome, result: bytes) -> None:
        if request.cache_entry is not None:
            request.cache_entry.end(outcome, result)

    def _sweep(self, now: int) -> None:
        for key in [key for key, cached in self.results.items() if cached.dropped <= now]:
            del self.results[key]
