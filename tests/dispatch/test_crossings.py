"""Stories of what crosses on a dispatcher's connection: bytes, closes and accepts forced into one order.

The node's side runs in the loop of the story and the dispatchers are plain sockets: what one of these sends
is in the kernel at once, and the loop has not looked yet until the story awaits.
"""

import asyncio
import errno
import faulthandler
import gc
import socket
import struct
import time
import types
import unittest
import weakref
from dataclasses import replace

from oakkeel.dispatch import codec
from oakkeel.dispatch.codec import RequestReader
from oakkeel.dispatch.connection import Connection
from oakkeel.dispatch.connection_state import ConnectionState
from oakkeel.dispatch.listener import BACKLOG, Listener
from oakkeel.dispatch.resp import encode
from oakkeel.log import EventLog
from oakkeel.node.drain import Drain, DrainState
from oakkeel.resource_limits import MS, SECOND, ResourceLimits
from oakkeel.stream_buffers import BufferPool
from tests.support.fake_host import FakeHost
from tests.support.node_process import WAIT

RESOURCE_LIMITS = ResourceLimits(
    sockets=1024,
    memory=192 * 2**20,
    stop_after=3 * SECOND,
    drain_notice_timeout=600 * SECOND,
    linger_timeout=600 * SECOND,
    sweep_interval=600 * SECOND,
)
LAST = [b"0", b"last"]
DEADLINE = 1.5 * WAIT  # seconds from a test's set-up to that of the next


def call(tag: int, size: int = 4) -> bytes:
    return encode(b"CALL", b"%d" % tag, b"quote", b"req=%016x,need=1,timeout=4000" % tag, b"b" * size)


class Caller:
    """A dispatcher's end of a connection."""

    def __init__(self, address, size: int = 0) -> None:
        self.socket = socket.socket()
        if size:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        self.socket.connect(address)
        self.socket.setblocking(False)
        self.got = b""

    def send(self, data: bytes) -> None:
        self.socket.send(data)

    async def read(self) -> bool:
        """Some more; False at a clean end. Raises ConnectionResetError."""
        loop = asyncio.get_running_loop()
        data = await asyncio.wait_for(loop.sock_recv(self.socket, 65536), WAIT)
        self.got += data
        return bool(data)

    def words(self) -> list[list[bytes]]:
        """The whole arrays that it has got."""
        found, lines = [], self.got.split(b"\r\n")
        while lines and lines[0].startswith(b"*"):
            count = int(lines.pop(0)[1:])
            found.append(lines[1 : 2 * count : 2])
            del lines[: 2 * count]
        return found

    async def until(self, tag: int) -> list[bytes]:
        """The answer with a tag."""
        while not (found := [each for each in self.words() if each[0] == b"%d" % tag and each != LAST]):
            assert await self.read(), f"ended before {tag} was answered"
        return found[0]

    async def end(self) -> list[list[bytes]]:
        """All that came until a clean end."""
        while await self.read():
            pass
        return self.words()

    def close(self, reset: bool = False) -> None:
        if reset:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self.socket.close()


