"""The control link of a node process, and the modules that a node loads."""

import ast
import contextlib
import glob
import graphlib
import json
import os
import shlex
import signal
import socket
import subprocess
import sys
import time
import tomllib
from pathlib import Path
from unittest import mock

from tests.support.control_process import ControlledNodeTest
from tests.support.node_process import TIMEOUT_S, NodeProcessTest, wait_until_port_closed


class ControlLinkTest(ControlledNodeTest):
    def test_a_status_reports_the_state_and_the_open_requests(self):
        self.start_node(attach=False)
        link = self.connect()
        self.assertEqual(self.request(link, type="ask", tag=1)["state"], "waiting")
        self.engine.accept_link()
        self.wait_for_log("engine_ready")
        dispatcher = self.dispatcher()
        request_id = dispatcher.call("card")
        self.engine.next_command()
        report = self.request(link, type="ask", tag=2)
        self.assertEqual(
            (
                report["tag"],
                report["name"],
                report["generation"],
                report["state"],
                report["owes"],
                report["runs"],
            ),
            (2, "n3", 7, "serving", 1, 1),
        )
        self.engine.send_done(request_id)
        dispatcher.next_answer()
        report = self.request(link, type="ask", tag=3)
        self.assertEqual((report["owes"], report["runs"], report["completed"]), (0, 0, 1))

    def test_an_order_for_another_generation_changes_nothing(self):
        self.start_node()
        link = self.connect()
        response = self.request(link, type="leave", tag=1, generation=6)
        self.assertEqual(
            (response["done"], response["why"]),
            (False, "the order is for generation 6, but the node is of generation 7"),
        )
        self.assertEqual(self.request(link, type="ask", tag=2)["state"], "serving")

    def test_a_drain_order_drains_as_sigterm_does(self):
        dispatcher, request_id = self.start_request("card")
        link = self.connect()
        self.assertTrue(self.request(link, type="leave", tag=1, generation=7)["done"])
        report = self.request(link, type="ask", tag=2)
        self.assertEqual((report["state"], report["owes"]), ("draining", 1))
        self.engine.send_done(request_id)
        self.assertEqual(dispatcher.next_answer()[1], b"ok")
        dispatcher.close()
        self.assertEqual(self.process.wait(TIMEOUT_S), 0)
        self.assertFalse(os.path.exists(self.path))

    def test_malformed_messages_affect_only_their_link(self):
        self.start_node()
        valid = self.connect()
        incomplete, oversized, malformed = self.connect(), self.connect(), self.connect()
        incomplete.write(b'{"type":"ask"')
        oversized.write(b"x" * 5000)
        malformed.write(b"what\n" + b'{"type":"ask","tag":1,"more":2}\n')
        self.assertIn("more than 4096", json.loads(oversized.readline())["why"])
        self.assertTrue(self.is_closed(oversized))
        self.assertFalse(json.loads(malformed.readline())["done"])
        self.assertIn("more", json.loads(malformed.readline())["why"])
        self.assertIn("for too long", json.loads(incomplete.readline())["why"])
        self.assertTrue(self.is_closed(incomplete))
        self.assertEqual(self.request(valid, type="ask", tag=1)["state"], "serving")

    def test_a_flood_takes_a_bounded_share_of_the_cpu_while_requests_are_served(self):
        self.start_node()
        flood, poller = self.connect(), self.connect()
        flood._sock.setblocking(False)
        status_requests = b'{"type":"ask","tag":1}\n' * 400
        sent_byte_count = 0
        dispatcher = self.dispatcher()
        for _ in range(20):  # the flooding client never reads its responses
            with contextlib.suppress(BlockingIOError):
                sent_byte_count += flood._sock.send(status_requests)
            request_id = dispatcher.call()
            self.engine.send_done(self.engine.next_command()[1])
            self.assertEqual(dispatcher.next_answer()[1], b"ok")
        self.assertGreater(sent_byte_count, len(status_requests))
        cpu_before, started_at = self.request(poller, type="ask", tag=1)["cpu"], time.monotonic_ns()
        time.sleep(0.5)  # the period over which CPU time is measured
        cpu_used = self.request(poller, type="ask", tag=2)["cpu"] - cpu_before
        self.assertLess(cpu_used / (time.monotonic_ns() - started_at), 0.2)
        self.assertTrue(request_id)

    def test_a_link_over_the_limit_replaces_the_least_recently_active_one(self):
        self.start_node()
        links = [self.connect() for _ in range(9)]
        self.assertEqual(self.request(links[-1], type="ask", tag=1)["tag"], 1)
        self.assertTrue(self.is_closed(links[0]))

    def test_a_control_socket_that_cannot_be_bound_fails_the_start_with_one_line(self):
        with mock.patch.dict(os.environ, OAKKEEL_CONTROL="/nowhere/at/all.sock"):
            process = self.launch(self.configuration())
        _, error = process.communicate(timeout=TIMEOUT_S)
        self.assertEqual((process.returncode, error.count("\n")), (2, 1))


