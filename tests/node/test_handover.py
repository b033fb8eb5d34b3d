"""Losses, restarts, moves and silence of the engine and the catalogue, over sockets."""

import asyncio
import socket
import time
import unittest
from dataclasses import replace

from oakkeel.dispatch.resp import encode
from oakkeel.engine.link import EngineLink
from oakkeel.stream_buffers import BufferPool, connect
from oakkeel.units import MS, SECOND
from tests.support.node_process import WAIT, NodeProcessTest
from tests.support.node_request import LOG, RESOURCE_LIMITS, node_request


class HandoverTest(NodeProcessTest):
    def test_a_second_loss_while_a_link_is_restored_runs_nothing_twice(self):
        dispatcher, ident = self.running("pay")
        self.engine.lose()
        for _ in range(3):  # greeted, asked for gauges, and lost again
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

    def test_a_halt_that_was_unread_at_a_loss_is_sent_again(self):
        dispatcher, ident = self.running("card")
        self.engine.lose()
        self.assertIn("reason=", self.log("engine_link_lost"))
        dispatcher.send("CANCEL", "1")
        dispatcher.send("CHECK", "9", "")
        self.assertEqual(dispatcher.answer()[0], 9)
        self.engine.attach()
        seen = [self.engine.next()[:2] for _ in range(2)]
        self.assertIn(("HALT", ident), seen)

    def test_a_restarted_engine_fails_the_earlier_runs_and_takes_new_ones(self):
        # It numbers its notices from 1 again: they must not be taken for duplicates.
        self.begin()
        dispatcher = self.dispatcher()
        done, lost = dispatcher.call("quote"), dispatcher.call("pay")
        self.assertEqual({self.engine.next()[1], self.engine.next()[1]}, {done, lost})
        self.engine.done(done)
        self.assertEqual(dispatcher.answer()[:2], (1, b"ok"))
        self.engine.lose()
        self.log("engine_link_lost")
        waiting = dispatcher.call("card")  # never written: the new engine runs it
        dispatcher.send("CHECK", "9", "")
        self.assertEqual(dispatcher.answer()[0], 9)
        self.engine.number = 0
        self.assertEqual(self.engine.attach("booting", "5.0", answer=False), 1)
        self.engine.say("HELLO booting 5.0")
        self.assertEqual(self.engine.attach("booting"), 0)
        self.assertEqual(dispatcher.answer()[:2], (2, b"fault"))  # it may have run, and must not run again
        self.assertEqual(self.engine.next()[:2], ("RUN", waiting))
        self.engine.done(waiting)
        self.assertEqual(dispatcher.answer()[:2], (3, b"ok"))
        fresh = dispatcher.call("pay", tag=10)
        self.assertEqual(self.engine.next()[:2], ("RUN", fresh))
        self.engine.done(fresh)
        self.assertEqual(dispatcher.answer()[:2], (10, b"ok"))

    def test_a_delayed_greeting_is_no_restart(self):
        self.begin()
        dispatcher = self.dispatcher()
        ident = dispatcher.call("pay")
        self.assertEqual(self.engine.next()[:2], ("RUN", ident))
        self.engine.lose()
        self.assertEqual(self.engine.attach(age=str(float(self.engine.age()) - 400)), 0)
        self.engine.done(ident)
        self.assertEqual(dispatcher.answer()[:2], (1, b"ok"))

    def test_calls_in_flight_at_a_move_of_the_catalogue_end_on_their_link(self):
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
        self.assertEqual(link.stream.readline(), b"")  # the earlier link closes after its last call

    def test_a_non_idempotent_call_whose_link_closes_as_it_is_written_is_not_sent_again(self):
        dispatcher, _ident, link = self.calling("pay")
        link.close()
        self.assertEqual(dispatcher.answer()[:2], (1, b"fault"))
        self.catalogue.setblocking(False)
        self.assertRaises(BlockingIOError, self.catalogue.accept)

    def test_a_request_and_an_answer_byte_by_byte_are_complete(self):
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


class EngineSilenceTest(unittest.IsolatedAsyncioTestCase):
    """The link alone, with a timeout of a fifth of a second."""

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

    async def test_a_link_without_a_greeting_reconnects_once_the_engine_was_up(self):
        # Otherwise a node whose engine moved from such an address waits for it forever.
        server = self.engine()
        self.serve(server)
        _, writer = await self.attached(server)
        writer.close()
        silent = await self.attached(server, greet=False)
        await self.attached(server)
        silent[1].close()  # until here it was open

    async def test_an_engine_that_was_never_up_may_delay_its_greeting(self):
        server = self.engine()
        self.serve(server)
        reader, writer = await self.attached(server, greet=False)
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(reader.read(1), 3 * self.resource_limits.engine_timeout / SECOND)
        writer.write(b"HELLO booting 10\r\n")
        self.assertEqual((await asyncio.wait_for(reader.readline(), WAIT)).split()[0], b"STAT")
        self.assertEqual(self.ups, [True])

    async def test_a_pending_connect_is_abandoned_for_a_new_address(self):
        self.link.resource_limits = replace(self.resource_limits, engine_timeout=600 * SECOND)
        deaf = socket.socket()
        self.servers.append(deaf)
        deaf.bind(("127.0.0.1", 0))
        deaf.listen(0)
        crowd = [socket.socket() for _ in range(4)]  # they fill its queue: no handshake completes
        for each in crowd:
            self.addCleanup(each.close)
            each.setblocking(False)
            each.connect_ex(deaf.getsockname())
        self.serve(deaf)
        while not (self.link.connecting and self.link.connecting.socket.fileno() > 0):
            await asyncio.sleep(0)
        for _ in range(9):
            await asyncio.sleep(0)
        self.assertIsNone(self.link.stream)
        good = self.engine()
        self.link.move(good.getsockname())
        await self.attached(good)

    async def test_a_second_move_waits_until_the_old_engine_has_read_what_was_written(self):
        # A close of the earlier link at once would make at-most-once runs uncertain.
        first, second, third = self.engine(), self.engine(), self.engine()
        self.serve(first)
        reader, writer = await self.attached(first)
        request = node_request()
        self.link.run(request)
        self.link.move(second.getsockname())
        self.link.move(third.getsockname())
        self.assertEqual((await asyncio.wait_for(reader.readline(), WAIT)).split()[0], b"RUN")
        await reader.readline()
        swap = (await asyncio.wait_for(reader.readline(), WAIT)).split()
        self.assertEqual(swap[0], b"STAT")
        writer.write(b"STATS %s 0 0 0 0\r\n" % swap[1])
        await self.attached(third)
        self.assertEqual(self.link.unconfirmed.uncertain_runs, {})
        self.assertEqual(list(self.link.unconfirmed.commands), [])

    async def test_a_stream_closed_at_its_connect_ends_only_its_link(self):
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
