"""Signals, readiness and drain deadline of a node process."""

import contextlib
import json
import os
import signal
import socket
import tempfile
import threading
import time
import unittest

from oakkeel.dispatch.resp import encode
from oakkeel.units import MS
from tests.support.control_process import ControlledNodeTest
from tests.support.node_process import TIMEOUT_S, NodeProcessTest, wait_until_port_closed


class SignalTest(NodeProcessTest):
    def launch_with_configuration_in_a_pipe(self):
        """Start a node that waits for its configuration, in a pipe that is still empty."""
        path = os.path.join(self.enterContext(tempfile.TemporaryDirectory()), "config.json")
        os.mkfifo(path)
        launch_process, opened = self.launch, {}

        def launch():
            self.variables = {"PROXY_CONFIG": path}
            launch_process(None)
            # Blocks until the node has opened the pipe.
            opened["file"] = os.fdopen(os.open(path, os.O_WRONLY), "w")

        launch()
        return path, opened["file"]

    def test_sigterm_during_the_start_is_handled_after_it(self):
        # The signal must not end the process with an error code.
        _, file = self.launch_with_configuration_in_a_pipe()
        self.process.send_signal(signal.SIGTERM)
        with file:
            json.dump(self.configuration(), file)
        self.wait_for_log("drain_started")
        self.assertEqual(self.process.wait(TIMEOUT_S), 0)

    def test_sighup_during_the_start_reloads_after_it(self):
        path, file = self.launch_with_configuration_in_a_pipe()
        self.process.send_signal(signal.SIGHUP)
        with open(path + ".new", "w") as new_file:
            json.dump(self.configuration(), new_file)
        os.replace(path + ".new", path)
        with file:
            json.dump(self.configuration(), file)
        self.wait_for_log("configuration_reloaded")
        self.engine.accept_link()
        self.engine.send_done(self.connect_dispatcher().call() and self.engine.next_command()[1])

    def connect_dispatcher(self):
        self.port = self.listening_port()
        return self.dispatcher()

    def listening_port(self) -> int:
        """Return the port of the only socket that the process listens on."""
        inodes = set()
        for descriptor in os.listdir(f"/proc/{self.process.pid}/fd"):
            with contextlib.suppress(OSError):
                inodes.add(os.readlink(f"/proc/{self.process.pid}/fd/{descriptor}"))
        with open("/proc/net/tcp") as file:
            sockets = [line.split() for line in file][1:]
        return next(
            int(fields[1].split(":")[1], 16)
            for fields in sockets
            if fields[3] == "0A" and f"socket:[{fields[9]}]" in inodes
        )

    def test_signals_during_the_shutdown_do_not_change_the_exit_code(self):
        for signal_number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            self.start_node()
            self.process.send_signal(signal.SIGTERM)
            self.wait_for_log("node_stopped")
            with contextlib.suppress(ProcessLookupError):
                for _ in range(50):
                    self.process.send_signal(signal_number)
            self.assertEqual(self.process.wait(TIMEOUT_S), 0)
            self.process.stderr.close()

    def test_a_signal_between_the_greeting_and_the_first_request_stops_the_node(self):
        self.start_node()
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.process.wait(TIMEOUT_S), 0)

    def test_queued_running_and_calling_requests_are_all_answered_after_a_signal(self):
        self.start_node()
        dispatcher = self.dispatcher()
        request_ids = [dispatcher.call("card") for _ in range(6)]
        started_ids = [self.engine.next_command()[1] for _ in range(4)]
        self.engine.send_need(started_ids[0])
        link = self.catalogue_link()
        self.assertEqual(link.next_command()[:2], ("FETCH", started_ids[0]))
        self.process.send_signal(signal.SIGTERM)
        self.process.send_signal(signal.SIGTERM)
        self.wait_for_log("drain_started")
        link.send_line(f"{started_ids[0]} DATA 5", b"reply")
        self.engine.send_done(started_ids[1])
        is_run = {started_ids[0]: False}
        for _ in range(3):  # the FEED of the reply, and the RUN of the two queued requests
            verb, request_id, *_ = self.engine.next_command()
            is_run[request_id] = verb == "RUN"
            self.engine.send_done(request_id)
        for request_id in started_ids[2:]:
            self.engine.send_done(request_id)
        self.assertEqual(set(is_run), set(request_ids) - set(started_ids[1:]))
        self.assertEqual(
            sorted(dispatcher.next_answer()[:2] for _ in request_ids), [(tag, b"ok") for tag in range(1, 7)]
        )
        dispatcher.close()
        self.assertEqual(self.process.wait(TIMEOUT_S), 0)

    def test_requests_completed_within_the_grace_period_after_a_signal_are_served(self):
        self.start_node()
        dispatchers = [self.dispatcher() for _ in range(2)]
        for dispatcher in dispatchers:
            dispatcher.socket.sendall(self.encode_request()[:20])
            # The answer to a health check shows that the event loop has polled its sockets since.
            checker = self.dispatcher()
            checker.send("CHECK", "1", "")
            self.assertEqual(checker.next_answer()[1], b"yes")
        self.process.send_signal(signal.SIGTERM)
        for dispatcher in dispatchers:
            self.assertEqual(dispatcher.next_array(), [b"0", b"last"])
        dispatchers[0].socket.sendall(self.encode_request()[20:])
        request_id = self.engine.next_command()[1]
        wait_until_port_closed(self.port)  # the grace period ends
        dispatchers[1].socket.sendall(self.encode_request()[20:])
        self.assertEqual(dispatchers[1].next_answer()[:2], (1, b"full"))
        self.engine.send_done(request_id)
        self.assertEqual(dispatchers[0].next_answer()[:2], (1, b"ok"))
        for dispatcher in dispatchers:
            dispatcher.close()
        self.assertEqual(self.process.wait(TIMEOUT_S), 0)

    def encode_request(self) -> bytes:
        """Encode a request with the present time; the first 20 bytes are the same in all requests."""
        fields = b"req=%016x,ts=%d,need=1,timeout=9000" % (time.time_ns(), time.time_ns() // MS)
        return encode(b"CALL", b"1", b"quote", fields, b"body")

    def test_sigterm_during_a_move_of_the_engine_loses_no_request(self):
        dispatcher, request_id = self.start_request("card")
        self.replace_peers()
        self.reload(self.configuration())
        self.wait_for_log("configuration_reloaded")
        self.process.send_signal(signal.SIGTERM)
        self.wait_for_log("drain_started")
        self.engine.accept_link()
        self.engine.send_done(request_id)
        self.assertEqual(dispatcher.next_answer()[:2], (1, b"ok"))
        dispatcher.close()
        self.assertEqual(self.process.wait(TIMEOUT_S), 0)

    def test_a_truncated_missing_or_foreign_file_changes_no_request_class(self):
        self.start_node()
        document = json.dumps(self.configuration())
        for text in (
            document[: len(document) // 2],
            "",
            "[" * 100_000,
            self.configuration(seed=[]),
            self.configuration(seed={}),
            self.configuration(limits=[1]),
            self.configuration(settings=[1]),
            self.configuration(stop_ms=None),
        ):
            self.reload(text)
            self.assertEqual(self.wait_for_log("configuration").count("configuration_rejected"), 1)
        os.rename(self.config, self.config + ".gone")
        self.process.send_signal(signal.SIGHUP)
        self.wait_for_log("configuration_rejected")
        os.rename(self.config + ".gone", self.config)
        foreign_settings = self.settings_with_extra()
        foreign_settings["classes"] = [{**foreign_settings["classes"][0], "name": "foreign"}]
        foreign_settings["tenants"] = [{"name": "hall", "allowance-per-s": 1.0}]
        self.reload(self.configuration(settings=foreign_settings))
        self.wait_for_log("configuration_reloaded")
        dispatcher = self.dispatcher()
        dispatcher.call("foreign")
        self.assertEqual(dispatcher.next_answer()[:2], (1, b"fault"))
        request_id = dispatcher.call("quote")
        self.engine.send_done(self.engine.next_command()[1])
        self.assertEqual(dispatcher.next_answer()[:2], (2, b"ok"), request_id)


class DrainDeadlineTest(NodeProcessTest):
    def test_dispatchers_that_never_close_do_not_delay_the_stop(self):
        # The node must not wait until SIGKILL for dispatchers that never close their connections.
        self.start_node(stop_ms=1500)
        idle_dispatcher, unread_dispatcher = self.dispatcher(), self.dispatcher()
        self.engine.send_done(idle_dispatcher.call() and self.engine.next_command()[1])
        self.assertEqual(idle_dispatcher.next_answer()[1], b"ok")
        unread_dispatcher.send("CHECK", "1", "")
        self.process.send_signal(signal.SIGTERM)
        self.wait_for_log("drain_deadline_reached")
        self.assertEqual(self.process.wait(TIMEOUT_S), 0)
        self.assertEqual(idle_dispatcher.next_array(), [b"0", b"last"])
        self.assertEqual(idle_dispatcher.next_array(), [])  # the connection is closed without a reset

    def test_a_request_after_the_grace_period_is_rejected_or_unanswered_and_never_runs(self):
        self.start_node()
        idle_dispatcher = self.dispatcher()
        self.engine.send_done(idle_dispatcher.call() and self.engine.next_command()[1])
        self.assertEqual(idle_dispatcher.next_answer()[1], b"ok")
        self.process.send_signal(signal.SIGTERM)
        wait_until_port_closed(self.port)  # the grace period ends
        idle_dispatcher.call(tag=2)
        answers = []
        while words := idle_dispatcher.next_array():
            answers.append(words[:2])
        self.assertIn(answers, ([[b"0", b"last"], [b"2", b"full"]], [[b"0", b"last"]]))
        self.assertEqual(self.process.wait(TIMEOUT_S), 0)
        self.assertEqual(self.engine.next_command(), ("END",))

    def test_a_flood_of_connects_does_not_delay_the_end_of_the_grace_period(self):
        self.start_node(stop_ms=20_000)
        is_refused = threading.Event()

        def open_connections():
            with contextlib.suppress(OSError):
                while not is_refused.is_set():
                    socket.create_connection(("127.0.0.1", self.port), timeout=TIMEOUT_S).close()
            is_refused.set()

        threads = [threading.Thread(target=open_connections, daemon=True) for _ in range(4)]
        for thread in threads:
            thread.start()
        self.process.send_signal(signal.SIGTERM)
        self.assertTrue(is_refused.wait(TIMEOUT_S))
        self.assertEqual(self.process.wait(TIMEOUT_S), 0)
        for thread in threads:
            thread.join(TIMEOUT_S)


class ReadinessTest(ControlledNodeTest):
    def assert_no_report(self) -> None:
        self.directory.setblocking(False)
        self.assertRaises(BlockingIOError, self.directory.recv, 99)
        self.directory.settimeout(TIMEOUT_S)

    def test_a_node_is_listed_only_once_it_accepts_requests(self):
        # A node must not report `open` before its engine is up, not even after a restart.
        self.start_node(attach=False)
        dispatcher = self.dispatcher()
        dispatcher.send("CHECK", "1", "")
        self.assertEqual(dispatcher.next_answer()[1], b"no")
        self.assert_no_report()
        self.engine.accept_link()
        self.assertEqual(self.receive_load_report(), "PULSE n3 open")
        dispatcher.send("CHECK", "2", "")
        self.assertEqual(dispatcher.next_answer()[1], b"yes")
        self.engine.send_done(dispatcher.call(tag=3) and self.engine.next_command()[1])
        self.assertEqual(dispatcher.next_answer()[:2], (3, b"ok"))

    def test_a_node_that_drains_before_its_engine_is_up_is_never_listed(self):
        self.start_node(attach=False)
        dispatcher = self.dispatcher()
        dispatcher.send("CHECK", "1", "")
        self.assertEqual(dispatcher.next_answer()[1], b"no")
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(dispatcher.next_array(), [b"0", b"last"])
        self.engine.accept_link()
        dispatcher.close()
        self.assertEqual(self.process.wait(TIMEOUT_S), 0)
        self.assert_no_report()

    def test_an_engine_that_comes_up_in_a_cancelled_drain_is_used(self):
        self.start_node(attach=False, state="booting")
        dispatcher = self.dispatcher()
        dispatcher.send("CHECK", "1", "")
        self.assertEqual(dispatcher.next_answer()[1], b"no")
        link = self.connect()
        self.assertTrue(self.request(link, type="leave", tag=1, generation=7, within=20_000_000_000)["done"])
        self.assertEqual(dispatcher.next_array(), [b"0", b"last"])
        self.engine.accept_link(age="1000.0", answer=False)
        self.engine.send_line(f"HELLO booting {self.engine.age()}")
        barrier = self.engine.stream.readline().split()  # STAT follows the greeting, so the node has read it
        self.assertEqual(self.request(link, type="ask", tag=2)["state"], "draining")
        self.engine.send_line(f"STATS {barrier[1].decode()} {self.engine.gauges}")
        reader = threading.Thread(
            target=self.engine._read, daemon=True, args=(self.engine.stream, self.engine.commands)
        )
        reader.start()
        self.engine.answers_stat = True
        self.assertTrue(self.request(link, type="stay", tag=3, generation=7)["done"])
        self.wait_for_log("engine_ready")
        self.assertEqual(self.request(link, type="ask", tag=4)["state"], "cold")
        new_dispatcher = self.dispatcher()
        self.engine.send_done(new_dispatcher.call() and self.engine.next_command()[1])
        self.assertEqual(new_dispatcher.next_answer()[1], b"ok")

    def test_a_missing_or_moved_directory_does_not_delay_requests(self):
        self.start_node(lookup="127.0.0.1:1")
        dispatcher = self.dispatcher()
        self.engine.send_done(dispatcher.call() and self.engine.next_command()[1])
        self.assertEqual(dispatcher.next_answer()[1], b"ok")
        self.reload(self.configuration())
        self.assertEqual(self.receive_load_report(), "PULSE n3 open")


if __name__ == "__main__":
    unittest.main()
