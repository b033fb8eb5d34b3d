"""Requests to agents over sockets, and their cancellation."""

import asyncio
import types
import unittest
from unittest import mock

from oakkeel.agent import messages
from oakkeel.fleet.agent_clients import AgentClients, FanOutRequest, NoLeaderError
from oakkeel.fleet.fan_out import FanOut, FanOutPolicy
from oakkeel.units import MS, SECOND
from tests.support.cancellation import await_then_block, cancel_after_result, run_event_loop


def clients_of(deadline: int) -> AgentClients:
    """Return the clients of a fleet with one host, which is a replica; `deadline` is that of one request."""
    fleet = types.SimpleNamespace(
        control_plane=types.SimpleNamespace(initial_voters=("h0",)),
        hosts=[types.SimpleNamespace(name="h0")],
        client=types.SimpleNamespace(deadline=deadline),
    )
    return AgentClients(fleet, None)


async def never_respond(name: str, request: messages.Request) -> messages.Response:
    return await asyncio.get_running_loop().create_future()


class FanOutRequestTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_fan_out_that_is_cancelled_as_a_response_arrives_is_cancelled(self):
        """Guards against a lost cancellation, after which a stopped poller would wait for silent hosts."""
        clients = clients_of(60 * SECOND)
        requests = {name: messages.HostStatusRequest() for name in ("h0", "h1")}
        fan_out = FanOut(0, requests, FanOutPolicy(1 << 62, 1 << 62, 1), 7)
        fan_out_request = FanOutRequest(clients, requests, fan_out)
        with mock.patch.object(clients, "request", never_respond):
            task = asyncio.ensure_future(fan_out_request.run())
            await run_event_loop()
            sends = set(fan_out_request.tasks)
            self.assertEqual(len(sends), 2)
            self.assertTrue(await cancel_after_result(task, fan_out_request.progress.set))
        self.assertTrue(all(send.cancelled() for send in sends))


class LeaderRequestTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_request_to_the_leader_that_is_cancelled_as_its_response_arrives_is_cancelled(self):
        clients = clients_of(60 * SECOND)
        arrived = asyncio.Event()

        async def request(name: str, request: messages.Request) -> messages.Response:
            await arrived.wait()
            return messages.NotLeaderResponse("", "an election is in progress")

        with mock.patch.object(clients, "request", request):
            search = clients.request_leader(messages.HostStatusRequest())
            task = asyncio.ensure_future(await_then_block(search))
            await run_event_loop()
            self.assertTrue(await cancel_after_result(task, arrived.set))

    async def test_a_request_to_the_leader_is_cancelled_at_its_deadline(self):
        clients = clients_of(20 * MS)
        cancelled: list[bool] = []

        async def request(name: str, request: messages.Request) -> messages.Response:
            response = asyncio.get_running_loop().create_future()
            try:
                return await response
            finally:
                cancelled.append(response.cancelled())

        with mock.patch.object(clients, "request", request), self.assertRaises(NoLeaderError) as caught:
            await clients.request_leader(messages.HostStatusRequest())
        self.assertEqual(caught.exception.reasons, {"h0": "did not answer"})
        self.assertTrue(cancelled and all(cancelled))


if __name__ == "__main__":
    unittest.main()
