"""Accepting of connections, their limit, and the close of the listener."""

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
    DRAIN_NOTICE,
    RESOURCE_LIMITS,
    DispatcherClient,
    ListenerTestCase,
    call,
)
from tests.support.node_process import TIMEOUT_S


class ConnectionLimitTest(ListenerTestCase):
    resource_limits = replace(
        RESOURCE_LIMITS,
        sockets=RESOURCE_LIMITS.reserved_sockets
        + RESOURCE_LIMITS.max_call_links
        + RESOURCE_LIMITS.max_evicted_connections
        + 2,
        new_connection_grace=600 * SECOND,
    )

    async def test_does_not_evict_a_connection_with_unread_bytes(self):
        client, first = await self.idle_client()
        other, second = await self.idle_client()
        client.send(call(2))  # the connection is idle for longest, but this request is unread
        third = self.connect_client()
        await self.wait_until(lambda: second.state is ConnectionState.LINGERING)
        self.assertIs(first.state, ConnectionState.OPEN)
        await self.wait_until(lambda: self.received_requests)
        self.answer()
        self.assertEqual((await client.read_answer(2))[1], b"ok")
        third.send(call(3))
        await self.wait_until(lambda: self.received_requests)
        self.answer()
        self.assertEqual((await third.read_answer(3))[1], b"ok")
        self.assertEqual(len(await other.read_to_end()), 1)

    async def test_does_not_evict_a_connection_with_the_rest_of_its_array_unread(self):
        # A connection with an incomplete array may be evicted, but here the rest of the array is unread.
        await self.client_with_open_request()
        client, incomplete = await self.connected_client()
        client.send(call(2)[:25])
        await self.wait_until(lambda: incomplete.read_buffer.has_data and incomplete.stream.reading())
        self.listener.without_requests[incomplete] -= 700 * SECOND
        client.send(call(2)[25:])
        self.assertFalse(self.listener._evict_one("connection_limit"))
        self.received_requests.clear()
        await self.wait_until(lambda: self.received_requests)
        self.answer()
        self.assertEqual((await client.read_answer(2))[1], b"ok")

    async def test_rejects_the_request_that_arrives_with_a_connection_over_the_limit(self):
        # A close with the request unread would reset the connection without an answer.
        await self.client_with_open_request()
        await self.client_with_open_request()
        late_client = self.connect_client()
        late_client.send(call(3) + call(4))
        self.assertEqual((await late_client.read_answer(4))[1:3], [b"full", b"holdoff=250"])
        self.assertEqual((await late_client.read_answer(3))[1], b"full")
        self.assertEqual(len(self.received_requests), 2)

    async def test_rejects_a_request_shortly_after_the_accept_of_a_connection_over_the_limit(self):
        await self.client_with_open_request()
        await self.client_with_open_request()
        late_client = self.connect_client()
        await self.wait_until(lambda: self.listener.evicted)
        connection = next(iter(self.listener.evicted))
        late_client.send(call(3))
        connection._on_drain_timeout(SECOND)
        self.assertIs(connection.state, ConnectionState.DRAINING)
        self.assertEqual((await late_client.read_answer(3))[1], b"full")
        await self.wait_until(connection.is_idle)
        connection._on_drain_timeout(SECOND)
        self.assertEqual((await late_client.read_to_end())[-1][:2], [b"3", b"full"])

    async def test_a_connection_over_the_limit_with_an_incomplete_array_is_ended(self):
        # It would hold its descriptor until later connections over the limit take its place.
        await self.client_with_open_request()
        await self.client_with_open_request()
        late_client = self.connect_client()
        late_client.send(call(3)[:25])
        await self.wait_until(lambda: self.listener.evicted)
        connection = next(iter(self.listener.evicted))
        await self.wait_until(lambda: connection.read_buffer.has_data and connection.stream.reading())
        connection.array_reader.wait_started_at -= 3 * SECOND
        self.listener._sweep()
        self.assertIs(connection.state, ConnectionState.LINGERING)

    async def test_a_connection_over_the_limit_gets_its_rejection_and_no_reset(self):
        # Connections are closed like this by later connections over the limit, and just before the stop.
        await self.client_with_open_request()
        await self.client_with_open_request()
        late_client = self.connect_client()
        late_client.send(call(3))
        await self.wait_until(lambda: self.listener.evicted)
        connection = next(iter(self.listener.evicted))
        await self.wait_until(lambda: not connection.unsent_bytes)
        late_client.send(call(4))
        connection.close()
        self.assertEqual(
            [array[:2] for array in await late_client.read_to_end()], [[b"3", b"full"], DRAIN_NOTICE]
        )

    async def test_a_flood_over_the_limit_is_bounded_and_each_of_its_requests_rejected(self):
        client, _ = await self.client_with_open_request()
        other, _ = await self.client_with_open_request()
        flood = []
        for tag in range(10, 70):
            flood.append(self.connect_client())
            flood[-1].send(call(tag))
        for tag, flood_client in enumerate(flood, 10):
            self.assertEqual((await flood_client.read_answer(tag))[1], b"full")
            self.assertLessEqual(len(self.listener.evicted), self.resource_limits.max_evicted_connections)
        self.answer()
        self.answer()
        self.assertEqual((await client.read_answer(1))[1], b"ok")
        self.assertEqual((await other.read_answer(1))[1], b"ok")

    async def test_a_repeat_of_a_known_request_over_the_limit_is_handled_and_not_rejected(self):
        # Rejected as one that never ran, it would run a second time on another node (review/7).
        await self.client_with_open_request()
        await self.client_with_open_request()
        self.known_request_ids.add(b"%016x" % 4)
        late_client = self.connect_client()
        late_client.send(call(3) + call(4))
        self.assertEqual((await late_client.read_answer(3))[1], b"full")
        await self.wait_until(lambda: len(self.received_requests) == 3)
        self.received_requests.reverse()
        self.answer()
        self.assertEqual((await late_client.read_answer(4))[1], b"ok")

    async def test_a_repeat_over_the_limit_keeps_its_connection_in_a_flood_until_it_is_answered(self):
        # Later connections over the limit take the descriptors of earlier ones that owe no answer.
        await self.client_with_open_request()
        await self.client_with_open_request()
        self.known_request_ids.add(b"%016x" % 4)
        repeating_client = self.connect_client()
        repeating_client.send(call(4))
        await self.wait_until(lambda: len(self.received_requests) == 3)
        for tag in range(10, 70):
            flood_client = self.connect_client()
            flood_client.send(call(tag))
            self.assertEqual((await flood_client.read_answer(tag))[1], b"full")
            self.assertLessEqual(len(self.listener.evicted), self.resource_limits.max_evicted_connections)
        self.received_requests.reverse()
        self.answer()
        self.assertEqual((await repeating_client.read_answer(4))[1], b"ok")

    async def test_connections_over_the_limit_are_closed_unread_while_all_descriptors_owe_answers(self):
        await self.client_with_open_request()
        await self.client_with_open_request()
        count = self.resource_limits.max_evicted_connections
        self.known_request_ids.update(b"%016x" % tag for tag in range(10, 10 + count))
        repeating_clients = [self.connect_client() for _ in range(count)]
        for tag, client in enumerate(repeating_clients, 10):
            client.send(call(tag))
        await self.wait_until(lambda: len(self.received_requests) == 2 + count)
        late_client = self.connect_client()
        self.assertEqual(await late_client.read_to_end(), [])
        self.assertEqual(len(self.listener.evicted), count)
        for _ in range(2 + count):
            self.answer()
        for tag, client in enumerate(repeating_clients, 10):
            self.assertEqual((await client.read_answer(tag))[1], b"ok")

    async def test_connections_that_are_shut_down_make_room_before_idle_ones(self):
        # In a flood of bad clients, connections that only wait for their close would fill the table for 1 s.
        _, idle = await self.idle_client()
        bad_client, bad = await self.connected_client()
        bad_client.send(b"GET / HTTP/1.1\r\n")
        await self.wait_until(lambda: bad.state is ConnectionState.LINGERING)
        client, _ = await self.client_with_open_request()
        self.answer()
        self.assertEqual((await client.read_answer(1))[1], b"ok")
        self.assertIs(idle.state, ConnectionState.OPEN)
        self.assertIs(bad.state, ConnectionState.LINGERING)  # it is not reset: it may not have read its end
        self.assertEqual((await bad_client.read_to_end())[0][:2], [b"0", b"fault"])

    async def test_a_thousand_connects_and_resets_leak_nothing(self):
        for _ in range(1000):
            self.connect_client().close(reset=True)
            self.clients.pop()
            await asyncio.sleep(0)
        await self.wait_until(lambda: not self.listener.connections and not self.listener.evicted)
        client, _ = await self.client_with_open_request()
        self.answer()
        self.assertEqual((await client.read_answer(1))[1], b"ok")


