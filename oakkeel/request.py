"""A request as a node on sockets holds it: its decision state, where it came from, and its events."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import Any, Protocol

from oakkeel.admission.types import Request
from oakkeel.request_events import RequestEvent

CacheKey = tuple[int, bytes, bytes]  # request class, tenant, key: nobody gets another tenant's response


class ResponseChannel(Protocol):
    """The connection that a request came on, as its handler sees it."""

    def answer(
        self, request: NodeRequest, word: bytes, body: bytes = b"", last: bool = False, retry_after: int = 0
    ) -> None:
        """Write the one answer of the request; `retry_after` in nanoseconds."""

    def report_violation(self, event: str, why: str = "") -> None:
        """Log a request that can't be used, and count it against the connection."""


@dataclass(slots=True, eq=False, kw_only=True)
class NodeRequest(Request):
    """A request with its connection; its handler reads the events in the order in which they came."""

    request_id: bytes
    tag: int
    class_name: bytes
    body: bytes
    cache_key: CacheKey | None  # None where duplicates can't be known
    connection: ResponseChannel

    answered: bool = False  # or no answer is owed any more
    may_have_run: bool = False  # given to the engine, and nothing proves that it had no effect
    in_engine: bool = False  # from the command to run until the notice that the run is over
    last_notice: int = 0  # number of the engine's last notice for it
    call: Any = None  # the `catalogue.links.Call` in flight
    unknown_to_engine: bool = False
    used_links: list[object] = field(default_factory=list)  # that carried a call of this request
    duplicate_of: Any = None  # the `CachedResponse` of the request that it repeats
    cache_entry: Any = None  # its own `CachedResponse`
    events: deque[RequestEvent] = field(default_factory=deque)
    waiter: asyncio.Future[None] | None = None

    def post(self, event: RequestEvent) -> None:
        """Add an event for the handler of this request."""
        self.events.append(event)
        if self.waiter and not self.waiter.done():
            self.waiter.set_result(None)

    async def next_event(self) -> RequestEvent:
        """Wait for the oldest event that was not read yet, and remove it."""
        while not self.events:
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter
        return self.events.popleft()
