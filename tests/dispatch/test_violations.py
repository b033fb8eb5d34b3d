"""Connections that send malformed bytes, incomplete arrays or nothing."""

import asyncio
import time

from oakkeel.dispatch.connection import Connection
from oakkeel.dispatch.connection_state import ConnectionState
from oakkeel.units import SECOND
from tests.dispatch.listener_case import (
    DispatcherClient,
    ListenerTestCase,
    call,
)


class ViolationTest(ListenerTestCase):
    async def test_malformed_bytes_followed_by_many_more_lose_no_answer(self):
        # A close with the following bytes unread would reset the connection.
        client, connection = await self.client_with_open_request()
        client.send(b"GET / HTTP/1.1\r\n" + b"x" * 60_000)
        await client.read_answer(0)
        client.send(b"y" * 60_000)
        self.answer(bytes(4000))
        # The dispatcher is told that nothing more is read, as the shutdown follows only after the answer.
        self.assertEqual(
            [array[:2] for array in await client.read_to_end()],
            [[b"0", b"fault"], [b"0", b"last"], [b"1", b"ok"]],
        )
        client.close()
        await self.wait_until(lambda: connection.state is ConnectionState.CLOSED)

    async def test_open_requests_have_no_timeout_on_the_connection(self):
        client, connection = await self.client_with_open_request()
        client.send(b"?")
        await client.read_answer(0)
        connection.check_timeouts(time.monotonic_ns() + 9 * SECOND)
        await asyncio.sleep(0.05)
        self.assertEqual(self.disconnected_requests, [])
        self.answer()
        self.assertEqual((await client.read_to_end())[-1][:2], [b"1", b"ok"])

    async def client_with_overdue_array(self) -> tuple[DispatcherClient, Connection]:
        """Return a client with an open request that has written a part of the next one too slowly."""
        client, connection = await self.client_with_open_request()
        client.send(call(2)[:25])
        await self.wait_until(lambda: connection.read_buffer.has_data and connection.stream.reading())
        connection.check_timeouts(time.monotonic_ns() + 3 * SECOND)
        return client, connection

    async def test_a_slow_write_beside_an_open_request_loses_no_request(self):
        # An end of the connection that the dispatcher does not see would drop all that it writes next.
        client, connection = await self.client_with_overdue_array()
        self.assertIs(connection.state, ConnectionState.OPEN)
        client.send(call(2)[25:] + call(3))
        await self.wait_until(lambda: len(self.received_requests) == 3)
        for _ in range(3):
            self.answer()
        for tag in (1, 2, 3):
            self.assertEqual((await client.read_answer(tag))[1], b"ok")

    async def test_an_overdue_incomplete_array_ends_its_connection_once_all_is_answered(self):
        client, connection = await self.client_with_overdue_array()
        self.answer()
        self.assertEqual((await client.read_answer(1))[1], b"ok")
        connection.check_timeouts(time.monotonic_ns() + 3 * SECOND)
        self.assertIs(connection.state, ConnectionState.LINGERING)  # the dispatcher sees the shutdown
        client.send(call(2)[25:])  # too late: these bytes are dropped and do not reset the connection
        self.assertEqual([array[:2] for array in await client.read_to_end()], [[b"1", b"ok"]])
        self.assertEqual(self.received_requests, [])

    async def test_a_slow_write_beside_unsent_answers_loses_no_request(self):
        client, connection = await self.client_with_unsent_answers(count=6)
        client.send(call(7)[:25])
        await self.wait_until(lambda: connection.read_buffer.has_data and connection.stream.reading())
        connection.check_timeouts(time.monotonic_ns() + 3 * SECOND)
        client.send(call(7)[25:])
        await self.wait_until(lambda: self.received_requests)
        self.answer()
        self.assertEqual((await client.read_answer(7))[1], b"ok")

    async def test_the_unread_rest_of_an_overdue_array_is_read_first(self):
        # The rest of the request is in the kernel, and must not be dropped.
        client, connection = await self.connected_client()
        client.send(call(1)[:25])
        await self.wait_until(lambda: connection.read_buffer.has_data and connection.stream.reading())
        client.send(call(1)[25:])
        connection.check_timeouts(
            connection.array_reader.wait_started_at + self.resource_limits.array_timeout + 1
        )
        self.assertIs(connection.state, ConnectionState.OPEN)
        await self.wait_until(lambda: self.received_requests)
        self.answer()
        self.assertEqual((await client.read_answer(1))[1], b"ok")

    async def test_a_connection_that_sends_an_array_too_slowly_is_ended_at_the_second_check(self):
        client, connection = await self.connected_client()
        client.send(call(1)[:25])
        await self.wait_until(lambda: connection.read_buffer.has_data and connection.stream.reading())
        for overdue, state in (
            (1, ConnectionState.OPEN),
            (self.resource_limits.sweep_interval, ConnectionState.LINGERING),
        ):
            client.send(b"?")
            self.check_overdue_by(connection, overdue)
            received = connection.read_buffer.end
            await self.wait_until(lambda received=received: connection.read_buffer.end != received)
            self.assertIs(connection.state, state)

    def check_overdue_by(self, connection: Connection, overdue: int) -> None:
        """Check the timeouts when the array of a connection has been overdue for a little longer."""
        due_at = connection.array_reader.wait_started_at + self.resource_limits.array_timeout
        connection.check_timeouts(due_at + overdue + 1)

    async def test_requests_that_came_during_a_stall_of_the_node_are_read_before_an_overdue_array_ends(self):
        # At the first check after a stall the array has been overdue for long, but its rest waits unread.
        client, connection = await self.connected_client()
        client.send(call(1)[:25])
        await self.wait_until(lambda: connection.read_buffer.has_data and connection.stream.reading())
        client.send(call(1)[25:] + call(2))
        self.check_overdue_by(connection, 2 * self.resource_limits.sweep_interval)
        await self.wait_until(lambda: len(self.received_requests) == 2)
        for tag in (1, 2):
            self.answer()
            self.assertEqual((await client.read_answer(tag))[1], b"ok")
        self.assertIs(connection.state, ConnectionState.OPEN)

    async def test_a_silent_connection_with_unread_bytes_is_not_ended(self):
        client, connection = await self.connected_client()
        client.send(call(1))
        connection.check_timeouts(time.monotonic_ns() + 3 * SECOND)
        await self.wait_until(lambda: self.received_requests)
        self.answer()
        self.assertEqual((await client.read_answer(1))[1], b"ok")

    async def test_a_connection_that_reads_nothing_is_closed(self):
        _, connection = await self.client_with_unsent_answers()
        connection.check_timeouts(time.monotonic_ns() + 11 * SECOND)
        await self.wait_until(lambda: connection.state is ConnectionState.CLOSED)
