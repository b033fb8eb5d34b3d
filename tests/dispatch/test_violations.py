"""Connections that send what can not be read, or leave things half."""

import asyncio
import time

from oakkeel.dispatch.connection_state import ConnectionState
from oakkeel.units import SECOND
from tests.dispatch.listener_case import (
    ListenerTestCase,
    call,
)


class ViolationTest(ListenerTestCase):
    async def test_unreadable_bytes_take_no_answer_along_however_many_follow(self):
        # The close behind them left what followed unread, and reset the connection.
        caller, connection = await self.working()
        caller.send(b"GET / HTTP/1.1\r\n" + b"x" * 60_000)
        await caller.until(0)
        caller.send(b"y" * 60_000)
        self.answer(bytes(4000))
        self.assertEqual([each[:2] for each in await caller.end()], [[b"0", b"fault"], [b"1", b"ok"]])
        caller.close()
        await self.until(lambda: connection.state is ConnectionState.CLOSED)

    async def test_what_is_open_may_take_as_long_as_it_needs(self):
        caller, connection = await self.working()
        caller.send(b"?")
        await caller.until(0)
        connection.check_timeouts(time.monotonic_ns() + 9 * SECOND)
        await asyncio.sleep(0.05)
        self.assertEqual(self.gone_here, [])
        self.answer()
        self.assertEqual((await caller.end())[-1][:2], [b"1", b"ok"])

    async def test_half_an_array_for_too_long_takes_no_answer_along(self):
        caller, connection = await self.working()
        caller.send(call(2)[:25])
        await self.until(lambda: connection.read_buffer.has_data and connection.stream.reading())
        connection.check_timeouts(time.monotonic_ns() + 3 * SECOND)
        self.assertIs(connection.state, ConnectionState.ENDING)
        caller.send(call(2)[25:])  # too late: it is not taken, and resets nothing
        self.answer()
        self.assertEqual([each[:2] for each in await caller.end()], [[b"1", b"ok"]])
        self.assertEqual(self.arrived_here, [])

    async def test_the_rest_of_an_array_that_is_there_when_its_time_is_over_is_read_first(self):
        # The whole exchange was in the kernel, and was dropped.
        caller, connection = await self.connected()
        caller.send(call(1)[:25])
        await self.until(lambda: connection.read_buffer.has_data and connection.stream.reading())
        caller.send(call(1)[25:])
        connection.check_timeouts(connection.arrays.due_since + self.resource_limits.array_timeout + 1)
        self.assertIs(connection.state, ConnectionState.OPEN)
        await self.until(lambda: self.arrived_here)
        self.answer()
        self.assertEqual((await caller.until(1))[1], b"ok")

    async def test_one_that_sends_a_byte_now_and_then_is_ended_at_the_second_look(self):
        caller, connection = await self.connected()
        caller.send(call(1)[:25])
        await self.until(lambda: connection.read_buffer.has_data and connection.stream.reading())
        for look, phase in (
            (1, ConnectionState.OPEN),
            (self.resource_limits.sweep_interval, ConnectionState.LINGERING),
        ):
            caller.send(b"?")
            connection.check_timeouts(
                connection.arrays.due_since + self.resource_limits.array_timeout + look + 1
            )
            self.assertIs(connection.state, phase)

    async def test_one_that_said_nothing_for_too_long_is_not_ended_over_what_it_just_sends(self):
        caller, connection = await self.connected()
        caller.send(call(1))
        connection.check_timeouts(time.monotonic_ns() + 3 * SECOND)
        await self.until(lambda: self.arrived_here)
        self.answer()
        self.assertEqual((await caller.until(1))[1], b"ok")

    async def test_one_that_takes_nothing_is_closed_in_the_end(self):
        _, connection = await self.stuck()
        connection.check_timeouts(time.monotonic_ns() + 11 * SECOND)
        await self.until(lambda: connection.state is ConnectionState.CLOSED)
