"""A listener in the event loop of the test, with dispatchers that are plain sockets.

Bytes that a socket sends are in the kernel at once, and the event loop reads them only when the test awaits.
So a test determines the order of bytes, closes and accepts.
"""

import asyncio
import faulthandler
import socket
import struct
import time
import unittest

from oakkeel.dispatch import codec
from oakkeel.dispatch.codec import RequestReader
from oakkeel.dispatch.connection import Connection
from oakkeel.dispatch.listener import Listener
from oakkeel.dispatch.resp import encode
from oakkeel.log import EventLog
from oakkeel.resource_limits import ResourceLimits
from oakkeel.stream_buffers import BufferPool
from oakkeel.units import MS, SECOND
from tests.support.fake_host import FakeHost
from tests.support.node_process import TIMEOUT_S

RESOURCE_LIMITS = ResourceLimits(
    sockets=1024,
    memory=192 * 2**20,
    stop_after=3 * SECOND,
    drain_notice_timeout=600 * SECOND,
    linger_timeout=600 * SECOND,
    sweep_interval=600 * SECOND,
)

DRAIN_NOTICE = [b"0", b"last"]

TEST_TIMEOUT = 1.5 * TIMEOUT_S  # seconds from a test's set-up to that of the next


def call(tag: int, size: int = 4) -> bytes:
    return encode(b"CALL", b"%d" % tag, b"quote", b"req=%016x,need=1,timeout=4000" % tag, b"b" * size)


class DispatcherClient:
    """The dispatcher's side of a connection."""

    def __init__(self, address, receive_buffer_size: int = 0) -> None:
        self.socket = socket.socket()
        if receive_buffer_size:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_size)
        self.socket.connect(address)
        self.socket.setblocking(False)
        self.received = b""

    def send(self, data: bytes) -> None:
        self.socket.send(data)

    async def read(self) -> bool:
        """Read some bytes; return False at the end of the input. Raises ConnectionResetError."""
        loop = asyncio.get_running_loop()
        data = await asyncio.wait_for(loop.sock_recv(self.socket, 65536), TIMEOUT_S)
        self.received += data
        return bool(data)

    def received_arrays(self) -> list[list[bytes]]:
        """Return the complete arrays that were received so far."""
        arrays, lines = [], self.received.split(b"\r\n")
        while lines and lines[0].startswith(b"*"):
            count = int(lines.pop(0)[1:])
            arrays.append(lines[1 : 2 * count : 2])
            del lines[: 2 * count]
        return arrays

    async def read_answer(self, tag: int) -> list[bytes]:
        """Read until the answer with a tag is complete, and return that answer."""
        while not (
            answers := [
                array for array in self.received_arrays() if array[0] == b"%d" % tag and array != DRAIN_NOTICE
            ]
        ):
            assert await self.read(), f"the connection ended before the answer with tag {tag}"
        return answers[0]

    async def read_to_end(self) -> list[list[bytes]]:
        """Read to the end of the input; return all arrays. Raises ConnectionResetError."""
        while await self.read():
            pass
        return self.received_arrays()

    def close(self, reset: bool = False) -> None:
        if reset:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()


class ListenerTestCase(unittest.IsolatedAsyncioTestCase):
    """A listener in front of a node that records requests and disconnects."""

    resource_limits = RESOURCE_LIMITS

    @classmethod
    def setUpClass(cls) -> None:
        """Cancel the timeout only after the last event loop is closed, as the close may hang too."""
        cls.addClassCleanup(faulthandler.cancel_dump_traceback_later)

    async def asyncSetUp(self) -> None:
        # Ends a test whose event loop never yields, or whose tearDown hangs.
        faulthandler.dump_traceback_later(TEST_TIMEOUT, exit=True)
        self.received_requests, self.disconnected_requests = [], []
        self.known_request_ids: set[bytes] = set()  # of requests that repeat one that has run
        self.reader = RequestReader(
            FakeHost(request_classes=[{}]).limits, ["quote"], [], self.resource_limits
        )
        pool = BufferPool(8192, self.resource_limits.max_buffers)
        self.listener = Listener(("127.0.0.1", 0), pool, self.resource_limits, self, EventLog("test", 0))
        self.listener.open()
        self.clients: list[DispatcherClient] = []

    async def asyncTearDown(self) -> None:
        await self.listener.close()
        self.listener.close_connections()
        for client in self.clients:
            client.close()
        await asyncio.wait_for(self.listener.wait_closed(), TIMEOUT_S)

    # The methods of `ConnectionOwner`, in place of a node.

    def on_request_received(self, request) -> None:
        self.received_requests.append(request)

    def on_client_disconnected(self, request) -> None:
        self.disconnected_requests.append(request)

    def has_request(self, request_id: bytes) -> bool:
        return False

    def repeats_known_request(self, request) -> bool:
        return request.request_id in self.known_request_ids

    def is_healthy(self) -> bool:
        return True

    def load_report(self) -> float | None:
        return None

    def retry_after(self) -> int:
        return 250 * MS

    # Steps of tests.

    def connect_client(self, receive_buffer_size: int = 0) -> DispatcherClient:
        self.clients.append(DispatcherClient(self.listener.address, receive_buffer_size))
        return self.clients[-1]

    async def wait_until(self, condition) -> None:
        """Run the event loop until a condition is true."""
        deadline = time.monotonic() + TIMEOUT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline)
            await asyncio.sleep(0.001)

    async def connected_client(self, receive_buffer_size: int = 0) -> tuple[DispatcherClient, Connection]:
        before = set(self.listener.connections)
        client = self.connect_client(receive_buffer_size)
        await self.wait_until(lambda: set(self.listener.connections) - before)
        connection = (set(self.listener.connections) - before).pop()
        await self.wait_until(connection.stream.reading)
        return client, connection

    async def client_with_open_request(
        self, receive_buffer_size: int = 0
    ) -> tuple[DispatcherClient, Connection]:
        """Return a client and its connection with one open request."""
        client, connection = await self.connected_client(receive_buffer_size)
        client.send(call(1))
        await self.wait_until(lambda: connection.open_requests)
        return client, connection

    async def idle_client(self) -> tuple[DispatcherClient, Connection]:
        """Return a client and its connection, idle after an answered request."""
        client, connection = await self.client_with_open_request()
        self.answer()
        await client.read_answer(1)
        await self.wait_until(connection.is_idle)
        return client, connection

    async def client_with_unsent_answers(self, count: int = 30) -> tuple[DispatcherClient, Connection]:
        """Return a client that reads nothing, and its connection with unsent answers.

        With 30 answers there are so many unsent bytes that the connection is not read.
        """
        client, connection = await self.connected_client(receive_buffer_size=4096)
        connection.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        for tag in range(1, count + 1):
            client.send(call(tag))
        await self.wait_until(lambda: len(self.received_requests) == count)
        for _ in range(count):
            self.answer(bytes(4096))
        self.assertTrue(connection.unsent_bytes)
        return client, connection

    def answer(self, body: bytes = b"result") -> None:
        request = self.received_requests.pop(0)
        request.connection.answer(request, codec.COMPLETED, body)
