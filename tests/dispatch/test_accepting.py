"""Accepting, room for connections, and the end of listening."""

import asyncio
import errno
import socket
import types
from dataclasses import replace

from oakkeel.dispatch.connection_state import ConnectionState
from oakkeel.dispatch.listener import MAX_WAITING_CONNECTIONS, Listener
from oakkeel.log import EventLog
from oakkeel.node.drain import Drain, DrainState
from oakkeel.stream_buffers import BufferPool
from oakkeel.units import MS, SECOND
from tests.dispatch.listener_case import (
    LAST,
    RESOURCE_LIMITS,
    DispatcherClient,
    ListenerTestCase,
    call,
)
from tests.support.node_process import WAIT


class ConnectionLimitTest(ListenerTestCase):
    resource_limits = replace(
        RESOURCE_LIMITS,
        sockets=RESOURCE_LIMITS.reserved_sockets
        + RESOURCE_LIMITS.max_call_links
        + RESOURCE_LIMITS.evicted_connections
        + 2,
        new_connection_grace=600 * SECOND,
    )

    async def test_room_is_not_made_of_one_that_just_sends(self):
        caller, first = await self.rested()
        other, second = await self.rested()
        caller.send(call(2))  # it was idle for longest, and was closed over this
        third = self.caller()
        await self.until(lambda: second.state is ConnectionState.LINGERING)
        self.assertIs(first.state, ConnectionState.OPEN)
        await self.until(lambda: self.arrived_here)
        self.answer()
        self.assertEqual((await caller.until(2))[1], b"ok")
        third.send(call(3))
        await self.until(lambda: self.arrived_here)
        self.answer()
        self.assertEqual((await third.until(3))[1], b"ok")
        self.assertEqual(len(await other.end()), 1)

    async def test_room_is_not_made_of_one_whose_other_half_is_there(self):
        # It was closed over a whole exchange.
        await self.working()
        caller, half = await self.connected()
        caller.send(call(2)[:25])
        await self.until(lambda: half.read_buffer.has_data and half.stream.reading())
        self.listener.without_requests[half] -= 700 * SECOND
        caller.send(call(2)[25:])
        self.assertFalse(self.listener._evict_one())
        self.arrived_here.clear()
        await self.until(lambda: self.arrived_here)
        self.answer()
        self.assertEqual((await caller.until(2))[1], b"ok")

    async def test_one_that_has_no_room_has_what_came_with_it_denied(self):
        # It was closed over its request, which resets it and answers nothing.
        await self.working()
        await self.working()
        late = self.caller()
        late.send(call(3) + call(4))
        self.assertEqual((await late.until(4))[1:3], [b"full", b"holdoff=250"])
        self.assertEqual((await late.until(3))[1], b"full")
        self.assertEqual(len(self.arrived_here), 2)

    async def test_one_that_has_no_room_and_sends_a_moment_later_is_denied_too(self):
        await self.working()
        await self.working()
        late = self.caller()
        await self.until(lambda: self.listener.evicted)
        connection = next(iter(self.listener.evicted))
        late.send(call(3))
        connection._drain_expired(SECOND)
        self.assertIs(connection.state, ConnectionState.LEAVING)
        self.assertEqual((await late.until(3))[1], b"full")
        await self.until(connection.is_idle)
        connection._drain_expired(SECOND)
        self.assertEqual((await late.end())[-1][:2], [b"3", b"full"])

    async def test_one_that_is_closed_over_what_it_sends_gets_its_denial_and_a_clean_end(self):
        # As it is for the next one that has no room, and for what is left just before the stop.
        await self.working()
        await self.working()
        late = self.caller()
        late.send(call(3))
        await self.until(lambda: self.listener.evicted)
        connection = next(iter(self.listener.evicted))
        await self.until(lambda: not connection.unsent)
        late.send(call(4))
        connection.close()
        self.assertEqual([each[:2] for each in await late.end()], [[b"3", b"full"], LAST])

    async def test_a_flood_beyond_the_limit_is_bounded_and_each_request_in_it_denied(self):
        caller, _ = await self.working()
        other, _ = await self.working()
        flood = []
        for tag in range(10, 70):
            flood.append(self.caller())
            flood[-1].send(call(tag))
        for tag, each in enumerate(flood, 10):
            self.assertEqual((await each.until(tag))[1], b"full")
            self.assertLessEqual(len(self.listener.evicted), self.resource_limits.evicted_connections)
        self.answer()
        self.answer()
        self.assertEqual((await caller.until(1))[1], b"ok")
        self.assertEqual((await other.until(1))[1], b"ok")

    async def test_a_thousand_connects_and_resets_leave_nothing_behind(self):
        for _ in range(1000):
            self.caller().close(reset=True)
            self.callers.pop()
            await asyncio.sleep(0)
        await self.until(lambda: not self.listener.connections and not self.listener.evicted)
        caller, _ = await self.working()
        self.answer()
        self.assertEqual((await caller.until(1))[1], b"ok")


