"""An exchange as a node on sockets holds it: what the decisions keep, where it came from, and its events."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from typing import Any

from oakkeel.admission.types import Request
from oakkeel.request_events import RequestEvent


@dataclass(slots=True, eq=False, kw_only=True)
class NodeRequest(Request):
    """One exchange with its place at the door; its handler reads the events in the order in which it came."""

    ident: bytes
    tag: int
    group_name: bytes
    body: bytes
    key: tuple[int, bytes, bytes] | None  # endpoint group, tenant and key, where repeats can be known
    connection: Any  # what it came on and is answered on

    answered: bool = False  # or no answer is owed any more
    ran: bool = False  # a command to run it was given, and nothing proves that it had no effect
    in_engine: bool = False  # from the command to run until the notice that the run is over
    heard: int = 0  # the number of the last notice for it
    call: Any = None  # the call in flight
    unknown: bool = False  # the engine knows no such exchange
    call_links: list = field(default_factory=list)  # on which calls of its were placed
    earlier: Any = None  # the cached result of the exchange that it repeats
    cached: Any = None  # its own cached result
    events: deque[RequestEvent] = field(default_factory=deque)
    waiter: asyncio.Future | None = None

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