class DoorStory(unittest.IsolatedAsyncioTestCase):
    """A listener in front of a node that writes down what it hears."""

    resource_limits = RESOURCE_LIMITS

    @classmethod
    def setUpClass(cls) -> None:
        """Cancel the deadline only after the last event loop is closed, as that may hang too."""
        cls.addClassCleanup(faulthandler.cancel_dump_traceback_later)

    async def asyncSetUp(self) -> None:
        # A loop that never yields, or that a tearDown waits for, has no other end: the run fails here.
        faulthandler.dump_traceback_later(DEADLINE, exit=True)
        self.arrived_here, self.gone_here = [], []
        self.reader = RequestReader(
            FakeHost(request_classes=[{}]).limits, ["quote"], [], self.resource_limits
        )
        pool = BufferPool(8192, self.resource_limits.max_buffers)
        self.listener = Listener(("127.0.0.1", 0), pool, self.resource_limits, self, EventLog("test", 0))
        self.listener.open()
        self.callers: list[Caller] = []

    async def asyncTearDown(self) -> None:
        await self.listener.close()
        self.listener.close_connections()
        for each in self.callers:
            each.close()
        await asyncio.wait_for(self.listener.wait_closed(), WAIT)

    # The node, as connections see it.

    def request_received(self, request) -> None:
        self.arrived_here.append(request)

    def client_disconnected(self, request) -> None:
        self.gone_here.append(request)

    def has_request(self, request_id: bytes) -> bool:
        return False

    def healthy(self) -> bool:
        return True

    def load_report(self) -> float | None:
        return None

    def retry_after(self) -> int:
        return 250 * MS

    # Steps.

    def caller(self, size: int = 0) -> Caller:
        self.callers.append(Caller(self.listener.address, size))
        return self.callers[-1]

    async def until(self, true) -> None:
        """Let the loop go on until something holds."""
        end = time.monotonic() + WAIT
        while not true():
            self.assertLess(time.monotonic(), end)
            await asyncio.sleep(0.001)

    async def connected(self, size: int = 0) -> tuple[Caller, Connection]:
        before = set(self.listener.connections)
        caller = self.caller(size)
        await self.until(lambda: set(self.listener.connections) - before)
        connection = (set(self.listener.connections) - before).pop()
        await self.until(connection.stream.reading)
        return caller, connection

    async def working(self, size: int = 0) -> tuple[Caller, Connection]:
        """With one exchange that is open."""
        caller, connection = await self.connected(size)
        caller.send(call(1))
        await self.until(lambda: connection.open_requests)
        return caller, connection

    async def rested(self) -> tuple[Caller, Connection]:
        """One whose exchange was answered."""
        caller, connection = await self.working()
        self.answer()
        await caller.until(1)
        await self.until(connection.is_idle)
        return caller, connection

    async def stuck(self) -> tuple[Caller, Connection]:
        """One with more answers than it has taken: some are still to be sent."""
        caller, connection = await self.connected(size=4096)
        connection.stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        for tag in range(1, 31):
            caller.send(call(tag))
        await self.until(lambda: len(self.arrived_here) == 30)
        for _ in range(30):
            self.answer(bytes(4096))
        self.assertTrue(connection.unsent)
        return caller, connection

    def answer(self, body: bytes = b"result") -> None:
        request = self.arrived_here.pop(0)
        request.connection.answer(request, codec.COMPLETED, body)


class CloseStories(DoorStory):
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
        connection.array_due_since -= 700 * SECOND
        connection.stream.close()
        before = self.listener.sweeper
        self.listener._sweep()
        self.assertIsNot(self.listener.sweeper, before)
        before.cancel()
        await self.until(lambda: connection.state is ConnectionState.CLOSED)


class UnreadableStories(DoorStory):
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
        connection.check_timeouts(connection.array_due_since + self.resource_limits.array_timeout + 1)
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
                connection.array_due_since + self.resource_limits.array_timeout + look + 1
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


class TrimStories(DoorStory):
    async def test_a_request_in_the_kernel_of_an_idle_connection_that_is_trimmed_is_served(self):
        caller, connection = await self.rested()
        caller.send(call(2))
        self.listener.close_idle(1)
        self.assertIs(connection.state, ConnectionState.LEAVING)
        connection._drain_expired(SECOND)
        await self.until(lambda: self.arrived_here)
        self.answer()
        self.assertEqual((await caller.until(2))[1], b"ok")


class RoomStories(DoorStory):
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


class Failing:
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


class AcceptStories(DoorStory):
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
        self.listener.socket = Failing(self.listener.socket, errno.ECONNABORTED, errno.ECONNABORTED)
        self.listener.accepting = False
        asyncio.get_running_loop().add_reader(self.listener.socket, lambda: None)
        self.listener.accepting = True
        await self.listener.close()
        await self.until(lambda: len(self.arrived_here) == 3)

    async def test_a_flood_does_not_keep_us_from_the_end_of_listening(self):
        # Each connection that was accepted made room for the next, for as long as they came.
        class Flood(Failing):
            def accept(self):
                self.asked += 1
                if self.asked > 3 * BACKLOG:
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
        self.assertLessEqual(flood.asked, BACKLOG + self.resource_limits.accepts_per_pass)

    async def test_with_no_descriptor_left_accepting_rests_and_goes_on(self):
        # The socket stays readable: the loop woke for it again and again.
        loop = asyncio.get_running_loop()
        real = self.listener.socket
        loop.remove_reader(real)
        self.listener.socket = failing = Failing(real, errno.EMFILE)
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
        self.assertRaises(ConnectionRefusedError, Caller, listener.address)


class DrainStories(DoorStory):
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
        drain.start()
        await asyncio.wait_for(self.done.wait(), WAIT)
        self.assertIs(drain.state, DrainState.ENDED)
        self.assertEqual({resting.state, held.state}, {ConnectionState.CLOSED})


class CrowdedStories(DoorStory):
    """Room for two connections, and the buffers that a node of that size has."""

    resource_limits = RoomStories.resource_limits

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


if __name__ == "__main__":
    unittest.main()
