"""Accepting and eviction of connections."""

import asyncio
import socket
import time
import unittest

from oakkeel.dispatch.listener import Listener
from oakkeel.stream_buffers import BufferPool
from oakkeel.units import SECOND
from tests.support.node_request import EVENT_LOG, RESOURCE_LIMITS


class EvictionTest(unittest.TestCase):
    def test_closes_recent_connections_last(self):
        # In a flood of silent connections, the bytes that a dispatcher has just sent are not read yet.
        class FakeConnection:
            closed = False

            def is_idle(self):
                return not self.closed

            def evict(self):
                self.closed = True
                return False  # the connection holds no descriptor any more

        listener = Listener(("127.0.0.1", 0), BufferPool(8192, 9), RESOURCE_LIMITS, None, EVENT_LOG)
        self.addCleanup(listener.socket.close)
        old, new, idle, shut_down = (FakeConnection() for _ in range(4))
        listener.lingering = {shut_down: None}
        listener.without_requests = {old: time.monotonic_ns() - SECOND, new: time.monotonic_ns() + SECOND}
        listener.idle = {idle: 0}
        for closed in (shut_down, old, idle, new):
            self.assertTrue(listener._evict_one("connection_limit"))
            self.assertTrue(closed.closed)
        self.assertFalse(listener._evict_one("connection_limit"))


class ListenerTest(unittest.IsolatedAsyncioTestCase):
    async def test_accepts_the_waiting_connections_when_it_closes(self):
        # A request on a connection that the kernel has accepted must get its answer.
        listener = Listener(
            ("127.0.0.1", 0), BufferPool(8192, RESOURCE_LIMITS.max_buffers), RESOURCE_LIMITS, None, EVENT_LOG
        )
        listener.socket.listen(40)
        client_sockets = [socket.create_connection(listener.socket.getsockname()) for _ in range(40)]
        listener.open()
        await listener.close()
        self.assertEqual(len(listener.connections), len(client_sockets))
        for opened in (*listener.connections, *client_sockets):
            opened.close()
        await listener.wait_closed()

    async def test_accepts_a_flood_of_connections_a_few_at_a_time(self):
        # Accepted in one pass, the connections would stop all reads and answers for 180 ms.
        listener = Listener(
            ("127.0.0.1", 0), BufferPool(8192, RESOURCE_LIMITS.max_buffers), RESOURCE_LIMITS, None, EVENT_LOG
        )
        listener.socket.listen(40)
        client_sockets = [socket.create_connection(listener.socket.getsockname()) for _ in range(40)]
        listener.open()
        counts = []
        while len(listener.connections) < len(client_sockets):
            await asyncio.sleep(0)
            counts.append(len(listener.connections))
        steps = [after - before for before, after in zip([0, *counts], counts, strict=False)]
        self.assertLessEqual(max(steps), RESOURCE_LIMITS.accepts_per_pass)
        await listener.close()
        for opened in (*listener.connections, *client_sockets):
            opened.close()
        await listener.wait_closed()
