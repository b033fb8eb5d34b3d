"""Calls to the catalogue: many on few connections, each reply told as the outcome that it proves."""

from __future__ import annotations

import asyncio
import socket
import time

from tornado.iostream import IOStream, StreamClosedError

from oakkeel.admission.types import Outcome
from oakkeel.line_protocol import LineParser
from oakkeel.log import EventLog
from oakkeel.request import NodeRequest
from oakkeel.request_events import CallFinished
from oakkeel.resource_limits import MS, SECOND, ResourceLimits
from oakkeel.stream_buffers import BufferPool, MalformedInputError, ReadBuffer, connect, readable, send

WITH_BODY = frozenset({(1, b"DATA")})
REPLIES = {
    b"DATA": Outcome.COMPLETED,
    b"LATER": Outcome.REJECTED,
    b"FAULT": Outcome.ERROR,
    b"TOOSLOW": Outcome.TIMED_OUT,
    b"NOUSE": Outcome.NEVER_STARTED,
}


class Call:
    """One call in flight; it ends once, by a reply, a broken link, its time, or because nobody needs it."""

    __slots__ = ("request", "link", "placed", "timer")

    def __init__(self, request: NodeRequest, link: CallLink, until: int) -> None:
        self.request, self.link, self.placed = request, link, time.monotonic_ns()
        wait = (until - self.placed + link.resource_limits.call_timeout_slack) / SECOND
        self.timer = asyncio.get_running_loop().call_later(wait, self.give_up)

    def end(self, outcome: Outcome | None, reply: bytes = b"") -> None:
        self.timer.cancel()
        self.link.calls.pop(self.request.request_id, None)
        self.link.used = time.monotonic_ns()
        self.request.call = None
        if outcome is not None:
            self.request.post(CallFinished(outcome, reply, self.link.used - self.placed))
        self.link.leave()

    def give_up(self, outcome: Outcome | None = Outcome.TIMED_OUT) -> None:
        """A link on which a call went unanswered may be of no use any more: it takes no other."""
        if self.link.early.pop(self.request.request_id, None) is None:
            self.link.spent = True
            self.link.write(b"QUIT %s\r\n" % self.request.request_id)
        elif outcome is not None:
            outcome = Outcome.CONNECT_FAILED  # it never left
        self.end(outcome)


class CallLink:
    """One connection, with the calls that are on it."""

    def __init__(
        self, address: tuple[str, int], pool: BufferPool, resource_limits: ResourceLimits, log: EventLog
    ) -> None:
        self.address, self.resource_limits, self.log = address, resource_limits, log
        self.calls: dict[bytes, Call] = {}
        self.connected = False
        self.spent = False  # it takes no more calls, and ends with its last one
        self.surplus = 0  # replies that nobody waited for
        self.used = time.monotonic_ns()
        self.stream = IOStream(socket.socket(), max_write_buffer_size=resource_limits.max_write_backlog)
        self.read_buffer = ReadBuffer(pool)
        self.early: dict[bytes, bytes] = {}  # calls placed while it connects, by exchange
        self.partial: asyncio.TimerHandle | None = None  # ends a link whose reply does not
        self.task = asyncio.ensure_future(self._serve())

    async def _serve(self) -> None:
        try:
            await connect(self.stream, self.address)
            self.connected = True
            for line in self.early.values():
                self.write(line)
            self.early.clear()
            parser = LineParser(self.read_buffer, WITH_BODY, self.resource_limits.max_tokens)
            while True:
                await self.read_buffer.fill(self.stream)
                taken = False
                for words, body in parser.messages():
                    self._reply(words, body)
                    taken = True
                self._watch_partial(taken)
                await asyncio.sleep(0)  # one that always has more to say must not keep the loop
        except StreamClosedError:
            pass
        except MalformedInputError as error:
            self.log.warning("catalogue_stream_malformed", error=str(error))
        finally:
            self.stream.close()
            self.read_buffer.close()
            if self.partial:
                self.partial.cancel()
            # One that was never connected carried nothing; one that broke proves nothing.
            outcome = Outcome.RESET if self.connected else Outcome.CONNECT_FAILED
            for call in list(self.calls.values()):
                call.end(outcome)

    def _reply(self, words: list[bytes], body: bytes) -> None:
        if len(words) != (3 if words[1:2] == [b"DATA"] else 2) or words[1] not in REPLIES:
            raise MalformedInputError(f"a reply {b' '.join(words)[:60]!r}")
        if call := self.calls.get(words[0]):
            return call.end(REPLIES[words[1]], body)
        # A second copy, or one to nobody: the others still get theirs here, but no new call does.
        self.spent = True
        self.surplus += 1
        if self.surplus > self.resource_limits.max_surplus_replies:
            raise MalformedInputError("replies that nobody waits for")
        self.leave()

    def _watch_partial(self, taken: bool) -> None:
        """A reply that began must end soon, or its length was wrong and no other can follow it."""
        whole = self.read_buffer.start == self.read_buffer.end
        if self.partial and (whole or taken):
            self.partial.cancel()
            self.partial = None
        if not whole and not self.partial:
            wait = self.resource_limits.call_reply_timeout / SECOND
            self.partial = asyncio.get_running_loop().call_later(wait, self.stream.close)

    def place(self, request_id: bytes, line: bytes) -> None:
        if self.connected:
            self.write(line)
        else:
            self.early[request_id] = line

    def write(self, line: bytes) -> None:
        send(self.stream, line)

    def leave(self) -> None:
        """Close it once it is of no more use."""
        if self.spent and not self.calls:
            self.stream.close()


