"""The control link of the program, and what the program loads."""

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
from tests.support.node_process import WAIT, NodeProcessTest, until_refused


class ControlLinkTest(ControlledNodeTest):
    def test_a_status_reports_the_state_and_the_open_requests(self):
        self.begin(attach=False)
        link = self.link()
        self.assertEqual(self.say(link, type="ask", tag=1)["state"], "waiting")
        self.engine.attach()
        self.log("engine_ready")
        dispatcher = self.dispatcher()
        ident = dispatcher.call("card")
        self.engine.next()
        report = self.say(link, type="ask", tag=2)
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
        self.engine.done(ident)
        dispatcher.answer()
        report = self.say(link, type="ask", tag=3)
        self.assertEqual((report["owes"], report["runs"], report["completed"]), (0, 0, 1))

    def test_an_order_for_another_generation_changes_nothing(self):
        self.begin()
        link = self.link()
        told = self.say(link, type="leave", tag=1, generation=6)
        self.assertEqual(
            (told["done"], told["why"]), (False, "the order is for generation 6, this is generation 7")
        )
        self.assertEqual(self.say(link, type="ask", tag=2)["state"], "serving")

    def test_a_drain_order_drains_like_the_signal(self):
        dispatcher, ident = self.running("card")
        link = self.link()
        self.assertTrue(self.say(link, type="leave", tag=1, generation=7)["done"])
        report = self.say(link, type="ask", tag=2)
        self.assertEqual((report["state"], report["owes"]), ("draining", 1))
        self.engine.done(ident)
        self.assertEqual(dispatcher.answer()[1], b"ok")
        dispatcher.close()
        self.assertEqual(self.process.wait(WAIT), 0)
        self.assertFalse(os.path.exists(self.path))

    def test_malformed_messages_affect_only_their_link(self):
        self.begin()
        good = self.link()
        half, long, noise = self.link(), self.link(), self.link()
        half.write(b'{"type":"ask"')
        long.write(b"x" * 5000)
        noise.write(b"what\n" + b'{"type":"ask","tag":1,"more":2}\n')
        self.assertIn("more than 4096", json.loads(long.readline())["why"])
        self.assertTrue(self.ended(long))
        self.assertFalse(json.loads(noise.readline())["done"])
        self.assertIn("more", json.loads(noise.readline())["why"])
        self.assertIn("for too long", json.loads(half.readline())["why"])
        self.assertTrue(self.ended(half))
        self.assertEqual(self.say(good, type="ask", tag=1)["state"], "serving")

    def test_a_flood_takes_a_bounded_share_of_the_cpu_and_requests_are_served(self):
        self.begin()
        flood, good = self.link(), self.link()
        flood._sock.setblocking(False)
        asks = b'{"type":"ask","tag":1}\n' * 400
        sent = 0
        dispatcher = self.dispatcher()
        for _ in range(20):  # it never reads its responses
            with contextlib.suppress(BlockingIOError):
                sent += flood._sock.send(asks)
            ident = dispatcher.call()
            self.engine.done(self.engine.next()[1])
            self.assertEqual(dispatcher.answer()[1], b"ok")
        self.assertGreater(sent, len(asks))
        before, begun = self.say(good, type="ask", tag=1)["cpu"], time.monotonic_ns()
        time.sleep(0.5)  # the CPU time is measured over this time
        used = self.say(good, type="ask", tag=2)["cpu"] - before
        self.assertLess(used / (time.monotonic_ns() - begun), 0.2)
        self.assertTrue(ident)

    def test_a_client_over_the_limit_replaces_the_least_active_one(self):
        self.begin()
        links = [self.link() for _ in range(9)]
        self.assertEqual(self.say(links[-1], type="ask", tag=1)["tag"], 1)
        self.assertTrue(self.ended(links[0]))

    def test_a_control_socket_that_cannot_be_bound_is_one_line(self):
        with mock.patch.dict(os.environ, OAKKEEL_CONTROL="/nowhere/at/all.sock"):
            process = self.launch(self.told())
        _, error = process.communicate(timeout=WAIT)
        self.assertEqual((process.returncode, error.count("\n")), (2, 1))


