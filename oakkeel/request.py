"""A request that a node received on a connection: its admission state and its events."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import Protocol

from oakkeel.admission.types import Outcome, Request
from oakkeel.cached_response import CachedResponse, CacheKey
from oakkeel.request_events import RequestEvent


class ResponseChannel(Protocol):
    """The methods of a connection that the handler of a request calls."""

    def answer(
        self,
        request: NodeRequest,
        status: bytes,
        body: bytes = b"",
        final: bool = False,
        retry_after: int = 0,
    ) -> None:
        """Write the only answer of the request; `retry_after` is in nanoseconds."""

    def report_violation(self, event: str, reason: str = "", request_id: bytes = b"") -> None:
        """Log a malformed request, with its ID if known, and count it against the connection."""


class DownstreamCall(Protocol):
    """A downstream call in flight."""

    sent_at: int  # nanoseconds of the monotonic clock

    def give_up(self, outcome: Outcome | None) -> None:
        """End the call without a reply; no event is posted if the outcome is None."""


@dataclass(slots=True, eq=False, kw_only=True)
class NodeRequest(Request):
    """A request with its connection; its handler reads the events in the order in which they were posted."""

    request_id: bytes
    tag: int
    class_name: bytes
    body: bytes
    cache_key: CacheKey | None  # None if duplicates can't be recognized
    connection: ResponseChannel

    awaits_answer: bool = True  # until it is answered or its client has disconnected
    may_have_run: bool = False  # passed to the engine, without proof that it had no effect
    in_engine: bool = False  # from the command to run until the notice that the run is over
    last_notice_number: int = 0  # number of the engine's last notice for this request
    call: DownstreamCall | None = None
    unknown_to_engine: bool = False
    used_links: list[object] = field(default_factory=list)  # the links that carried a call of this request
    duplicate_of: CachedResponse | None = None  # the entry of the request that this one duplicates
    cache_entry: CachedResponse | None = None  # the entry of this request
    events: deque[RequestEvent] = field(default_factory=deque)
    waiter: asyncio.Future[None] | None = None

    def post(self, event: RequestEvent) -> None:
        """Add an event for the handler of this request."""
        self.events.append(event)
        if self.waiter and not self.waiter.done():
            self.waiter.set_result(None)

    async def next_event(self) -> RequestEvent:
        """Wait for the oldest unread event, and remove it."""
        while not self.events:
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter
        return self.events.popleft()
