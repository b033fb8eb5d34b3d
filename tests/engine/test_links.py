"""Stories of the network code's parts that need no whole program."""

import asyncio
import contextlib
import errno
import socket
import time
import unittest
import unittest.mock
from dataclasses import replace

from oakkeel.admission.types import Outcome, RequestState
from oakkeel.catalogue.links import Catalogue
from oakkeel.directory.reports import DirectoryReporter
from oakkeel.dispatch.listener import Listener
from oakkeel.dispatch.resp import arrays, encode
from oakkeel.engine.link import EngineLink
from oakkeel.line_protocol import LineParser
from oakkeel.log import EventLog
from oakkeel.node.metrics import Metrics
from oakkeel.node.request_handler import RequestHandler
from oakkeel.node.response_cache import ResponseCache
from oakkeel.node_limits import Pairs, flatten, read_limits
from oakkeel.request import NodeRequest
from oakkeel.request_events import CallFinished, CancelRun, ClientDisconnected, SharedResponse, StartRun
from oakkeel.resource_limits import MS, SECOND, ResourceLimits
from oakkeel.stream_buffers import BufferPool, MalformedInputError, ReadBuffer
from tests.support.fake_host import GROUP, FakeHost
from tests.support.node_process import NODE_SETTINGS, WAIT

RESOURCE_LIMITS = ResourceLimits(sockets=1024, memory=192 * 2**20, stop_after=3 * SECOND)
LOG = EventLog("test", 0)


def exchange(
    request_id: bytes = b"9b1f03aa5c7e2d41", mark: bytes = b"", request_class=GROUP, **fields
) -> NodeRequest:
    return NodeRequest(
        **{
            **dict(
                request_class=request_class,
                tenant=None,
                client=0,
                memory_kb=50,
                retry_attempt=False,
                remaining_time=5 * SECOND,
                queueing_delay=0,
                has_key=bool(mark),
                is_duplicate=False,
                request_id=request_id,
                tag=1,
                class_name=b"quote",
                body=b"",
                cache_key=(request_class.index, mark) if mark else None,
                connection=None,
            ),
            **fields,
        }
    )


async def finished_call(request: NodeRequest) -> CallFinished:
    """The next event of a request, which must be the end of its call."""
    event = await asyncio.wait_for(request.next_event(), WAIT)
    if not isinstance(event, CallFinished):
        raise AssertionError(f"not the end of a call: {event}")
    return event


def split(data: bytes, step: int, parse) -> list:
    """What a parser makes of bytes that come in pieces of one size."""
    read_buffer, found = ReadBuffer(BufferPool(512, 1)), []
    for at in range(0, len(data), step):
        piece = data[at : at + step]
        read_buffer.buffer[read_buffer.end : read_buffer.end + len(piece)] = piece
        read_buffer.end += len(piece)
        found += parse(read_buffer)
    return found


