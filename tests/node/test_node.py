"""Reload, engine link and shutdown of a node process, over sockets."""

import signal
import socket
import subprocess
import time
import unittest

from tests.support.node_process import NODE_SETTINGS, TIMEOUT_S, NodeProcessTest, wait_until_port_closed

ANY_BYTES = bytes(range(256)) * 4 + b"\r\n*3\r\n$1\r\n"


class ReloadTest(NodeProcessTest):
    def test_a_reload_uses_the_new_configuration_and_loses_no_request(self):
        # SIGHUP must not end the node.
        dispatcher, request_id, link = self.start_downstream_call("card")
        report_before = self.receive_load_report().split()
        old_engine, _, _ = self.replace_peers()
        self.reload(self.configuration())
        self.assertEqual(self.engine.accept_link(), 1)  # the number of the last notice that was read
        self.assertEqual(old_engine.next_command(), ("END",))
        self.assertEqual(self.receive_load_report().split(), report_before)
        link.send_line(f"{request_id} DATA 3", b"old")  # a call in flight finishes on its link
        self.assertEqual(self.engine.next_command()[:2], ("FEED", request_id))
        second_id = dispatcher.call("card")
        self.assertEqual(self.engine.next_command()[:2], ("RUN", second_id))
        self.engine.notice_number = 1
        self.engine.send_need(second_id)
        self.assertEqual(self.catalogue_link().next_command()[:2], ("FETCH", second_id))
        self.engine.send_done(request_id)
        self.assertEqual(dispatcher.next_answer()[:2], (1, b"ok"))

    def test_a_malformed_configuration_changes_nothing(self):
        self.start_node()
        for configuration in (
            "{",
            "[]",
            self.configuration(engine="nowhere"),
            self.configuration(settings={**NODE_SETTINGS, "classes": []}),
        ):
            self.reload(configuration)
            self.wait_for_log("configuration_rejected")
        self.engine.send_done(self.dispatcher().call() and self.engine.next_command()[1])

    def test_sighup_before_the_engine_is_up_or_in_a_drain_does_not_end_the_node(self):
        self.start_node(attach=False)
        self.replace_peers()
        self.reload(self.configuration())
        self.engine.accept_link()
        self.wait_for_log("engine_ready")
        dispatcher = self.dispatcher()
        request_id = dispatcher.call()
        self.assertEqual(self.engine.next_command()[:2], ("RUN", request_id))
        self.process.send_signal(signal.SIGTERM)
        self.assertIn("cause=signal", self.wait_for_log("drain_started"))
        self.replace_peers()
        self.reload(self.configuration())
        self.engine.accept_link()
        self.engine.send_done(request_id)
        self.assertEqual(dispatcher.next_answer()[:2], (1, b"ok"))
        dispatcher.close()
        self.assertEqual(self.process.wait(TIMEOUT_S), 0)


