"""The node's end of a control link."""

import asyncio
import types
import unittest
from unittest import mock

from oakkeel.control.listener import ControlLink
from oakkeel.control.messages import MAX_LINE_BYTES, NodeStatus, StatusRequest, encode
from oakkeel.stream_buffers import BufferPool
from tests.support.cancellation import cancel_after_result, run_event_loop
from tests.support.node_request import RESOURCE_LIMITS

REQUEST = encode(StatusRequest(1))


class FakeStream:
    """A stream whose reads and writes finish when the test completes them."""

    def __init__(self) -> None:
        self.reads: list[tuple[memoryview, asyncio.Future]] = []
        self.writes: list[asyncio.Future] = []

    def read_into(self, buffer: memoryview, partial: bool) -> asyncio.Future:
        self.reads.append((buffer, asyncio.get_running_loop().create_future()))
        return self.reads[-1][1]

    def write(self, data: bytes) -> asyncio.Future:
        self.writes.append(asyncio.get_running_loop().create_future())
        return self.writes[-1]

    def receive(self, data: bytes) -> None:
        buffer, future = self.reads[-1]
        buffer[: len(data)] = data
        future.set_result(len(data))

    def close(self) -> None:
        pass


class ControlLinkTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.stream = FakeStream()
        node = mock.Mock()
        node.status.return_value = NodeStatus(1, "n1", 1, 1, "serving", "", 0)
        listener = types.SimpleNamespace(
            pool=BufferPool(MAX_LINE_BYTES, 1),
            resource_limits=RESOURCE_LIMITS,
            node=node,
            mark_active=mock.Mock(),
            remove=mock.Mock(),
        )
        self.link = ControlLink(self.stream, listener)
        self.task = asyncio.ensure_future(self.link.serve())
        await run_event_loop()

    async def test_a_link_that_is_cancelled_as_more_of_a_message_arrives_is_cancelled(self):
        self.stream.receive(REQUEST[:4])
        async with asyncio.timeout(20):
            while len(self.stream.reads) < 2:  # the link pauses between two reads
                await asyncio.sleep(0.001)
        await run_event_loop()
        self.assertTrue(await cancel_after_result(self.task, lambda: self.stream.receive(REQUEST[4:8])))

    async def test_a_link_that_is_cancelled_as_a_response_is_written_is_cancelled(self):
        self.stream.receive(REQUEST)
        await run_event_loop()
        (write,) = self.stream.writes
        self.assertTrue(await cancel_after_result(self.task, lambda: write.set_result(None)))

    async def test_the_cancellation_of_a_link_does_not_cancel_its_write(self):
        self.stream.receive(REQUEST)
        await run_event_loop()
        self.task.cancel()
        await asyncio.wait([self.task])
        self.assertTrue(self.task.cancelled())
        self.assertFalse(self.stream.writes[0].done())


if __name__ == "__main__":
    unittest.main()
