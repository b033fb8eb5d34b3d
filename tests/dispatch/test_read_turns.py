"""Turns of connections at the event loop."""

import asyncio
import time
import unittest

from oakkeel.dispatch.read_turns import ConnectionTurns, ReadTurns
from oakkeel.units import MS, SECOND
from tests.support.cancellation import run_event_loop
from tests.support.node_request import RESOURCE_LIMITS

TURNS_PER_PASS = 3


class ReadTurnsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.turns = ReadTurns(TURNS_PER_PASS)
        self.now = time.monotonic_ns()

    async def test_a_pass_grants_a_bounded_number_of_turns(self):
        requests = [self.turns.request(self.now, 0) for _ in range(10)]
        self.assertEqual(requests.count(None), TURNS_PER_PASS)
        waiting = [request for request in requests if request]
        granted_counts = []
        while not all(request.done() for request in waiting):
            await asyncio.sleep(0)
            granted_counts.append(sum(request.done() for request in waiting) - sum(granted_counts))
        self.assertLessEqual(max(granted_counts), TURNS_PER_PASS)

    async def test_the_connection_that_has_used_least_goes_first(self):
        # Otherwise a dispatcher with one request waits behind hundreds of clients that send without end.
        for _ in range(TURNS_PER_PASS):
            self.assertIsNone(self.turns.request(self.now, 0))
        busy = [self.turns.request(self.now - SECOND, MS) for _ in range(TURNS_PER_PASS)]
        quiet = self.turns.request(self.now, 0)
        await asyncio.sleep(0)
        self.assertTrue(quiet.done())
        self.assertFalse(all(request.done() for request in busy))

    async def test_a_quiet_connection_has_its_turn_at_once_among_busy_ones_and_new_ones(self):
        limits = RESOURCE_LIMITS
        quiet, *busy = (ConnectionTurns(self.turns, limits) for _ in range(50))
        order = []

        async def take_turns(name, turns, count, cpu_time):
            for _ in range(count):
                await turns.wait()
                order.append(name)
                turns.finish(cpu_time, True, False)

        tasks = [
            asyncio.ensure_future(take_turns("busy", turns, 20, MS + number * MS // 50))
            for number, turns in enumerate(busy)
        ]
        await run_event_loop(60)
        # A client that connects again and again would otherwise be as quiet as any.
        tasks += [
            asyncio.ensure_future(take_turns("new", ConnectionTurns(self.turns, limits), 1, MS))
            for _ in range(50)
        ]
        await run_event_loop(2)
        asked_at = len(order)
        tasks.append(asyncio.ensure_future(take_turns("quiet", quiet, 1, MS // 10)))
        await asyncio.gather(*tasks)
        self.assertLessEqual(order.index("quiet") - asked_at, 2 * TURNS_PER_PASS)

    async def test_a_connection_that_was_quiet_for_long_has_saved_no_turns(self):
        quiet, busy = (ConnectionTurns(self.turns, RESOURCE_LIMITS) for _ in range(2))
        for _ in range(100):
            await busy.wait()
            busy.finish(MS, True, False)
        await quiet.wait()
        quiet.finish(MS, True, False)
        self.assertGreaterEqual(quiet._finish_tag, self.turns.virtual_time)

    async def test_a_turn_is_granted_after_its_pause_and_not_before(self):
        request = self.turns.request(self.now + 30 * MS, 0)
        await run_event_loop()
        self.assertFalse(request.done())
        await asyncio.wait_for(request, 5)
        self.assertGreaterEqual(time.monotonic_ns(), self.now + 30 * MS)

    async def test_a_turn_that_is_no_longer_needed_takes_no_place(self):
        # The connections that a flood ends would keep their buffers until all others had their turns.
        for _ in range(TURNS_PER_PASS):
            self.turns.request(self.now, 0)
        ended = [self.turns.request(self.now, 0) for _ in range(TURNS_PER_PASS)]
        waiting = self.turns.request(self.now, 0)
        for request in ended:
            request.set_result(None)
        await asyncio.sleep(0)
        self.assertTrue(waiting.done())


if __name__ == "__main__":
    unittest.main()
