"""One connection of a dispatcher, from its accept to its end, as a state machine.

`connection_state` has the states and their transitions. `ArrayReader` parses commands, `CommandHandler`
carries them out, and `AnswerWriter` writes the answers.
"""

from __future__ import annotations

import contextlib
import socket
import time
from typing import Protocol

from tornado.iostream import StreamClosedError

from oakkeel.dispatch import codec
from oakkeel.dispatch.answer_writer import AnswerWriter
from oakkeel.dispatch.array_reader import ArrayReader
from oakkeel.dispatch.command_handler import CommandHandler, ConnectionOwner
from oakkeel.dispatch.connection_state import ConnectionLifecycle, ConnectionState
from oakkeel.dispatch.end_probe import EndProbe
from oakkeel.dispatch.progress import Progress
from oakkeel.dispatch.read_turns import ConnectionTurns, ReadTurns
from oakkeel.dispatch.socket_state import discard_received, has_hung_up, has_incoming
from oakkeel.dispatch.timeouts import array_overdue_by, is_write_overdue
from oakkeel.log import EventLog
from oakkeel.request import NodeRequest
from oakkeel.resource_limits import ResourceLimits
from oakkeel.stream_buffers import BufferPool, HalfClosingStream, MalformedInputError, ReadBuffer


class ConnectionObserver(Protocol):
    """The methods of the listener that its connections call."""

    def on_activity(self, connection: Connection) -> None:
        """Note that a connection has handled arrays, or has become idle."""

    def on_shut_down(self, connection: Connection) -> None:
        """Note that the node has shut down its side of a connection, which owes no answer any more."""


