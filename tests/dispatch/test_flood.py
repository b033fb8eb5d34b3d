"""Many connections that send at the same time: each pass of the event loop handles a bounded part of them."""

import asyncio
import time
from dataclasses import replace

from tests.dispatch.listener_case import RESOURCE_LIMITS, ListenerTestCase, call

CLIENTS = 60
REQUESTS_EACH = 30


class FloodTest(ListenerTestCase):
    resource_limits = replace(RESOURCE_LIMITS, accept_time_per_pass=10**9)

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        pairs = [await self.connected_client() for _ in range(CLIENTS)]
        self.flood = [client for client, _ in pairs]

    async def test_a_pass_handles_a_bounded_number_of_requests(self):
        # Unbounded, a pass with hundreds of clients takes so long that due answers are late (review/8, 9).
        limits = self.resource_limits
        for client in self.flood:
            client.send(b"".join(call(tag) for tag in range(1, REQUESTS_EACH + 1)))
        handled_before, handled_counts = 0, []
        deadline = time.monotonic() + 20
        while len(self.received_requests) < CLIENTS * REQUESTS_EACH:
            await asyncio.sleep(0)
            handled_counts.append(len(self.received_requests) - handled_before)
            handled_before = len(self.received_requests)
            self.assertLess(time.monotonic(), deadline)
        # Turns that one pass grants, and those that connections take at once in the next pass.
        self.assertLessEqual(max(handled_counts), 2 * limits.turns_per_pass * limits.arrays_per_turn)

    async def test_a_quiet_client_is_served_before_clients_that_always_have_more(self):
        quiet, _ = await self.connected_client()
        for client in self.flood:
            client.send(b"".join(call(tag) for tag in range(1, REQUESTS_EACH + 1)))
        await asyncio.sleep(0)
        quiet.send(call(100))
        while not any(request.tag == 100 for request in self.received_requests):
            await asyncio.sleep(0)
        self.assertLess(len(self.received_requests), CLIENTS * REQUESTS_EACH / 2)

    async def test_requests_of_one_read_are_all_handled_though_nothing_more_arrives(self):
        client = self.flood[0]
        client.send(b"".join(call(tag) for tag in range(1, REQUESTS_EACH + 1)))
        await self.wait_until(lambda: len(self.received_requests) == REQUESTS_EACH)
        self.assertEqual([request.tag for request in self.received_requests], [*range(1, REQUESTS_EACH + 1)])

    async def test_requests_before_the_end_of_the_input_are_all_handled(self):
        client = self.flood[0]
        client.send(b"".join(call(tag) for tag in range(1, REQUESTS_EACH + 1)))
        client.socket.shutdown(1)
        await self.wait_until(lambda: len(self.received_requests) == REQUESTS_EACH)

    async def test_the_listener_closes_in_a_flood_of_connections_once_the_drain_is_over(self):
        closing = asyncio.ensure_future(self.listener.close())
        while not closing.done():
            self.connect_client().close(reset=True)
            self.clients.pop()
            await asyncio.sleep(0)
            if len(self.listener.connections) and self.listener.accepted_count > CLIENTS + 20:
                self.listener.stop_accepting()
        self.assertFalse(self.listener.is_accepting)
        self.assertLess(self.listener.accepted_count, CLIENTS + 100)
