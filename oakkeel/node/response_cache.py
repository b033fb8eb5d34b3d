"""Results of exchanges for their repeats, within a bound on memory: deduplication, and shared reads."""

from __future__ import annotations

import time
from hashlib import blake2b

from oakkeel.admission.types import Outcome
from oakkeel.request import NodeRequest, RequestEvent
from oakkeel.resource_limits import ResourceLimits

Key = tuple[int, bytes, bytes]  # endpoint group, tenant, key: nobody gets another tenant's result


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
        self, key: Key, request: NodeRequest, now: int, duration: int, before: CachedResponse | None
    ) -> None:
        """`duration` in nanoseconds: of what may run once from its arrival at the machine, of a read from
        now."""
        self.key, self.once = key, request.group.once
        self.until = now + duration - (request.backlog if self.once else 0)
        # One that came in time may be read as late as its caller waits, and must still find it.
        self.dropped = self.until + (request.group.async_timeout if self.once else 0)
        self.body = blake2b(request.body, digest_size=16).digest() if self.once else b""
        self.outcome: Outcome | None = None
        self.result, self.ended = b"", 0
        self.followers: list[NodeRequest] = []
        self.before = before  # whose place it has, while it may still turn out never to have run

    def follow(self, request: NodeRequest) -> None:
        """It takes the result, now or when there is one."""
        if self.outcome is not None:
            request.tell(RequestEvent.SHARED, self.outcome, self.result)
        else:
            self.followers.append(request)

    def end(self, outcome: Outcome, result: bytes) -> None:
        """Its run is over, or it never comes: all that wait for it are told."""
        if self.outcome is None:
            self.outcome, self.result, self.ended = outcome, result, time.monotonic_ns()
            self.before = None
            for request in self.followers:
                request.tell(RequestEvent.SHARED, outcome, result)
            self.followers.clear()


class ResponseCache:
    """By endpoint group, tenant and key. A later exchange takes the place of one whose time is up."""

    def __init__(self, resource_limits: ResourceLimits, fresh: int) -> None:
        """`fresh`: nanoseconds for which the result of a read may serve others."""
        self.most, self.fresh = resource_limits.max_results, fresh
        self.results: dict[Key, CachedResponse] = {}

    def find(self, request: NodeRequest, now: int) -> bool:
        """Whether it repeats one that is here: it reached the machine while that one's time was not up."""
        cached = self.results.get(request.key) if request.key else None
        if cached is None or now - request.backlog >= cached.until:
            return False
        if (
            not cached.once
            and cached.outcome is not None
            and (cached.outcome is not Outcome.COMPLETED or now - cached.ended > self.fresh)
        ):
            return False
        request.earlier = cached
        return True

    def differs(self, request: NodeRequest) -> bool:
        """Whether it has the key of the one that it would repeat, but asks for something else. A result that
        was not made for it would be an answer to nothing it asked, and to run it might be a second effect."""
        earlier = request.earlier
        return earlier.once and earlier.body != blake2b(request.body, digest_size=16).digest()

    def share(self, request: NodeRequest) -> None:
        request.earlier.follow(request)

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
        if request.key is None:
            return  # nothing that its repeats could be known by
        self.full(now)  # makes room
        request.cached = self.results[request.key] = CachedResponse(
            request.key, request, now, duration, self.results.get(request.key)
        )

    def forget(self, request: NodeRequest) -> None:
        """It never ran, and never will. One whose place it had is there again: that one may have run, and
        repeats of it may still be unread, or have been taken for repeats of this one."""
        cached: CachedResponse | None = request.cached
        if cached is None:
            return
        before = cached.before
        if self.results.get(cached.key) is cached:
            del self.results[cached.key]
        if before and before.once:
            self.results.setdefault(cached.key, before)
            for each in [each for each in cached.followers if each.arrived - each.backlog < before.until]:
                cached.followers.remove(each)
                before.follow(each)
        cached.end(Outcome.DENIED, b"")

    def ended(self, request: NodeRequest, outcome: Outcome, result: bytes) -> None:
        if request.cached is not None:
            request.cached.end(outcome, result)

    def _sweep(self, now: int) -> None:
        for key in [key for key, cached in self.results.items() if cached.dropped <= now]:
            del self.results[key]
