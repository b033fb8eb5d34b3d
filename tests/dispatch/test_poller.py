"""The poll of the sockets of dispatchers."""

import asyncio
import select
import socket
import unittest

from oakkeel.dispatch.poller import ConnectionPoller

EVENTS_PER_PASS = 4
READ, WRITE, ERROR = ConnectionPoller.READ, ConnectionPoller.WRITE, ConnectionPoller.ERROR


class ConnectionPollerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.poller = ConnectionPoller(EVENTS_PER_PASS)
        self.poller.open()
        self.handled: list[tuple[int, int]] = []  # descriptor and events of each call of the handler
        self.pairs: list[tuple[socket.socket, socket.socket]] = []

    async def asyncTearDown(self) -> None:
        self.poller.close()
        for pair in self.pairs:
            for each in pair:
                each.close()

    def add_socket(self, events: int) -> tuple[socket.socket, socket.socket]:
        """Return a socket that is polled for these events, and its other end."""
        near, far = socket.socketpair()
        self.pairs.append((near, far))
        self.poller.add_handler(
            near, lambda descriptor, ready: self.handled.append((descriptor, ready)), events
        )
        return near, far

    async def test_a_pass_handles_a_bounded_number_of_events_and_every_socket_has_its_turn(self):
        ready = {self.add_socket(ERROR | READ) for _ in range(3 * EVENTS_PER_PASS)}
        for _, far in ready:
            far.send(b"x")
        counts = []
        for _ in range(12):
            before = len(self.handled)
            await asyncio.sleep(0)
            counts.append(len(self.handled) - before)
        self.assertLessEqual(max(counts), EVENTS_PER_PASS)
        self.assertTrue(self.poller.is_saturated)
        self.assertEqual({descriptor for descriptor, _ in self.handled}, {near.fileno() for near, _ in ready})

    async def test_a_socket_that_is_polled_for_errors_only_keeps_the_event_loop_idle(self):
        # epoll reports the end of a connection even if no event was asked for, as long as it is registered.
        near, far = self.add_socket(ERROR)
        far.close()
        await asyncio.sleep(0.02)
        self.assertEqual(self.handled, [])
        self.poller.update_handler(near, ERROR | READ)
        await asyncio.sleep(0.02)
        self.assertEqual(self.handled[0], (near.fileno(), READ))

    async def test_the_end_of_a_connection_is_reported_as_a_write_to_one_that_writes(self):
        near, far = self.add_socket(ERROR | WRITE)
        far.close()
        await asyncio.sleep(0.02)
        self.assertEqual(self.handled[0], (near.fileno(), WRITE))

    async def test_a_handler_that_was_removed_in_the_same_pass_is_not_called(self):
        (first, far), (second, other_far) = self.add_socket(0), self.add_socket(0)

        def remove_both(descriptor: int, ready: int) -> None:
            self.handled.append((descriptor, ready))
            self.poller.remove_handler(first)
            self.poller.remove_handler(second)

        for near in (first, second):
            self.poller.add_handler(near, remove_both, ERROR | READ)
        far.send(b"x")
        other_far.send(b"x")
        await asyncio.sleep(0.02)
        self.assertEqual(len(self.handled), 1)

    async def test_uses_the_flags_of_epoll(self):
        self.assertEqual((READ, WRITE), (select.EPOLLIN, select.EPOLLOUT))


if __name__ == "__main__":
    unittest.main()