class EngineLinkTest(NodeProcessTest):
    def test_a_lost_link_is_restored_and_no_run_is_lost_or_repeated(self):
        self.start_node()
        dispatcher = self.dispatcher()
        finished_id, running_id = dispatcher.call(), dispatcher.call()
        self.assertEqual(
            {self.engine.next_command()[1], self.engine.next_command()[1]}, {finished_id, running_id}
        )
        self.engine.send_need(running_id)
        link = self.catalogue_link()
        self.assertEqual(link.next_command()[:2], ("FETCH", running_id))
        self.engine.drop_link()
        self.assertEqual(self.engine.accept_link(answer=False), 1)
        # Missed notices precede the answer to the first STAT; only then are commands sent again.
        self.engine.send_line(f"HELLO steady {self.engine.age()}")
        self.engine.send_line(f"NEED 1 {running_id} 4", b"call")
        self.engine.send_done(finished_id)
        barrier = self.engine.stream.readline().split()
        self.assertEqual(barrier[0], b"STAT")
        self.assertEqual(dispatcher.next_answer()[:2], (1, b"ok"))
        self.engine.send_line(f"STATS {barrier[1].decode()} 0.1 0.0 0.1 1.0")
        third_id = dispatcher.call()
        while (line := self.engine.stream.readline().split())[0] == b"STAT":
            pass
        self.assertEqual(line[:2], [b"RUN", third_id.encode()])
        self.engine.stream.read(int(line[3]) + 2)
        link.send_line(f"{running_id} DATA 5", b"reply")
        while (line := self.engine.stream.readline().split())[0] == b"STAT":
            pass
        self.assertEqual(line[:2], [b"FEED", running_id.encode()])
        self.engine.send_done(running_id)
        self.assertEqual(dispatcher.next_answer()[:2], (2, b"ok"))

    def test_an_unconfirmed_run_command_is_sent_again_only_if_it_is_repeatable(self):
        self.start_node()
        dispatcher = self.dispatcher()
        repeatable_id, mutating_id = dispatcher.call(), dispatcher.call("pay")
        self.engine.next_command()
        self.engine.next_command()
        self.engine.drop_link()
        self.wait_for_log("engine_link_lost")
        later_id = dispatcher.call()
        self.engine.accept_link()
        # The link broke before gauges confirmed that the RUN commands were read. The repeatable command is
        # sent again, which has no effect if its run has started. The mutating command is not sent again, as
        # its run may have started.
        self.assertEqual(
            [self.engine.next_command()[:2] for _ in range(2)], [("RUN", repeatable_id), ("RUN", later_id)]
        )
        self.engine.send_done(mutating_id)
        self.assertEqual(dispatcher.next_answer()[:2], (2, b"ok"))

    def test_a_lost_at_most_once_run_is_resolved_after_its_answer(self):
        # An unresolved run counts as running forever, and four such runs block a node with four cores.
        self.start_node()
        dispatcher = self.dispatcher()
        request_ids = [dispatcher.call("pay", timeout=2500) for _ in range(4)]
        for _ in request_ids:
            self.engine.next_command()
        self.engine.drop_link()
        self.engine.accept_link()
        self.assertEqual([dispatcher.next_answer()[1] for _ in request_ids], [b"fault"] * 4)
        commands = [self.engine.next_command()[:2] for _ in range(8)]
        self.assertEqual(
            {command for command in commands if command[0] == "HALT"},
            {("HALT", request_id) for request_id in request_ids},
        )
        for verb, request_id in commands:
            if verb == "RUN":
                self.engine.send_done(request_id, "nothing", b"")
        dispatcher = self.dispatcher()
        self.engine.send_done(dispatcher.call() and self.engine.next_command()[1])
        self.assertEqual(dispatcher.next_answer()[1], b"ok")

    def test_gauges_out_of_range_make_the_node_reconnect(self):
        self.start_node()
        self.engine.gauges = "nan 0.0 0.1 -3"
        self.wait_for_log('engine_stream_malformed error="gauges')
        self.engine.gauges = "0.1 0.0 0.1 1.0"
        self.engine.accept_link()
        dispatcher = self.dispatcher()
        self.engine.send_done(dispatcher.call() and self.engine.next_command()[1])
        self.assertEqual(dispatcher.next_answer()[:2], (1, b"ok"))

    def test_a_malformed_line_of_the_engine_makes_the_node_reconnect(self):
        dispatcher, request_id = self.start_request("pay")
        self.engine.send_line("DONE what is this")
        self.engine.accept_link()
        self.engine.send_done(request_id)
        self.assertEqual(dispatcher.next_answer()[:2], (1, b"ok"))