class ParserStories(unittest.TestCase):
    def test_arrays_are_the_same_in_pieces_of_any_size(self):
        wanted = [
            [b"CALL", b"7", b"checkout", b"req=1", b"*1\r\n$\r\n\0"],
            [b"CANCEL", b"7"],
            [b"CHECK", b"8", b""],
        ]
        data = b"".join(encode(*words) for words in wanted)
        for step in (1, 2, 3, 7, len(data)):
            self.assertEqual(split(data, step, lambda read_buffer: list(arrays(read_buffer, 16))), wanted)

    def test_what_is_no_array_is_named(self):
        for data in (
            b"CALL 7\r\n",
            b"*0\r\n",
            b"*99\r\n",
            b"*1\r\n:1\r\n",
            b"*1\r\n$1\r\nxyz",
            b"*x\r\n",
            b"*" + b"1" * 20,
            b"*1\r\n$600\r\n",
            b"*1\r\n$-1\r\n",
        ):
            with self.assertRaises(MalformedInputError, msg=data):
                split(data, len(data), lambda read_buffer: list(arrays(read_buffer, 16)))

    def test_lines_are_the_same_in_pieces_of_any_size(self):
        wanted = [
            ([b"HELLO", b"steady", b"12.5"], b""),
            ([b"DONE", b"1", b"9b1f", b"success", b"77.4", b"6"], b"\r\nDONE"),
            ([b"NEED", b"2", b"9b1f", b"0"], b""),
            ([b"9b1f", b"DATA", b"3"], b"a\r\n"),
        ]
        data = b"".join(
            b" ".join(words) + b"\r\n" + (body + b"\r\n" if at else b"")
            for at, (words, body) in enumerate(wanted)
        )
        with_body = frozenset({(0, b"DONE"), (0, b"NEED"), (1, b"DATA")})
        for step in (1, 2, 5, len(data)):
            parsers = {}
            found = split(
                data,
                step,
                lambda read_buffer: list(
                    parsers.setdefault(0, LineParser(read_buffer, with_body, 16)).messages()
                ),
            )
            self.assertEqual(found, wanted)

    def test_lines_that_cant_be_read_are_named(self):
        for data in (
            b"\r\n",
            b"DONE 1 x success 1 many\r\n",
            b"DONE 1 x success 1 9999\r\n",
            b"DONE 1 x success 1 2\r\nabcd",
        ):
            with self.assertRaises(MalformedInputError, msg=data):
                split(
                    data,
                    len(data),
                    lambda buffer: list(LineParser(buffer, frozenset({(0, b"DONE")}), 16).messages()),
                )

    def test_buffers_are_used_again_and_their_number_is_bounded(self):
        pool = BufferPool(64, 1)
        first = pool.lease()
        self.assertRaises(MemoryError, pool.lease)
        pool.release(first)
        self.assertIs(pool.lease(), first)

    def test_nested_json_and_text_give_a_node_the_same_limits(self):
        values = flatten(NODE_SETTINGS)
        text = "\n".join(f"{path}={value}" for path, value in values.items())
        self.assertEqual(values["classes.count"], "4")
        self.assertEqual(str(read_limits(Pairs(values)).request_classes[0].latency_objective), "8000000000")
        self.assertEqual(Pairs.from_text(text).values, values)


