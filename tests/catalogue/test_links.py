"""Calls to the catalogue over its links."""

import asyncio
import contextlib
import errno
import socket
import time
import unittest
import unittest.mock

from oakkeel.admission.types import Outcome
from oakkeel.catalogue.links import Catalogue
from oakkeel.request import NodeRequest
from oakkeel.request_events import CallFinished
from oakkeel.stream_buffers import BufferPool
from oakkeel.units import MS, SECOND
from tests.support.node_process import TIMEOUT_S
from tests.support.node_request import EVENT_LOG, RESOURCE_LIMITS, node_request


async def finished_call(request: NodeRequest) -> CallFinished:
    """Return the next event of a request, which must be the end of its call."""
    event = await asyncio.wait_for(request.next_event(), TIMEOUT_S)
    if not isinstance(event, CallFinished):
        raise AssertionError(f"not the end of a call: {event}")
    return event


class CatalogueTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.peers: asyncio.Queue[tuple] = asyncio.Queue()  # reader and writer of each accepted connection
        self.writers = []
        self.server = await asyncio.start_server(self._accept_connection, "127.0.0.1", 0)
        address = self.server.sockets[0].getsockname()
        self.catalogue = Catalogue(address, BufferPool(8192, 99), RESOURCE_LIMITS, EVENT_LOG)

    async def _accept_connection(self, reader, writer):
        self.writers.append(writer)
        self.peers.put_nowait((reader, writer))

    async def asyncTearDown(self):
        for link in self.catalogue.links:
            link.stream.close()
        await asyncio.gather(*(link.task for link in self.catalogue.links))
        self.server.close()
        for writer in self.writers:
            writer.close()
            with contextlib.suppress(OSError):
                await writer.wait_closed()

    async def _answered_call(self):
        """Return a request whose call was answered, and the link of that call."""
        request = node_request()
        self.catalogue.place_call(request, time.monotonic_ns() + 20 * SECOND, b"")
        _, writer = await asyncio.wait_for(self.peers.get(), TIMEOUT_S)
        writer.write(b"%s FAULT\r\n" % request.request_id)
        await request.next_event()
        return request, self.catalogue.links[0]

    async def test_ignores_a_late_reply_of_an_earlier_call(self):
        # A reply names only its request: a reply sent before the QUIT arrives must not end the next call.
        request = node_request()
        self.catalogue.place_call(request, time.monotonic_ns() + 50 * MS, b"first")
        reader, writer = await asyncio.wait_for(self.peers.get(), TIMEOUT_S)
        self.assertTrue((await reader.readline()).startswith(b"FETCH"))
        self.assertEqual((await finished_call(request)).outcome, Outcome.TIMED_OUT)
        self.catalogue.place_call(request, time.monotonic_ns() + 20 * SECOND, b"second")
        second_reader, second_writer = await asyncio.wait_for(self.peers.get(), TIMEOUT_S)
        await second_reader.readline()
        writer.write(b"%s DATA 3\r\nold\r\n" % request.request_id)
        await writer.drain()
        self.assertEqual([await reader.readline() for _ in range(2)][1][:4], b"QUIT")
        second_writer.write(b"%s DATA 3\r\nnew\r\n" % request.request_id)
        finished = await finished_call(request)
        self.assertEqual((finished.outcome, finished.reply), (Outcome.COMPLETED, b"new"))

    async def test_maps_each_reply_to_its_outcome(self):
        for verb, outcome in (
            (b"LATER", Outcome.REJECTED),
            (b"FAULT", Outcome.ERROR),
            (b"NOUSE", Outcome.NEVER_STARTED),
            (b"TOOSLOW", Outcome.TIMED_OUT),
        ):
            request = node_request(b"%016x" % len(verb))
            self.catalogue.place_call(request, time.monotonic_ns() + 20 * SECOND, b"")
            if not self.catalogue.links[0].is_connected:
                _, writer = await asyncio.wait_for(self.peers.get(), TIMEOUT_S)
            writer.write(b"%s %s\r\n" % (request.request_id, verb))
            self.assertEqual((await finished_call(request)).outcome, outcome)
        self.assertEqual(len(self.catalogue.links), 1)

    async def _call_read_by_catalogue(self, request_id):
        """Return a request whose call the catalogue has read, and the writer for its reply."""
        request = node_request(request_id)
        self.catalogue.place_call(request, time.monotonic_ns() + 20 * SECOND, b"")
        reader, writer = await asyncio.wait_for(self.peers.get(), TIMEOUT_S)
        await reader.readline()
        return request, writer

    async def test_malformed_reply_fails_no_other_call(self):
        # A malformed reply or a silent or reset link must not fail the calls on other links.
        other_request, other_writer = await self._call_read_by_catalogue(b"0123456789abcdef")
        for number, malformed in enumerate(
            (
                b"\x00\xff\r\n",
                b"%s DATA 3000000000\r\nxx",
                b"%s DATA 9\r\nabc",
                b"%s DATA 2\r\nabcdef\r\n",
                b"%s DATA 1 2\r\nab\r\n",
                b"%s FAULT 1\r\n",
                b"x" * 9000,
                b"%s DA",
            )
        ):
            request, writer = await self._call_read_by_catalogue(b"%016x" % number)
            writer.write(malformed.replace(b"%s", request.request_id))
            self.assertEqual((await finished_call(request)).outcome, Outcome.RESET, malformed)
        other_writer.write(b"%s DATA 2\r\nok\r\n" % other_request.request_id)
        finished = await finished_call(other_request)
        self.assertEqual((finished.outcome, finished.reply), (Outcome.COMPLETED, b"ok"))

    async def test_accepts_a_reply_next_to_unmatched_replies_and_retires_its_link(self):
        unknown = b"feedfeedfeedfeed DATA 1\r\nx\r\n%s"
        for number, (before, after) in enumerate(((b"%s", b"%s"), (unknown, b""))):
            request, writer = await self._call_read_by_catalogue(b"%016x" % number)
            reply = b"%s DATA 2\r\nok\r\n" % request.request_id
            writer.write(before.replace(b"%s", reply) + after.replace(b"%s", reply))
            finished = await finished_call(request)
            self.assertEqual((finished.outcome, finished.reply), (Outcome.COMPLETED, b"ok"))
            self.catalogue.place_call(request, time.monotonic_ns() + 20 * SECOND, b"next")
            await asyncio.wait_for(self.peers.get(), TIMEOUT_S)  # the next call uses a new link
            request.call.give_up(None)

    async def test_retires_a_link_after_an_unanswered_call(self):
        request, _ = await self._call_read_by_catalogue(b"0123456789abcdef")
        link = request.call.link
        request.call.give_up()
        await self._call_read_by_catalogue(b"1123456789abcdef")
        self.assertTrue(link.stream.closed())

    async def test_closes_a_link_past_its_idle_timeout_instead_of_using_it(self):
        request, link = await self._answered_call()
        link.last_used_at -= RESOURCE_LIMITS.call_idle_timeout + SECOND
        self.catalogue.place_call(request, time.monotonic_ns() + 20 * SECOND, b"")
        self.assertTrue(link.stream.closed())
        self.assertIsNot(self.catalogue.links[0], link)

    async def test_makes_no_call_on_a_link_that_was_just_lost(self):
        # The link's reader has not run yet: a call on the link would be reported as reset, not as never sent.
        request, link = await self._answered_call()
        link.stream.close()
        self.catalogue.place_call(request, time.monotonic_ns() + 20 * SECOND, b"again")
        reader, _ = await asyncio.wait_for(self.peers.get(), TIMEOUT_S)
        self.assertTrue((await reader.readline()).startswith(b"FETCH"))

    async def test_incomplete_reply_resets_its_call_and_closes_its_link(self):
        request = node_request()
        self.catalogue.place_call(request, time.monotonic_ns() + 20 * SECOND, b"")
        _, writer = await asyncio.wait_for(self.peers.get(), TIMEOUT_S)
        writer.write(b"%s DATA 10\r\nhalf" % request.request_id)
        self.assertEqual((await finished_call(request)).outcome, Outcome.RESET)
        self.assertTrue(self.catalogue.links[0].stream.closed())

    async def test_makes_no_call_on_a_link_that_the_peer_has_closed(self):
        # The end of the input is in the kernel only: a call on the link would be reported as reset, though
        # the peer never reads it.
        _, link = await self._answered_call()
        self.writers[0].get_extra_info("socket").shutdown(socket.SHUT_WR)
        other_request = node_request()
        self.catalogue.place_call(other_request, time.monotonic_ns() + 20 * SECOND, b"again")
        self.assertIsNot(other_request.call.link, link)
        reader, _ = await asyncio.wait_for(self.peers.get(), TIMEOUT_S)
        self.assertTrue((await reader.readline()).startswith(b"FETCH"))

    async def test_call_without_a_descriptor_fails_to_connect(self):
        # Without a connection the call has not run.
        def raise_no_descriptor(*arguments):
            raise OSError(errno.EMFILE, "forced")

        request = node_request()
        with unittest.mock.patch("oakkeel.catalogue.links.socket.socket", raise_no_descriptor):
            self.catalogue.place_call(request, time.monotonic_ns() + 20 * SECOND, b"")
        self.assertEqual((await finished_call(request)).outcome, Outcome.CONNECT_FAILED)

    async def test_call_that_times_out_while_connecting_was_never_sent(self):
        request = node_request()
        self.catalogue.place_call(request, time.monotonic_ns() + 20 * SECOND, b"first")
        request.call.give_up()
        self.assertEqual((await finished_call(request)).outcome, Outcome.CONNECT_FAILED)
        self.catalogue.place_call(request, time.monotonic_ns() + 20 * SECOND, b"second")
        readers = [(await asyncio.wait_for(self.peers.get(), TIMEOUT_S))[0] for _ in range(2)]
        self.catalogue.links[0].stream.close()
        self.assertEqual(await asyncio.wait_for(readers[0].read(), TIMEOUT_S), b"")
        await readers[1].readline()
        self.assertEqual(await readers[1].readline(), b"second\r\n")
