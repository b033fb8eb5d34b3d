"""The end of a connection: what crosses it is served, rejected or provably not run."""

import asyncio
import gc
import socket
import weakref

from oakkeel.dispatch.connection_state import ConnectionState
from oakkeel.units import SECOND
from tests.dispatch.listener_case import (
    LAST,
    ListenerTestCase,
    call,
)


class ConnectionClosingTest(ListenerTestCase):
    async def test_a_request_that_came_before_we_told_that_it_is_the_last_is_served(self):
        caller, connection = await self.rested()
        caller.send(call(2))
        connection.drain()
        await self.until(lambda: self.arrived_here)
        self.answer()
        self.assertEqual((await caller.until(2))[1], b"ok")

    async def test_a_request_that_came_when_the_rest_was_over_is_served_and_the_close_waits(self):
        caller, connection = await self.rested()
        connection.drain()
        caller.send(call(2))  # in the kernel, unseen: this close reset the connection
        connection._drain_expired(SECOND)
        self.assertIs(connection.state, ConnectionState.LEAVING)
        await self.until(lambda: self.arrived_here)
        connection._drain_expired(SECOND)  # now it is open
        self.answer()
        connection._drain_expired(SECOND)  # and now its answer is on its way
        self.assertEqual((await caller.until(2))[1], b"ok")
        await self.until(connection.is_idle)
        connection._drain_expired(SECOND)
        self.assertEqual((await caller.end())[-1], [b"2", b"ok", b"", b"result"])

    async def test_half_a_request_keeps_the_connection_until_its_other_half(self):
        caller, connection = await self.rested()
        connection.drain()
        caller.send(call(2)[:30])
        await self.until(lambda: connection.read_buffer.has_data)
        connection._drain_expired(SECOND)
        self.assertIs(connection.state, ConnectionState.LEAVING)
        caller.send(call(2)[30:])
        await self.until(lambda: self.arrived_here)
        self.answer()
        self.assertEqual((await caller.until(2))[1], b"ok")

    async def test_a_request_that_crosses_our_end_is_never_run_and_resets_nothing(self):
        caller, connection = await self.working()
        connection.finish()
        self.answer(bytes(3000))
        await self.until(lambda: connection.state is ConnectionState.LINGERING)
        caller.send(call(2))  # written before its dispatcher read our end
        caller.send(call(3)[:20])
        await asyncio.sleep(0)
        connection.close()  # the time to linger is over, with bytes unread
        self.assertEqual([each[:2] for each in await caller.end()], [[b"1", b"ok"]])
        self.assertEqual(self.arrived_here, [])

    async def test_while_we_linger_what_comes_is_dropped_until_the_dispatcher_closes(self):
        caller, connection = await self.rested()
        connection.finish()
        for tag in range(2, 40):
            caller.send(call(tag, 2000))
        self.assertEqual(len(await caller.end()), 1)
        caller.close()
        await self.until(lambda: connection.state is ConnectionState.CLOSED)
        self.assertEqual(self.arrived_here, [])

    async def test_one_that_rests_until_we_end_it_sees_a_clean_end(self):
        caller, connection = await self.rested()
        connection.drain()
        self.assertEqual(await caller.until(1) and (await caller.read()), True)
        connection._drain_expired(SECOND)
        self.assertEqual((await caller.end())[1:], [LAST])

    async def test_answers_that_are_still_to_be_sent_keep_the_connection(self):
        caller, connection = await self.stuck()
        connection.drain()
        connection._drain_expired(SECOND)
        connection.finish()
        self.assertIs(connection.state, ConnectionState.ENDING)
        found = await caller.end()
        self.assertEqual(sorted(int(each[0]) for each in found if each != LAST), list(range(1, 31)))
        self.assertTrue(all(len(each[3]) == 4096 for each in found if each != LAST))

    async def test_what_is_paused_in_reading_is_not_at_rest(self):
        caller, connection = await self.rested()
        caller.send(call(2))
        await self.until(lambda: self.arrived_here)
        self.answer()
        await caller.until(2)
        caller.send(call(3))  # within the pause between two reads
        connection.drain()
        connection._drain_expired(SECOND)
        self.assertIs(connection.state, ConnectionState.LEAVING)
        await self.until(lambda: self.arrived_here)

    async def test_one_that_ends_its_half_and_reads_on_gets_its_answers(self):
        # An end of what came closed both ways, and the answer was lost.
        caller, connection = await self.connected()
        caller.send(call(1) + call(2))
        caller.socket.shutdown(socket.SHUT_WR)
        await self.until(lambda: len(self.arrived_here) == 2)
        await self.until(lambda: connection.stream.at_eof)
        self.assertEqual(self.gone_here, [])
        self.answer()
        self.answer()
        self.assertEqual(
            [each for each in await caller.end() if each != LAST],
            [[b"1", b"ok", b"", b"result"], [b"2", b"ok", b"", b"result"]],
        )

    async def test_the_end_that_comes_with_the_last_bytes_costs_none_of_them(self):
        for size in (0, 1, 100, 2000):
            caller, _ = await self.connected()
            data = call(7, size)
            caller.send(data[:-1])
            await asyncio.sleep(0.01)
            caller.send(data[-1:])
            caller.socket.shutdown(socket.SHUT_WR)
            await self.until(lambda: self.arrived_here)
            self.assertEqual(len(self.arrived_here[0].body), size)
            self.answer()
            self.assertEqual((await caller.until(7))[1], b"ok")

    async def test_the_exchanges_of_one_that_closes_both_ways_are_dropped(self):
        caller, _ = await self.working()
        caller.close()
        await self.until(lambda: self.gone_here)
        self.assertEqual(self.gone_here, self.arrived_here)

    async def test_the_exchanges_of_one_that_resets_are_dropped(self):
        caller, _ = await self.working()
        caller.close(reset=True)
        await self.until(lambda: self.gone_here)

    async def test_one_that_resets_while_we_linger_leaves_nothing_for_the_collector(self):
        # Its error held the frames and these the stream with 8 KB: the soak went from 20 to 34 MB.
        gc.disable()
        self.addCleanup(gc.enable)
        caller, connection = await self.rested()
        stream = weakref.ref(connection.stream)
        connection.finish()
        caller.close(reset=True)
        await self.until(lambda: stream() is None or connection.state is ConnectionState.CLOSED)
        self.assertIsInstance(stream().error, ConnectionResetError)
        connection = None
        await self.until(lambda: stream() is None)

    async def test_an_answer_just_after_an_ending_connection_broke_fails_nothing(self):
        # Its reader had not run yet: the answer shut down a socket that was no longer there, and raised.
        _, connection = await self.working()
        connection.finish()
        connection.stream.close()
        self.answer()
        self.assertEqual(connection.open_requests, {})
        await self.until(lambda: connection.state is ConnectionState.CLOSED)

    async def test_a_look_at_what_is_overdue_outlives_one_that_just_broke(self):
        # It ended the looks for good: from then on nobody who left half an array was ever ended.
        caller, connection = await self.connected()
        caller.send(call(1)[:20])
        await self.until(lambda: connection.read_buffer.has_data)
        connection.arrays.due_since -= 700 * SECOND
        connection.stream.close()
        before = self.listener.sweeper
        self.listener._sweep()
        self.assertIsNot(self.listener.sweeper, before)
        before.cancel()
        await self.until(lambda: connection.state is ConnectionState.CLOSED)


class IdleTrimmingTest(ListenerTestCase):
    async def test_a_request_in_the_kernel_of_an_idle_connection_that_is_trimmed_is_served(self):
        caller, connection = await self.rested()
        caller.send(call(2))
        self.listener.close_idle(1)
        self.assertIs(connection.state, ConnectionState.LEAVING)
        connection._drain_expired(SECOND)
        await self.until(lambda: self.arrived_here)
        self.answer()
        self.assertEqual((await caller.until(2))[1], b"ok")
