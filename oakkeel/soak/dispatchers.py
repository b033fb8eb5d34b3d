"""The dispatchers of a soak run, which keep the rules of the protocol for dispatchers."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace

from oakkeel.fakes.node_connection import NodeConnection
from oakkeel.soak.plan import Effect, PlannedRequest
from oakkeel.soak.record import (
    ConnectionEnded,
    RequestAnswered,
    RequestCancelled,
    RequestUnwritten,
    RequestWritten,
)
from oakkeel.soak.world import LiveRequest, World

MAX_OPEN = 32  # requests on one connection
SLOW_WRITE_PIECES = 12
CLOSE_CROSSING_S = 0.05  # a request that meets a close within this time is sent again, once
GIVE_UP_DELAY_S = 0.3  # after the timeout of a request; the dispatcher then takes it back
CONNECT_TIMEOUT_S = 1.0
FINISH_TIMEOUT_S = 0.5  # for answers that are still due after all timeouts


class SoakConnection(NodeConnection):
    """A connection of a dispatcher; all of its requests and answers are recorded."""

    max_open = MAX_OPEN
    last_number = 0  # of the connections of this process

    def __init__(
        self, dispatcher: SoakDispatcher, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Start to read answers."""
        SoakConnection.last_number += 1
        self.number = SoakConnection.last_number
        self.dispatcher = dispatcher
        self.world = dispatcher.world
        self.open_requests: dict[int, LiveRequest] = {}
        self.written_at: dict[int, float] = {}
        self.is_writing = False  # a request is being written slowly
        self.is_reset = False
        self.has_ended = False
        super().__init__(reader, writer)

    @property
    def open_count(self) -> int:
        """The number of requests without an answer."""
        return len(self.open_requests)

    async def send(self, request: LiveRequest, write_s: float) -> None:
        """Write a request, in pieces over `write_s` seconds."""
        self.last_tag += 1
        tag = self.last_tag
        self.open_requests[tag] = request
        data = self._encode_call(
            request.planned.group.name.encode(), self._fields(request), request.planned.body
        )
        size = max(1, len(data) // SLOW_WRITE_PIECES) if write_s else len(data)
        pieces = [data[start : start + size] for start in range(0, len(data), size)]
        self.is_writing = True
        for number, piece in enumerate(pieces):
            if number:
                await asyncio.sleep(write_s / SLOW_WRITE_PIECES)
            if self.has_ended or self.writer.is_closing():
                self._note_unwritten(tag, request)
                return
            self.writer.write(piece)
        self.is_writing = False
        self._note_written(tag, request)

    def _fields(self, request: LiveRequest) -> bytes:
        planned = request.planned
        fields = (
            f"req={request.request_id.decode()},ts={int(request.arrived_at * 1000)},"
            f"via={planned.dispatcher + 1},timeout={int(planned.group.timeout_s * 1000)},need=24.5,level=0.5"
        )
        if request.is_copy:
            fields += ",resent=1"
        if planned.group.effect is Effect.READ:
            fields += f",subject={planned.key}"
        elif planned.group.effect is Effect.KEYED:
            fields += f",opkey={planned.key}"
        return fields.encode()

    def _note_written(self, tag: int, request: LiveRequest) -> None:
        planned = request.planned
        now = self.written_at[tag] = time.time()
        timeout_s = int(planned.group.timeout_s * 1000) / 1000
        self.world.log(
            RequestWritten(
                now,
                request.request_id.decode(),
                self.number,
                planned.group.name,
                planned.key,
                planned.body,
                int(request.arrived_at * 1000) / 1000,
                timeout_s,
                request.is_copy,
            )
        )
        give_up_s = max(0.0, request.arrived_at + timeout_s - now) + GIVE_UP_DELAY_S
        asyncio.get_running_loop().call_later(give_up_s, self.cancel, tag)

    def _note_unwritten(self, tag: int, request: LiveRequest) -> None:
        self.is_writing = False
        if self.open_requests.pop(tag, None):
            request.is_over = True
            self.world.log(RequestUnwritten(time.time(), request.request_id.decode()))

    def cancel(self, tag: int) -> None:
        """Take a request back, if it is not answered."""
        request = self.open_requests.get(tag)
        if request and not self.writer.is_closing() and not self.is_writing:
            del self.open_requests[tag]
            request.is_over = True
            self.world.log(RequestCancelled(time.time(), request.request_id.decode()))
            number = b"%d" % tag
            self.writer.write(b"*2\r\n$6\r\nCANCEL\r\n$%d\r\n%s\r\n" % (len(number), number))

    def half_close(self) -> None:
        """End this side of the connection; the answers that are due are still read."""
        if self.is_writing or self.writer.is_closing():
            return
        self.closing = True  # it takes no further request
        self.writer.write_eof()

    def reset(self) -> None:
        """Reset the connection: no answer is owed on it any more."""
        self.is_reset = True
        self.writer.transport.abort()

    def _on_response(self, tag: int, outcome: bytes, fields: bytes, body: bytes) -> None:
        if request := self.open_requests.pop(tag, None):
            request.is_over = True
            event = RequestAnswered(time.time(), request.request_id.decode(), outcome.decode(), body)
            self.world.log(event)

    def _on_connection_end(self) -> None:
        now = time.time()
        self.has_ended = True
        self.world.log(ConnectionEnded(now, self.number, by_node=not self.is_reset))
        for tag, request in list(self.open_requests.items()):
            request.is_over = True
            crossed = now - self.written_at.get(tag, now) <= CLOSE_CROSSING_S
            if not self.is_reset and crossed:
                self.world.log(RequestUnwritten(now, request.request_id.decode()))
                if not request.is_copy:
                    self.dispatcher.send_again(request.planned)
        self.open_requests.clear()


class SoakDispatcher:
    """Sends its requests of the plan to the node, on connections that it opens when it needs them."""

    def __init__(self, world: World, number: int, port: int) -> None:
        """`port` is that of the node."""
        self.world = world
        self.number = number
        self.port = port
        self.connections: list[SoakConnection] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.slow_write_s = 0.0  # time that the next request takes to be written
        self.cancels_until = 0.0  # Unix seconds until which some requests are taken back

    async def run(self, started_at: float) -> None:
        """Send all requests at their time; `started_at` is in monotonic seconds."""
        for planned in self.world.plan.requests:
            if planned.dispatcher == self.number:
                await asyncio.sleep(max(0.0, started_at + planned.due_s - time.monotonic()))
                self._start(planned, is_copy=False)

    def send_again(self, planned: PlannedRequest) -> None:
        """Send a request again on another connection, after it met a close."""
        self._start(planned, is_copy=True)

    def _start(self, planned: PlannedRequest, is_copy: bool) -> None:
        task = asyncio.ensure_future(self._send(planned, is_copy))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _send(self, planned: PlannedRequest, is_copy: bool) -> None:
        write_s, self.slow_write_s = self.slow_write_s, 0.0
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                connection = await self._connection(is_slow=bool(write_s))
        except (TimeoutError, OSError):
            return  # a refused connection proves that nothing ran
        if write_s:
            await connection.send(self.world.add_request(self._long_run(planned)), 0.0)
        request = self.world.add_request(planned, is_copy)
        await connection.send(request, write_s)
        if time.time() < self.cancels_until and self.world.random.random() < 0.5:
            await asyncio.sleep(self.world.random.uniform(0, 0.1))
            for tag, other in list(connection.open_requests.items()):
                if other is request:
                    connection.cancel(tag)

    def _long_run(self, planned: PlannedRequest) -> PlannedRequest:
        """Return a request that stays open beside one that is written slowly."""
        group = self.world.plan.longest_group()
        return replace(planned, group=group, key=f"{planned.key}-long", work_s=0.8 * group.timeout_s, calls=0)

    async def _connection(self, is_slow: bool) -> SoakConnection:
        """Return a connection that takes a request; a slow write goes beside open requests if possible."""
        self.connections = [connection for connection in self.connections if not connection.has_ended]
        usable = [
            connection
            for connection in self.connections
            if connection.is_usable and not connection.is_writing
        ]
        if is_slow:
            usable.sort(key=lambda connection: connection.open_count, reverse=True)
        if usable:
            return usable[0]
        connection = SoakConnection(self, *await asyncio.open_connection("127.0.0.1", self.port))
        self.connections.append(connection)
        return connection

    async def finish(self) -> None:
        """Wait for the answers that are due, and close all connections."""
        timeout_s = max(group.timeout_s for group in self.world.plan.groups) + GIVE_UP_DELAY_S
        deadline = time.monotonic() + timeout_s + FINISH_TIMEOUT_S
        while self.tasks and time.monotonic() < deadline:
            await asyncio.wait(self.tasks, timeout=0.1)
        while any(connection.open_requests for connection in self.connections):
            if time.monotonic() > deadline:
                break
            await asyncio.sleep(0.02)
        for connection in self.connections:
            connection.writer.close()
            await asyncio.wait((connection.task,), timeout=1.0)
