"""Connections of dispatchers to a node, over sockets."""

import contextlib
import socket
import threading
import time
import unittest

from oakkeel.dispatch.resp import encode
from tests.support.node_process import NodeProcessTest

ANY_BYTES = bytes(range(256)) * 4 + b"\r\n*3\r\n$1\r\n"


class DispatcherConnectionTest(NodeProcessTest):
    def test_a_health_check_reports_the_advertised_share(self):
        self.start_node()
        dispatcher = self.dispatcher()
        dispatcher.send("CHECK", "8", "")
        self.assertEqual(dispatcher.next_answer()[:3], (8, b"yes", b"signal=1.0000"))

    def test_a_node_is_unhealthy_and_rejects_requests_before_its_engine_is_up(self):
        self.start_node(attach=False)
        dispatcher = self.dispatcher()
        dispatcher.send("CHECK", "8", "")
        self.assertEqual(dispatcher.next_answer()[:2], (8, b"no"))
        dispatcher.call(tag=9)
        self.assertEqual(dispatcher.next_answer()[:2], (9, b"full"))

    def test_the_slow_start_of_a_node_counts_from_the_boot_of_its_engine(self):
        self.start_node(state="booting", age="2500.0")
        dispatcher, share = self.dispatcher(), 0.25
        while share == 0.25:  # until the first poll has read the clock
            dispatcher.tag += 1
            dispatcher.send("CHECK", str(dispatcher.tag), "")
            share = float(dispatcher.next_answer()[2].removeprefix(b"signal="))
        self.assertTrue(0.25 + 0.75 * 0.25 <= share < 0.9, share)

    def test_a_malformed_request_is_answered_and_its_connection_stays_open(self):
        self.start_node()
        dispatcher = self.dispatcher()
        dispatcher.call("unheard-of")
        bad_number_id = dispatcher.call(fields=",need=much")
        dispatcher.send("CALL", "3", "quote", "ts=1", b"")
        dispatcher.send("WHAT", "4")
        self.assertEqual(
            [dispatcher.next_answer()[:2] for _ in range(4)],
            [(1, b"fault"), (2, b"fault"), (3, b"fault"), (4, b"fault")],
        )
        self.assertIn(
            f"request_id={bad_number_id}",
            self.wait_for_log("need is not a number of at least 0 and less than"),
        )
        self.engine.send_done(dispatcher.call(tag=5) and self.engine.next_command()[1])
        self.assertEqual(dispatcher.next_answer()[:2], (5, b"ok"))

    def test_malformed_bytes_end_a_connection_after_its_answers(self):
        self.start_node()
        for malformed in (
            b"GET / HTTP/1.1\r\n\r\n",
            b"*2\r\n$9999999\r\n",
            b"*2\r\n$-1\r\n",
            b"*3\r\n$4\r\nCALL\r\n$1\r\n0\r\n$0\r\n\r\n",
            b"*1\r\n$8000\r\n" + b"x" * 9000,
        ):
            dispatcher = self.dispatcher()
            request_id = dispatcher.call()
            self.engine.next_command()
            dispatcher.socket.sendall(malformed)
            self.assertEqual(dispatcher.next_answer()[:2], (0, b"fault"))
            self.engine.send_done(request_id)
            self.assertEqual(dispatcher.next_answer()[:2], (1, b"ok"))
            with contextlib.suppress(ConnectionResetError):
                self.assertEqual(dispatcher.next_array(), [])

    def test_dispatchers_that_read_no_answers_do_not_delay_others_and_use_little_memory(self):
        # A separate write for each answer takes 0.4 MB for each dispatcher that reads no answers.
        self.start_node()
        checks = [encode(b"CHECK", b"%d" % number, b"") for number in range(1, 30_000)]
        for _ in range(60):
            blocked_dispatcher = self.dispatcher()
            blocked_dispatcher.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            blocked_dispatcher.socket.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                for offset in range(0, len(checks), 500):
                    chunk = b"".join(checks[offset : offset + 500])
                    if blocked_dispatcher.socket.send(chunk) < len(chunk):
                        break
        other_dispatcher = self.dispatcher()
        self.engine.send_done(other_dispatcher.call() and self.engine.next_command()[1])
        self.assertEqual(other_dispatcher.next_answer()[1], b"ok")
        with open(f"/proc/{self.process.pid}/statm") as file:
            self.assertLess(int(file.read().split()[1]) * 4096, 36 * 2**20)

    def test_an_idle_connection_is_notified_before_it_is_closed(self):
        dispatcher, request_id = self.start_request()
        self.engine.send_done(request_id)
        self.assertEqual(dispatcher.next_array()[:2], [b"1", b"ok"])
        self.assertEqual(dispatcher.next_array(), [b"0", b"last"])
        request_id = dispatcher.call()  # a request that crosses the notice is still served
        self.engine.send_done(self.engine.next_command()[1])
        self.assertEqual(dispatcher.next_array()[:2], [b"2", b"ok"])
        self.assertEqual(dispatcher.next_array(), [])

    def test_silent_connections_and_incomplete_arrays_are_closed_at_the_connection_limit(self):
        # Connections that never became idle, as no request was read, must not occupy the limit forever.
        self.start_node(limits={"cores": 1.0, "memory_mb": 192, "sockets": 140})
        silent_dispatchers = [self.dispatcher() for _ in range(70)]
        silent_dispatchers[-1].socket.sendall(b"*5\r\n$4\r\nCA")
        self.engine.send_done(
            self.dispatcher().call() and self.engine.next_command()[1]
        )  # the limit is reached
        start = time.monotonic()
        for dispatcher in silent_dispatchers:
            with contextlib.suppress(ConnectionResetError):
                self.assertEqual(dispatcher.next_array(), [])
        self.assertLess(time.monotonic() - start, 3)

    def test_idle_connections_are_closed_to_accept_new_connections(self):
        self.start_node(
            limits={"cores": 1.0, "memory_mb": 192, "sockets": 140},
            settings=self.settings_with_extra(idle=600 * 10**9),
        )
        for _ in range(60):
            idle_dispatcher = self.dispatcher()
            self.engine.send_done(idle_dispatcher.call() and self.engine.next_command()[1])
            self.assertEqual(idle_dispatcher.next_answer()[1], b"ok")

    def test_the_id_of_an_open_request_is_rejected_and_the_first_is_unaffected(self):
        # The second request must not replace the first request and get its result.
        dispatcher, request_id = self.start_request()
        other_dispatcher = self.dispatcher()
        other_dispatcher.send("CALL", "1", "quote", f"req={request_id},need=1", b"another body")
        self.assertEqual(other_dispatcher.next_answer()[:2], (1, b"fault"))
        self.engine.send_done(request_id)
        self.assertEqual(dispatcher.next_answer()[:2], (1, b"ok"))
        self.assertTrue(self.engine.commands.empty())

    def test_malformed_ids_and_numbers_are_rejected_and_change_nothing(self):
        self.start_node()
        now = time.time_ns() // 10**6
        for fields in (
            "req=12345678 9abcdef,need=1",
            "req=1234567\r\nabcdef,need=1",
            "req=0123456789abcdeg,need=1",
            "need=1",
            "req={},need=0x10",
            "req={},need=nan",
            "req={},need=1e9",
            "req={},need=-1",
            "req={},need=1,ts=5",
            "req={},need=1,ts=inf",
            f"req={{}},need=1,ts={now * 2}",
            "req={},need=1,timeout=1e12",
            "req={},need=1,level=1.5",
            "req={},need=1,via=nan",
        ):
            dispatcher = self.dispatcher()
            dispatcher.send("CALL", "1", "quote", fields.format("0123456789abcdef"), b"")
            self.assertEqual(dispatcher.next_answer()[:2], (1, b"fault"), fields)
        dispatcher.send("CALL", "2", "quote", "req=0123456789abcdef,need=1", bytes(3000))
        self.assertEqual(dispatcher.next_answer()[:2], (2, b"fault"))
        dispatcher.send("CHECK", "3", "")
        self.assertEqual(dispatcher.next_answer()[:2], (3, b"yes"))
        self.assertTrue(self.engine.commands.empty())

    def test_a_connection_with_too_many_malformed_requests_is_not_read(self):
        self.start_node()
        for class_name in ("unheard-of", "quote"):
            dispatcher = self.dispatcher()
            for tag in range(1, 9):
                request_id = dispatcher.call(class_name, tag=tag)
                if class_name == "quote":
                    self.assertEqual(self.engine.next_command()[:2], ("RUN", request_id))
                    self.engine.send_line(f"NO RUN {request_id}")
                self.assertEqual(dispatcher.next_answer()[:2], (tag, b"fault"))
            with contextlib.suppress(ConnectionResetError, BrokenPipeError):
                dispatcher.call(tag=9)
                while dispatcher.next_array():
                    pass

    def test_requests_over_the_limit_of_open_requests_are_rejected_and_later_requests_are_not_read(self):
        self.start_node()
        dispatcher = self.dispatcher()
        for tag in range(1, 200):
            dispatcher.call(tag=tag)
        messages = []
        with contextlib.suppress(ConnectionResetError):
            while words := dispatcher.next_array():
                messages.append(words)
        self.assertIn([b"0", b"fault"], [words[:2] for words in messages])
        self.assertNotIn(b"199", [words[0] for words in messages])

    def test_a_dispatcher_that_sends_without_pause_does_not_delay_the_others(self):
        self.start_node()
        sending_dispatcher, stop = self.dispatcher(), threading.Event()

        def send_cancels():
            with contextlib.suppress(OSError):
                for first in range(1, 10**9, 500):
                    if stop.is_set():
                        return
                    sending_dispatcher.socket.sendall(
                        b"".join(encode(b"CANCEL", b"%d" % tag) for tag in range(first, first + 500))
                    )

        sender = threading.Thread(target=send_cancels)
        sender.start()
        try:
            other_dispatcher = self.dispatcher()
            start = time.monotonic()
            for _ in range(20):
                self.engine.send_done(other_dispatcher.call() and self.engine.next_command()[1])
                self.assertEqual(other_dispatcher.next_answer()[1], b"ok")
            self.assertLess(time.monotonic() - start, 5)
        finally:
            stop.set()
            sending_dispatcher.socket.shutdown(socket.SHUT_RDWR)
            sender.join()


if __name__ == "__main__":
    unittest.main()