class FailingSocket:
    """A listening socket whose first accepts fail in a given order."""

    def __init__(self, real_socket: socket.socket, *errors: int) -> None:
        self.real_socket, self.errors, self.accept_count = real_socket, list(errors), 0

    def accept(self):
        self.accept_count += 1
        if self.errors:
            raise OSError(self.errors.pop(0), "forced")
        return self.real_socket.accept()

    def fileno(self) -> int:
        return self.real_socket.fileno()

    def close(self) -> None:
        self.real_socket.close()


class AcceptingTest(ListenerTestCase):
    async def test_waiting_connections_are_served_when_the_listener_closes(self):
        waiting = [self.connect_client() for _ in range(3)]
        waiting[0].send(call(1))
        waiting[1].send(call(2)[:9])
        await self.listener.close()
        self.listener.drain_connections()
        await self.wait_until(lambda: self.received_requests)
        waiting[1].send(call(2)[9:])
        await self.wait_until(lambda: len(self.received_requests) == 2)
        self.answer()
        self.answer()
        self.assertEqual((await waiting[0].read_answer(1))[1], b"ok")
        self.assertEqual((await waiting[1].read_answer(2))[1], b"ok")
        while DRAIN_NOTICE not in waiting[2].received_arrays():
            self.assertTrue(await waiting[2].read())
        self.assertRaises(ConnectionRefusedError, self.connect_client)

    async def test_a_connection_during_the_close_of_the_listener_is_served(self):
        waiting = [self.connect_client() for _ in range(5 * self.resource_limits.accepts_per_pass)]
        closing = asyncio.ensure_future(self.listener.close())
        await asyncio.sleep(0)  # the first pass is done
        self.assertLess(len(self.listener.connections), len(waiting))
        self.assertFalse(closing.done())
        late_client = self.connect_client()
        late_client.send(call(1))
        await asyncio.wait_for(closing, TIMEOUT_S)
        await self.wait_until(lambda: self.received_requests)
        self.answer()
        self.assertEqual((await late_client.read_answer(1))[1], b"ok")
        self.assertEqual(len(self.listener.connections), len(waiting) + 1)

    async def test_a_failed_accept_does_not_affect_the_connections_behind_it(self):
        # A failed accept must not end the accepting: the close would reset the other connections.
        waiting = [self.connect_client() for _ in range(3)]
        for tag, client in enumerate(waiting, 1):
            client.send(call(tag))
        asyncio.get_running_loop().remove_reader(self.listener.socket)
        self.listener.socket = FailingSocket(self.listener.socket, errno.ECONNABORTED, errno.ECONNABORTED)
        self.listener.is_accepting = False
        asyncio.get_running_loop().add_reader(self.listener.socket, lambda: None)
        self.listener.is_accepting = True
        await self.listener.close()
        await self.wait_until(lambda: len(self.received_requests) == 3)

    async def test_a_flood_does_not_keep_the_listener_open(self):
        # Each accepted connection frees a place in the kernel's queue for another connection.
        class Flood(FailingSocket):
            def accept(self):
                self.accept_count += 1
                if self.accept_count > 3 * MAX_WAITING_CONNECTIONS:
                    raise AssertionError("the listener accepts connections without end")
                ours, theirs = socket.socketpair()
                theirs.close()
                return ours, ""

        flood = Flood(self.listener.socket)
        asyncio.get_running_loop().remove_reader(self.listener.socket)
        self.listener.is_accepting, self.listener.resource_limits = (
            True,
            replace(self.resource_limits, sockets=140),
        )
        self.listener.socket = flood
        asyncio.get_running_loop().add_reader(flood, lambda: None)
        await asyncio.wait_for(self.listener.close(), TIMEOUT_S)
        self.assertLessEqual(
            flood.accept_count, MAX_WAITING_CONNECTIONS + self.resource_limits.accepts_per_pass
        )

    async def test_accepting_pauses_without_a_descriptor_and_resumes(self):
        # The socket stays readable: without a pause it would keep the event loop busy.
        loop = asyncio.get_running_loop()
        real_socket = self.listener.socket
        loop.remove_reader(real_socket)
        self.listener.socket = failing = FailingSocket(real_socket, errno.EMFILE)
        loop.add_reader(failing, self.listener._accept_batch)
        client = self.connect_client()
        client.send(call(1))
        await self.wait_until(lambda: failing.accept_count)
        for _ in range(20):
            await asyncio.sleep(0)
        self.assertEqual(failing.accept_count, 1)
        await self.wait_until(lambda: self.received_requests)
        self.answer()
        self.assertEqual((await client.read_answer(1))[1], b"ok")

    async def test_a_connection_accepted_after_the_drain_notice_is_served_and_notified_at_the_end(self):
        self.listener.drain_connections()
        client, connection = await self.client_with_open_request()
        self.assertIs(connection.state, ConnectionState.OPEN)
        await self.listener.close()
        self.listener.drain_connections()
        self.answer()
        await client.read_answer(1)
        self.assertIn(DRAIN_NOTICE, client.received_arrays())

    async def test_refuses_connections_before_it_is_opened(self):
        listener = Listener(("127.0.0.1", 0), BufferPool(8192, 9), RESOURCE_LIMITS, self, EventLog("test", 0))
        self.addCleanup(listener.socket.close)
        self.assertRaises(ConnectionRefusedError, DispatcherClient, listener.address)


