"""A dispatcher: sends requests at a rate whatever comes back, and counts what became of every one."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import Counter
from collections.abc import Callable
from random import Random

from oakkeel.fakes.node_connection import Address, NodeConnection

CONNECT_TIMEOUT = 0.25  # seconds
LATE_MARGIN = 0.05  # seconds past the timeout, for the way of the response
ANSWERS = ("ok", "full", "fault")  # a node's own outcomes


class SentRequest:
    """One request on its way."""

    __slots__ = ("at", "group", "node")

    def __init__(self, node: str, at: float, group: str) -> None:
        """`at` in monotonic seconds; `group` is the request class."""
        self.node = node
        self.at = at
        self.group = group


class DispatcherConnection(NodeConnection):
    """One of a dispatcher's connections to one node."""

    max_open = 32

    def __init__(
        self, owner: Dispatcher, node: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """`owner` counts what becomes of the requests."""
        self.owner = owner
        self.node = node
        self.open: dict[int, SentRequest] = {}
        super().__init__(reader, writer)

    @property
    def open_count(self) -> int:
        """How many requests have no response yet."""
        return len(self.open)

    def call(self, sent: SentRequest, fields: str, body: bytes) -> None:
        """Send a request."""
        self.last_tag += 1
        self.open[self.last_tag] = sent
        self._write_call(sent.group.encode(), fields.encode(), body)

    def _answered(self, tag: int, outcome: bytes, fields: bytes) -> None:
        if sent := self.open.pop(tag, None):
            self.owner.request_ended(sent, outcome.decode())

    def _ended(self) -> None:
        for sent in self.open.values():
            self.owner.request_ended(sent, "lost")
        self.owner.connection_ended(self)


class Dispatcher:
    """Sends to the nodes that `addresses` gives, in turn; a node that refuses a connection is passed over."""

    def __init__(
        self,
        number: int,
        addresses: Callable[[], dict[str, Address]],
        rate: float,
        seed: int,
        groups: tuple[str, ...] = ("quote", "card"),
        timeout: float = 4.0,
    ) -> None:
        """`rate` in requests a second; `timeout` in seconds, sent to the node and waited for."""
        self.number = number
        self.addresses = addresses
        self.rate = rate
        self.groups = groups
        self.timeout = timeout
        self.random = Random(seed)
        self.connections: dict[str, list[DispatcherConnection]] = {}
        self.counts: Counter[str] = Counter()  # by outcome; lost and late beside the node's own
        self.by_node: dict[str, Counter[str]] = {}
        self.sending: asyncio.Task[None] | None = None
        self.max_send_delay = 0.0  # maximum delay in seconds from when a request was due to when it was sent
        self._next = 0  # the node whose turn it is

    def start(self) -> None:
        """Send from now on."""
        self.sending = asyncio.ensure_future(self._send())

    async def stop(self) -> None:
        """Send no more, wait for the responses that are due, and close: the rest is lost."""
        if self.sending:
            self.sending.cancel()
            await asyncio.gather(self.sending, return_exceptions=True)
        until = time.monotonic() + self.timeout + 0.5
        while time.monotonic() < until and self.open:
            await asyncio.sleep(0.01)
        for connections in list(self.connections.values()):
            for connection in list(connections):
                connection.writer.close()
                await asyncio.wait((connection.task,), timeout=1.0)

    async def send_one(self) -> None:
        """Send one request to the next node that takes a connection."""
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
                sent = SentRequest(name, time.monotonic(), self.random.choice(self.groups))
                self.request_sent(request_id, sent)
                connection.call(sent, fields, request_id.encode())
                self.counts["sent"] += 1
                return
        self.counts["unsent"] += 1  # no node took a connection

    def request_sent(self, request_id: str, sent: SentRequest) -> None:
        """For subclasses that follow each request."""

    def request_ended(self, sent: SentRequest, outcome: str) -> str:
        """Count what became of a request; returns the outcome that it was counted under."""
        if outcome != "lost" and time.monotonic() - sent.at > self.timeout + LATE_MARGIN:
            outcome = "late"
        self.counts[outcome] += 1
        self.by_node.setdefault(sent.node, Counter())[outcome] += 1
        return outcome

    def connection_ended(self, connection: DispatcherConnection) -> None:
        """Use a connection no more."""
        with contextlib.suppress(ValueError, KeyError):
            self.connections[connection.node].remove(connection)

    @property
    def open(self) -> int:
        """How many requests have no response yet."""
        return sum(len(item.open) for items in self.connections.values() for item in items)

    @property
    def answered(self) -> int:
        """How many requests a node answered in time, whatever the answer."""
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
            if connection.usable:
                return connection
        try:
            # Not `wait_for`: Python 3.11's swallows a cancellation that meets the end of what it waits for.
            async with asyncio.timeout(CONNECT_TIMEOUT):
                reader, writer = await asyncio.open_connection(*address)
        except (TimeoutError, OSError):
            return None
        connection = DispatcherConnection(self, name, reader, writer)
        self.connections.setdefault(name, []).append(connection)
        return connection
