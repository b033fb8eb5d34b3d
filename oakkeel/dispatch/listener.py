"""The listening socket and its accepted connections."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
import time

from oakkeel.dispatch.command_handler import ConnectionOwner
from oakkeel.dispatch.connection import Connection
from oakkeel.dispatch.eviction import eviction_candidate, oldest_without_answers
from oakkeel.dispatch.poller import ConnectionPoller
from oakkeel.dispatch.read_turns import ReadTurns
from oakkeel.log import EventLog, describe_error
from oakkeel.resource_limits import BUFFERS_PER_STREAM, ResourceLimits
from oakkeel.stream_buffers import BufferPool, HalfClosingStream
from oakkeel.units import SECOND

MAX_WAITING_CONNECTIONS = 1024  # in the accept queue of the kernel
# Reasons of `descriptors_exhausted`.
CONNECTION_LIMIT = "connection_limit"
NO_DESCRIPTOR = "no_descriptor"
RESOURCE_ERRNOS = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}


class Listener:
    """Accepts connections of dispatchers, a few at a time, and limits their number."""

    def __init__(
        self,
        address: tuple[str, int],
        pool: BufferPool,
        resource_limits: ResourceLimits,
        owner: ConnectionOwner,
        log: EventLog,
    ) -> None:
        """Bind the address; raises OSError. `open` starts to listen."""
        self.pool = pool
        self.resource_limits = resource_limits
        self.owner = owner
        self.log = log
        self.connections: set[Connection] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        # Monotonic times of the last activity of connections without a request yet, the oldest first.
        self.without_requests: dict[Connection, int] = {}
        # Connections whose side of the node is shut down, the earliest first.
        self.lingering: dict[Connection, None] = {}
        # Connections that are closing, as they are over the limit; the oldest first.
        self.evicted: dict[Connection, None] = {}
        self.idle: dict[Connection, int] = {}  # time since which no request is open, the oldest first
        self.idle_timeout = 0  # nanoseconds; 0: idle connections stay
        self.idle_timer: asyncio.TimerHandle | None = None
        self.sweep_timer: asyncio.TimerHandle | None = None
        self.connection_closed = asyncio.Event()  # set when a connection is removed
        self.is_accepting = False
        self.accepted_count = 0  # connections since the start
        self.resume_timer: asyncio.TimerHandle | None = None  # resumes accepting after a pause
        self.turns = ReadTurns(resource_limits.turns_per_pass)
        self.poller = ConnectionPoller(resource_limits.socket_events_per_pass)
        self.socket = _bind(address)
        self.address: tuple[str, int] = self.socket.getsockname()

    def open(self) -> None:
        """Listen and accept."""
        self.socket.listen(MAX_WAITING_CONNECTIONS)
        asyncio.get_running_loop().add_reader(self.socket, self._accept_batch)
        self.is_accepting = True
        if self.sweep_timer is None:
            self.poller.open()
            self._sweep()

    async def close(self) -> None:
        """Accept no new connection: a refused connection proves to its dispatcher that no request ran.

        A waiting connection may carry a request that the kernel has received and that must be answered. So
        all waiting connections are accepted, a few at a time, and the socket is closed right after the last:
        a connection that arrives in between is reset. The number is limited to the kernel's accept queue, as
        a flood of connections would keep the listener open forever, and `stop_accepting` ends it earlier.
        """
        accepted_before = self.accepted_count
        while self.is_accepting and self.accepted_count - accepted_before < MAX_WAITING_CONNECTIONS:
            if not self.resume_timer and not self._accept_batch():
                break
            # Evicted connections end in the next pass and free descriptors and buffers for later connections.
            await asyncio.sleep(self.resource_limits.accept_retry_delay / SECOND if self.resume_timer else 0)
        self.stop_accepting()

    def stop_accepting(self) -> None:
        """Close the listening socket now; connections that wait to be accepted are reset."""
        if self.is_accepting and not self.resume_timer:
            asyncio.get_running_loop().remove_reader(self.socket)
        self.is_accepting = False
        if self.resume_timer:
            self.resume_timer.cancel()
            self.resume_timer = None
        self.socket.close()

    def reopen(self) -> None:
        """Accept again at the same address. Raises OSError if another process uses it."""
        if not self.is_accepting:
            self.socket = _bind(self.address)
            self.open()

    def _accept_batch(self) -> bool:
        """Accept a few connections; return whether more may wait.

        In a flood, the other connections wait for the next pass of the event loop, after the reads of the
        open connections. While more of those have something to read than one pass handles, few are accepted:
        otherwise connections that have ended would fill the table.
        """
        reserved_for_links = BUFFERS_PER_STREAM * self.resource_limits.max_links
        accept_until = time.thread_time_ns() + self.resource_limits.accept_time_per_pass
        limits = self.resource_limits
        is_saturated = self.poller.is_saturated or self.turns.waiting_count >= limits.turns_per_pass
        for _ in range(limits.accepts_when_saturated if is_saturated else limits.accepts_per_pass):
            if time.thread_time_ns() > accept_until:
                return True
            if self.pool.available <= reserved_for_links:
                self._pause()
                return True
            try:
                accepted, _ = self.socket.accept()
            except BlockingIOError:
                return False
            except OSError as error:
                if error.errno not in RESOURCE_ERRNOS:
                    continue  # this connection was reset before it was accepted
                self.log.warning("accept_failed", error=str(error))
                if not self._evict_one(NO_DESCRIPTOR):
                    self._pause()
                    return True
                continue
            self._accept(accepted)
        return True

    def _pause(self) -> None:
        """Stop accepting for `accept_retry_delay`, as no descriptor or buffer is left.

        Otherwise the socket, which stays readable, would keep the event loop busy.
        """
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.socket)
        self.resume_timer = loop.call_later(self.resource_limits.accept_retry_delay / SECOND, self._resume)

    def _resume(self) -> None:
        self.resume_timer = None
        asyncio.get_running_loop().add_reader(self.socket, self._accept_batch)

    def _accept(self, accepted: socket.socket) -> None:
        self.accepted_count += 1
        accepted.setblocking(False)
        has_room = len(self.connections) < self.resource_limits.max_connections or self._evict_one(
            CONNECTION_LIMIT
        )
        with contextlib.suppress(OSError):  # already reset: its stream fails
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = HalfClosingStream(
            accepted,
            max_buffer_size=self.resource_limits.buffer_size,
            read_chunk_size=self.resource_limits.buffer_size,
        )
        stream.io_loop = self.poller  # type: ignore[assignment]  # it has all methods that a stream calls
        connection = Connection(
            stream, self.pool, self.resource_limits, self.owner, self.log, self, self.turns
        )
        if has_room:
            self.connections.add(connection)
            self.without_requests[connection] = time.monotonic_ns()
        elif self._track_evicted(connection):
            connection.reject_all()
        else:
            connection.close()  # before anything is read, which proves that nothing ran
        task = asyncio.ensure_future(self._serve(connection))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _evict_one(self, reason: str) -> bool:
        """Close a connection to make room for another; return False if none can be closed.

        `reason` is logged.
        """
        self.log.warning("descriptors_exhausted", reason=reason)
        connection = eviction_candidate(
            self.lingering, self.without_requests, self.idle, time.monotonic_ns(), self.resource_limits
        )
        if connection is None:
            return False
        self._remove(connection)
        if connection.evict() and not self._track_evicted(connection):
            connection.close()
        return True

    def _track_evicted(self, connection: Connection) -> bool:
        """Let a connection close gracefully on a descriptor reserved for evictions.

        At the limit, the oldest evicted connection that owes no answer is closed at once. Returns False if
        each evicted connection owes an answer: `connection` is not tracked then.
        """
        while len(self.evicted) >= self.resource_limits.max_evicted_connections:
            oldest = oldest_without_answers(self.evicted)
            if oldest is None:
                return False
            oldest.close()
            del self.evicted[oldest]
        self.evicted[connection] = None
        return True

    def _remove(self, connection: Connection) -> None:
        self.connections.discard(connection)
        self.without_requests.pop(connection, None)
        self.idle.pop(connection, None)
        self.lingering.pop(connection, None)
        self.evicted.pop(connection, None)
        self.connection_closed.set()

    async def _serve(self, connection: Connection) -> None:
        try:
            await connection.serve()
        except Exception as error:  # one connection must not end the node
            self.log.error("connection_failed", error=describe_error(error))
        finally:
            self._remove(connection)

    def _sweep(self) -> None:
        """Check all connections for timeouts, and again after an interval."""
        self.sweep_timer = asyncio.get_running_loop().call_later(
            self.resource_limits.sweep_interval / SECOND, self._sweep
        )
        now = time.monotonic_ns()
        for connection in (*self.connections, *self.evicted):
            connection.check_timeouts(now)

    def drain_connections(self) -> None:
        """Notify all dispatchers to send no more requests on their connections."""
        for connection in list(self.connections):
            connection.drain()

    def close_connections(self) -> None:
        """Close all connections at the drain deadline."""
        for connection in (*self.connections, *self.evicted):
            connection.close()

    async def wait_closed(self) -> None:
        """Wait until every connection is closed."""
        while self.connections or self.evicted:
            self.connection_closed.clear()
            await self.connection_closed.wait()
        if self.sweep_timer:
            self.sweep_timer.cancel()
            self.sweep_timer = None
        self.poller.close()

    # Idle connections.

    def set_idle_timeout(self, timeout: int) -> None:
        """Drain connections once they are idle for `timeout` nanoseconds; 0: never."""
        self.idle_timeout = timeout
        self._drain_idle()

    def on_shut_down(self, connection: Connection) -> None:
        """Note that the node has shut down its side of a connection, which owes no answer any more."""
        if connection in self.connections:
            self.lingering[connection] = None

    def on_activity(self, connection: Connection) -> None:
        """Note that a connection has handled arrays, or has become idle."""
        if connection not in self.connections:
            return  # evicted: it only finishes its open requests
        self.without_requests.pop(connection, None)
        self.idle.pop(connection, None)
        if not connection.has_received_request:
            self.without_requests[connection] = time.monotonic_ns()  # only health checks were received
        elif not connection.open_requests:
            self.idle[connection] = time.monotonic_ns()
            if self.idle_timer is None:
                self._drain_idle()

    def _drain_idle(self) -> None:
        """Drain the connections idle for `idle_timeout`, and start a timer for the next connection."""
        if self.idle_timer:
            self.idle_timer.cancel()
            self.idle_timer = None
        now = time.monotonic_ns()
        while self.idle and self.idle_timeout:
            connection, since = next(iter(self.idle.items()))
            if (wait := since + self.idle_timeout - now) > 0:
                self.idle_timer = asyncio.get_running_loop().call_later(wait / SECOND, self._drain_idle)
                return
            del self.idle[connection]
            connection.drain()


def _bind(address: tuple[str, int]) -> socket.socket:
    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.setblocking(False)
    try:
        listening.bind(address)
    except OSError:
        listening.close()
        raise
    return listening
