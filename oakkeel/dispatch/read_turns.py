"""Turns of connections at the event loop: all connections together take a bounded part of each pass.

`ReadTurns` grants turns to all connections, and `ConnectionTurns` asks for those of one connection.
"""

from __future__ import annotations

import asyncio
import heapq
import time
from dataclasses import dataclass, field
from itertools import count

from oakkeel.dispatch.timeouts import read_pause
from oakkeel.resource_limits import ResourceLimits
from oakkeel.units import SECOND


@dataclass(order=True, slots=True)
class TurnRequest:
    """A connection's request for a turn; requests with the lowest start tag are granted first."""

    start_tag: int
    number: int  # in the order of the requests
    granted: asyncio.Future[None] = field(compare=False)


class ReadTurns:
    """Grants turns, a bounded number in one pass of the event loop, by start-time fair queueing.

    The virtual time is the CPU time in nanoseconds that a connection could have used until now without more
    than its share. Where more connections ask than a pass allows, those that have used least go first: a
    connection that sends little has its turn at once, however many always have more to say.
    """

    def __init__(self, turns_per_pass: int) -> None:
        """Allow `turns_per_pass` turns in one pass of the event loop."""
        self.virtual_time = 0
        self._turns_per_pass = turns_per_pass
        self._turns_in_pass = 0
        self._waiting: list[TurnRequest] = []  # a heap
        self._numbers = count()
        self._is_pass_scheduled = False

    @property
    def waiting_count(self) -> int:
        """The number of connections that may have a turn and wait for it."""
        return len(self._waiting)

    def request(self, not_before: int, start_tag: int) -> asyncio.Future[None] | None:
        """Ask for a turn; return None if it is granted now, else a future that ends when it is granted.

        `not_before` is in nanoseconds of the monotonic clock, `start_tag` in virtual time. A caller that
        needs its turn no longer sets the result of the future itself.
        """
        delay = not_before - time.monotonic_ns()
        if delay <= 0 and not self._waiting and self._turns_in_pass < self._turns_per_pass:
            self._grant(start_tag)
            self._schedule_pass()
            return None
        loop = asyncio.get_running_loop()
        request = TurnRequest(start_tag, next(self._numbers), loop.create_future())
        if delay > 0:
            loop.call_later(delay / SECOND, self._enqueue, request)
        else:
            self._enqueue(request)
        return request.granted

    def _enqueue(self, request: TurnRequest) -> None:
        if not request.granted.done():
            heapq.heappush(self._waiting, request)
            self._schedule_pass()

    def _grant(self, start_tag: int) -> None:
        self._turns_in_pass += 1
        self.virtual_time = max(self.virtual_time, start_tag)

    def _schedule_pass(self) -> None:
        """Count the turns of the next pass of the event loop from zero."""
        if not self._is_pass_scheduled:
            self._is_pass_scheduled = True
            asyncio.get_running_loop().call_soon(self._start_pass)

    def _start_pass(self) -> None:
        self._is_pass_scheduled = False
        self._turns_in_pass = 0
        while self._waiting and self._turns_in_pass < self._turns_per_pass:
            request = heapq.heappop(self._waiting)
            if not request.granted.done():
                request.granted.set_result(None)
                self._grant(request.start_tag)
        if self._turns_in_pass:
            self._schedule_pass()


class ConnectionTurns:
    """The turns of one connection, with a pause after them that grows with their CPU time."""

    __slots__ = ("_cpu_time", "_finish_tag", "_granted", "_not_before", "_resource_limits", "_turns")

    def __init__(self, turns: ReadTurns, resource_limits: ResourceLimits) -> None:
        """Allow the first turn from now on."""
        self._turns = turns
        self._resource_limits = resource_limits
        self._cpu_time = 0  # nanoseconds, of the turns since the last pause
        # The virtual time at which the CPU time of this connection is paid off. A client that connects again
        # and again goes behind the connections that are there.
        self._finish_tag = turns.virtual_time + resource_limits.new_connection_cost
        self._not_before = time.monotonic_ns()
        self._granted: asyncio.Future[None] | None = None  # ends when the last turn asked for is granted

    async def wait(self) -> None:
        """Wait for the next turn, or until `release`."""
        self._finish_tag = max(self._finish_tag, self._turns.virtual_time)
        if granted := self._turns.request(self._not_before, self._finish_tag):
            self._granted = granted
            await granted

    def release(self) -> None:
        """End the wait for a turn, as the connection needs none any more."""
        if self._granted and not self._granted.done():
            self._granted.set_result(None)

    def finish(self, cpu_time: int, has_more: bool, is_discarding: bool) -> None:
        """Note the end of a turn that took `cpu_time` nanoseconds.

        The pause is due once the connection has no more received arrays to handle (`has_more`).
        """
        self._cpu_time += cpu_time
        self._finish_tag += cpu_time
        self._not_before = time.monotonic_ns()
        if not has_more:
            self._not_before += read_pause(self._cpu_time, is_discarding, self._resource_limits)
            self._cpu_time = 0