class ShutdownTest(NodeProcessTest):
    def test_a_node_whose_log_is_closed_keeps_serving(self):
        self.start_node()
        self.process.stderr.close()
        dispatcher = self.dispatcher()
        for tag in range(1, 4):
            dispatcher.call("unheard-of", tag=tag)
            self.assertEqual(dispatcher.next_answer()[:2], (tag, b"fault"))
        self.engine.send_done(dispatcher.call() and self.engine.next_command()[1])
        self.assertEqual(dispatcher.next_answer()[:2], (4, b"ok"))

    def test_a_drain_answers_every_request_starts_no_run_after_the_grace_period_and_ends(self):
        self.start_node(settings=self.settings_with_extra(readiness=False))
        dispatcher, late_dispatcher = self.dispatcher(), self.dispatcher()
        request_id = dispatcher.call()
        self.engine.next_command()
        self.assertEqual(self.receive_load_report(), "PULSE n3 open")
        self.process.send_signal(signal.SIGTERM)
        self.wait_for_log("drain_started")
        self.process.send_signal(signal.SIGTERM)
        while self.receive_load_report() != "PULSE n3 closed":
            pass
        self.assertEqual(dispatcher.next_array(), [b"0", b"last"])
        grace_id = late_dispatcher.call()  # a request that is read in the grace period runs
        self.assertEqual(self.engine.next_command()[:2], ("RUN", grace_id))
        wait_until_port_closed(self.port)  # the grace period of 0.3 s ends: the listening socket closes
        late_dispatcher.call(tag=2)
        self.assertEqual(late_dispatcher.next_answer()[:2], (2, b"full"))
        self.engine.send_done(grace_id)
        self.engine.send_done(request_id)
        self.assertEqual(late_dispatcher.next_answer()[:2], (1, b"ok"))
        self.assertEqual(dispatcher.next_answer()[:2], (1, b"ok"))
        dispatcher.close()
        late_dispatcher.close()
        self.assertEqual(self.process.wait(TIMEOUT_S), 0)
        self.assertNotIn("drain_started", self.process.stderr.read())

    def test_running_requests_are_answered_before_the_stop(self):
        self.start_node(stop_ms=700)
        dispatcher = self.dispatcher()
        dispatcher.call()
        self.engine.next_command()
        start = time.monotonic()
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(dispatcher.next_answer()[:2], (1, b"full"))
        self.assertLess(time.monotonic() - start, 4)  # far less than the latency objective

    def test_a_node_that_drains_before_its_engine_is_up_ends_at_once(self):
        self.start_node(attach=False)
        self.process.send_signal(signal.SIGTERM)
        self.assertEqual(self.process.wait(TIMEOUT_S), 0)

    def test_a_killed_node_starts_again_at_its_address(self):
        self.start_node()
        self.engine.send_done(self.dispatcher().call() and self.engine.next_command()[1])
        self.process.kill()
        self.process.wait()
        self.process.stderr.close()
        self.start_node(listen=f"127.0.0.1:{self.port}", state="booting", age="1.0")
        dispatcher = self.dispatcher()
        self.engine.notice_number = 0
        self.engine.send_done(dispatcher.call() and self.engine.next_command()[1])
        self.assertEqual(dispatcher.next_answer()[1], b"ok")

    def test_a_malformed_configuration_ends_the_start_with_one_line_and_no_traceback(self):
        other_server = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(other_server.close)
        for configuration in (
            None,
            "not json",
            "[]",
            self.configuration(engine="nowhere"),
            self.configuration(seed="green"),
            self.configuration(limits={"sockets": "many", "memory_mb": 1}),
            self.configuration(settings={**NODE_SETTINGS, "classes": []}),
            self.configuration(settings={**NODE_SETTINGS, "obligations": {}}),
            self.configuration(listen=f"127.0.0.1:{other_server.getsockname()[1]}"),
        ):
            process = self.launch(configuration)
            _, errors = process.communicate(timeout=TIMEOUT_S)
            self.assertEqual((process.returncode, errors.count("\n")), (2, 1), errors)
            self.assertTrue(errors.startswith("oakkeel"), errors)

    def test_an_unreadable_configuration_file_ends_the_start_with_one_line(self):
        import sys

        completed = subprocess.run(
            [sys.executable, "-m", "oakkeel"],
            env={"PROXY_CONFIG": "/nowhere/at/all"},
            capture_output=True,
            text=True,
            timeout=TIMEOUT_S,
        )
        self.assertEqual((completed.returncode, completed.stderr.count("\n")), (2, 1))


if __name__ == "__main__":
    unittest.main()
