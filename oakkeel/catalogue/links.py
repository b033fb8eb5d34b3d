"""Calls to the catalogue: links, calls in flight, and the outcomes of their replies."""

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
from oakkeel.resource_limits import ResourceLimits
from oakkeel.stream_buffers import BufferPool, MalformedInputError, ReadBuffer, connect, is_readable, send
from oakkeel.units import MS, SECOND

# Replies with a body, by the index and the value of the token that marks them.
WITH_BODY = frozenset({(1, b"DATA")})
REPLY_OUTCOMES = {
    b"DATA": Outcome.COMPLETED,
    b"LATER": Outcome.REJECTED,
    b"FAULT": Outcome.ERROR,
    b"TOOSLOW": Outcome.TIMED_OUT,
    b"NOUSE": Outcome.NEVER_STARTED,
}
REPLY_TOKENS = 2  # request ID and verb
DATA_REPLY_TOKENS = 3  # request ID, verb and length of the body
MAX_LOGGED_LINE_BYTES = 60


class Call:
    """A call in flight; it ends once: by a reply, a lost connection, its timeout or `give_up`."""

    __slots__ = ("link", "request", "sent_at", "timer")

    def __init__(self, request: NodeRequest, link: CallLink, deadline: int) -> None:
        """Start the timeout of a call; `deadline` is in nanoseconds of the monotonic clock."""
        self.request = request
        self.link = link
        self.sent_at = time.monotonic_ns()
        timeout = (deadline - self.sent_at + link.resource_limits.call_timeout_slack) / SECOND
        self.timer = asyncio.get_running_loop().call_later(timeout, self.give_up)

    def end(self, outcome: Outcome | None, reply: bytes = b"") -> None:
        """End the call; `CallFinished` is posted unless the outcome is None."""
        self.timer.cancel()
        self.link.calls.pop(self.request.request_id, None)
        self.link.last_used_at = time.monotonic_ns()
        self.request.call = None
        if outcome is not None:
            self.request.post(CallFinished(outcome, reply, self.link.last_used_at - self.sent_at))
        self.link.close_if_unused()

    def give_up(self, outcome: Outcome | None = Outcome.TIMED_OUT) -> None:
        """End the call without a reply; its link may be broken and takes no further call."""
        if self.link.unsent_lines.pop(self.request.request_id, None) is None:
            self.link.is_retired = True
            self.link.write(b"QUIT %s\r\n" % self.request.request_id)
        elif outcome is not None:
            outcome = Outcome.CONNECT_FAILED  # the call was never sent
        self.end(outcome)


class CallLink:
    """One connection to the catalogue, with the calls in flight on it."""

    def __init__(
        self, address: tuple[str, int], pool: BufferPool, resource_limits: ResourceLimits, log: EventLog
    ) -> None:
        """Start to connect; raise `OSError` or `MemoryError` without a descriptor or buffer."""
        self.address = address
        self.resource_limits = resource_limits
        self.log = log
        self.calls: dict[bytes, Call] = {}  # calls in flight, by request ID
        self.is_connected = False  # stays true after the connection is lost
        self.is_retired = False  # the link takes no more calls, and closes after its last call
        self.unmatched_reply_count = 0  # replies without a call
        self.last_used_at = time.monotonic_ns()
        self.stream = IOStream(socket.socket(), max_write_buffer_size=resource_limits.max_write_backlog)
        self.read_buffer = ReadBuffer(pool)
        self.unsent_lines: dict[bytes, bytes] = {}  # calls made before the connection is open, by request ID
        self.reply_timer: asyncio.TimerHandle | None = None  # closes the link if a reply stays incomplete
        self.task = asyncio.ensure_future(self._serve())

    async def _serve(self) -> None:
        try:
            await connect(self.stream, self.address)
            self.is_connected = True
            for line in self.unsent_lines.values():
                self.write(line)
            self.unsent_lines.clear()
            parser = LineParser(self.read_buffer, WITH_BODY, self.resource_limits.max_tokens)
            while True:
                await self.read_buffer.fill(self.stream)
                had_complete_reply = False
                for tokens, body in parser.messages():
                    self._handle_reply(tokens, body)
                    had_complete_reply = True
                self._limit_partial_reply(had_complete_reply)
                await asyncio.sleep(0)  # a peer that sends without pause must not block the event loop
        except StreamClosedError:
            pass
        except MalformedInputError as error:
            self.log.warning("catalogue_stream_malformed", error=str(error))
        finally:
            self.stream.close()
            self.read_buffer.close()
            if self.reply_timer:
                self.reply_timer.cancel()
            # Without a connection no call was sent; calls on a lost connection may have been carried out.
            outcome = Outcome.RESET if self.is_connected else Outcome.CONNECT_FAILED
            for call in list(self.calls.values()):
                call.end(outcome)

    def _handle_reply(self, tokens: list[bytes], body: bytes) -> None:
        expected_tokens = DATA_REPLY_TOKENS if tokens[1:2] == [b"DATA"] else REPLY_TOKENS
        if len(tokens) != expected_tokens or tokens[1] not in REPLY_OUTCOMES:
            raise MalformedInputError(f"malformed reply {b' '.join(tokens)[:MAX_LOGGED_LINE_BYTES]!r}")
        if call := self.calls.get(tokens[0]):
            call.end(REPLY_OUTCOMES[tokens[1]], body)
            return
        # A duplicate or a reply without a call: the link takes no more calls, but finishes its open calls.
        self.is_retired = True
        self.unmatched_reply_count += 1
        if self.unmatched_reply_count > self.resource_limits.max_unmatched_replies:
            raise MalformedInputError(f"{self.unmatched_reply_count} replies without a call")
        self.close_if_unused()

    def _limit_partial_reply(self, had_complete_reply: bool) -> None:
        """Close the link if a reply stays incomplete: no further reply can be read on it."""
        is_empty = self.read_buffer.start == self.read_buffer.end
        if self.reply_timer and (is_empty or had_complete_reply):
            self.reply_timer.cancel()
            self.reply_timer = None
        if not is_empty and not self.reply_timer:
            timeout = self.resource_limits.call_reply_timeout / SECOND
            self.reply_timer = asyncio.get_running_loop().call_later(timeout, self.stream.close)

    def send_call(self, request_id: bytes, line: bytes) -> None:
        """Send the line of a call, or keep the line until the connection is open."""
        if self.is_connected:
            self.write(line)
        else:
            self.unsent_lines[request_id] = line

    def write(self, line: bytes) -> None:
        """Write one line, if the stream is still open."""
        send(self.stream, line)

    def close_if_unused(self) -> None:
        """Close a retired link once it has no call in flight."""
        if self.is_retired and not self.calls:
            self.stream.close()