class DrainDeadlineTest(ListenerTestCase):
    """A drain with dispatchers that close no connection; the node has no engine yet, so there is no grace."""

    directory_reporter = types.SimpleNamespace(set_accepting=lambda is_accepting: None)
    host = types.SimpleNamespace(is_started=False)
    log = EventLog("test", 0)

    async def test_closes_the_remaining_connections_just_before_the_stop(self):
        # Otherwise the drain would wait for these connections until SIGKILL.
        self.drained = asyncio.Event()
        _, idle = await self.idle_client()
        _, unread = await self.client_with_unsent_answers()
        drain = Drain(self, grace=0, stop_after=300 * MS)
        drain.start_final()
        await asyncio.wait_for(self.drained.wait(), TIMEOUT_S)
        self.assertIs(drain.state, DrainState.ENDED)
        self.assertEqual({idle.state, unread.state}, {ConnectionState.CLOSED})


class BufferExhaustionTest(ListenerTestCase):
    """A limit of two connections, and the buffers of a node of that size."""

    resource_limits = ConnectionLimitTest.resource_limits

    async def test_closes_with_more_waiting_connections_than_buffers(self):
        # If accepted in one pass, the connections would exhaust the buffers and end the drain.
        waiting = [self.connect_client() for _ in range(2 * self.resource_limits.max_buffers)]
        for tag, client in enumerate(waiting, 1):
            client.send(call(tag))
        await asyncio.wait_for(self.listener.close(), TIMEOUT_S)
        self.assertRaises(ConnectionRefusedError, self.connect_client)
        for tag, client in enumerate(
            waiting[self.resource_limits.max_connections :], self.resource_limits.max_connections + 1
        ):
            self.assertEqual((await client.read_answer(tag))[1], b"full")
        await self.wait_until(lambda: len(self.received_requests) == self.resource_limits.max_connections)

    async def test_accepting_pauses_without_a_buffer_and_reserves_the_buffers_of_the_links(self):
        # A flood must not take the last buffers: the link to the engine could not reconnect.
        pool = self.listener.pool
        leased = [
            pool.lease() for _ in range(self.resource_limits.max_buffers - 2 * self.resource_limits.max_links)
        ]
        client = self.connect_client()
        client.send(call(1))
        await self.wait_until(lambda: self.listener.resume_timer)
        self.assertEqual(pool.available, 2 * self.resource_limits.max_links)
        for buffer in leased:
            pool.release(buffer)
        await self.wait_until(lambda: self.received_requests)
        self.answer()
        self.assertEqual((await client.read_answer(1))[1], b"ok")