class FailingSocket:
    """A listening socket whose accepts fail in a given order, then are those of the real one."""

    def __init__(self, real: socket.socket, *errors: int) -> None:
        self.real, self.errors, self.asked = real, list(errors), 0

    def accept(self):
        self.asked += 1
        if self.errors:
            raise OSError(self.errors.pop(0), "forced")
        return self.real.accept()

    def fileno(self) -> int:
        return self.real.fileno()

    def close(self) -> None:
        self.real.close()


class AcceptingTest(ListenerTestCase):
    async def test_what_waits_at_the_end_of_listening_is_taken_with_its_request(self):
        waiting = [self.caller() for _ in range(3)]
        waiting[0].send(call(1))
        waiting[1].send(call(2)[:9])
        await self.listener.close()
        self.listener.drain_connections()
        await self.until(lambda: self.arrived_here)
        waiting[1].send(call(2)[9:])
        await self.until(lambda: len(self.arrived_here) == 2)
        self.answer()
        self.answer()
        self.assertEqual((await waiting[0].until(1))[1], b"ok")
        self.assertEqual((await waiting[1].until(2))[1], b"ok")
        while LAST not in waiting[2].words():
            self.assertTrue(await waiting[2].read())
        self.assertRaises(ConnectionRefusedError, self.caller)

    async def test_one_that_comes_between_two_steps_of_the_end_of_listening_is_served(self):
        waiting = [self.caller() for _ in range(5 * self.resource_limits.accepts_per_pass)]
        closing = asyncio.ensure_future(self.listener.close())
        await asyncio.sleep(0)  # the first step is done
        self.assertLess(len(self.listener.connections), len(waiting))
        self.assertFalse(closing.done())
        late = self.caller()
        late.send(call(1))
        await asyncio.wait_for(closing, WAIT)
        await self.until(lambda: self.arrived_here)
        self.answer()
        self.assertEqual((await late.until(1))[1], b"ok")
        self.assertEqual(len(self.listener.connections), len(waiting) + 1)

    async def test_an_accept_that_fails_costs_none_of_those_behind_it(self):
        # It ended the accepting, and the close reset the rest.
        waiting = [self.caller() for _ in range(3)]
        for tag, each in enumerate(waiting, 1):
            each.send(call(tag))
        asyncio.get_running_loop().remove_reader(self.listener.socket)
        self.listener.socket = FailingSocket(self.listener.socket, errno.ECONNABORTED, errno.ECONNABORTED)
        self.listener.accepting = False
        asyncio.get_running_loop().add_reader(self.listener.socket, lambda: None)
        self.listener.accepting = True
        await self.listener.close()
        await self.until(lambda: len(self.arrived_here) == 3)

    async def test_a_flood_does_not_keep_us_from_the_end_of_listening(self):
        # Each connection that was accepted made room for the next, for as long as they came.
        class Flood(FailingSocket):
            def accept(self):
                self.asked += 1
                if self.asked > 3 * MAX_WAITING_CONNECTIONS:
                    raise AssertionError("accepted for ever")
                ours, theirs = socket.socketpair()
                theirs.close()
                return ours, ""

        flood = Flood(self.listener.socket)
        asyncio.get_running_loop().remove_reader(self.listener.socket)
        self.listener.accepting, self.listener.resource_limits = (
            True,
            replace(self.resource_limits, sockets=140),
        )
        self.listener.socket = flood
        asyncio.get_running_loop().add_reader(flood, lambda: None)
        await asyncio.wait_for(self.listener.close(), WAIT)
        self.assertLessEqual(flood.asked, MAX_WAITING_CONNECTIONS + self.resource_limits.accepts_per_pass)

    async def test_with_no_descriptor_left_accepting_rests_and_goes_on(self):
        # The socket stays readable: the loop woke for it again and again.
        loop = asyncio.get_running_loop()
        real = self.listener.socket
        loop.remove_reader(real)
        self.listener.socket = failing = FailingSocket(real, errno.EMFILE)
        loop.add_reader(failing, self.listener._accept_some)
        caller = self.caller()
        caller.send(call(1))
        await self.until(lambda: failing.asked)
        for _ in range(20):
            await asyncio.sleep(0)
        self.assertEqual(failing.asked, 1)
        await self.until(lambda: self.arrived_here)
        self.answer()
        self.assertEqual((await caller.until(1))[1], b"ok")

    async def test_one_accepted_after_the_others_were_told_to_close_is_served_and_told_at_the_end(self):
        self.listener.drain_connections()
        caller, connection = await self.working()
        self.assertIs(connection.state, ConnectionState.OPEN)
        await self.listener.close()
        self.listener.drain_connections()
        self.answer()
        await caller.until(1)
        self.assertIn(LAST, caller.words())

    async def test_nothing_is_listened_on_before_it_is_opened(self):
        listener = Listener(("127.0.0.1", 0), BufferPool(8192, 9), RESOURCE_LIMITS, self, EventLog("test", 0))
        self.addCleanup(listener.socket.close)
        self.assertRaises(ConnectionRefusedError, DispatcherClient, listener.address)


