"""Reload, engine link and end of the program, over sockets."""

import signal
import socket
import subprocess
import time
import unittest

from tests.support.node_process import NODE_SETTINGS, WAIT, NodeProcessTest, until_refused

ANY_BYTES = bytes(range(256)) * 4 + b"\r\n*3\r\n$1\r\n"


class ReloadTest(NodeProcessTest):
    def test_a_new_configuration_is_used_with_nothing_lost(self):
        # SIGHUP must not end the node.
        dispatcher, ident, link = self.calling("card")
        before = self.report().split()
        old, _, _ = self.replace_parties()
        self.reload(self.told())
        self.assertEqual(self.engine.attach(), 1)  # the last notice that was read
        self.assertEqual(old.next(), ("END",))
        self.assertEqual(self.report().split(), before)
        link.say(f"{ident} DATA 3", b"old")  # a call in flight ends on its link
        self.assertEqual(self.engine.next()[:2], ("FEED", ident))
        again = dispatcher.call("card")
        self.assertEqual(self.engine.next()[:2], ("RUN", again))
        self.engine.number = 1
        self.engine.need(again)
        self.assertEqual(self.catalogue_link().next()[:2], ("FETCH", again))
        self.engine.done(ident)
        self.assertEqual(dispatcher.answer()[:2], (1, b"ok"))

    def test_a_malformed_configuration_changes_nothing(self):
        self.begin()
        for told in (
            "{",
            "[]",
            self.told(engine="nowhere"),
            self.told(settings={**NODE_SETTINGS, "classes": []}),
        ):
            self.reload(told)
            self.log("configuration_rejected")
        self.engine.done(self.dispatcher().call() and self.engine.next()[1])

    def test_sighup_before_the_engine_is_up_and_in_a_drain_ends_nothing(self):
        self.begin(attach=False)
        self.replace_parties()
        self.reload(self.told())
        self.engine.attach()
        self.log("engine_ready")
        dispatcher = self.dispatcher()
        ident = dispatcher.call()
        self.assertEqual(self.engine.next()[:2], ("RUN", ident))
        self.process.send_signal(signal.SIGTERM)
        self.assertIn("cause=signal", self.log("drain_started"))
        self.replace_parties()
        self.reload(self.told())
        self.engine.attach()
        self.engine.done(ident)
        self.assertEqual(dispatcher.answer()[:2], (1, b"ok"))
        dispatcher.close()
        self.assertEqual(self.process.wait(WAIT), 0)


class EngineLinkTest(NodeProcessTest):
    def test_a_lost_link_is_restored_with_nothing_lost_or_run_again(self):
        self.begin()
        dispatcher = self.dispatcher()
        ended, running = dispatcher.call(), dispatcher.call()
        self.assertEqual({self.engine.next()[1], self.engine.next()[1]}, {ended, running})
        self.engine.need(running)
        link = self.catalogue_link()
        self.assertEqual(link.next()[:2], ("FETCH", running))
        self.engine.lose()
        self.assertEqual(self.engine.attach(answer=False), 1)
        # Missed notices precede the answer to the first STAT; only then are commands sent again.
        self.engine.say(f"HELLO steady {self.engine.age()}")
        self.engine.say(f"NEED 1 {running} 4", b"call")
        self.engine.done(ended)
        barrier = self.engine.stream.readline().split()
        self.assertEqual(barrier[0], b"STAT")
        self.assertEqual(dispatcher.answer()[:2], (1, b"ok"))
        self.engine.say(f"STATS {barrier[1].decode()} 0.1 0.0 0.1 1.0")
        third = dispatcher.call()
        while (line := self.engine.stream.readline().split())[0] == b"STAT":
            pass
        self.assertEqual(line[:2], [b"RUN", third.encode()])
        self.engine.stream.read(int(line[3]) + 2)
        link.say(f"{running} DATA 5", b"reply")
        while (line := self.engine.stream.readline().split())[0] == b"STAT":
            pass
        self.assertEqual(line[:2], [b"FEED", running.encode()])
        self.engine.done(running)
        self.assertEqual(dispatcher.answer()[:2], (2, b"ok"))

    def test_a_command_that_the_engine_never_read_is_sent_again(self):
        self.begin()
        dispatcher = self.dispatcher()
        read, unread = dispatcher.call(), dispatcher.call("pay")
        self.engine.next()
        self.engine.next()
        self.engine.lose()
        self.log("engine_link_lost")
        late = dispatcher.call()
        self.engine.attach()
        # The link broke before the gauges proved that RUN was read. A repeatable one is sent again, to no
        # effect where it runs; a mutating one may run already and is not.
        self.assertEqual([self.engine.next()[:2] for _ in range(2)], [("RUN", read), ("RUN", late)])
        self.engine.done(unread)
        self.assertEqual(dispatcher.answer()[:2], (2, b"ok"))

    def test_a_lost_at_most_once_run_is_resolved_after_its_answer(self):
        # Otherwise it counts as running forever, and four of them stop a node of four cores.
        self.begin()
        dispatcher = self.dispatcher()
        idents = [dispatcher.call("pay", timeout=2500) for _ in range(4)]
        for _ in idents:
            self.engine.next()
        self.engine.lose()
        self.engine.attach()
        self.assertEqual([dispatcher.answer()[1] for _ in idents], [b"fault"] * 4)
        asked = [self.engine.next()[:2] for _ in range(8)]
        self.assertEqual({each for each in asked if each[0] == "HALT"}, {("HALT", ident) for ident in idents})
        for verb, ident in asked:
            if verb == "RUN":
                self.engine.done(ident, "nothing", b"")
        dispatcher = self.dispatcher()
        self.engine.done(dispatcher.call() and self.engine.next()[1])
        self.assertEqual(dispatcher.answer()[1], b"ok")

    def test_gauges_out_of_range_reconnect(self):
        self.begin()
        self.engine.gauges = "nan 0.0 0.1 -3"
        self.log('engine_stream_malformed error="gauges')
        self.engine.gauges = "0.1 0.0 0.1 1.0"
        self.engine.attach()
        dispatcher = self.dispatcher()
        self.engine.done(dispatcher.call() and self.engine.next()[1])
        self.assertEqual(dispatcher.answer()[:2], (1, b"ok"))

    def test_a_malformed_line_of_the_engine_reconnects(self):
        dispatcher, ident = self.running("pay")
        self.engine.say("DONE what is this")
        self.engine.attach()
        self.engine.done(ident)
        self.assertEqual(dispatcher.answer()[:2], (1, b"ok"))


