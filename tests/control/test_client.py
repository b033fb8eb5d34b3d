"""The agent's end of a control link."""

import asyncio
import unittest
from unittest import mock

from oakkeel.control.client import ControlClient
from oakkeel.control.messages import NodeStatus


class ControlClientTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_request_that_is_cancelled_as_its_response_arrives_is_cancelled(self):
        """Guards against a lost cancellation, after which a stopped poller would send its next request."""
        client = ControlClient("/nowhere")
        arrived = asyncio.Event()

        async def send(request):
            await arrived.wait()
            return NodeStatus(request.tag, "n1", 1, 1, "serving", "", 0)

        with mock.patch.object(client, "_send", send):
            poller = asyncio.ensure_future(client.status(20))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            arrived.set()
            poller.cancel()
            with self.assertRaises(asyncio.CancelledError):
                await poller


if __name__ == "__main__":
    unittest.main()
