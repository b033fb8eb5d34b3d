"""Lost links, restarts, moves and silence of the engine and the catalogue, over sockets."""

import asyncio
import socket
import time
import unittest
from dataclasses import replace

from oakkeel.dispatch.resp import encode
from oakkeel.engine.link import EngineLink
from oakkeel.stream_buffers import BufferPool, connect
from oakkeel.units import MS, SECOND
from tests.support.node_process import TIMEOUT_S, NodeProcessTest
from tests.support.node_request import EVENT_LOG, RESOURCE_LIMITS, node_request


class HandoverTest(NodeProcessTest):
    def test_a_second_loss_while_a_link_is_restored_repeats_no_run(self):
        dispatcher, request_id = self.start_request("pay")
        self.engine.drop_link()
        for _ in range(3):  # the link is lost again after the greeting and the first STAT
            self.engine.accept_link(answer=False)
            self.engine.send_line(f"HELLO steady {self.engine.age()}")
            self.assertEqual(self.engine.stream.readline().split()[0], b"STAT")
            self.engine.drop_link()
            self.engine.stream.close()
        self.engine.accept_link()
        second_id = dispatcher.call("pay")
        self.assertEqual(
            self.engine.next_command()[:2], ("RUN", second_id)
        )  # the first RUN is not sent again
        self.engine.send_done(request_id)
        self.engine.send_done(second_id)
        self.assertEqual(sorted(dispatcher.next_answer()[:2] for _ in range(2)), [(1, b"ok"), (2, b"ok")])

    def test_a_halt_that_is_unread_when_the_link_is_lost_is_sent_again(self):
        dispatcher, request_id = self.start_request("card")
        self.engine.drop_link()
        self.assertIn("reason=", self.wait_for_log("engine_link_lost"))
        dispatcher.send("CANCEL", "1")
        dispatcher.send("CHECK", "9", "")
        self.assertEqual(dispatcher.next_answer()[0], 9)
        self.engine.accept_link()
        commands = [self.engine.next_command()[:2] for _ in range(2)]
        self.assertIn(("HALT", request_id), commands)

    def lose_link_after_reply(self, class_name: str) -> tuple:
        """Let a run make a call, give it the reply, and lose the link before the reply is confirmed.

        The caller accepts the next link.
        """
        dispatcher, request_id, link = self.start_downstream_call(class_name)
        link.send_line(f"{request_id} DATA 5", b"first")
        self.assertEqual(self.engine.next_command(), ("FEED", request_id, "5", b"first"))
        self.engine.drop_link()
        return dispatcher, request_id

    def test_a_run_never_gets_the_reply_to_its_first_call_as_that_to_its_second(self):
        # The first FEED was read before the link was lost: a second one would answer the next call.
        dispatcher, request_id = self.lose_link_after_reply("quote")
        self.engine.accept_link_with_need(request_id, b"second call")
        self.assertEqual(self.engine.next_command(), ("SKIP", request_id, "1", b""))
        second_link = self.catalogue_link()
        self.assertEqual(second_link.next_command()[::3], ("FETCH", "11"))
        second_link.send_line(f"{request_id} DATA 6", b"second")
        self.assertEqual(self.engine.next_command(), ("FEED", request_id, "6", b"second"))
        self.engine.send_done(request_id)
        self.assertEqual(dispatcher.next_answer()[:2], (1, b"ok"))

    def test_a_run_whose_reply_may_be_lost_is_rejected_if_it_needs_the_reply(self):
        # Left alone, a run that did not get its reply would hold its slot until its deadline.
        dispatcher, request_id = self.lose_link_after_reply("card")
        self.engine.accept_link()
        tag, status, fields, _ = dispatcher.next_answer()
        self.assertEqual((tag, status), (1, b"full"))
        self.assertIn(b"holdoff=", fields)
        self.assertNotIn(b"nomore=", fields)
        self.assertEqual(self.engine.next_command()[:2], ("HALT", request_id))

    def test_an_at_most_once_run_whose_reply_may_be_lost_goes_on(self):
        # Stopped, it could not be retried; the reply is not given again.
        dispatcher, request_id = self.lose_link_after_reply("pay")
        self.engine.accept_link()
        second_id = dispatcher.call("pay")
        self.assertEqual(self.engine.next_command()[:2], ("RUN", second_id))
        self.engine.send_done(request_id)
        self.assertEqual(dispatcher.next_answer()[:2], (1, b"ok"))

    def test_a_restarted_engine_fails_the_earlier_runs_and_takes_new_ones(self):
        # A restarted engine numbers its notices from 1 again: they must not be taken for duplicates.
        self.start_node()
        dispatcher = self.dispatcher()
        finished_id, lost_id = dispatcher.call("quote"), dispatcher.call("pay")
        self.assertEqual(
            {self.engine.next_command()[1], self.engine.next_command()[1]}, {finished_id, lost_id}
        )
        self.engine.send_done(finished_id)
        self.assertEqual(dispatcher.next_answer()[:2], (1, b"ok"))
        self.engine.drop_link()
        self.wait_for_log("engine_link_lost")
        # The RUN of this request is not written before the restart: the new engine runs the request.
        unwritten_id = dispatcher.call("card")
        dispatcher.send("CHECK", "9", "")
        self.assertEqual(dispatcher.next_answer()[0], 9)
        self.engine.notice_number = 0
        self.assertEqual(self.engine.accept_link("booting", "5.0", answer=False), 1)
        self.engine.send_line("HELLO booting 5.0")
        self.assertEqual(self.engine.accept_link("booting"), 0)
        # The second request may have run on the earlier engine, and must not run again.
        self.assertEqual(dispatcher.next_answer()[:2], (2, b"fault"))
        self.assertEqual(self.engine.next_command()[:2], ("RUN", unwritten_id))
        self.engine.send_done(unwritten_id)
        self.assertEqual(dispatcher.next_answer()[:2], (3, b"ok"))
        new_id = dispatcher.call("pay", tag=10)
        self.assertEqual(self.engine.next_command()[:2], ("RUN", new_id))
        self.engine.send_done(new_id)
        self.assertEqual(dispatcher.next_answer()[:2], (10, b"ok"))

    def test_a_delayed_greeting_is_not_taken_for_a_restart(self):
        self.start_node()
        dispatcher = self.dispatcher()
        request_id = dispatcher.call("pay")
        self.assertEqual(self.engine.next_command()[:2], ("RUN", request_id))
        self.engine.drop_link()
        self.assertEqual(self.engine.accept_link(age=str(float(self.engine.age()) - 400)), 0)
        self.engine.send_done(request_id)
        self.assertEqual(dispatcher.next_answer()[:2], (1, b"ok"))

    def test_calls_in_flight_at_a_move_of_the_catalogue_finish_on_their_link(self):
        dispatcher, request_id, link = self.start_downstream_call("card")
        old_catalogue = self.catalogue
        self.catalogue = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(old_catalogue.close)
        self.reload(self.configuration())
        self.wait_for_log("configuration_reloaded")
        second_id = dispatcher.call("card")
        self.assertEqual(self.engine.next_command()[:2], ("RUN", second_id))
        self.engine.send_need(second_id)
        new_link = self.catalogue_link()
        self.assertEqual(new_link.next_command()[:2], ("FETCH", second_id))
        link.send_line(f"{request_id} DATA 3", b"old")
        self.assertEqual(self.engine.next_command()[:2], ("FEED", request_id))
        new_link.send_line(f"{second_id} DATA 3", b"new")
        self.assertEqual(self.engine.next_command()[:2], ("FEED", second_id))
        self.assertEqual(link.stream.readline(), b"")  # the earlier link closes after its last call

    def test_a_non_idempotent_call_whose_link_closes_as_it_is_written_is_not_sent_again(self):
        dispatcher, _request_id, link = self.start_downstream_call("pay")
        link.close()
        self.assertEqual(dispatcher.next_answer()[:2], (1, b"fault"))
        self.catalogue.setblocking(False)
        self.assertRaises(BlockingIOError, self.catalogue.accept)

    def test_a_request_and_its_answer_are_complete_when_transferred_byte_by_byte(self):
        self.start_node()
        dispatcher = self.dispatcher()
        dispatcher.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sent_at = time.time_ns() // MS
        data = encode(b"CALL", b"1", b"quote", b"req=%016x,ts=%d,need=1,timeout=9000" % (7, sent_at), b"body")
        for offset in range(len(data)):
            dispatcher.socket.sendall(data[offset : offset + 1])
        request_id = self.engine.next_command()[1]
        self.engine.send_done(request_id, body=b"r" * 500)
        answer = b""
        while not answer.endswith(b"r" * 500 + b"\r\n"):
            answer += dispatcher.socket.recv(1)