class Catalogue:
    """The links, opened as calls need them: one call each, so that what breaks on one costs no other."""

    def __init__(
        self,
        address: tuple[str, int] | None,
        pool: BufferPool,
        resource_limits: ResourceLimits,
        log: EventLog,
    ) -> None:
        self.address, self.pool, self.resource_limits, self.log = address, pool, resource_limits, log
        self.links: list[CallLink] = []

    def fetch(self, request: NodeRequest, until: int, body: bytes) -> None:
        """Place the call that its run waits for; `CallFinished` tells how it ended."""
        link = self._link(request)
        if link is None:
            return request.post(CallFinished(Outcome.CONNECT_FAILED, b"", 0))
        request.call = link.calls[request.request_id] = Call(request, link, until)
        request.used_links.append(link)
        wait_ms = max(1, (until - request.call.placed) // MS)
        link.place(
            request.request_id, b"FETCH %s %d %d\r\n%s\r\n" % (request.request_id, wait_ms, len(body), body)
        )

    def quit(self, request: NodeRequest) -> None:
        """Nobody needs its call any more."""
        if request.call:
            request.call.give_up(None)

    def move(self, address: tuple[str, int] | None) -> None:
        """Place all further calls at another address; the links to the old one end with their last call."""
        if address == self.address:
            return
        self.address = address
        for link in self.links:
            link.spent = True
            link.leave()

    def _link(self, request: NodeRequest) -> CallLink | None:
        """The link used last among those free, a new one, or the least busy; never one that had a call of
        this exchange: a second copy of its reply would be taken for that of the next."""
        self._trim()
        if self.address is None:
            return None
        usable = [link for link in self.links if not link.spent and link not in request.used_links]
        free = [link for link in usable if not link.calls and link.connected]
        for link in sorted(free, key=lambda link: link.used, reverse=True):
            if not readable(link.stream.socket):
                return link
            link.spent = True  # its end, or bytes that no call is owed, came since the loop last looked
            link.leave()
            usable.remove(link)
        if len(self.links) < self.resource_limits.max_call_links:
            try:
                self.links.append(CallLink(self.address, self.pool, self.resource_limits, self.log))
                return self.links[-1]
            except (OSError, MemoryError) as error:  # no descriptor or buffer is left: a busy one takes it
                self.log.warning("catalogue_connect_failed", error=str(error))
        return min(usable, key=lambda link: len(link.calls), default=None)

    def _trim(self) -> None:
        """Drop what has ended, and close what was idle for so long that the catalogue may have closed it or
        forgotten it: no call meets that."""
        now = time.monotonic_ns()
        for link in list(self.links):
            if not link.calls and now - link.used > self.resource_limits.call_idle_timeout:
                link.stream.close()
            if link.stream.closed():
                self.links.remove(link)