class Connection:
    """Reads the commands of one dispatcher and ends without losing an answer."""

    __slots__ = (
        "_commands",
        "_end_probe",
        "_lifecycle",
        "_log",
        "_observer",
        "_overdue_since",
        "_progress",
        "_resource_limits",
        "_turns",
        "_writer",
        "array_reader",
        "read_buffer",
        "stream",
    )

    def __init__(
        self,
        stream: HalfClosingStream,
        pool: BufferPool,
        resource_limits: ResourceLimits,
        owner: ConnectionOwner,
        log: EventLog,
        observer: ConnectionObserver,
        turns: ReadTurns,
    ) -> None:
        """Start open; `serve` reads, in its `turns`."""
        self.stream = stream
        self._resource_limits = resource_limits
        self._log = log
        self._observer = observer
        self.read_buffer = ReadBuffer(pool)
        self._lifecycle = ConnectionLifecycle()
        self._writer = AnswerWriter(stream, self._shut_down_if_finished)
        self._commands = CommandHandler(
            self, self._writer.write, resource_limits, owner, log, self._on_became_idle
        )
        self.array_reader = ArrayReader(self.read_buffer, resource_limits, self._commands.handle)
        self._progress = Progress(stream)
        self._turns = ConnectionTurns(turns, resource_limits)
        self._end_probe = EndProbe(stream, self._writer)
        # Start of the wait for an array that is overdue and incomplete, in monotonic nanoseconds: if the next
        # read does not complete the array, the connection is ended. 0: none is overdue.
        self._overdue_since = 0

    @property
    def state(self) -> ConnectionState:
        """The state of the connection."""
        return self._lifecycle.state

    @property
    def open_requests(self) -> dict[int, NodeRequest]:
        """The requests that are not answered yet, by tag."""
        return self._commands.open_requests

    @property
    def has_received_request(self) -> bool:
        """Whether a request was received."""
        return self._commands.has_received_request

    @property
    def unsent_bytes(self) -> int:
        """The number of bytes of answers that are not sent yet."""
        return self._writer.unsent_bytes

    @property
    def owes_answers(self) -> bool:
        """Whether a request is open, or the kernel does not take an answer: a close now would lose it."""
        return bool(self.open_requests) or self._writer.is_blocked

    def answer(
        self,
        request: NodeRequest,
        status: bytes,
        body: bytes = b"",
        final: bool = False,
        retry_after: int = 0,
    ) -> None:
        """Write the only answer of a request; `retry_after` is in nanoseconds."""
        self._commands.answer(request, status, body, final, retry_after)

    def report_violation(self, event: str, reason: str = "", request_id: bytes = b"") -> None:
        """Log a malformed request, and count it against this connection."""
        self._commands.report_violation(event, reason, request_id)

    async def serve(self) -> None:
        """Read commands and write answers until both sides have closed."""
        try:
            await self._read()
            # A dispatcher that no longer reads resets the connection at this write.
            self._finish()
            if self.open_requests and not self._end_probe.has_written:
                self._writer.write(codec.DRAIN_NOTICE)
            while self.open_requests or self.unsent_bytes:
                await self._progress.wait(self._resource_limits.half_closed_poll)
                if has_hung_up(self.stream.socket):
                    break
        except StreamClosedError:
            pass
        finally:
            self.close()
            self._lifecycle.change(ConnectionState.CLOSED)
            self.read_buffer.close()
            for request in list(self.open_requests.values()):
                self._commands.disconnect(request)
            # The connection must be in no reference cycle: only the garbage collector would free it.
            self._commands.detach()
            self._writer.detach()

    async def _read(self) -> None:
        """Read until the dispatcher ends its side.

        An ending connection is still read: a close with bytes unread would reset it and lose answers.
        """
        while True:
            read_cpu_time = 0
            if not self.array_reader.has_more:
                try:
                    read_cpu_time = await self._fill()
                except MalformedInputError as error:
                    self._reject_stream(error)
                    continue
            if self.read_buffer.has_data:
                await self._turns.wait()
            self._check_dispatcher()
            self._take_turn(read_cpu_time)
            if self.stream.at_eof and not self.array_reader.has_more:
                return
            # Read no more requests from a dispatcher until it has read enough of its answers.
            while self.unsent_bytes > self._resource_limits.max_unsent_bytes:
                await self._progress.wait()

    async def _fill(self) -> int:
        """Wait for bytes; return the CPU time of their read in nanoseconds, 0 if it had to wait for them.

        Raises MalformedInputError if a full buffer holds no complete array.
        """
        started_at = time.thread_time_ns()
        if await self.read_buffer.fill(self.stream):
            return 0  # other tasks ran meanwhile
        return time.thread_time_ns() - started_at

    def _check_dispatcher(self) -> None:
        """Raise StreamClosedError if the connection was closed, or its dispatcher reads no more.

        What such a dispatcher has sent must not run.
        """
        if self.stream.closed():
            raise StreamClosedError
        has_input = self.read_buffer.has_data and not self._is_discarding
        if has_input and self._end_probe.has_dispatcher_left():
            raise StreamClosedError

    def _take_turn(self, read_cpu_time: int) -> None:
        """Handle the received arrays, up to the limit of a turn, and set the time of the next turn."""
        started_at = time.thread_time_ns()
        self._parse()
        if self._overdue_since and self._overdue_since == self.array_reader.wait_started_at:
            self._finish()  # the same array is still incomplete: it is trickling in
        cpu_time = read_cpu_time + time.thread_time_ns() - started_at
        self._turns.finish(cpu_time, self.array_reader.has_more, self._is_discarding)

    @property
    def _is_discarding(self) -> bool:
        """Whether received bytes are dropped."""
        return self.state in (ConnectionState.ENDING, ConnectionState.LINGERING)

    def _parse(self) -> None:
        if self._is_discarding:
            # In large steps, so that the end of the input is reached soon.
            self.read_buffer.clear()
            discard_received(self.stream.socket)
            return
        try:
            any_handled = self.array_reader.handle_received()
        except MalformedInputError as error:
            self._reject_stream(error)
            return
        if any_handled:
            self._observer.on_activity(self)

    def _reject_stream(self, error: MalformedInputError) -> None:
        """Stop reading a stream that can't be parsed; the open requests are still answered.

        The dispatcher is told to send no more requests: the connection is shut down only after the answers.
        """
        self._log.warning("dispatcher_stream_malformed", error=str(error))
        self._writer.write(codec.MALFORMED_STREAM)
        if self.open_requests:
            self._writer.write(codec.DRAIN_NOTICE)
        self.read_buffer.clear()
        self._finish()

    def drain(self, timeout: int = 0) -> None:
        """Notify the dispatcher to close the connection after its answers.

        If the dispatcher does not close the connection, the node does so once the connection is idle, after
        `timeout` nanoseconds (0: the configured timeout).
        """
        if self.state is ConnectionState.OPEN:
            self._lifecycle.change(ConnectionState.DRAINING)
            self._writer.write(codec.DRAIN_NOTICE)
            timeout = timeout or self._resource_limits.drain_notice_timeout
            self._lifecycle.start_timer(timeout, self._on_drain_timeout, timeout)

    def _on_drain_timeout(self, timeout: int) -> None:
        """Close the connection if it is idle and the dispatcher has not closed it; else check again later."""
        if self.state is not ConnectionState.DRAINING or self.stream.closed():
            return
        if self.is_idle():
            self._linger()
        else:
            self._lifecycle.start_timer(timeout, self._on_drain_timeout, timeout)

    def is_idle(self) -> bool:
        """Return whether no request is open, no input incomplete or unread, and no answer unsent."""
        return not (
            self.open_requests or self.unsent_bytes or self.read_buffer.has_data or has_incoming(self.stream)
        )

    def finish(self) -> None:
        """Read no more requests; the connection is shut down once all answers are sent."""
        if not self.stream.closed():
            self._finish()

    def _finish(self) -> None:
        if self.state in (ConnectionState.OPEN, ConnectionState.DRAINING):
            self._lifecycle.change(ConnectionState.ENDING)
            self.array_reader.wait_started_at = 0
        self._shut_down_if_finished()

    def _on_became_idle(self) -> None:
        self._observer.on_activity(self)
        self._shut_down_if_finished()

    def _shut_down_if_finished(self) -> None:
        """Shut down an ending connection that has nothing left to answer or send.

        A broken stream has no socket: its reader closes it, and may not have run yet.
        """
        self._progress.set()
        if self.state is ConnectionState.ENDING and not (
            self.open_requests or self.unsent_bytes or self.stream.at_eof or self.stream.closed()
        ):
            self._linger()

    def _linger(self) -> None:
        """Shut down our side and read until the dispatcher closes.

        A request that is in flight during the shutdown never runs, and its dispatcher sends it again.
        """
        self._lifecycle.change(ConnectionState.LINGERING)
        with contextlib.suppress(OSError):  # already reset
            self.stream.socket.shutdown(socket.SHUT_WR)
        self._lifecycle.start_timer(self._resource_limits.linger_timeout, self.close)
        self._observer.on_shut_down(self)

    def reject_all(self) -> None:
        """Reject new requests, as the connection is over the limit, and drain it after its grace."""
        self._commands.rejects_new_requests = True
        with contextlib.suppress(BlockingIOError, OSError):  # no bytes yet, or a reset: `serve` fails
            self.read_buffer.receive(self.stream.socket)
        self._parse()
        self.drain(self._resource_limits.new_connection_grace)

    def evict(self) -> bool:
        """End the connection to free its descriptor: at once if no answer can be lost, else gracefully.

        Return whether the connection still holds its descriptor.
        """
        if self.state in (ConnectionState.OPEN, ConnectionState.DRAINING):
            self._finish()
        if not self._writer.has_written:  # no answer can be lost
            self.close()
        return not self.stream.closed()

    def close(self) -> None:
        """Close the connection now; its task drops the open requests.

        Received bytes are read first: a close with bytes unread would reset answers that are in flight.
        """
        if not self.stream.closed():
            self._writer.flush()
        if not self.stream.closed():  # a failed write closes it
            if self.state is not ConnectionState.OPEN and not self._writer.is_blocked:
                discard_received(self.stream.socket)
            self.stream.close()
        self._lifecycle.cancel_timer()
        self._progress.set()
        self._turns.release()

    def check_timeouts(self, now: int) -> None:
        """Close the connection if the dispatcher does not read, and end it if an array stays incomplete.

        While a request is open or an answer unsent, an incomplete array does not end the connection: it could
        not be shut down yet, and the dispatcher would go on writing requests that are dropped.
        """
        limits = self._resource_limits
        if is_write_overdue(now, self._writer.write_started_at, limits):
            self.close()
        elif self.open_requests or self.unsent_bytes or self.array_reader.has_more:
            return
        elif overdue := array_overdue_by(now, self.array_reader.wait_started_at, limits):
            if not has_incoming(self.stream):
                self._finish()
            elif self.read_buffer.has_data and overdue > limits.sweep_interval:
                # The rest of the array may be among the unread bytes, also after a stall of this process.
                self._overdue_since = self.array_reader.wait_started_at