class CancelDrainTest(ControlledNodeTest):
    """The cancellation of a drain."""

    def order_drain(self, link) -> None:
        self.assertTrue(self.request(link, type="leave", tag=1, generation=7, within=20_000_000_000)["done"])

    def wait_until_not_listening(self) -> None:
        wait_until_port_closed(self.port)  # after the grace period of 0.3 s

    def test_a_cancel_after_the_grace_period_accepts_requests_at_once_and_loses_no_request(self):
        dispatcher, request_id = self.start_request("card")
        second_dispatcher = self.dispatcher()
        link = self.connect()
        self.order_drain(link)
        self.assertEqual(dispatcher.next_array(), [b"0", b"last"])
        grace_id = second_dispatcher.call("card")  # read within the grace period: this request runs
        self.assertEqual(self.engine.next_command()[:2], ("RUN", grace_id))
        self.wait_until_not_listening()
        # A request after the grace period and before the cancellation does not run.
        second_dispatcher.call("card", tag=2)
        self.assertEqual(second_dispatcher.next_answer()[:2], (2, b"full"))
        self.assertEqual(self.request(link, type="ask", tag=2)["owes_by"], {"card": 2})
        while self.receive_load_report() != "PULSE n3 closed":
            pass
        self.assertTrue(self.request(link, type="stay", tag=3, generation=7)["done"])
        new_dispatcher = self.dispatcher()
        new_id = new_dispatcher.call("card")
        self.assertEqual(self.engine.next_command()[:2], ("RUN", new_id))
        self.engine.send_done(new_id)
        self.engine.send_done(request_id)
        self.engine.send_done(grace_id)
        for connection in (new_dispatcher, dispatcher, second_dispatcher):
            self.assertEqual(connection.next_answer()[1], b"ok")
        while self.receive_load_report() != "PULSE n3 open":
            pass
        self.assertEqual(self.request(link, type="ask", tag=4)["state"], "serving")
        self.order_drain(link)  # the node can drain again
        self.assertEqual(new_dispatcher.next_array(), [b"0", b"last"])
        for connection in (new_dispatcher, dispatcher, second_dispatcher):
            connection.close()
        self.assertEqual(self.process.wait(TIMEOUT_S), 0)

    def test_a_cancel_within_the_grace_period_keeps_the_listening_socket(self):
        self.start_node()
        link = self.connect()
        self.order_drain(link)
        self.assertTrue(self.request(link, type="stay", tag=2, generation=7)["done"])
        self.assertTrue(
            self.request(link, type="stay", tag=3, generation=7)["done"]
        )  # a repetition is accepted
        dispatcher = self.dispatcher()
        request_id = dispatcher.call()
        self.engine.send_done(request_id if self.engine.next_command() else "")
        self.assertEqual(dispatcher.next_answer()[1], b"ok")

    def test_sigterm_after_a_drain_order_is_final(self):
        dispatcher, request_id = self.start_request("card")
        link = self.connect()
        self.order_drain(link)
        self.process.send_signal(signal.SIGTERM)
        while (response := self.request(link, type="stay", tag=2, generation=7))["done"]:
            self.order_drain(link)  # the signal was not handled yet
        self.assertEqual(response["why"], "the drain is final: the node stops after SIGTERM")
        self.assertFalse(self.request(link, type="stay", tag=3, generation=6)["done"])
        self.engine.send_done(request_id)
        dispatcher.next_answer()
        dispatcher.close()
        self.assertEqual(self.process.wait(TIMEOUT_S), 0)

    def test_a_cancel_is_refused_if_another_process_uses_the_address(self):
        dispatcher, request_id = self.start_request("card")
        link = self.connect()
        self.order_drain(link)
        self.wait_until_not_listening()
        with socket.create_server(("127.0.0.1", self.port)):
            response = self.request(link, type="stay", tag=2, generation=7)
        self.assertIn("can't listen again", response["why"])
        self.assertEqual(self.request(link, type="ask", tag=3)["state"], "draining")
        self.engine.send_done(request_id)
        dispatcher.next_answer()
        dispatcher.close()
        self.assertEqual(self.process.wait(TIMEOUT_S), 0)


