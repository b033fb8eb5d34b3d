"""Signals, readiness and drain deadline of the program."""

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
from tests.support.node_process import WAIT, NodeProcessTest, until_refused


class SignalTest(NodeProcessTest):
    def held_at_its_file(self):
        """Start a node that waits for its configuration, in a pipe that is still empty."""
        path = os.path.join(self.enterContext(tempfile.TemporaryDirectory()), "config.json")
        os.mkfifo(path)
        real, opened = self.launch, {}

        def launch():
            self.variables = {"PROXY_CONFIG": path}
            real(None)
            opened["file"] = os.fdopen(os.open(path, os.O_WRONLY), "w")  # waits until the node has it open

        launch()
        return path, opened["file"]

    def test_sigterm_during_the_start_is_handled_after_it(self):
        # It must not end the process with an error code.
        _, file = self.held_at_its_file()
        self.process.send_signal(signal.SIGTERM)
        with file:
            json.dump(self.told(), file)
        self.log("drain_started")
        self.assertEqual(self.process.wait(WAIT), 0)

    def test_sighup_during_the_start_reloads_after_it(self):
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
        """Return the address of the one socket that the process listens on."""
        inodes = set()
        for number in os.listdir(f"/proc/{self.process.pid}/fd"):
            with contextlib.suppress(OSError):
                inodes.add(os.readlink(f"/proc/{self.process.pid}/fd/{number}"))
        with open("/proc/net/tcp") as file:
            rows = [line.split() for line in file][1:]
        return next(
            int(row[1].split(":")[1], 16) for row in rows if row[3] == "0A" and f"socket:[{row[9]}]" in inodes
        )

    def test_signals_during_the_end_do_not_change_the_exit_code(self):
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
            self.begin()
            self.process.send_signal(signal.SIGTERM)
            self.log("node_stopped")
            with contextlib.suppress(ProcessLookupError):
                for _ in range(50):
                    self.process.send_signal(number)
            self.assertEqual(self.process.wait(WAIT), 0)
            self.process.stderr.close()

    def test_a_signal_between_the_greeting_and_the_first_request_stops_the_node(self):
        self.begin()
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.process.wait(WAIT), 0)

    def test_a_signal_with_requests_queued_running_and_at_a_call_answers_each(self):
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
        for _ in range(3):  # the reply, and the two that were queued
            verb, ident, *_ = self.engine.next()
            seen[ident] = verb == "RUN"
            self.engine.done(ident)
        for ident in started[2:]:
            self.engine.done(ident)
        self.assertEqual(set(seen), set(idents) - set(started[1:]))
        self.assertEqual(sorted(dispatcher.answer()[:2] for _ in idents), [(n, b"ok") for n in range(1, 7)])
        dispatcher.close()
        self.assertEqual(self.process.wait(WAIT), 0)

    def test_requests_completed_within_the_grace_after_a_signal_are_served(self):
        self.begin()
        pairs = [self.dispatcher() for _ in range(2)]
        for each in pairs:
            each.socket.sendall(self.whole()[:20])
            seen = self.dispatcher()  # the event loop has polled since
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
        """A request that is sent now; its first 20 bytes are always the same."""
        fields = b"req=%016x,ts=%d,need=1,timeout=9000" % (time.time_ns(), time.time_ns() // MS)
        return encode(b"CALL", b"1", b"quote", fields, b"body")

    def test_sigterm_during_a_move_of_the_engine_loses_nothing(self):
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

    def test_a_truncated_missing_or_foreign_file_changes_no_request_class(self):
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


class DrainDeadlineTest(NodeProcessTest):
    def test_dispatchers_that_never_close_do_not_delay_the_stop(self):
        # It must not wait for them until SIGKILL.
        self.begin(stop_ms=1500)
        resting, stuck = self.dispatcher(), self.dispatcher()
        self.engine.done(resting.call() and self.engine.next()[1])
        self.assertEqual(resting.answer()[1], b"ok")
        stuck.send("CHECK", "1", "")
        self.process.send_signal(signal.SIGTERM)
        self.log("drain_deadline_reached")
        self.assertEqual(self.process.wait(WAIT), 0)
        self.assertEqual(resting.next(), [b"0", b"last"])
        self.assertEqual(resting.next(), [])  # an end without a reset

    def test_a_request_after_the_grace_is_answered_or_proves_that_nothing_ran(self):
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

    def test_a_flood_of_connects_does_not_delay_the_end_of_the_grace(self):
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


class ReadinessTest(ControlledNodeTest):
    def no_report(self) -> None:
        self.directory.setblocking(False)
        self.assertRaises(BlockingIOError, self.directory.recv, 99)
        self.directory.settimeout(WAIT)

    def test_a_node_is_listed_only_once_it_accepts_requests(self):
        # It must not report `open` before its engine is up, also after a restart.
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

    def test_a_node_draining_before_its_engine_is_up_is_never_listed(self):
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

    def test_an_engine_that_comes_up_in_a_cancelled_drain_is_used(self):
        # An engine that came up during the drain must be used after the cancel.
        self.begin(attach=False, state="booting")
        held = self.dispatcher()
        held.send("CHECK", "1", "")
        self.assertEqual(held.answer()[1], b"no")
        link = self.link()
        self.assertTrue(self.say(link, type="leave", tag=1, generation=7, within=20_000_000_000)["done"])
        self.assertEqual(held.next(), [b"0", b"last"])
        self.engine.attach(age="1000.0", answer=False)
        self.engine.say(f"HELLO booting {self.engine.age()}")
        barrier = self.engine.stream.readline().split()  # asked for after the greeting, which is read
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

    def test_a_missing_or_moved_directory_delays_nothing(self):
        self.begin(lookup="127.0.0.1:1")
        dispatcher = self.dispatcher()
        self.engine.done(dispatcher.call() and self.engine.next()[1])
        self.assertEqual(dispatcher.answer()[1], b"ok")
        self.reload(self.told())
        self.assertEqual(self.report(), "PULSE n3 open")


if __name__ == "__main__":
    unittest.main()
