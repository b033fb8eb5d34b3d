"""The end of a connection: a request in flight at that time is served, rejected or provably not run."""

import asyncio
import gc
import socket
import weakref
from unittest import mock

from oakkeel.dispatch.connection_state import ConnectionState
from oakkeel.stream_buffers import ReadBuffer
from oakkeel.units import SECOND
from tests.dispatch.listener_case import (
    DRAIN_NOTICE,
    ListenerTestCase,
    call,
)


class ConnectionClosingTest(ListenerTestCase):
    async def test_a_request_before_the_drain_notice_is_served(self):
        client, connection = await self.idle_client()
        client.send(call(2))
        connection.drain()
        await self.wait_until(lambda: self.received_requests)
        self.answer()
        self.assertEqual((await client.read_answer(2))[1], b"ok")

    async def test_a_request_at_the_drain_timeout_is_served_and_delays_the_close(self):
        client, connection = await self.idle_client()
        connection.drain()
        client.send(call(2))  # unread in the kernel: a close now would reset the connection
        connection._on_drain_timeout(SECOND)
        self.assertIs(connection.state, ConnectionState.DRAINING)
        await self.wait_until(lambda: self.received_requests)
        connection._on_drain_timeout(SECOND)  # the request is open
        self.answer()
        connection._on_drain_timeout(SECOND)  # its answer is in flight
        self.assertEqual((await client.read_answer(2))[1], b"ok")
        await self.wait_until(connection.is_idle)
        connection._on_drain_timeout(SECOND)
        self.assertEqual((await client.read_to_end())[-1], [b"2", b"ok", b"", b"result"])

    async def test_a_connection_that_is_closed_as_the_end_of_its_input_is_read_ends_without_an_error(self):
        # In a flood, later connections close one whose read has ended and whose task has not resumed yet.
        client, connection = await self.idle_client()
        connection.finish()
        await self.wait_until(lambda: connection.state is ConnectionState.LINGERING)

        async def close_and_end(stream):
            connection.close()
            stream.at_eof = True
            return False

        with (
            mock.patch.object(self.listener.log, "error") as log_error,
            mock.patch.object(ReadBuffer, "fill", lambda _, stream: close_and_end(stream)),
        ):
            client.send(b"x")  # wakes the task from its present read
            await self.wait_until(lambda: connection not in self.listener.connections)
        log_error.assert_not_called()

    async def test_an_incomplete_request_keeps_the_connection_open(self):
        client, connection = await self.idle_client()
        connection.drain()
        client.send(call(2)[:30])
        await self.wait_until(lambda: connection.read_buffer.has_data)
        connection._on_drain_timeout(SECOND)
        self.assertIs(connection.state, ConnectionState.DRAINING)
        client.send(call(2)[30:])
        await self.wait_until(lambda: self.received_requests)
        self.answer()
        self.assertEqual((await client.read_answer(2))[1], b"ok")

    async def test_a_request_in_flight_during_the_shutdown_never_runs_and_causes_no_reset(self):
        client, connection = await self.client_with_open_request()
        connection.finish()
        self.answer(bytes(3000))
        await self.wait_until(lambda: connection.state is ConnectionState.LINGERING)
        client.send(call(2))  # written before the dispatcher has read the shutdown
        client.send(call(3)[:20])
        await asyncio.sleep(0)
        connection.close()  # the linger timeout, with bytes unread
        self.assertEqual([array[:2] for array in await client.read_to_end()], [[b"1", b"ok"]])
        self.assertEqual(self.received_requests, [])

    async def test_a_lingering_connection_drops_input_until_the_dispatcher_closes(self):
        client, connection = await self.idle_client()
        connection.finish()
        for tag in range(2, 40):
            client.send(call(tag, 2000))
        self.assertEqual(len(await client.read_to_end()), 1)
        client.close()
        await self.wait_until(lambda: connection.state is ConnectionState.CLOSED)
        self.assertEqual(self.received_requests, [])

    async def test_an_idle_connection_is_closed_without_a_reset(self):
        client, connection = await self.idle_client()
        connection.drain()
        self.assertEqual(await client.read_answer(1) and (await client.read()), True)
        connection._on_drain_timeout(SECOND)
        self.assertEqual((await client.read_to_end())[1:], [DRAIN_NOTICE])

    async def test_unsent_answers_keep_the_connection_open(self):
        client, connection = await self.client_with_unsent_answers()
        connection.drain()
        connection._on_drain_timeout(SECOND)
        connection.finish()
        self.assertIs(connection.state, ConnectionState.ENDING)
        answers = await client.read_to_end()
        self.assertEqual(
            sorted(int(array[0]) for array in answers if array != DRAIN_NOTICE), list(range(1, 31))
        )
        self.assertTrue(all(len(array[3]) == 4096 for array in answers if array != DRAIN_NOTICE))

    async def test_a_connection_whose_reading_pauses_is_not_idle(self):
        client, connection = await self.idle_client()
        client.send(call(2))
        await self.wait_until(lambda: self.received_requests)
        self.answer()
        await client.read_answer(2)
        client.send(call(3))  # within the pause between two reads
        connection.drain()
        connection._on_drain_timeout(SECOND)
        self.assertIs(connection.state, ConnectionState.DRAINING)
        await self.wait_until(lambda: self.received_requests)

    async def test_a_half_closed_connection_gets_its_answers(self):
        # The end of the input must not close both directions: the answer would be lost.
        client, connection = await self.connected_client()
        client.send(call(1) + call(2))
        client.socket.shutdown(socket.SHUT_WR)
        await self.wait_until(lambda: len(self.received_requests) == 2)
        await self.wait_until(lambda: connection.stream.at_eof)
        self.assertEqual(self.disconnected_requests, [])
        self.answer()
        self.answer()
        self.assertEqual(
            [array for array in await client.read_to_end() if array != DRAIN_NOTICE],
            [[b"1", b"ok", b"", b"result"], [b"2", b"ok", b"", b"result"]],
        )

    async def test_bytes_that_arrive_with_the_end_of_the_input_are_read(self):
        for size in (0, 1, 100, 2000):
            client, _ = await self.connected_client()
            data = call(7, size)
            client.send(data[:-1])
            await asyncio.sleep(0.01)
            client.send(data[-1:])
            client.socket.shutdown(socket.SHUT_WR)
            await self.wait_until(lambda: self.received_requests)
            self.assertEqual(len(self.received_requests[0].body), size)
            self.answer()
            self.assertEqual((await client.read_answer(7))[1], b"ok")

    async def test_drops_the_requests_of_a_dispatcher_that_closes_both_directions(self):
        client, _ = await self.client_with_open_request()
        client.close()
        await self.wait_until(lambda: self.disconnected_requests)
        self.assertEqual(self.disconnected_requests, self.received_requests)

    async def test_drops_the_requests_of_a_dispatcher_that_resets(self):
        client, _ = await self.client_with_open_request()
        client.close(reset=True)
        await self.wait_until(lambda: self.disconnected_requests)

    async def test_a_reset_while_lingering_leaves_no_reference_cycle(self):
        # The traceback of the stream's error refers to frames, and the frames to the stream and its buffer.
        gc.disable()
        self.addCleanup(gc.enable)
        client, connection = await self.idle_client()
        stream = weakref.ref(connection.stream)
        connection.finish()
        client.close(reset=True)
        await self.wait_until(lambda: stream() is None or connection.state is ConnectionState.CLOSED)
        self.assertIsInstance(stream().error, ConnectionResetError)
        connection = None
        await self.wait_until(lambda: stream() is None)

    async def test_an_answer_after_a_lost_connection_raises_nothing(self):
        # The reader has not run yet: the answer must not shut down a socket that is closed.
        _, connection = await self.client_with_open_request()
        connection.finish()
        connection.stream.close()
        self.answer()
        self.assertEqual(connection.open_requests, {})
        await self.wait_until(lambda: connection.state is ConnectionState.CLOSED)

    async def test_a_timeout_check_of_a_lost_connection_raises_nothing(self):
        # An error would end the timeout checks, and incomplete arrays would have no timeout any more.
        client, connection = await self.connected_client()
        client.send(call(1)[:20])
        await self.wait_until(lambda: connection.read_buffer.has_data)
        connection.array_reader.wait_started_at -= 700 * SECOND
        connection.stream.close()
        before = self.listener.sweep_timer
        self.listener._sweep()
        self.assertIsNot(self.listener.sweep_timer, before)
        before.cancel()
        await self.wait_until(lambda: connection.state is ConnectionState.CLOSED)


class IdleTimeoutTest(ListenerTestCase):
    async def test_an_unread_request_of_an_idle_connection_that_is_drained_is_served(self):
        client, connection = await self.idle_client()
        client.send(call(2))
        self.listener.set_idle_timeout(1)
        self.assertIs(connection.state, ConnectionState.DRAINING)
        connection._on_drain_timeout(SECOND)
        await self.wait_until(lambda: self.received_requests)
        self.answer()
        self.assertEqual((await client.read_answer(2))[1], b"ok")
