"""The listening socket, and the connections that came through it."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import time

from tornado.iostream import IOStream

from oakkeel.bounds import SECOND, Bounds
from oakkeel.dispatch.connection import Connection, Front
from oakkeel.log import Log, fault
from oakkeel.streams import BufferPool


class Listener:
    def __init__(self, address: tuple[str, int], pool: BufferPool, bounds: Bounds, front: Front,
                 log: Log) -> None:
        self.pool, self.bounds, self.front, self.log = pool, bounds, front, log
        self.connections: set[Connection] = set()
        self.tasks: set[asyncio.Task] = set()
        self.silent: dict[Connection, int] = {}  # when those with no exchange were heard, the longest first
        self.idle: dict[Connection, int] = {}  # since when nothing is open on it, the longest first
        self.idle_after = 0  # 0: idle connections stay
        self.idle_timer: asyncio.TimerHandle | None = None
        self.sweeper: asyncio.TimerHandle | None = None
        self.emptied = asyncio.Event()  # set whenever a connection ends
        self.accepting = False
        self.socket = _listen(address)
        self.address: tuple[str, int] = self.socket.getsockname()

    def open(self) -> None:
        asyncio.get_running_loop().add_reader(self.socket, self._accept_some)
        self.accepting = True
        if self.sweeper is None:
            self._sweep()

    def close(self) -> None:
        """Take no new connection: a refused one proves to its dispatcher that nothing ran. One that waits to
        be accepted may carry an exchange that was read by the machine, and is owed its answer."""
        if self.accepting:
            while self._accept_some():
                pass
            asyncio.get_running_loop().remove_reader(self.socket)
            self.accepting = False
        self.socket.close()

    def reopen(self) -> None:
        """Take new connections again at the same address. Raises OSError where it is another's by now."""
        if not self.accepting:
            self.socket = _listen(self.address)
            self.open()

    def _accept_some(self) -> bool:
        """Accept a few: in a flood of connections the rest waits for the next pass of the loop, behind all
        that the connections at work have brought by then. False where none is left."""
        for _ in range(self.bounds.accepts):
            try:
                accepted, _ = self.socket.accept()
            except BlockingIOError:
                return False
            except OSError as error:  # reset before it was accepted
                self.log.say("a connection was not accepted", error=str(error))
                return False
            accepted.setblocking(False)
            self._accept(accepted)
        return True

    def _accept(self, accepted: socket.socket) -> None:
        if len(self.connections) >= self.bounds.connections and not self._make_room():
            return accepted.close()  # nothing ran on it: better than to wait unseen, until it is too late
        with contextlib.suppress(OSError):  # reset by now: its stream finds out
            accepted.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stream = IOStream(accepted, max_buffer_size=self.bounds.buffer_size,
                          read_chunk_size=self.bounds.buffer_size)
        connection = Connection(stream, self.pool, self.bounds, self.front, self.log, self._heard)
        self.connections.add(connection)
        self.silent[connection] = time.monotonic_ns()
        task = asyncio.ensure_future(self._serve(connection))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _make_room(self) -> bool:
        """End the connection that said nothing for longest, or else the one idle for longest."""
        self.log.say("no descriptors left: a connection that is not at work makes room")
        silent, idle = next(iter(self.silent), None), next(iter(self.idle), None)
        young = silent and time.monotonic_ns() - self.silent[silent] < self.bounds.young
        connection = idle if idle and young else silent or idle
        if connection is None:
            return False
        connection.close()
        self._forget(connection)
        return True

    def _forget(self, connection: Connection) -> None:
        self.connections.discard(connection)
        self.silent.pop(connection, None)
        self.idle.pop(connection, None)
        self.emptied.set()

    async def _serve(self, connection: Connection) -> None:
        try:
            await connection.serve()
        except Exception as error:  # one connection must not end the node
            self.log.say("a connection failed", error=fault(error))
        finally:
            self._forget(connection)

    def _sweep(self) -> None:
        """End what is overdue, again and again."""
        now = time.monotonic_ns()
        for connection in [each for each in self.connections if each.overdue(now)]:
            connection.close()
        self.sweeper = asyncio.get_running_loop().call_later(self.bounds.sweep / SECOND, self._sweep)

    def last(self) -> None:
        for connection in list(self.connections):
            connection.leave()

    async def gone(self) -> None:
        """Wait until every connection has ended."""
        while self.connections:
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


def _listen(address: tuple[str, int]) -> socket.socket:
    listening = socket.socket()
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listening.setblocking(False)
    try:
        listening.bind(address)
    except OSError:
        listening.close()
        raise
    listening.listen(1024)
    return listening