class EngineSilenceTest(unittest.IsolatedAsyncioTestCase):
    """The engine link without a node, with a timeout of 200 ms."""

    resource_limits = replace(RESOURCE_LIMITS, engine_timeout=200 * MS, engine_handover_timeout=600 * SECOND)

    async def asyncSetUp(self) -> None:
        self.cold_flags, self.age = [], 60_000
        self.link = EngineLink(
            ("127.0.0.1", 1),
            BufferPool(8192, 9),
            self.resource_limits,
            EVENT_LOG,
            lambda cold, age: self.cold_flags.append(cold),
        )
        self.servers = []

    async def asyncTearDown(self) -> None:
        self.serving.cancel()
        await asyncio.wait((self.serving,))
        for server in self.servers:
            server.close()

    def open_server(self) -> socket.socket:
        server = socket.create_server(("127.0.0.1", 0))
        server.setblocking(False)
        self.servers.append(server)
        return server

    def start_link(self, server: socket.socket) -> None:
        self.link.address = server.getsockname()
        self.serving = asyncio.ensure_future(self.link.serve())

    async def accept_link(self, server: socket.socket, with_greeting: bool = True):
        loop = asyncio.get_running_loop()
        accepted, _ = await asyncio.wait_for(loop.sock_accept(server), TIMEOUT_S)
        reader, writer = await asyncio.open_connection(sock=accepted)
        self.addCleanup(accepted.close)
        self.assertEqual((await asyncio.wait_for(reader.readline(), TIMEOUT_S)).split()[0], b"ATTACH")
        if with_greeting:
            self.age += 1000
            writer.write(b"HELLO steady %d\r\n" % self.age)
            tag = (await asyncio.wait_for(reader.readline(), TIMEOUT_S)).split()[1]
            writer.write(b"STATS %s 0 0 0 0\r\n" % tag)
            while not self.link.is_open:
                await asyncio.sleep(0.001)
        return reader, writer

    async def test_a_link_without_a_greeting_reconnects_once_the_engine_was_up(self):
        # A node must not wait forever for a greeting at an address that its engine has left.
        server = self.open_server()
        self.start_link(server)
        _, writer = await self.accept_link(server)
        writer.close()
        silent_link = await self.accept_link(server, with_greeting=False)
        await self.accept_link(server)
        silent_link[1].close()  # the silent link stays open until here

    async def test_an_engine_that_was_never_up_may_delay_its_greeting(self):
        server = self.open_server()
        self.start_link(server)
        reader, writer = await self.accept_link(server, with_greeting=False)
        with self.assertRaises(TimeoutError):
            await asyncio.wait_for(reader.read(1), 3 * self.resource_limits.engine_timeout / SECOND)
        writer.write(b"HELLO booting 10\r\n")
        self.assertEqual((await asyncio.wait_for(reader.readline(), TIMEOUT_S)).split()[0], b"STAT")
        self.assertEqual(self.cold_flags, [True])

    async def test_a_pending_connect_is_abandoned_for_a_new_address(self):
        self.link.resource_limits = replace(self.resource_limits, engine_timeout=600 * SECOND)
        full_server = socket.socket()
        self.servers.append(full_server)
        full_server.bind(("127.0.0.1", 0))
        full_server.listen(0)
        pending_clients = [socket.socket() for _ in range(4)]  # fill the accept queue: no handshake completes
        for client in pending_clients:
            self.addCleanup(client.close)
            client.setblocking(False)
            client.connect_ex(full_server.getsockname())
        self.start_link(full_server)
        while not (self.link.connecting and self.link.connecting.socket.fileno() > 0):
            await asyncio.sleep(0)
        for _ in range(9):
            await asyncio.sleep(0)
        self.assertIsNone(self.link.stream)
        new_server = self.open_server()
        self.link.change_address(new_server.getsockname())
        await self.accept_link(new_server)

    async def test_a_second_move_waits_until_the_old_engine_has_read_what_was_written(self):
        # Closing the earlier link at once would make the state of at-most-once runs uncertain.
        first_server, second_server, third_server = self.open_server(), self.open_server(), self.open_server()
        self.start_link(first_server)
        reader, writer = await self.accept_link(first_server)
        request = node_request()
        self.link.run(request)
        self.link.change_address(second_server.getsockname())
        self.link.change_address(third_server.getsockname())
        self.assertEqual((await asyncio.wait_for(reader.readline(), TIMEOUT_S)).split()[0], b"RUN")
        await reader.readline()
        barrier = (await asyncio.wait_for(reader.readline(), TIMEOUT_S)).split()
        self.assertEqual(barrier[0], b"STAT")
        writer.write(b"STATS %s 0 0 0 0\r\n" % barrier[1])
        await self.accept_link(third_server)
        self.assertEqual(self.link.unconfirmed.uncertain_runs, {})
        self.assertEqual(list(self.link.unconfirmed.commands), [])

    async def test_connect_raises_an_error_if_its_stream_was_closed(self):
        from tornado.iostream import StreamClosedError

        class ClosedStream:
            socket = None

            async def connect(self, address):
                pass

            def closed(self):
                return True

        self.serving = asyncio.ensure_future(asyncio.sleep(0))
        with self.assertRaises(StreamClosedError):
            await connect(ClosedStream(), ("127.0.0.1", 1))


if __name__ == "__main__":
    unittest.main()
