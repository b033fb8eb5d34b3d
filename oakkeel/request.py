"""An exchange as a node on sockets holds it: what the decisions keep, where it came from, and its events."""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Any

from oakkeel.admission.types import Request


class RequestEvent(Enum):
    """What the life of an exchange can wait for."""

    # The verdicts of the decisions.
    RUN = auto()
    DENY = auto()  # whether to try nowhere else, time to stay away
    TERMINATE = auto()
    STOP = auto()
    CALL = auto()  # until when
    LEAVE_OUT = auto()
    SHARE = auto()
    # What the others tell.
    GONE = auto()  # the caller gave up
    NEED = auto()  # the number of the notice, the body of the call
    REPLY = auto()  # the outcome of the call, the reply, how long it took
    DONE = auto()  # the outcome, the result, how long it took
    SHARED = auto()  # the outcome and the result of the one that it repeats


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
    events: deque = field(default_factory=deque)
    waiter: asyncio.Future | None = None

    def tell(self, what: RequestEvent, *words: Any) -> None:
        self.events.append((what, *words))
        if self.waiter and not self.waiter.done():
            self.waiter.set_result(None)

    async def hear(self) -> tuple:
        while not self.events:
            self.waiter = asyncio.get_running_loop().create_future()
            await self.waiter
        return self.events.popleft()
