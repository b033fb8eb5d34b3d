"""The listening socket, and the connections that came through it."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import socket
import time

from oakkeel.dispatch.connection import Connection, ConnectionOwner
from oakkeel.log import EventLog, fault
from oakkeel.resource_limits import SECOND, ResourceLimits
from oakkeel.stream_buffers import BufferPool, HalfClosingStream

BACKLOG = 1024  # connections that the kernel lets wait
NO_DESCRIPTOR = {errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM}


class Listener:
    def __init__(
        self,
        address: tuple[str, int],
        pool: BufferPool,
        resource_limits: ResourceLimits,
        front: ConnectionOwner,
        log: EventLog,
    ) -> None:
        self.pool, self.resource_limits, self.front, self.log = pool, resource_limits, front, log
        self.connections: set[Connection] = set()
        self.tasks: set[asyncio.Task] = set()
        self.silent: dict[Connection, int] = {}  # when those with no exchange were heard, the longest first
        self.ending: dict[Connection, None] = {}  # had no room, or made it; the oldest first
        self.idle: dict[Connection, int] = {}  # since when nothing is open on it, the longest first
        self.idle_after = 0  # 0: idle connections stay
        self.idle_timer: asyncio.TimerHandle | None = None
        self.sweeper: asyncio.TimerHandle | None = None
        self.emptied = asyncio.Event()  # set whenever a connection ends
        self.accepting = False
        self.resume: asyncio.TimerHandle | None = None  # accepts again, where there was no descriptor
        self.socket = _bind(address)
        self.address: tuple[str, int] = self.socket.getsockname()

    def open(self) -> None:
        self.socket.listen(BACKLOG)
        asyncio.get_running_loop().add_reader(self.socket, self._accept_some)
        self.accepting = True
        if self.sweeper is None:
            self._sweep()

    async def close(self) -> None:
        """Take no new connection: a refused one proves to its dispatcher that nothing ran. One that waits to
        be accepted may carry an exchange that was read by the machine, and is owed its answer: all that wait
        are accepted, a few at a time as ever, and the socket is closed right behind the last, as what comes
        between is reset. They are no more than the kernel lets wait: a flood would keep us here for good."""
        for _ in range(BACKLOG // self.resource_limits.accepts_per_pass + 1):
            if self.accepting and not self.resume and not self._accept_some() and not self.resume:
                break
            # Connections that made room end in the next pass, and give back what the next ones need.
            await asyncio.sleep(self.resource_limits.accept_retry / SECOND if self.resume else 0)
        if self.accepting:
            asyncio.get_running_loop().remove_reader(self.socket)
            self.accepting = False
        if self.resume:
            self.resume.cancel()
            self.resume = None
        self.socket.close()

    def reopen(self) -> None:
        """Take new connections again at the same address. Raises OSError where it is another's by now."""
        if not self.accepting:
            self.socket = _bind(self.address)
            self.open()

    def _accept_some(self) -> bool:
        """Accept a few: in a flood of connections the rest waits for the next pass of the loop, behind all
        that the connections at work have brought by then. Returns whether more may wait."""
        for _ in range(self.resource_limits.accepts_per_pass):
            if (
                self.pool.spare <= 2 * self.resource_limits.max_links
            ):  # those of the links are not for dispatchers
                return self._pause()
            try:
                accepted, _ = self.socket.accept()
            except BlockingIOError:
                return False
            except OSError as error:
                if error.errno not in NO_DESCRIPTOR:
                    continue  # this one was reset before it was accepted; those behind it were not
                self.log.warning("accept_failed", error=str(error))
                if not self._make_room():
                    return self._pause()
                continue
            self._accept(accepted)
        return True

    def _pause(self) -> bool:
        """No descriptor or buffer is to be had: the socket would wake the loop for nothing, again and again.
        More may wait."""
        loop = asyncio.get_running_loop()
        loop.remove_reader(self.socket)
        self.resume = loop.call_later(self.resource_limits.accept_retry / SECOND, self._resume)
        return True

    def _resume(self) -> None:
        self.resume = None
        asyncio.get_running_loop().add_reader(self.socket, self._accept_some)

    def _accept(self, accepted: socket.socket) -> None:
        accepted.setblocking(False)
        room = len(self.connections) < self.resource_limits.max_connections or self._make_room()
        with contextlib.suppress(OSError):  # reset by now: its stream finds out
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = HalfClosingStream(
            accepted,
            max_buffer_size=self.resource_limits.buffer_size,
            read_chunk_size=self.resource_limits.buffer_size,
        )
        connection = Connection(stream, self.pool, self.resource_limits, self.front, self.log, self._heard)
        if room:
            self.connections.add(connection)
            self.silent[connection] = time.monotonic_ns()
        else:
            self._end_soon(connection)
            connection.turn_away()
        task = asyncio.ensure_future(self._serve(connection))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _make_room(self) -> bool:
        """End the connection that said nothing for longest, or else the one idle for longest, or one that
        left half an array: none on which something is open, on its way or just comes."""
        self.log.warning("descriptors_exhausted")
        young = time.monotonic_ns() - self.resource_limits.new_connection_grace
        old = [each for each, since in self.silent.items() if since <= young]
        for connection in (*old, *self.idle, *self.silent):
            if connection.at_rest():
                break
        else:
            half = [each for each in old if not (each.open or each.unread or each.comes())]
            if not half:
                return False
            connection = half[0]
        self._forget(connection)
        if connection.make_room():
            self._end_soon(connection)
        return True

    def _end_soon(self, connection: Connection) -> None:
        """It has a descriptor for a moment longer, of those kept back for such."""
        while len(self.ending) >= self.resource_limits.evicted_connections:
            next(iter(self.ending)).close()
            self.ending.pop(next(iter(self.ending)))
        self.ending[connection] = None

    def _forget(self, connection: Connection) -> None:
        self.connections.discard(connection)
        self.silent.pop(connection, None)
        self.idle.pop(connection, None)
        self.ending.pop(connection, None)
        self.emptied.set()

    async def _serve(self, connection: Connection) -> None:
        try:
            await connection.serve()
        except Exception as error:  # one connection must not end the node
            self.log.error("connection_failed", error=fault(error))
        finally:
            self._forget(connection)

    def _sweep(self) -> None:
        """End what is overdue, again and again."""
        self.sweeper = asyncio.get_running_loop().call_later(
            self.resource_limits.sweep_interval / SECOND, self._sweep
        )
        now = time.monotonic_ns()
        for connection in list(self.connections):
            connection.overdue(now)

    def last(self) -> None:
        for connection in list(self.connections):
            connection.leave()

    def end(self) -> None:
        """Close all that is left: its time is over."""
        for connection in (*self.connections, *self.ending):
            connection.close()

    async def gone(self) -> None:
        """Wait until every connection has ended."""
        while self.connections or self.ending:
            self.emptied.clear()
            await self.emptied.wait()
        if self.sweeper:
            self.sweeper.cancel()
            self.sweeper = None

    # Idle connections.

    def close_idle(self, after: int) -> None:
        self.idle_after = after
        self._trim()

    def _heard(self, connection: Connection) -> None:
        if connection not in self.connections:
            return  # it has made room, and winds up what was open on it
        self.silent.pop(connection, None)
        self.idle.pop(connection, None)
        if not connection.worked:
            self.silent[connection] = time.monotonic_ns()  # it is checked only
        elif not connection.open:
            self.idle[connection] = time.monotonic_ns()
            if self.idle_timer is None:
                self._trim()

    def _trim(self) -> None:
        """Ask those to close that were idle for long enough, and come back when the next may have been."""
        if self.idle_timer:
            self.idle_timer.cancel()
            self.idle_timer = None
        now = time.monotonic_ns()
        while self.idle and self.idle_after:
            connection, since = next(iter(self.idle.items()))
            if (wait := since + self.idle_after - now) > 0:
                self.idle_timer = asyncio.get_running_loop().call_later(wait / SECOND, self._trim)
                return
            del self.idle[connection]
            connection.leave()


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