class CatalogueStories(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.peers: asyncio.Queue[tuple] = asyncio.Queue()
        self.writers = []
        self.server = await asyncio.start_server(self._accepted, "127.0.0.1", 0)
        address = self.server.sockets[0].getsockname()
        self.catalogue = Catalogue(address, BufferPool(8192, 99), RESOURCE_LIMITS, LOG)

    async def _accepted(self, reader, writer):
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

    async def _replied(self):
        """An exchange whose call came back, and the link that it was on."""
        request = exchange()
        self.catalogue.fetch(request, time.monotonic_ns() + 20 * SECOND, b"")
        _, writer = await asyncio.wait_for(self.peers.get(), WAIT)
        writer.write(b"%s FAULT\r\n" % request.request_id)
        await request.next_event()
        return request, self.catalogue.links[0]

    async def test_a_late_reply_is_not_taken_for_that_of_the_next_call(self):
        # Replies name only the exchange: one that crosses the QUIT of its call looked like its successor's.
        request = exchange()
        self.catalogue.fetch(request, time.monotonic_ns() + 50 * MS, b"first")
        reader, writer = await asyncio.wait_for(self.peers.get(), WAIT)
        self.assertTrue((await reader.readline()).startswith(b"FETCH"))
        self.assertEqual((await finished_call(request)).outcome, Outcome.TIMED_OUT)
        self.catalogue.fetch(request, time.monotonic_ns() + 20 * SECOND, b"second")
        again, writer_again = await asyncio.wait_for(self.peers.get(), WAIT)
        await again.readline()
        writer.write(b"%s DATA 3\r\nold\r\n" % request.request_id)
        await writer.drain()
        self.assertEqual([await reader.readline() for _ in range(2)][1][:4], b"QUIT")
        writer_again.write(b"%s DATA 3\r\nnew\r\n" % request.request_id)
        finished = await finished_call(request)
        self.assertEqual((finished.outcome, finished.reply), (Outcome.COMPLETED, b"new"))

    async def test_each_reply_is_the_outcome_that_it_proves(self):
        for word, outcome in (
            (b"LATER", Outcome.REJECTED),
            (b"FAULT", Outcome.ERROR),
            (b"NOUSE", Outcome.NEVER_STARTED),
            (b"TOOSLOW", Outcome.TIMED_OUT),
        ):
            request = exchange(b"%016x" % len(word))
            self.catalogue.fetch(request, time.monotonic_ns() + 20 * SECOND, b"")
            if not self.catalogue.links[0].connected:
                _, writer = await asyncio.wait_for(self.peers.get(), WAIT)
            writer.write(b"%s %s\r\n" % (request.request_id, word))
            self.assertEqual((await finished_call(request)).outcome, outcome)
        self.assertEqual(len(self.catalogue.links), 1)

    async def _placed(self, request_id):
        """An exchange whose call is at the catalogue, with the two ends of its link there."""
        request = exchange(request_id)
        self.catalogue.fetch(request, time.monotonic_ns() + 20 * SECOND, b"")
        reader, writer = await asyncio.wait_for(self.peers.get(), WAIT)
        await reader.readline()
        return request, writer

    async def test_a_reply_that_breaks_its_link_costs_no_other_call(self):
        # With four links for all, each spoilt, silent or reset one took the calls beside it along.
        other, other_writer = await self._placed(b"0123456789abcdef")
        for number, spoilt in enumerate(
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
            request, writer = await self._placed(b"%016x" % number)
            writer.write(spoilt.replace(b"%s", request.request_id))
            self.assertEqual((await finished_call(request)).outcome, Outcome.RESET, spoilt)
        other_writer.write(b"%s DATA 2\r\nok\r\n" % other.request_id)
        finished = await finished_call(other)
        self.assertEqual((finished.outcome, finished.reply), (Outcome.COMPLETED, b"ok"))

    async def test_a_good_reply_counts_though_more_comes_with_it_and_its_link_takes_no_other_call(self):
        stray = b"feedfeedfeedfeed DATA 1\r\nx\r\n%s"
        for number, (ahead, behind) in enumerate(((b"%s", b"%s"), (stray, b""))):
            request, writer = await self._placed(b"%016x" % number)
            reply = b"%s DATA 2\r\nok\r\n" % request.request_id
            writer.write(ahead.replace(b"%s", reply) + behind.replace(b"%s", reply))
            finished = await finished_call(request)
            self.assertEqual((finished.outcome, finished.reply), (Outcome.COMPLETED, b"ok"))
            self.catalogue.fetch(request, time.monotonic_ns() + 20 * SECOND, b"next")
            await asyncio.wait_for(self.peers.get(), WAIT)  # a link of its own
            request.call.give_up(None)

    async def test_a_link_on_which_a_call_went_unanswered_takes_no_other(self):
        request, writer = await self._placed(b"0123456789abcdef")
        link = request.call.link
        request.call.give_up()
        await self._placed(b"1123456789abcdef")
        self.assertTrue(link.stream.closed())

    async def test_an_idle_link_is_not_used_again_just_before_it_is_closed(self):
        request, first = await self._replied()
        first.last_used -= RESOURCE_LIMITS.call_idle_timeout + SECOND
        self.catalogue.fetch(request, time.monotonic_ns() + 20 * SECOND, b"")
        self.assertTrue(first.stream.closed())
        self.assertIsNot(self.catalogue.links[0], first)

    async def test_a_link_that_has_just_broken_takes_no_call(self):
        # Its reader had not run yet: the call was placed on it and told as reset, though it never left.
        request, first = await self._replied()
        first.stream.close()
        self.catalogue.fetch(request, time.monotonic_ns() + 20 * SECOND, b"again")
        reader, _ = await asyncio.wait_for(self.peers.get(), WAIT)
        self.assertTrue((await reader.readline()).startswith(b"FETCH"))

    async def test_a_reply_that_is_cut_in_half_proves_nothing_and_ends_its_link(self):
        request = exchange()
        self.catalogue.fetch(request, time.monotonic_ns() + 20 * SECOND, b"")
        _, writer = await asyncio.wait_for(self.peers.get(), WAIT)
        writer.write(b"%s DATA 10\r\nhalf" % request.request_id)
        self.assertEqual((await finished_call(request)).outcome, Outcome.RESET)
        self.assertTrue(self.catalogue.links[0].stream.closed())

    async def test_a_link_that_the_catalogue_closed_unseen_takes_no_call(self):
        # Its end was in the kernel already: the call was told as reset, though nobody ever read it.
        request, first = await self._replied()
        self.writers[0].get_extra_info("socket").shutdown(socket.SHUT_WR)
        other = exchange()
        self.catalogue.fetch(other, time.monotonic_ns() + 20 * SECOND, b"again")
        self.assertIsNot(other.call.link, first)
        reader, _ = await asyncio.wait_for(self.peers.get(), WAIT)
        self.assertTrue((await reader.readline()).startswith(b"FETCH"))

    async def test_a_call_for_which_there_is_no_descriptor_is_unreached(self):
        # The error ended its exchange as if the call might have run.
        def none(*words):
            raise OSError(errno.EMFILE, "forced")

        request = exchange()
        with unittest.mock.patch("oakkeel.catalogue.links.socket.socket", none):
            self.catalogue.fetch(request, time.monotonic_ns() + 20 * SECOND, b"")
        self.assertEqual((await finished_call(request)).outcome, Outcome.CONNECT_FAILED)

    async def test_a_call_that_waits_for_its_connection_when_its_time_is_up_never_ran(self):
        request = exchange()
        self.catalogue.fetch(request, time.monotonic_ns() + 20 * SECOND, b"first")
        request.call.give_up()
        self.assertEqual((await finished_call(request)).outcome, Outcome.CONNECT_FAILED)
        self.catalogue.fetch(request, time.monotonic_ns() + 20 * SECOND, b"second")
        readers = [(await asyncio.wait_for(self.peers.get(), WAIT))[0] for _ in range(2)]
        self.catalogue.links[0].stream.close()
        self.assertEqual(await asyncio.wait_for(readers[0].read(), WAIT), b"")
        await readers[1].readline()
        self.assertEqual(await readers[1].readline(), b"second\r\n")


class EngineStories(unittest.IsolatedAsyncioTestCase):
    async def test_an_error_of_ours_at_a_notice_makes_the_link_anew(self):
        # Without its engine's notices a node would answer nothing more.
        attached = asyncio.Queue()

        async def accepted(reader, writer):
            writer.write(b"HELLO steady 1\r\n")
            attached.put_nowait(await reader.readline())
            await reader.read()
            writer.close()

        def started(cold, age):
            raise RuntimeError("a defect")

        server = await asyncio.start_server(accepted, "127.0.0.1", 0)
        link = EngineLink(server.sockets[0].getsockname(), BufferPool(8192, 9), RESOURCE_LIMITS, LOG, started)
        serving = asyncio.ensure_future(link.serve())
        for _ in range(2):
            self.assertEqual(await asyncio.wait_for(attached.get(), WAIT), b"ATTACH 0\r\n")
        serving.cancel()
        await asyncio.wait((serving,))
        server.close()

    async def test_a_link_that_finds_no_buffer_tries_again(self):
        # The error ended the tries: the node never reached its engine again.
        attached = asyncio.Queue()

        async def accepted(reader, writer):
            attached.put_nowait(await reader.readline())
            writer.close()

        server = await asyncio.start_server(accepted, "127.0.0.1", 0)
        pool = BufferPool(8192, 0)
        link = EngineLink(server.sockets[0].getsockname(), pool, RESOURCE_LIMITS, LOG, lambda cold, age: None)
        serving = asyncio.ensure_future(link.serve())
        for _ in range(9):
            await asyncio.sleep(0)
        pool.unallocated = 9
        self.assertEqual(await asyncio.wait_for(attached.get(), WAIT), b"ATTACH 0\r\n")
        serving.cancel()
        await asyncio.wait((serving,))
        server.close()

    async def test_a_command_just_before_a_break_is_sent_again_though_gauges_came_back_after_it(self):
        # A break takes the youngest commands with it, also those that the engine had read.
        commands, up, links = asyncio.Queue(), asyncio.Event(), []

        async def accepted(reader, writer):
            links.append(writer)
            while line := await reader.readline():
                verb, word = (*line.split(), b"", b"")[:2]
                if verb == b"RUN":
                    commands.put_nowait(word)
                elif verb == b"STAT":
                    writer.write(b"STATS %s 0 0 0 0\r\n" % word)
                elif verb == b"ATTACH":
                    writer.write(b"HELLO steady 1\r\n")
            writer.close()

        server = await asyncio.start_server(accepted, "127.0.0.1", 0)
        link = EngineLink(
            server.sockets[0].getsockname(),
            BufferPool(8192, 9),
            RESOURCE_LIMITS,
            LOG,
            lambda cold, age: up.set(),
        )
        serving = asyncio.ensure_future(link.serve())
        await asyncio.wait_for(up.wait(), WAIT)
        request = exchange()
        link.run(request)
        self.assertEqual(await asyncio.wait_for(commands.get(), WAIT), request.request_id)
        await asyncio.wait_for(link.ask_gauges(), WAIT)
        links[0].close()
        self.assertEqual(await asyncio.wait_for(commands.get(), WAIT), request.request_id)
        serving.cancel()
        await asyncio.wait((serving,))
        server.close()

    async def test_a_link_that_was_just_connecting_when_told_of_another_engine_goes_there(self):
        # It stayed with the old one, which takes nothing new and would never say how it started.
        attached = asyncio.Queue()

        async def accepted(reader, writer):
            attached.put_nowait((writer.get_extra_info("sockname"), await reader.readline()))
            await reader.read()
            writer.close()

        old, new = [await asyncio.start_server(accepted, "127.0.0.1", 0) for _ in range(2)]
        addresses = [server.sockets[0].getsockname() for server in (old, new)]
        link = EngineLink(addresses[0], BufferPool(8192, 9), RESOURCE_LIMITS, LOG, lambda cold, age: None)
        serving = asyncio.ensure_future(link.serve())
        await asyncio.sleep(0)
        link.move(addresses[1])
        said = (None, b"")
        while said[1] != b"ATTACH 0\r\n":
            said = await asyncio.wait_for(attached.get(), WAIT)
        self.assertEqual(said[0], addresses[1])
        serving.cancel()
        await asyncio.wait((serving,))
        old.close()
        new.close()


class ListenerStories(unittest.TestCase):
    def test_one_that_has_just_come_is_not_taken_for_one_that_says_nothing(self):
        # In a flood of silent connections what a dispatcher has just sent is not read yet.
        class Stand:
            closed = False

            def is_idle(self):
                return not self.closed

            def evict(self):
                self.closed = True
                return False  # it needs no descriptor any more

        listener = Listener(("127.0.0.1", 0), BufferPool(8192, 9), RESOURCE_LIMITS, None, LOG)
        self.addCleanup(listener.socket.close)
        old, new, held = Stand(), Stand(), Stand()
        listener.without_requests = {old: time.monotonic_ns() - SECOND, new: time.monotonic_ns() + SECOND}
        listener.idle = {held: 0}
        for closed in (old, held, new):
            self.assertTrue(listener._evict_one())
            self.assertTrue(closed.closed)
        self.assertFalse(listener._evict_one())


class FloodStories(unittest.IsolatedAsyncioTestCase):
    async def test_what_waits_to_be_accepted_when_listening_ends_is_still_served(self):
        # Its exchange was written to a connection that the machine had taken, and got no answer.
        listener = Listener(
            ("127.0.0.1", 0), BufferPool(8192, RESOURCE_LIMITS.max_buffers), RESOURCE_LIMITS, None, LOG
        )
        listener.socket.listen(40)
        callers = [socket.create_connection(listener.socket.getsockname()) for _ in range(40)]
        listener.open()
        await listener.close()
        self.assertEqual(len(listener.connections), len(callers))
        for opened in (*listener.connections, *callers):
            opened.close()
        await listener.wait_closed()

    async def test_a_flood_of_connections_is_accepted_a_few_at_a_time(self):
        # All that waited were accepted in one pass: 180 ms in which nothing else was read or answered.
        listener = Listener(
            ("127.0.0.1", 0), BufferPool(8192, RESOURCE_LIMITS.max_buffers), RESOURCE_LIMITS, None, LOG
        )
        listener.socket.listen(40)
        callers = [socket.create_connection(listener.socket.getsockname()) for _ in range(40)]
        listener.open()
        seen = []
        while len(listener.connections) < len(callers):
            await asyncio.sleep(0)
            seen.append(len(listener.connections))
        steps = [after - before for before, after in zip([0, *seen], seen, strict=False)]
        self.assertLessEqual(max(steps), RESOURCE_LIMITS.accepts_per_pass)
        await listener.close()
        for opened in (*listener.connections, *callers):
            opened.close()
        await listener.wait_closed()


class ReportStories(unittest.IsolatedAsyncioTestCase):
    async def test_a_change_is_told_again_at_once_as_one_report_may_be_lost(self):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as directory:
            directory.bind(("127.0.0.1", 0))
            directory.setblocking(False)
            loop = asyncio.get_running_loop()
            reports = DirectoryReporter(
                directory.getsockname(), "n3", replace(RESOURCE_LIMITS, report_interval=600 * SECOND)
            )
            reports.start()
            reports.set_accepting(False)
            said = [await asyncio.wait_for(loop.sock_recv(directory, 99), WAIT) for _ in range(4)]
            reports.close()
            self.assertEqual(said, [b"PULSE n3 open"] + [b"PULSE n3 closed"] * 3)


class KeptStories(unittest.TestCase):
    def test_a_read_is_shared_while_fresh_and_not_after(self):
        kept, first = ResponseCache(RESOURCE_LIMITS, SECOND), exchange(mark=b"s")
        now = time.monotonic_ns()
        kept.retain(first, now, 5 * SECOND)
        self.assertTrue(kept.find(exchange(mark=b"s"), now))
        kept.finish(first, Outcome.COMPLETED, b"r")
        self.assertTrue(kept.find(exchange(mark=b"s"), now + SECOND // 2))
        self.assertFalse(kept.find(exchange(mark=b"s"), now + 2 * SECOND))
        self.assertFalse(kept.find(exchange(mark=b"other"), now))

    def test_followers_of_one_that_is_dropped_unrun_are_told(self):
        kept, first, follower = (
            ResponseCache(RESOURCE_LIMITS, SECOND),
            exchange(mark=b"s"),
            exchange(mark=b"s"),
        )
        kept.retain(first, 0, SECOND)
        kept.find(follower, 0)
        kept.share(follower)
        kept.release(first)
        self.assertEqual(follower.events.popleft(), SharedResponse(Outcome.REJECTED, b""))
        self.assertFalse(kept.find(exchange(mark=b"s"), 0))

    def test_what_is_kept_is_bounded_and_a_key_that_must_not_run_twice_is_never_dropped(self):
        resource_limits = replace(RESOURCE_LIMITS, memory=4 * RESOURCE_LIMITS.result_size * 2)  # room for two
        once = replace(
            GROUP,
            idempotency=FakeHost(request_classes=[{}])
            .limits.request_classes[0]
            .idempotency.__class__.IDEMPOTENCY_KEY,
        )
        kept = ResponseCache(resource_limits, SECOND)
        kept.retain(exchange(mark=b"a", request_class=once), 0, SECOND)
        kept.retain(exchange(mark=b"b"), 0, SECOND)
        kept.retain(exchange(mark=b"c", request_class=once), 0, SECOND)  # in place of the read
        self.assertEqual([key for _, key in kept.entries], [b"a", b"c"])
        self.assertTrue(kept.full(SECOND // 2))
        self.assertTrue(kept.full(SECOND))  # one that came before may be read as late as its caller waits
        self.assertFalse(kept.full(SECOND + GROUP.client_timeout))


class LifeStories(unittest.IsolatedAsyncioTestCase):
    async def test_an_error_answers_its_exchange_and_the_next_one_lives(self):
        said = []

        class Parts:  # the host, the decisions, the engine, the catalogue and a connection in one
            def __getattr__(self, name):
                return lambda *words: said.append((name, *words))

            def notify(self, act, *words):
                act(0, *words)

            def arrive(self, now, request):
                raise RuntimeError("a defect")

        parts = Parts()
        parts.admission = parts
        handler = RequestHandler(parts, parts, parts, ResponseCache(RESOURCE_LIMITS, 0), Metrics(), LOG)
        for _ in range(2):
            request = exchange(connection=parts)
            await asyncio.wait_for(handler.handle(request), 5)
            self.assertIn(("answer", request, b"fault", b"", False, 0), said)

    async def test_events_come_in_order(self):
        request = exchange()
        request.post(StartRun())
        request.post(CancelRun())
        self.assertEqual([await request.next_event(), await request.next_event()], [StartRun(), CancelRun()])
        waiting = asyncio.ensure_future(request.next_event())
        await asyncio.sleep(0)
        request.post(ClientDisconnected())
        self.assertEqual(await waiting, ClientDisconnected())
        self.assertEqual(request.state, RequestState.READ)


if __name__ == "__main__":
    unittest.main()