class RunCommandTest(NodeProcessTest):
    """The command `run` of the deploy file, as the platform executes it."""

    root = str(Path(__file__).resolve().parents[2])

    def setUp(self) -> None:
        super().setUp()
        with open(os.path.join(self.root, "deploy", "balancer.toml"), "rb") as file:
            run_command = tomllib.load(file)["run"]
        self.command = ["/bin/sh", "-c", f"cd {shlex.quote(self.root)} && {run_command}"]
        self.variables = {"PYTHONPROFILEIMPORTTIME": "1"}

    def test_a_node_is_one_process_without_children_and_loads_no_module_of_the_agent(self):
        self.launch(self.configuration())
        loaded_modules, port = [], 0
        for line in self.process.stderr:
            if line.startswith("import time:"):
                loaded_modules.append(line.rpartition("|")[2].strip())
            elif "listening" in line:
                port = int(line.rsplit(":", 1)[1])
                break
        self.port = port
        self.engine.accept_link()
        dispatcher = self.dispatcher()
        request_id = dispatcher.call()
        self.engine.send_done(request_id if self.engine.next_command() else "")
        self.assertEqual(dispatcher.next_answer()[1], b"ok")
        with open(f"/proc/{self.process.pid}/cmdline", "rb") as file:
            self.assertEqual(file.read().split(b"\0")[1:3], [b"-m", b"oakkeel"])  # exec replaced the shell
        with open(f"/proc/{self.process.pid}/task/{self.process.pid}/children", "rb") as file:
            self.assertEqual(file.read(), b"")
        with open(f"/proc/{self.process.pid}/maps", encoding="utf-8") as file:
            self.assertRegex(file.read(), r"/ld-linux|/ld-musl")  # linked dynamically
        self.assertIn("oakkeel.node.node", loaded_modules)
        forbidden_prefixes = (
            "msgspec",
            "blake3",
            "lxml",
            "click",
            "sqlite3",
            "oakkeel.agent",
            "oakkeel.raft",
            "oakkeel.disruption",
            "oakkeel.control",
            "oakkeel.settings",
            "oakkeel.node.fair_sharing",
            "oakkeel.node.control_endpoint",
            "subprocess._",
            "multiprocessing",
        )
        self.assertEqual([name for name in loaded_modules if name.startswith(forbidden_prefixes)], [])


class ImportTest(NodeProcessTest):
    def test_package_imports_have_no_cycle_and_protocol_packages_do_not_import_each_other(self):
        root = str(Path(__file__).resolve().parents[2])
        imports: dict[str, set[str]] = {}
        for path in glob.glob(os.path.join(root, "oakkeel", "**", "*.py"), recursive=True):
            parts = os.path.relpath(path, root).removesuffix(".py").split(os.sep)
            with open(path, encoding="utf-8") as file:
                tree = ast.parse(file.read())
            modules = [node.module for node in ast.walk(tree) if isinstance(node, ast.ImportFrom)]
            imports.setdefault(parts[1], set()).update(
                module.split(".")[1] for module in modules if module and module.startswith("oakkeel.")
            )
        graph = {name: imported - {name} for name, imported in imports.items()}
        list(graphlib.TopologicalSorter(graph).static_order())  # raises CycleError if there is a cycle
        protocols = {"dispatch", "engine", "catalogue", "directory", "control"}
        for protocol in protocols:
            self.assertFalse(graph[protocol] & (protocols | {"node", "agent", "fleet"}), protocol)

    def test_a_node_without_control_link_loads_no_module_of_agents_and_commands(self):
        code = (
            "import sys, oakkeel.__main__, oakkeel.node.node\n"
            "print([name for name in ('msgspec', 'click', 'rich', 'lxml', 'blake3', 'sqlite3',"
            " 'oakkeel.agent', 'oakkeel.cli') if sys.modules.get(name)])"
        )
        process = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
        self.assertEqual(process.stdout.strip(), "[]")
