"""The response of a request, shared with duplicates: retries with the same key, and equal reads."""

from __future__ import annotations

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
        "current_at",
        "digest",
        "evict_at",
        "expires_at",
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
        self.current_at = 0  # time at which the result was surely current, in monotonic nanoseconds
        self.followers: list[Follower] = []
        self.replaced_entry = replaced_entry

    def add_follower(self, request: Follower) -> None:
        """Post this response to a duplicate, now or once the outcome is known."""
        if self.outcome is not None:
            request.post(SharedResponse(self.outcome, self.result))
        else:
            self.followers.append(request)

    def finish(
        self, outcome: Outcome, result: bytes, current_at: int = 0, latest_arrival: int | None = None
    ) -> None:
        """Set the outcome, and post it to all followers; only the first call has an effect.

        `current_at` is a time at which the result was surely current. A follower that reached the machine
        after `latest_arrival` is rejected, as the result is too old for it. Both are in nanoseconds of the
        monotonic clock.
        """
        if self.outcome is not None:
            return
        self.outcome = outcome
        self.result = result
        self.current_at = current_at
        self.replaced_entry = None
        for request in self.followers:
            is_late = latest_arrival is not None and reached_machine_at(request) > latest_arrival
            request.post(
                SharedResponse(Outcome.REJECTED, b"") if is_late else SharedResponse(outcome, result)
            )
        self.followers.clear()


def reached_machine_at(request: Follower) -> int:
    """Return the time at which a request reached the machine, in nanoseconds of the monotonic clock."""
    return request.arrived_at - request.queueing_delay