class CancelDrainTest(ControlledNodeTest):
    """The cancellation of a drain."""

    def leave(self, link) -> None:
        self.assertTrue(self.say(link, type="leave", tag=1, generation=7, within=20_000_000_000)["done"])

    def until_it_listens_no_more(self) -> None:
        until_refused(self.port)  # the grace of 0.3 s ends

    def test_a_cancel_after_the_grace_accepts_requests_at_once_and_loses_nothing(self):
        dispatcher, ident = self.running("card")
        late = self.dispatcher()
        link = self.link()
        self.leave(link)
        self.assertEqual(dispatcher.next(), [b"0", b"last"])
        within = late.call("card")  # read in the grace: it runs
        self.assertEqual(self.engine.next()[:2], ("RUN", within))
        self.until_it_listens_no_more()
        late.call("card", tag=2)  # after the grace, before the cancel: it does not run
        self.assertEqual(late.answer()[:2], (2, b"full"))
        self.assertEqual(self.say(link, type="ask", tag=2)["owes_by"], {"card": 2})
        while self.report() != "PULSE n3 closed":
            pass
        self.assertTrue(self.say(link, type="stay", tag=3, generation=7)["done"])
        fresh = self.dispatcher()
        again = fresh.call("card")
        self.assertEqual(self.engine.next()[:2], ("RUN", again))
        self.engine.done(again)
        self.engine.done(ident)
        self.engine.done(within)
        for each in (fresh, dispatcher, late):
            self.assertEqual(each.answer()[1], b"ok")
        while self.report() != "PULSE n3 open":
            pass
        self.assertEqual(self.say(link, type="ask", tag=4)["state"], "serving")
        self.leave(link)  # and it can drain again
        self.assertEqual(fresh.next(), [b"0", b"last"])
        for each in (fresh, dispatcher, late):
            each.close()
        self.assertEqual(self.process.wait(WAIT), 0)

    def test_a_cancel_within_the_grace_keeps_the_listening_socket(self):
        self.begin()
        link = self.link()
        self.leave(link)
        self.assertTrue(self.say(link, type="stay", tag=2, generation=7)["done"])
        self.assertTrue(self.say(link, type="stay", tag=3, generation=7)["done"])  # twice is no error
        dispatcher = self.dispatcher()
        ident = dispatcher.call()
        self.engine.done(ident if self.engine.next() else "")
        self.assertEqual(dispatcher.answer()[1], b"ok")

    def test_sigterm_after_a_drain_order_is_final(self):
        dispatcher, ident = self.running("card")
        link = self.link()
        self.leave(link)
        self.process.send_signal(signal.SIGTERM)
        while (told := self.say(link, type="stay", tag=2, generation=7))["done"]:
            self.leave(link)  # the signal was not handled yet
        self.assertEqual(told["why"], "the drain is final: the node stops after SIGTERM")
        self.assertFalse(self.say(link, type="stay", tag=3, generation=6)["done"])
        self.engine.done(ident)
        dispatcher.answer()
        dispatcher.close()
        self.assertEqual(self.process.wait(WAIT), 0)

    def test_a_cancel_is_refused_if_another_process_uses_the_address(self):
        dispatcher, ident = self.running("card")
        link = self.link()
        self.leave(link)
        self.until_it_listens_no_more()
        with socket.create_server(("127.0.0.1", self.port)):
            told = self.say(link, type="stay", tag=2, generation=7)
        self.assertIn("can't listen again", told["why"])
        self.assertEqual(self.say(link, type="ask", tag=3)["state"], "draining")
        self.engine.done(ident)
        dispatcher.answer()
        dispatcher.close()
        self.assertEqual(self.process.wait(WAIT), 0)


class RunCommandTest(NodeProcessTest):
    """`run` of the deploy file, as the platform starts it."""

    root = str(Path(__file__).resolve().parents[2])

    def setUp(self) -> None:
        super().setUp()
        with open(os.path.join(self.root, "deploy", "balancer.toml"), "rb") as file:
            run = tomllib.load(file)["run"]
        self.command = ["/bin/sh", "-c", f"cd {shlex.quote(self.root)} && {run}"]
        self.variables = {"PYTHONPROFILEIMPORTTIME": "1"}

    def test_it_is_one_process_that_forks_nothing_and_loads_nothing_of_the_agent(self):
        self.launch(self.told())
        loaded, port = [], 0
        for line in self.process.stderr:
            if line.startswith("import time:"):
                loaded.append(line.rpartition("|")[2].strip())
            elif "listening" in line:
                port = int(line.rsplit(":", 1)[1])
                break
        self.port = port
        self.engine.attach()
        dispatcher = self.dispatcher()
        ident = dispatcher.call()
        self.engine.done(ident if self.engine.next() else "")
        self.assertEqual(dispatcher.answer()[1], b"ok")
        with open(f"/proc/{self.process.pid}/cmdline", "rb") as file:
            self.assertEqual(file.read().split(b"\0")[1:3], [b"-m", b"oakkeel"])  # instead of the shell
        with open(f"/proc/{self.process.pid}/task/{self.process.pid}/children", "rb") as file:
            self.assertEqual(file.read(), b"")
        with open(f"/proc/{self.process.pid}/maps", encoding="utf-8") as file:
            self.assertRegex(file.read(), r"/ld-linux|/ld-musl")  # linked dynamically
        self.assertIn("oakkeel.node.node", loaded)
        unwanted = (
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
        self.assertEqual([name for name in loaded if name.startswith(unwanted)], [])


class ImportTest(NodeProcessTest):
    def test_packages_import_downwards_only_and_the_sides_do_not_import_each_other(self):
        root = str(Path(__file__).resolve().parents[2])
        knows: dict[str, set[str]] = {}
        for path in glob.glob(os.path.join(root, "oakkeel", "**", "*.py"), recursive=True):
            parts = os.path.relpath(path, root).removesuffix(".py").split(os.sep)
            with open(path, encoding="utf-8") as file:
                tree = ast.parse(file.read())
            named = [node.module for node in ast.walk(tree) if isinstance(node, ast.ImportFrom)]
            knows.setdefault(parts[1], set()).update(
                module.split(".")[1] for module in named if module and module.startswith("oakkeel.")
            )
        graph = {name: found - {name} for name, found in knows.items()}
        list(graphlib.TopologicalSorter(graph).static_order())  # raises if there is a circle
        sides = {"dispatch", "engine", "catalogue", "directory", "control"}
        for side in sides:
            self.assertFalse(graph[side] & (sides | {"node", "agent", "fleet"}), side)

    def test_a_plain_node_loads_none_of_what_agents_and_commands_need(self):
        code = (
            "import sys, oakkeel.__main__, oakkeel.node.node\n"
            "print([name for name in ('msgspec', 'click', 'rich', 'lxml', 'blake3', 'sqlite3',"
            " 'oakkeel.agent', 'oakkeel.cli') if sys.modules.get(name)])"
        )
        out = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
        self.assertEqual(out.stdout.strip(), "[]")
