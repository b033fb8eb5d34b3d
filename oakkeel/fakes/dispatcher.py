"""A dispatcher that sends requests at a rate independent of the responses and counts the outcomes."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import Counter
from collections.abc import Callable
from random import Random

from oakkeel.fakes.node_connection import Address, NodeConnection

CONNECT_TIMEOUT = 0.25  # seconds
LATE_MARGIN = 0.05  # seconds after the timeout, allowed for the transfer of the response
ANSWERS = ("ok", "full", "fault")  # outcomes that a node sends


class SentRequest:
    """A request that was sent to a node."""

    __slots__ = ("node", "request_class", "sent_at")

    def __init__(self, node: str, sent_at: float, request_class: str) -> None:
        """`sent_at`: when the request was sent, in monotonic seconds."""
        self.node = node
        self.sent_at = sent_at
        self.request_class = request_class


class DispatcherConnection(NodeConnection):
    """A connection of a dispatcher to a node."""

    max_open = 32

    def __init__(
        self, dispatcher: Dispatcher, node: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """`dispatcher` counts the outcomes of the requests."""
        self.dispatcher = dispatcher
        self.node = node
        self.open_requests: dict[int, SentRequest] = {}  # requests without a response, by tag
        super().__init__(reader, writer)

    @property
    def open_count(self) -> int:
        """The number of requests without a response."""
        return len(self.open_requests)

    def call(self, sent: SentRequest, fields: str, body: bytes) -> None:
        """Send a request."""
        self.last_tag += 1
        self.open_requests[self.last_tag] = sent
        self._write_call(sent.request_class.encode(), fields.encode(), body)

    def _on_response(self, tag: int, outcome: bytes, fields: bytes, body: bytes) -> None:
        if sent := self.open_requests.pop(tag, None):
            self.dispatcher.on_request_end(sent, outcome.decode())

    def _on_connection_end(self) -> None:
        for sent in self.open_requests.values():
            self.dispatcher.on_request_end(sent, "lost")
        self.dispatcher.remove_connection(self)


class Dispatcher:
    """Sends to the nodes that `addresses` returns, in turn, and skips nodes that refuse a connection."""

    def __init__(
        self,
        number: int,
        addresses: Callable[[], dict[str, Address]],
        rate: float,
        seed: int,
        request_classes: tuple[str, ...] = ("quote", "card"),
        timeout: float = 4.0,
    ) -> None:
        """`rate` in requests a second; `timeout` in seconds, sent to the node: later responses are late."""
        self.number = number
        self.addresses = addresses
        self.rate = rate
        self.request_classes = request_classes
        self.timeout = timeout
        self.random = Random(seed)
        self.connections: dict[str, list[DispatcherConnection]] = {}  # by node
        self.counts: Counter[str] = Counter()  # by outcome, and `sent` and `unsent`
        self.counts_by_node: dict[str, Counter[str]] = {}  # number of requests by node and outcome
        self.send_task: asyncio.Task[None] | None = None  # the task that sends; None: not started
        self.max_send_delay = 0.0  # maximum seconds from the due time of a request until it was sent
        self._next = 0  # index of the next node, modulo the number of nodes

    def start(self) -> None:
        """Start to send requests."""
        self.send_task = asyncio.ensure_future(self._send())

    async def stop(self) -> None:
        """Stop sending, wait for outstanding responses, and close; requests still without one are lost."""
        if self.send_task:
            self.send_task.cancel()
            await asyncio.gather(self.send_task, return_exceptions=True)
        deadline = time.monotonic() + self.timeout + 0.5
        while time.monotonic() < deadline and self.open_count:
            await asyncio.sleep(0.01)
        for connections in list(self.connections.values()):
            for connection in list(connections):
                connection.writer.close()
                await asyncio.wait((connection.task,), timeout=1.0)

    async def send_one(self) -> None:
        """Send a request to the next node that accepts a connection."""
        nodes = sorted(self.addresses().items())
        for _ in nodes:
            self._next += 1
            name, address = nodes[self._next % len(nodes)]
            if connection := await self._connection(name, address):
                request_id = f"{self.random.getrandbits(64):016x}"
                fields = (
                    f"req={request_id},ts={time.time_ns() // 1_000_000},via={self.number},"
                    f"timeout={int(self.timeout * 1000)},need=24.5,level=0.5"
                )
                sent = SentRequest(name, time.monotonic(), self.random.choice(self.request_classes))
                self.on_request_sent(request_id, sent)
                connection.call(sent, fields, request_id.encode())
                self.counts["sent"] += 1
                return
        self.counts["unsent"] += 1  # no node accepted a connection

    def on_request_sent(self, request_id: str, sent: SentRequest) -> None:
        """Called for each request that is sent; subclasses may override it."""

    def on_request_end(self, sent: SentRequest, outcome: str) -> str:
        """Count the outcome of a request, and return the outcome under which it was counted."""
        if outcome != "lost" and time.monotonic() - sent.sent_at > self.timeout + LATE_MARGIN:
            outcome = "late"
        self.counts[outcome] += 1
        self.counts_by_node.setdefault(sent.node, Counter())[outcome] += 1
        return outcome

    def remove_connection(self, connection: DispatcherConnection) -> None:
        """Remove a connection that has ended."""
        with contextlib.suppress(ValueError, KeyError):
            self.connections[connection.node].remove(connection)

    @property
    def open_count(self) -> int:
        """The number of requests without a response."""
        return sum(
            len(connection.open_requests)
            for connections in self.connections.values()
            for connection in connections
        )

    @property
    def answered_count(self) -> int:
        """The number of requests that nodes answered in time, with any outcome."""
        return sum(self.counts[outcome] for outcome in ANSWERS)

    async def _send(self) -> None:
        due = time.monotonic()
        while True:
            due += self.random.expovariate(self.rate)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            self.max_send_delay = max(self.max_send_delay, time.monotonic() - due)
            await self.send_one()

    async def _connection(self, name: str, address: Address) -> DispatcherConnection | None:
        for connection in self.connections.get(name, ()):
            if connection.is_usable:
                return connection
        try:
            # Not `wait_for`: in Python 3.11 it loses a cancellation that coincides with the result.
            async with asyncio.timeout(CONNECT_TIMEOUT):
                reader, writer = await asyncio.open_connection(*address)
        except (TimeoutError, OSError):
            return None
        connection = DispatcherConnection(self, name, reader, writer)
        self.connections.setdefault(name, []).append(connection)
        return connection
