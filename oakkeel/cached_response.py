"""The response of a request, shared with duplicates: retries with the same key, and equal reads."""

from __future__ import annotations

import time
from hashlib import blake2b
from typing import Protocol

from oakkeel.admission.types import Outcome, Request
from oakkeel.request_events import SharedResponse

DIGEST_BYTES = 16
# Request class, tenant and key; with the tenant, as no tenant may get the response of another.
CacheKey = tuple[int, bytes, bytes]


def body_digest(body: bytes) -> bytes:
    """Return the digest that distinguishes requests with the same idempotency key and different bodies."""
    return blake2b(body, digest_size=DIGEST_BYTES).digest()


class Follower(Protocol):
    """A duplicate that waits for the response of another request."""

    arrived_at: int
    queueing_delay: int

    def post(self, event: SharedResponse) -> None:
        """Pass the response to the handler of the duplicate."""


class CachedResponse:
    """The response of a request that may have duplicates; the outcome is set once the run is over."""

    __slots__ = (
        "at_most_once",
        "digest",
        "evict_at",
        "expires_at",
        "finished_at",
        "followers",
        "key",
        "outcome",
        "replaced_entry",
        "result",
    )

    def __init__(
        self,
        key: CacheKey,
        request: Request,
        body: bytes,
        now: int,
        duration: int,
        replaced_entry: CachedResponse | None,
    ) -> None:
        """Make an entry that is valid for `duration` nanoseconds.

        The duration counts from the arrival at the machine for a request that runs at most once, and from now
        for a read. `replaced_entry` is kept until this request has run.
        """
        self.key = key
        self.at_most_once = request.request_class.at_most_once
        self.expires_at = now + duration - (request.queueing_delay if self.at_most_once else 0)
        # A duplicate that arrived before the expiry may be read later, until its client times out.
        self.evict_at = self.expires_at + (request.request_class.client_timeout if self.at_most_once else 0)
        self.digest = body_digest(body) if self.at_most_once else b""
        self.outcome: Outcome | None = None
        self.result = b""
        self.finished_at = 0  # nanoseconds of the monotonic clock
        self.followers: list[Follower] = []
        self.replaced_entry = replaced_entry

    def add_follower(self, request: Follower) -> None:
        """Post this response to a duplicate, now or once the outcome is known."""
        if self.outcome is not None:
            request.post(SharedResponse(self.outcome, self.result))
        else:
            self.followers.append(request)

    def finish(self, outcome: Outcome, result: bytes) -> None:
        """Set the outcome, and post it to all followers; only the first call has an effect."""
        if self.outcome is not None:
            return
        self.outcome = outcome
        self.result = result
        self.finished_at = time.monotonic_ns()
        self.replaced_entry = None
        for request in self.followers:
            request.post(SharedResponse(outcome, result))
        self.followers.clear()