class DrainDeadlineTest(ListenerTestCase):
    """The drain in front of dispatchers that do nothing for it; its node has no engine yet, so no grace."""

    directory_reporter = types.SimpleNamespace(set_accepting=lambda taking: None)
    host = types.SimpleNamespace(started=False)
    log = EventLog("test", 0)

    async def test_what_is_left_just_before_the_stop_is_closed(self):
        # The drain waited for them, and the kill found the node waiting.
        self.done = asyncio.Event()
        _, resting = await self.rested()
        _, held = await self.stuck()
        drain = Drain(self, grace=0, stop_after=300 * MS)
        drain.start_final()
        await asyncio.wait_for(self.done.wait(), WAIT)
        self.assertIs(drain.state, DrainState.ENDED)
        self.assertEqual({resting.state, held.state}, {ConnectionState.CLOSED})


class BufferExhaustionTest(ListenerTestCase):
    """Room for two connections, and the buffers that a node of that size has."""

    resource_limits = ConnectionLimitTest.resource_limits

    async def test_more_wait_than_there_are_buffers_for_when_listening_ends(self):
        # All were taken in one step, the buffers ran out halfway, and the drain ended there for good.
        waiting = [self.caller() for _ in range(2 * self.resource_limits.max_buffers)]
        for tag, each in enumerate(waiting, 1):
            each.send(call(tag))
        await asyncio.wait_for(self.listener.close(), WAIT)
        self.assertRaises(ConnectionRefusedError, self.caller)
        for tag, each in enumerate(
            waiting[self.resource_limits.max_connections :], self.resource_limits.max_connections + 1
        ):
            self.assertEqual((await each.until(tag))[1], b"full")
        await self.until(lambda: len(self.arrived_here) == self.resource_limits.max_connections)

    async def test_with_no_buffer_left_accepting_rests_and_leaves_the_links_theirs(self):
        # A flood took the last one, and the engine's link found none: it was never connected again.
        pool = self.listener.pool
        taken = [
            pool.lease() for _ in range(self.resource_limits.max_buffers - 2 * self.resource_limits.max_links)
        ]
        caller = self.caller()
        caller.send(call(1))
        await self.until(lambda: self.listener.resume_timer)
        self.assertEqual(pool.available, 2 * self.resource_limits.max_links)
        for each in taken:
            pool.release(each)
        await self.until(lambda: self.arrived_here)
        self.answer()
        self.assertEqual((await caller.until(1))[1], b"ok")
