"""Stories of starts, ends and hand-overs of the program: signals and silent parties between its lines."""

import asyncio
import contextlib
import json
import os
import signal
import socket
import tempfile
import threading
import time
import unittest
from dataclasses import replace

from oakkeel.dispatch.resp import encode
from oakkeel.engine.link import EngineLink
from oakkeel.resource_limits import MS, SECOND
from oakkeel.stream_buffers import BufferPool, connect
from tests.control.test_control import ControlStory
from tests.engine.test_links import LOG, RESOURCE_LIMITS, exchange
from tests.support.node_process import WAIT, NodeStory, until_refused


class SignalStories(NodeStory):
    def held_at_its_file(self):
        """A node that is reading its configuration, out of a pipe that nobody has written to yet."""
        path = os.path.join(self.enterContext(tempfile.TemporaryDirectory()), "config.json")
        os.mkfifo(path)
        real, opened = self.launch, {}

        def launch():
            self.variables = {"PROXY_CONFIG": path}
            real(None)
            opened["file"] = os.fdopen(os.open(path, os.O_WRONLY), "w")  # waits until the node has it open

        launch()
        return path, opened["file"]

    def test_a_signal_to_leave_before_anything_stands_is_heard_when_it_does(self):
        # It ended the process as if it had crashed.
        _, file = self.held_at_its_file()
        self.process.send_signal(signal.SIGTERM)
        with file:
            json.dump(self.told(), file)
        self.log("drain_started")
        self.assertEqual(self.process.wait(WAIT), 0)

    def test_a_hangup_before_anything_stands_reads_the_file_again_when_it_does(self):
        path, file = self.held_at_its_file()
        self.process.send_signal(signal.SIGHUP)
        with open(path + ".new", "w") as new:
            json.dump(self.told(), new)
        os.replace(path + ".new", path)
        with file:
            json.dump(self.told(), file)
        self.log("configuration_reloaded")
        self.engine.attach()
        self.engine.done(self.dispatcher_of().call() and self.engine.next()[1])

    def dispatcher_of(self):
        self.port = self.port_of()
        return self.dispatcher()

    def port_of(self) -> int:
        """Of the one socket that the process listens on."""
        inodes = set()
        for number in os.listdir(f"/proc/{self.process.pid}/fd"):
            with contextlib.suppress(OSError):
                inodes.add(os.readlink(f"/proc/{self.process.pid}/fd/{number}"))
        with open("/proc/net/tcp") as file:
            rows = [line.split() for line in file][1:]
        return next(
            int(row[1].split(":")[1], 16) for row in rows if row[3] == "0A" and f"socket:[{row[9]}]" in inodes
        )

    def test_signals_when_all_is_done_change_nothing_of_how_it_ends(self):
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            self.begin()
            self.process.send_signal(signal.SIGTERM)
            self.log("node_stopped")
            with contextlib.suppress(ProcessLookupError):
                for _ in range(50):
                    self.process.send_signal(number)
            self.assertEqual(self.process.wait(WAIT), 0)
            self.process.stderr.close()

    def test_a_signal_between_the_greeting_and_the_first_exchange_ends_it_cleanly(self):
        self.begin()
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.process.wait(WAIT), 0)

    def test_a_signal_with_exchanges_held_running_and_at_a_call_answers_each(self):
        self.begin()
        dispatcher = self.dispatcher()
        idents = [dispatcher.call("card") for _ in range(6)]
        started = [self.engine.next()[1] for _ in range(4)]
        self.engine.need(started[0])
        link = self.catalogue_link()
        self.assertEqual(link.next()[:2], ("FETCH", started[0]))
        self.process.send_signal(signal.SIGTERM)
        self.process.send_signal(signal.SIGTERM)
        self.log("drain_started")
        link.say(f"{started[0]} DATA 5", b"reply")
        self.engine.done(started[1])
        seen = {started[0]: False}
        for _ in range(3):  # the reply, and the two that were held
            verb, ident, *_ = self.engine.next()
            seen[ident] = verb == "RUN"
            self.engine.done(ident)
        for ident in started[2:]:
            self.engine.done(ident)
        self.assertEqual(set(seen), set(idents) - set(started[1:]))
        self.assertEqual(sorted(dispatcher.answer()[:2] for _ in idents), [(n, b"ok") for n in range(1, 7)])
        dispatcher.close()
        self.assertEqual(self.process.wait(WAIT), 0)

    def test_a_signal_between_the_halves_of_exchanges_serves_what_is_whole_within_the_grace(self):
        self.begin()
        pairs = [self.dispatcher() for _ in range(2)]
        for each in pairs:
            each.socket.sendall(self.whole()[:20])
            seen = self.dispatcher()  # the loop has looked since
            seen.send("CHECK", "1", "")
            self.assertEqual(seen.answer()[1], b"yes")
        self.process.send_signal(signal.SIGTERM)
        for each in pairs:
            self.assertEqual(each.next(), [b"0", b"last"])
        pairs[0].socket.sendall(self.whole()[20:])
        ident = self.engine.next()[1]
        until_refused(self.port)  # the grace ends
        pairs[1].socket.sendall(self.whole()[20:])
        self.assertEqual(pairs[1].answer()[:2], (1, b"full"))
        self.engine.done(ident)
        self.assertEqual(pairs[0].answer()[:2], (1, b"ok"))
        for each in pairs:
            each.close()
        self.assertEqual(self.process.wait(WAIT), 0)

    def whole(self) -> bytes:
        """An exchange that comes now; its first 20 bytes are always the same."""
        fields = b"req=%016x,ts=%d,need=1,timeout=9000" % (time.time_ns(), time.time_ns() // MS)
        return encode(b"CALL", b"1", b"quote", fields, b"body")

    def test_a_signal_to_leave_during_a_move_of_the_engine_loses_nothing(self):
        dispatcher, ident = self.running("card")
        self.replace_parties()
        self.reload(self.told())
        self.log("configuration_reloaded")
        self.process.send_signal(signal.SIGTERM)
        self.log("drain_started")
        self.engine.attach()
        self.engine.done(ident)
        self.assertEqual(dispatcher.answer()[:2], (1, b"ok"))
        dispatcher.close()
        self.assertEqual(self.process.wait(WAIT), 0)

    def test_a_file_that_is_cut_missing_or_of_others_changes_no_groups(self):
        self.begin()
        whole = json.dumps(self.told())
        for text in (
            whole[: len(whole) // 2],
            "",
            "[" * 100_000,
            self.told(seed=[]),
            self.told(seed={}),
            self.told(limits=[1]),
            self.told(settings=[1]),
            self.told(stop_ms=None),
        ):
            self.reload(text)
            self.assertEqual(self.log("configuration").count("configuration_rejected"), 1)
        os.rename(self.config, self.config + ".gone")
        self.process.send_signal(signal.SIGHUP)
        self.log("configuration_rejected")
        os.rename(self.config + ".gone", self.config)
        others = self.settings()
        others["classes"] = [{**others["classes"][0], "name": "of-others"}]
        others["tenants"] = [{"name": "hall", "allowance-per-s": 1.0}]
        self.reload(self.told(settings=others))
        self.log("configuration_reloaded")
        dispatcher = self.dispatcher()
        dispatcher.call("of-others")
        self.assertEqual(dispatcher.answer()[:2], (1, b"fault"))
        ident = dispatcher.call("quote")
        self.engine.done(self.engine.next()[1])
        self.assertEqual(dispatcher.answer()[:2], (2, b"ok"), ident)


class StopStories(NodeStory):
    def test_dispatchers_that_close_nothing_do_not_keep_it_until_it_is_killed(self):
        # It waited for them until the kill; what takes nothing is in test_crossings.
        self.begin(stop_ms=1500)
        resting, stuck = self.dispatcher(), self.dispatcher()
        self.engine.done(resting.call() and self.engine.next()[1])
        self.assertEqual(resting.answer()[1], b"ok")
        stuck.send("CHECK", "1", "")
        self.process.send_signal(signal.SIGTERM)
        self.log("drain_deadline_reached")
        self.assertEqual(self.process.wait(WAIT), 0)
        self.assertEqual(resting.next(), [b"0", b"last"])
        self.assertEqual(resting.next(), [])  # a clean end

    def test_one_that_rests_after_the_grace_and_then_sends_is_answered_or_proves_that_nothing_ran(self):
        self.begin()
        resting = self.dispatcher()
        self.engine.done(resting.call() and self.engine.next()[1])
        self.assertEqual(resting.answer()[1], b"ok")
        self.process.send_signal(signal.SIGTERM)
        until_refused(self.port)  # the grace ends
        resting.call(tag=2)
        answers = []
        while words := resting.next():
            answers.append(words[:2])
        self.assertIn(answers, ([[b"0", b"last"], [b"2", b"full"]], [[b"0", b"last"]]))
        self.assertEqual(self.process.wait(WAIT), 0)
        self.assertTrue(self.engine.next() == ("END",))

    def test_one_connect_after_the_other_does_not_keep_it_from_the_end_of_its_grace(self):
        self.begin(stop_ms=20_000)
        ended = threading.Event()

        def connects():
            with contextlib.suppress(OSError):
                while not ended.is_set():
                    socket.create_connection(("127.0.0.1", self.port), timeout=WAIT).close()
            ended.set()

        flood = [threading.Thread(target=connects, daemon=True) for _ in range(4)]
        for each in flood:
            each.start()
        self.process.send_signal(signal.SIGTERM)
        self.assertTrue(ended.wait(WAIT))
        self.assertEqual(self.process.wait(WAIT), 0)
        for each in flood:
            each.join(WAIT)


class ReadyStories(ControlStory):
    def no_report(self) -> None:
        self.directory.setblocking(False)
        self.assertRaises(BlockingIOError, self.directory.recv, 99)
        self.directory.settimeout(WAIT)

    def test_it_is_listed_only_once_it_takes_exchanges(self):
        # It told `open` from its first moment, also in a second life whose engine was not there.
        self.begin(attach=False)
        dispatcher = self.dispatcher()
        dispatcher.send("CHECK", "1", "")
        self.assertEqual(dispatcher.answer()[1], b"no")
        self.no_report()
        self.engine.attach()
        self.assertEqual(self.report(), "PULSE n3 open")
        dispatcher.send("CHECK", "2", "")
        self.assertEqual(dispatcher.answer()[1], b"yes")
        self.engine.done(dispatcher.call(tag=3) and self.engine.next()[1])
        self.assertEqual(dispatcher.answer()[:2], (3, b"ok"))

    def test_one_told_to_leave_before_its_engine_is_up_is_never_listed(self):
        self.begin(attach=False)
        held = self.dispatcher()
        held.send("CHECK", "1", "")
        self.assertEqual(held.answer()[1], b"no")
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(held.next(), [b"0", b"last"])
        self.engine.attach()
        held.close()
        self.assertEqual(self.process.wait(WAIT), 0)
        self.no_report()

    def test_an_engine_that_comes_up_in_a_drain_that_is_taken_back_is_taken_up(self):
        # It was passed over, and the node denied everything from then on.
        self.begin(attach=False, state="booting")
        held = self.dispatcher()
        held.send("CHECK", "1", "")
        self.assertEqual(held.answer()[1], b"no")
        link = self.link()
        self.assertTrue(self.say(link, type="leave", tag=1, generation=7, within=20_000_000_000)["done"])
        self.assertEqual(held.next(), [b"0", b"last"])
        self.engine.attach(age="1000.0", answer=False)
        self.engine.say(f"HELLO booting {self.engine.age()}")
        barrier = self.engine.stream.readline().split()  # asked for behind the greeting, which is read
        self.assertEqual(self.say(link, type="ask", tag=2)["state"], "draining")
        self.engine.say(f"STATS {barrier[1].decode()} {self.engine.gauges}")
        reading = threading.Thread(
            target=self.engine._read, daemon=True, args=(self.engine.stream, self.engine.commands)
        )
        reading.start()
        self.engine.answering = True
        self.assertTrue(self.say(link, type="stay", tag=3, generation=7)["done"])
        self.log("engine_ready")
        self.assertEqual(self.say(link, type="ask", tag=4)["state"], "cold")
        fresh = self.dispatcher()
        self.engine.done(fresh.call() and self.engine.next()[1])
        self.assertEqual(fresh.answer()[1], b"ok")

    def test_a_directory_that_is_not_there_or_moves_holds_nothing_up(self):
        self.begin(lookup="127.0.0.1:1")
        dispatcher = self.dispatcher()
        self.engine.done(dispatcher.call() and self.engine.next()[1])
        self.assertEqual(dispatcher.answer()[1], b"ok")
        self.reload(self.told())
        self.assertEqual(self.report(), "PULSE n3 open")


class HandOverStories(NodeStory):
    def test_a_second_break_while_a_link_is_taken_up_runs_nothing_twice(self):
        dispatcher, ident = self.running("pay")
        self.engine.lose()
        for _ in range(3):  # greeted, asked for gauges, and gone again
            self.engine.attach(answer=False)
            self.engine.say(f"HELLO steady {self.engine.age()}")
            self.assertEqual(self.engine.stream.readline().split()[0], b"STAT")
            self.engine.lose()
            self.engine.stream.close()
        self.engine.attach()
        late = dispatcher.call("pay")
        self.assertEqual(self.engine.next()[:2], ("RUN", late))  # the first one is not sent again
        self.engine.done(ident)
        self.engine.done(late)
        self.assertEqual(sorted(dispatcher.answer()[:2] for _ in range(2)), [(1, b"ok"), (2, b"ok")])

    def test_a_halt_that_was_unread_at_a_break_is_sent_again(self):
        dispatcher, ident = self.running("card")
        self.engine.lose()
        self.log("engine_link_lost")
        dispatcher.send("CANCEL", "1")
        dispatcher.send("CHECK", "9", "")
        self.assertEqual(dispatcher.answer()[0], 9)
        self.engine.attach()
        seen = [self.engine.next()[:2] for _ in range(2)]
        self.assertIn(("HALT", ident), seen)

    def test_an_engine_that_began_anew_ends_the_runs_of_the_one_before_and_takes_new_ones(self):
        # It numbers its notices from 1 again: they were taken for old ones, and nothing was ever answered.
        self.begin()
        dispatcher = self.dispatcher()
        done, lost = dispatcher.call("quote"), dispatcher.call("pay")
        self.assertEqual({self.engine.next()[1], self.engine.next()[1]}, {done, lost})
        self.engine.done(done)
        self.assertEqual(dispatcher.answer()[:2], (1, b"ok"))
        self.engine.lose()
        self.log("engine_link_lost")
        waiting = dispatcher.call("card")  # never sent: it belongs to the one that comes
        dispatcher.send("CHECK", "9", "")
        self.assertEqual(dispatcher.answer()[0], 9)
        self.engine.number = 0
        self.assertEqual(self.engine.attach("booting", "5.0", answer=False), 1)
        self.engine.say("HELLO booting 5.0")
        self.assertEqual(self.engine.attach("booting"), 0)
        self.assertEqual(dispatcher.answer()[:2], (2, b"fault"))  # it may have run, and never runs again
        self.assertEqual(self.engine.next()[:2], ("RUN", waiting))
        self.engine.done(waiting)
        self.assertEqual(dispatcher.answer()[:2], (3, b"ok"))
        fresh = dispatcher.call("pay", tag=10)
        self.assertEqual(self.engine.next()[:2], ("RUN", fresh))
        self.engine.done(fresh)
        self.assertEqual(dispatcher.answer()[:2], (10, b"ok"))

    def test_an_engine_whose_age_comes_late_is_the_same(self):
        self.begin()
        dispatcher = self.dispatcher()
        ident = dispatcher.call("pay")
        self.assertEqual(self.engine.next()[:2], ("RUN", ident))
        self.engine.lose()
        self.assertEqual(self.engine.attach(age=str(float(self.engine.age()) - 400)), 0)
        self.engine.done(ident)
        self.assertEqual(dispatcher.answer()[:2], (1, b"ok"))

    def test_calls_in_flight_at_a_move_of_the_catalogue_end_where_they_are(self):
        dispatcher, ident, link = self.calling("card")
        old = self.catalogue
        self.catalogue = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(old.close)
        self.reload(self.told())
        self.log("configuration_reloaded")
        second = dispatcher.call("card")
        self.assertEqual(self.engine.next()[:2], ("RUN", second))
        self.engine.need(second)
        new = self.catalogue_link()
        self.assertEqual(new.next()[:2], ("FETCH", second))
        link.say(f"{ident} DATA 3", b"old")
        self.assertEqual(self.engine.next()[:2], ("FEED", ident))
        new.say(f"{second} DATA 3", b"new")
        self.assertEqual(self.engine.next()[:2], ("FEED", second))
        self.assertEqual(link.stream.readline(), b"")  # the old one ends with its last call

    def test_a_mutating_call_whose_link_closes_as_it_is_written_is_not_sent_again(self):
        dispatcher, ident, link = self.calling("pay")
        link.close()
        self.assertEqual(dispatcher.answer()[:2], (1, b"fault"))
        self.catalogue.setblocking(False)
        self.assertRaises(BlockingIOError, self.catalogue.accept)

    def test_a_request_byte_by_byte_and_an_answer_read_byte_by_byte_are_whole(self):
        self.begin()
        slow = self.dispatcher()
        slow.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        stamp = time.time_ns() // MS
        data = encode(b"CALL", b"1", b"quote", b"req=%016x,ts=%d,need=1,timeout=9000" % (7, stamp), b"body")
        for at in range(len(data)):
            slow.socket.sendall(data[at : at + 1])
        ident = self.engine.next()[1]
        self.engine.done(ident, body=b"r" * 500)
        got = b""
        while not got.endswith(b"r" * 500 + b"\r\n"):
            got += slow.socket.recv(1)


class EngineSilenceStories(unittest.IsolatedAsyncioTestCase):
    """Of the link alone, with a patience of a fifth of a second."""

    resource_limits = replace(RESOURCE_LIMITS, engine_timeout=200 * MS, engine_handover_timeout=600 * SECOND)

    async def asyncSetUp(self) -> None:
        self.ups, self.age = [], 60_000
        self.link = EngineLink(
            ("127.0.0.1", 1),
            BufferPool(8192, 9),
            self.resource_limits,
            LOG,
            lambda cold, age: self.ups.append(cold),
        )
        self.servers = []

    async def asyncTearDown(self) -> None:
        self.serving.cancel()
        await asyncio.wait((self.serving,))
        for each in self.servers:
            each.close()

    def engine(self) -> socket.socket:
        server = socket.create_server(("127.0.0.1", 0))
        server.setblocking(False)
        self.servers.append(server)
        return server

    def serve(self, server: socket.socket) -> None:
        self.link.address = server.getsockname()
        self.serving = asyncio.ensure_future(self.link.serve())

    async def attached(self, server: socket.socket, greet: bool = True):
        loop = asyncio.get_running_loop()
        opened, _ = await asyncio.wait_for(loop.sock_accept(server), WAIT)
        reader, writer = await asyncio.open_connection(sock=opened)
        self.addCleanup(opened.close)
        self.assertEqual((await asyncio.wait_for(reader.readline(), WAIT)).split()[0], b"ATTACH")
        if greet:
            self.age += 1000
            writer.write(b"HELLO steady %d\r\n" % self.age)
            tag = (await asyncio.wait_for(reader.readline(), WAIT)).split()[1]
            writer.write(b"STATS %s 0 0 0 0\r\n" % tag)
            while not self.link.open:
                await asyncio.sleep(0.001)
        return reader, writer

    async def test_a_link_that_is_taken_and_never_greeted_is_made_anew_once_the_engine_was_up(self):
        # A node whose engine moved to such an address waited for it for good.
        server = self.engine()
        self.serve(server)
        _, writer = await self.attached(server)
        writer.close()
        silent = await self.attached(server, greet=False)
        await self.attached(server)
        silent[1].close()  # until here it was open

    async def test_an_engine_that_was_never_up_may_hold_its_greeting_back(self):
        server = self.engine()
        self.serve(server)
        reader, writer = await self.attached(server, greet=False)
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(reader.read(1), 3 * self.resource_limits.engine_timeout / SECOND)
        writer.write(b"HELLO booting 10\r\n")
        self.assertEqual((await asyncio.wait_for(reader.readline(), WAIT)).split()[0], b"STAT")
        self.assertEqual(self.ups, [True])

    async def test_a_connect_that_nobody_takes_is_left_for_the_address_that_it_is_moved_to(self):
        self.link.resource_limits = replace(self.resource_limits, engine_timeout=600 * SECOND)
        deaf = socket.socket()
        self.servers.append(deaf)
        deaf.bind(("127.0.0.1", 0))
        deaf.listen(0)
        crowd = [socket.socket() for _ in range(4)]  # they fill its queue: no handshake ends any more
        for each in crowd:
            self.addCleanup(each.close)
            each.setblocking(False)
            each.connect_ex(deaf.getsockname())
        self.serve(deaf)
        while not (self.link.trying and self.link.trying.socket.fileno() > 0):
            await asyncio.sleep(0)
        for _ in range(9):
            await asyncio.sleep(0)
        self.assertIsNone(self.link.stream)
        good = self.engine()
        self.link.move(good.getsockname())
        await self.attached(good)

    async def test_a_second_move_waits_until_the_old_engine_has_read_what_was_written(self):
        # It closed the old link at once, and what may not run twice was left in doubt.
        first, second, third = self.engine(), self.engine(), self.engine()
        self.serve(first)
        reader, writer = await self.attached(first)
        request = exchange()
        self.link.run(request)
        self.link.move(second.getsockname())
        self.link.move(third.getsockname())
        self.assertEqual((await asyncio.wait_for(reader.readline(), WAIT)).split()[0], b"RUN")
        await reader.readline()
        swap = (await asyncio.wait_for(reader.readline(), WAIT)).split()
        self.assertEqual(swap[0], b"STAT")
        writer.write(b"STATS %s 0 0 0 0\r\n" % swap[1])
        await self.attached(third)
        self.assertEqual(self.link.doubtful, {})
        self.assertEqual(list(self.link.unconfirmed), [])

    async def test_a_stream_that_is_closed_as_its_connection_stands_ends_its_link_and_no_more(self):
        from tornado.iostream import StreamClosedError

        class Closed:
            socket = None

            async def connect(self, address):
                pass

            def closed(self):
                return True

        self.serving = asyncio.ensure_future(asyncio.sleep(0))
        with self.assertRaises(StreamClosedError):
            await connect(Closed(), ("127.0.0.1", 1))


if __name__ == "__main__":
    unittest.main()
