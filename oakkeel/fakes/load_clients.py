"""Load clients of a node: some honour Retry-After, others retry at a fixed interval."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Coroutine
from random import Random

from oakkeel.fakes.node_connection import Address, NodeConnection

MAX_ATTEMPTS = 4  # of one request
MAX_RETRY_AFTER_MS = 5000  # maximum delay that a node sends; for this delay it reserves no capacity
DEFAULT_RETRY_AFTER = b"1000"  # milliseconds
CONNECTION_LOST = b""  # outcome of a call whose connection ended without a response


class ClientConnection(NodeConnection):
    """A connection to a node, whose calls are awaited."""

    max_open = 30

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Start to read responses at once."""
        self.open_calls: dict[int, asyncio.Future[tuple[bytes, bytes]]] = {}
        self.has_ended = False
        super().__init__(reader, writer)

    @classmethod
    async def open(cls, address: Address) -> ClientConnection:
        """Connect to a node."""
        return cls(*await asyncio.open_connection(*address))

    @property
    def open_count(self) -> int:
        """The number of calls without a response."""
        return len(self.open_calls)

    async def call(self, request_class: bytes, fields: bytes) -> tuple[bytes, bytes]:
        """Send a call; return outcome and fields of the response, both empty if the connection ends."""
        self.last_tag += 1
        response: asyncio.Future[tuple[bytes, bytes]] = asyncio.get_running_loop().create_future()
        self.open_calls[self.last_tag] = response
        self._write_call(request_class, fields, b"what")
        return await response

    def _on_response(self, tag: int, outcome: bytes, fields: bytes, body: bytes) -> None:
        if (response := self.open_calls.pop(tag, None)) and not response.done():
            response.set_result((outcome, fields))

    def _on_connection_end(self) -> None:
        self.has_ended = True
        for response in self.open_calls.values():
            if not response.done():
                response.set_result((CONNECTION_LOST, b""))


class CompliantClient:
    """Sends requests at random intervals and retries rejected requests after the delay that the node gave."""

    retry_delay: float | None = None  # seconds until a retry; None: as the node asks

    def __init__(self, name: str, address: Address, rate: float, seed: int, timeout: float = 2.0) -> None:
        """`rate` in requests a second; `timeout` in seconds, sent to the node."""
        self.name = name
        self.address = address
        self.rate = rate
        self.timeout = timeout
        self.random = Random(seed)
        self.connections: list[ClientConnection] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.reset_counts()

    def reset_counts(self) -> None:
        """Set all counters to zero.

        Requests are counted as `sent`, then as `completed` or `lost`. `reserved_retries` counts attempts for
        which the node had reserved capacity, `admitted_reserved_retries` the successful ones of these.
        """
        self.sent = self.attempts = self.completed = self.lost = 0
        self.reserved_retries = self.admitted_reserved_retries = 0

    async def start(self) -> None:
        """Start to send requests."""
        self._start_task(self._send())

    async def stop(self) -> None:
        """Cancel all requests and close the connections."""
        for task in list(self.tasks):
            task.cancel()
        for connection in self.connections:
            connection.writer.close()
        read_tasks = (connection.task for connection in self.connections)
        await asyncio.gather(*self.tasks, *read_tasks, return_exceptions=True)

    def _start_task(self, coroutine: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _send(self) -> None:
        due = time.monotonic()
        while True:
            due += self.random.expovariate(self.rate)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            self.sent += 1
            self._start_task(self.send_one())

    async def send_one(self) -> None:
        """Send one request with all its retries."""
        has_reservation = False  # whether the node reserved capacity for this attempt
        for attempt in range(MAX_ATTEMPTS):
            self.attempts += 1
            self.reserved_retries += has_reservation
            outcome, fields = await self._send_attempt(attempt > 0)
            if outcome == b"ok":
                self.completed += 1
                self.admitted_reserved_retries += has_reservation
                return
            if outcome != b"full":
                self.lost += outcome == CONNECTION_LOST
                return
            values = dict(field.partition(b"=")[::2] for field in fields.split(b","))
            retry_after = float(values.get(b"holdoff", DEFAULT_RETRY_AFTER))
            has_reservation = self.retry_delay is None and retry_after < MAX_RETRY_AFTER_MS
            await asyncio.sleep(retry_after / 1000 if self.retry_delay is None else self.retry_delay)

    async def _send_attempt(self, is_retry: bool) -> tuple[bytes, bytes]:
        connection = next((other for other in self.connections if other.is_usable), None)
        if connection is None:
            connection = await ClientConnection.open(self.address)
            self.connections = [other for other in self.connections if not other.has_ended] + [connection]
        fields = (
            f"req={self.random.getrandbits(64):016x},ts={time.time_ns() // 1_000_000},via=1,"
            f"timeout={int(self.timeout * 1000)},need=24.5,level=0.5,client={self.name}"
        )
        if is_retry:
            fields += ",resent=1"
        return await connection.call(b"quote", fields.encode())


class NonCompliantClient(CompliantClient):
    """Ignores Retry-After and retries rejected requests after 20 ms."""

    retry_delay = 0.02