class Catalogue:
    """Links to the catalogue, opened on demand.

    Each link carries one call at a time if possible, so that a fault on one link fails no other call.
    """

    def __init__(
        self,
        address: tuple[str, int] | None,
        pool: BufferPool,
        resource_limits: ResourceLimits,
        log: EventLog,
    ) -> None:
        """Store the address; links connect with the first call, and without an address every call fails."""
        self.address = address
        self.pool = pool
        self.resource_limits = resource_limits
        self.log = log
        self.links: list[CallLink] = []

    def place_call(self, request: NodeRequest, deadline: int, body: bytes) -> None:
        """Make the call that the run of a request waits for; `CallFinished` is posted with its outcome."""
        link = self._select_link(request)
        if link is None:
            request.post(CallFinished(Outcome.CONNECT_FAILED, b"", 0))
            return
        call = Call(request, link, deadline)
        request.call = link.calls[request.request_id] = call
        request.used_links.append(link)
        wait_ms = max(1, (deadline - call.sent_at) // MS)
        link.send_call(
            request.request_id, b"FETCH %s %d %d\r\n%s\r\n" % (request.request_id, wait_ms, len(body), body)
        )

    def abandon_call(self, request: NodeRequest) -> None:
        """Abandon the call of a request, if there is one, without an event."""
        if request.call:
            request.call.give_up(None)

    def change_address(self, address: tuple[str, int] | None) -> None:
        """Make all further calls to another address; links to the old address close after their last call."""
        if address == self.address:
            return
        self.address = address
        for link in self.links:
            link.is_retired = True
            link.close_if_unused()

    def _select_link(self, request: NodeRequest) -> CallLink | None:
        """Return the most recently used free link, a new link, or the link with the fewest calls.

        Return None if there is no such link. A link that carried a call of this request is never used for
        another call of it: a duplicate of the earlier reply would be mistaken for the reply to the new call.
        """
        self._close_idle()
        if self.address is None:
            return None
        usable = [link for link in self.links if not link.is_retired and link not in request.used_links]
        free = [link for link in usable if not link.calls and link.is_connected]
        for link in sorted(free, key=lambda link: link.last_used_at, reverse=True):
            if not is_readable(link.stream.socket):
                return link
            link.is_retired = True  # closed by the peer, or a reply without a call is unread
            link.close_if_unused()
            usable.remove(link)
        return self._open_link(self.address) or min(usable, key=lambda link: len(link.calls), default=None)

    def _open_link(self, address: tuple[str, int]) -> CallLink | None:
        """Open another link; None at the limit, or without a descriptor or buffer."""
        if len(self.links) >= self.resource_limits.max_call_links:
            return None
        try:
            link = CallLink(address, self.pool, self.resource_limits, self.log)
        except (OSError, MemoryError) as error:
            self.log.warning("catalogue_connect_failed", error=str(error))
            return None
        self.links.append(link)
        return link

    def _close_idle(self) -> None:
        """Remove closed links, and close idle links before the catalogue does and loses a call."""
        now = time.monotonic_ns()
        for link in list(self.links):
            if not link.calls and now - link.last_used_at > self.resource_limits.call_idle_timeout:
                link.stream.close()
            if link.stream.closed():
                self.links.remove(link)
