"""One connection of a dispatcher, from its accept to its end, as a state machine.

`connection_state.TRANSITIONS` is its table; commands are carried out by `CommandHandler` and answers written
by `AnswerWriter`.
"""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
import time
from collections.abc import Callable

from tornado.iostream import StreamClosedError

from oakkeel.dispatch import codec
from oakkeel.dispatch.answer_writer import AnswerWriter
from oakkeel.dispatch.command_handler import CommandHandler, ConnectionOwner
from oakkeel.dispatch.connection_state import TRANSITIONS, ConnectionState
from oakkeel.dispatch.resp import arrays
from oakkeel.errors import InvalidTransitionError
from oakkeel.log import EventLog
from oakkeel.request import NodeRequest
from oakkeel.resource_limits import ResourceLimits
from oakkeel.stream_buffers import BufferPool, HalfClosingStream, MalformedInputError, ReadBuffer, readable
from oakkeel.units import SECOND


class Connection:
    """Reads the commands of one dispatcher and ends without losing an answer."""

    __slots__ = (
        "_commands",
        "_log",
        "_on_activity",
        "_progress",
        "_resource_limits",
        "_timer",
        "_writer",
        "array_due_since",
        "read_buffer",
        "state",
        "stream",
    )

    def __init__(
        self,
        stream: HalfClosingStream,
        pool: BufferPool,
        resource_limits: ResourceLimits,
        owner: ConnectionOwner,
        log: EventLog,
        on_activity: Callable[[Connection], None],
    ) -> None:
        """`on_activity` is called with the connection after each array, and whenever it gets idle."""
        self.stream, self._resource_limits, self._log = stream, resource_limits, log
        self._on_activity = on_activity
        self.read_buffer = ReadBuffer(pool)
        self.state = ConnectionState.OPEN
        self._writer = AnswerWriter(stream, self._shut_down_if_finished)
        self._commands = CommandHandler(self, self._writer.write, resource_limits, owner, log, self._idle)
        self.array_due_since = time.monotonic_ns()  # a whole array is due since then; 0: none is
        self._progress = asyncio.Event()  # set when a request on it is finished or an answer sent
        self._timer: asyncio.TimerHandle | None = None  # ends its draining, or its lingering

    @property
    def open_requests(self) -> dict[int, NodeRequest]:
        """Requests that are not answered yet, by tag."""
        return self._commands.open_requests

    @property
    def received_request(self) -> bool:
        """Whether a request came on it."""
        return self._commands.received_request

    @property
    def unsent(self) -> int:
        """Bytes of answers that are not sent yet."""
        return self._writer.unsent

    # Answers, as the handler of a request sees them.

    def answer(
        self, request: NodeRequest, word: bytes, body: bytes = b"", last: bool = False, retry_after: int = 0
    ) -> None:
        """Write the one answer of a request; `retry_after` in nanoseconds."""
        self._commands.answer(request, word, body, last, retry_after)

    def report_violation(self, event: str, why: str = "") -> None:
        """Log a request that can't be used, and count it against this connection."""
        self._commands.report_violation(event, why)

    # Reading.

    async def serve(self) -> None:
        """Read and answer until both sides have closed."""
        try:
            await self._read()
            # The dispatcher sends no more. Whether it still reads shows when something is written to it: one
            # that has closed both ways resets, and its requests are dropped.
            self._finish()
            if self.open_requests:
                self._writer.write(codec.LAST)
            while self.open_requests or self.unsent:
                await self._wait_for_progress(self._resource_limits.half_closed_poll)
                if _hung_up(self.stream.socket):
                    break
        except StreamClosedError:
            pass
        finally:
            self.close()
            self._change_state(ConnectionState.CLOSED)
            self.read_buffer.close()
            for request in list(self.open_requests.values()):
                self._commands.disconnect(request)
            # What still refers to it must not keep it in a cycle, which only the garbage collector frees.
            self._commands.unlink()
            self._writer.unlink()

    async def _read(self) -> None:
        """Read until the dispatcher ends its side.

        What comes when nothing more is taken is dropped: a close with bytes unread would reset the connection
        and lose answers that are on their way.
        """
        limits = self._resource_limits
        while True:
            read_at = time.monotonic_ns()
            try:
                await self.read_buffer.fill(self.stream)
            except MalformedInputError as error:
                self._reject_stream(error)
                continue
            if self.stream.at_eof:
                self._parse()  # what came before the end
                return
            cpu_time = -time.thread_time_ns()
            self._parse()
            cpu_time += time.thread_time_ns()
            # One that leaves its answers unread gets no more of them until it has taken some.
            while self.unsent > limits.max_unsent:
                await self._wait_for_progress()
            # One that always has more to send must not keep the event loop: a done future does not yield.
            pause = max(read_at + limits.read_pause - time.monotonic_ns(), cpu_time * limits.read_cpu_factor)
            await asyncio.sleep(max(0, pause) / SECOND)

    async def _wait_for_progress(self, timeout: int = 0) -> None:
        """Wait until a request is finished or an answer sent, at most `timeout` nanoseconds (0: no limit).

        Raises StreamClosedError where the connection is closed.
        """
        if self.stream.closed():
            raise StreamClosedError
        self._progress.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._progress.wait(), timeout / SECOND if timeout else None)
        if self.stream.closed():
            raise StreamClosedError

    def _parse(self) -> None:
        if self.state in (ConnectionState.ENDING, ConnectionState.LINGERING):
            self.read_buffer.clear()
            return
        parsed = False
        try:
            for tokens in arrays(self.read_buffer, self._resource_limits.max_tokens):
                self._commands.handle(tokens)
                parsed = True
        except MalformedInputError as error:
            self._reject_stream(error)
            return
        if not self.read_buffer.has_data:
            self.array_due_since = 0
        elif parsed or not self.array_due_since:
            self.array_due_since = time.monotonic_ns()
        if parsed:
            self._on_activity(self)

    def _reject_stream(self, error: MalformedInputError) -> None:
        """Read no further; the open requests are answered all the same."""
        self._log.warning("dispatcher_stream_malformed", error=str(error))
        self._writer.write(codec.MALFORMED_STREAM)
        self.read_buffer.clear()
        self._finish()

    # States.

    def _change_state(self, state: ConnectionState) -> None:
        """Change the state, here alone. Raises InvalidTransitionError."""
        if state not in TRANSITIONS[self.state]:
            raise InvalidTransitionError("a connection", self.state.value, state.value)
        self.state = state
        if self._timer:
            self._timer.cancel()
            self._timer = None

    def _start_timer(self, wait: int, expired: Callable[..., None], *arguments: int) -> None:
        self._timer = asyncio.get_running_loop().call_later(wait / SECOND, expired, *arguments)

    def drain(self, timeout: int = 0) -> None:
        """Tell the dispatcher to send no more on this connection; it closes it once all is answered.

        One that does not is closed by us when it is idle after `timeout` nanoseconds (0: the configured one).
        """
        if self.state is ConnectionState.OPEN:
            self._change_state(ConnectionState.LEAVING)
            self._writer.write(codec.LAST)
            timeout = timeout or self._resource_limits.drain_notice_timeout
            self._start_timer(timeout, self._drain_expired, timeout)

    def _drain_expired(self, timeout: int) -> None:
        """Close it, as the dispatcher did not, unless a request is open or has come meanwhile."""
        if self.state is not ConnectionState.LEAVING or self.stream.closed():
            return
        if self.is_idle():
            self._linger()
        else:
            self._start_timer(timeout, self._drain_expired, timeout)

    def is_idle(self) -> bool:
        """Whether nothing is open, half read, unread or unsent: a close loses nothing."""
        return not (self.open_requests or self.unsent or self.read_buffer.has_data or self.has_incoming())

    def has_incoming(self) -> bool:
        """Whether bytes or an end may be there unread.

        They may be in the kernel since the event loop last looked, or in the stream while reading pauses.
        """
        return not self.stream.reading() or readable(self.stream.socket)

    def finish(self) -> None:
        """Read nothing more from it; it is shut down as soon as all is answered and sent."""
        if not self.stream.closed():
            self._finish()

    def _finish(self) -> None:
        if self.state in (ConnectionState.OPEN, ConnectionState.LEAVING):
            self._change_state(ConnectionState.ENDING)
            self.array_due_since = 0
        self._shut_down_if_finished()

    def _idle(self) -> None:
        self._on_activity(self)
        self._shut_down_if_finished()

    def _shut_down_if_finished(self) -> None:
        """Shut down an ending connection that has nothing left to answer or send.

        A broken stream has no socket any more: its reader closes it, and may not have run yet.
        """
        self._progress.set()
        if self.state is ConnectionState.ENDING and not (
            self.open_requests or self.unsent or self.stream.at_eof or self.stream.closed()
        ):
            self._linger()

    def _linger(self) -> None:
        """Shut our side down and read on until the dispatcher closes.

        A request that crosses this was never run, and its dispatcher sends it again.
        """
        self._change_state(ConnectionState.LINGERING)
        with contextlib.suppress(OSError):  # reset by now
            self.stream.socket.shutdown(socket.SHUT_WR)
        self._start_timer(self._resource_limits.linger_timeout, self.close)

    def reject_all(self) -> None:
        """Reject what came with it and what comes within a moment, and close it: there is no room for it."""
        self._commands.rejects_all = True
        with contextlib.suppress(BlockingIOError, OSError):  # nothing came yet; or its reader will see it
            self.read_buffer.receive(self.stream.socket)
        self._parse()
        self.drain(self._resource_limits.new_connection_grace)

    def evict(self) -> bool:
        """Close it, as its descriptor is needed; return whether it still has one for a moment."""
        if self.state in (ConnectionState.OPEN, ConnectionState.LEAVING):
            self._finish()
        if not self._writer.used:  # no answer of it can be lost any more
            self.close()
        return not self.stream.closed()

    def close(self) -> None:
        """Close it now; its task drops the open requests.

        What came is read first, as far as it is there: a close with bytes unread would reset what is on its
        way.
        """
        if not self.stream.closed():
            if self.state is not ConnectionState.OPEN and not self.unsent:
                _discard_received(self.stream.socket)
            self.stream.close()
        if self._timer:
            self._timer.cancel()
        self._progress.set()

    def check_timeouts(self, now: int) -> None:
        """End it where no whole array came for too long, or close it where it reads nothing.

        One that left half an array may still wait for answers to other requests.
        """
        limits = self._resource_limits
        if self._writer.started_at and now - self._writer.started_at > limits.write_timeout:
            self.close()
        elif (
            self.array_due_since
            and (late := now - self.array_due_since - limits.array_timeout) > 0
            and (not self.has_incoming() or (self.read_buffer.has_data and late > limits.sweep_interval))
        ):
            self._finish()  # what has just come is read first, but at the second check it is a trickle


def _hung_up(opened: socket.socket) -> bool:
    """Whether the other side has closed both ways, which shows only once something was written to it."""
    poll = select.poll()
    poll.register(opened, 0)
    return bool(poll.poll(0))


def _discard_received(opened: socket.socket) -> None:
    """Read off what waits in the kernel, as far as it is no flood."""
    with contextlib.suppress(OSError):
        for _ in range(16):
            if not opened.recv(4096):
                break