class NodeEndTest(NodeProcessTest):
    def test_a_node_whose_log_is_closed_keeps_serving(self):
        self.begin()
        self.process.stderr.close()
        dispatcher = self.dispatcher()
        for tag in range(1, 4):
            dispatcher.call("unheard-of", tag=tag)
            self.assertEqual(dispatcher.answer()[:2], (tag, b"fault"))
        self.engine.done(dispatcher.call() and self.engine.next()[1])
        self.assertEqual(dispatcher.answer()[:2], (4, b"ok"))

    def test_a_drain_answers_all_runs_nothing_after_the_grace_and_ends(self):
        self.begin(settings=self.settings(readiness=False))
        dispatcher, late = self.dispatcher(), self.dispatcher()
        ident = dispatcher.call()
        self.engine.next()
        self.assertEqual(self.report(), "PULSE n3 open")
        self.process.send_signal(signal.SIGTERM)
        self.log("drain_started")
        self.process.send_signal(signal.SIGTERM)
        while self.report() != "PULSE n3 closed":
            pass
        self.assertEqual(dispatcher.next(), [b"0", b"last"])
        within = late.call()  # read in the grace: it runs
        self.assertEqual(self.engine.next()[:2], ("RUN", within))
        until_refused(self.port)  # the grace of 0.3 s ends: the listening socket closes
        late.call(tag=2)
        self.assertEqual(late.answer()[:2], (2, b"full"))
        self.engine.done(within)
        self.engine.done(ident)
        self.assertEqual(late.answer()[:2], (1, b"ok"))
        self.assertEqual(dispatcher.answer()[:2], (1, b"ok"))
        dispatcher.close()
        late.close()
        self.assertEqual(self.process.wait(WAIT), 0)
        self.assertNotIn("drain_started", self.process.stderr.read())

    def test_running_requests_are_answered_before_the_stop(self):
        self.begin(stop_ms=700)
        dispatcher = self.dispatcher()
        dispatcher.call()
        self.engine.next()
        start = time.monotonic()
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(dispatcher.answer()[:2], (1, b"full"))
        self.assertLess(time.monotonic() - start, 4)  # far less than the SLO time

    def test_a_node_draining_before_its_engine_is_up_ends_at_once(self):
        self.begin(attach=False)
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.process.wait(WAIT), 0)

    def test_a_killed_node_starts_again_under_its_address(self):
        self.begin()
        self.engine.done(self.dispatcher().call() and self.engine.next()[1])
        self.process.kill()
        self.process.wait()
        self.process.stderr.close()
        self.begin(listen=f"127.0.0.1:{self.port}", state="booting", age="1.0")
        dispatcher = self.dispatcher()
        self.engine.number = 0
        self.engine.done(dispatcher.call() and self.engine.next()[1])
        self.assertEqual(dispatcher.answer()[1], b"ok")

    def test_a_bad_configuration_is_one_plain_line_and_no_traceback(self):
        taken = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(taken.close)
        for told in (
            None,
            "not json",
            "[]",
            self.told(engine="nowhere"),
            self.told(seed="green"),
            self.told(limits={"sockets": "many", "memory_mb": 1}),
            self.told(settings={**NODE_SETTINGS, "classes": []}),
            self.told(settings={**NODE_SETTINGS, "obligations": {}}),
            self.told(listen=f"127.0.0.1:{taken.getsockname()[1]}"),
        ):
            ended = self.launch(told)
            _, said = ended.communicate(timeout=WAIT)
            self.assertEqual((ended.returncode, said.count("\n")), (2, 1), said)
            self.assertTrue(said.startswith("oakkeel"), said)

    def test_an_unreadable_configuration_is_named(self):
        import sys

        ended = subprocess.run(
            [sys.executable, "-m", "oakkeel"],
            env={"PROXY_CONFIG": "/nowhere/at/all"},
            capture_output=True,
            text=True,
            timeout=WAIT,
        )
        self.assertEqual((ended.returncode, ended.stderr.count("\n")), (2, 1))


if __name__ == "__main__":
    unittest.main()
