"""Reads of a stream into a buffer."""

import asyncio
import socket
import unittest

from oakkeel.stream_buffers import BufferPool, HalfClosingStream, ReadBuffer

TIMEOUT_S = 5


class ReadBufferTest(unittest.IsolatedAsyncioTestCase):
    async def test_tells_whether_it_had_to_wait_for_bytes(self):
        # The CPU time of a read counts for the pause of its connection, that of a wait does not.
        near, far = socket.socketpair()
        self.addCleanup(far.close)
        near.setblocking(False)
        stream = HalfClosingStream(near)
        self.addCleanup(stream.close)
        read_buffer = ReadBuffer(BufferPool(64, 1))
        far.sendall(b"unread")
        self.assertFalse(await asyncio.wait_for(read_buffer.fill(stream), TIMEOUT_S))
        filling = asyncio.ensure_future(read_buffer.fill(stream))
        await asyncio.sleep(0)
        far.sendall(b", later")
        self.assertTrue(await asyncio.wait_for(filling, TIMEOUT_S))
        self.assertEqual(read_buffer.buffer[: read_buffer.end], b"unread, later")


if __name__ == "__main__":
    unittest.main()
