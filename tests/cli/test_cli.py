"""Tests of the commands and the demo in subprocesses, and of a node whose peers have faults."""

import asyncio
import json
import os
import re
import signal
import subprocess
import sys
import tempfile
import unittest
from dataclasses import replace

from click import Command, Group

from oakkeel.cli.main import main
from oakkeel.fakes.dispatcher import Dispatcher
from oakkeel.fakes.faults import Fault
from oakkeel.fakes.load_clients import CompliantClient
from oakkeel.fakes.site import FakeSite, SiteOptions
from oakkeel.settings.fleet import read_fleet
from tests.agent.agent_test_case import TIMEOUT_S, AgentTestCase


def iterate_subcommands(group: Group, path: str = "oakkeel"):
    for name, command in group.commands.items():
        yield f"{path} {name}", command
        if isinstance(command, Group):
            yield from iterate_subcommands(command, f"{path} {name}")


class CommandLineTestCase(AgentTestCase):
    async def run_oakkeel(self, *arguments: str, operator: str = "asha") -> tuple[int, str, str]:
        """Return the exit code, standard output and standard error."""
        environment = {
            **os.environ,
            "OAKKEEL_SETTINGS": self.site.settings,
            "OAKKEEL_OPERATOR": operator,
            "COLUMNS": "200",
        }
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "oakkeel",
            *arguments,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.PIPE,
        )
        out, err = await asyncio.wait_for(process.communicate(), 2 * TIMEOUT_S)
        return process.returncode, out.decode(), err.decode()

    async def instance_states(self, *arguments: str) -> dict[str, str]:
        _, out, _ = await self.run_oakkeel("ls", "--output", "json", *arguments)
        return {row["instance"]: row["state"] for row in json.loads(out)["instances"]}


class CommandLineTest(CommandLineTestCase):
    async def test_lists_instances_by_name_glob_and_state(self):
        agent = await self.start_agent()
        await self.wait_until_serving(agent)
        code, out, err = await self.run_oakkeel("ls")
        self.assertEqual((code, len(out.splitlines())), (0, 4))
        self.assertIn("3 serving", err)
        self.assertEqual(
            await self.instance_states("n[12]", "--state", "serving"), {"n1": "serving", "n2": "serving"}
        )
        code, out, _ = await self.run_oakkeel("show", "n2")
        self.assertEqual(code, 0)
        self.assertRegex(out, r"generation +1, by the agent")
        code, out, _ = await self.run_oakkeel("watch", "--for", "1s", "--every", "200ms", "--output", "json")
        self.assertGreater(len(out.splitlines()), 2)
        self.assertEqual(len(json.loads(out.splitlines()[-1])), 3)

    async def test_follows_an_order_to_its_end_and_lists_it(self):
        agent = await self.start_agent()
        await self.wait_until_serving(agent)
        code, out, err = await self.run_oakkeel("restart", "n1", "n2", "--yes", "--id", "mine")
        self.assertEqual((code, out.count("done")), (0, 2), out + err)
        self.assertEqual(
            [self.started_generations(name) for name in ("n1", "n2", "n3")], [[1, 3], [1, 3], [1]]
        )
        _, out, _ = await self.run_oakkeel("orders", "--output", "json")
        orders = json.loads(out)
        self.assertEqual(
            [(order["order"], order["operator"], len(order["parts"])) for order in orders],
            [("mine", "asha", 2)],
        )
        code, out, _ = await self.run_oakkeel("cancel", "mine")
        self.assertEqual((code, out.count("done")), (0, 2))  # the order had ended already
        self.assertEqual((await self.run_oakkeel("cancel", "other"))[0], 1)

    async def test_an_order_for_a_large_part_of_a_site_needs_a_confirmation(self):
        agent = await self.start_agent()
        await self.wait_until_serving(agent)
        code, _, err = await self.run_oakkeel("stop", "--site", "wood*")
        self.assertEqual(code, 2)
        self.assertIn("woodbrook: 3 of 3 would be taken out, 0 are out already", err)
        self.assertIn("confirm with --yes", err)
        self.assertEqual(agent.orders.orders, {})
        code, _, err = await self.run_oakkeel("stop")
        self.assertEqual((code, "select instances by name" in err), (2, True))

    async def test_a_rejection_names_the_operator_of_the_open_order(self):
        self.write_script("n1", "deaf")
        agent = await self.start_agent()
        await self.wait_until_serving(agent)
        code, out, _ = await self.run_oakkeel("drain", "n1", "--no-wait")
        self.assertEqual(code, 0)
        code, out, _ = await self.run_oakkeel("restart", "n1", operator="ravi")
        self.assertEqual(code, 1)
        self.assertIn("asha's drain is open since", out)
        code, out, _ = await self.run_oakkeel("restart", "n1", "--supersede", operator="ravi")
        self.assertEqual((code, "done" in out), (0, True), out)
        code, out, _ = await self.run_oakkeel("drain", "n2", operator="lena")
        self.assertEqual((code, "lena may only view" in out), (1, True), out)

    async def test_shows_instances_of_silent_agents_as_unknown_with_exit_code_3(self):
        code, out, err = await self.run_oakkeel("ls", "--deadline", "300ms")
        self.assertEqual((code, out.count("unknown")), (3, 3))
        self.assertIn("agent of wb1", err)
        code, out, _ = await self.run_oakkeel("restart", "n1", "--deadline", "300ms")
        self.assertEqual((code, "not ordered" in out), (3, True))

    async def test_reports_each_unknown_name_and_invalid_settings_file_in_one_line(self):
        agent = await self.start_agent()
        await self.wait_until_serving(agent)
        for arguments, text in (
            (("ls", "n7"), "no instance has the name 'n7'"),
            (("ls", "--as", "nobody"), "no operator 'nobody'"),
            (("ls", "--settings", "/nowhere.xml"), "No such file"),
            (("stop", "--site", "x*"), "there is no site 'x*'"),
            (("agent", "wb9"), "no host 'wb9'; there are wb1"),
            (("node", "n9"), "no instance 'n9'"),
            (("settings", "check", "/dev/null"), "not well-formed XML"),
        ):
            with self.subTest(arguments):
                code, out, err = await self.run_oakkeel(*arguments)
                self.assertEqual((code, out, err.count("\n")), (2, "", 1), err)
                self.assertIn(text, err)

    async def test_checks_settings_and_creates_keys(self):
        code, out, _ = await self.run_oakkeel("settings", "check", self.site.settings, "--keys")
        self.assertEqual((code, "at most 1 unavailable at once" in out), (0, True))
        path = os.path.join(self.folder, "new.key")
        self.assertEqual((await self.run_oakkeel("settings", "key", path))[0], 0)
        self.assertEqual(os.stat(path).st_mode & 0o777, 0o600)
        self.assertEqual((await self.run_oakkeel("settings", "key", path))[0], 2)

    async def test_settings_with_a_drain_shorter_than_the_stop_of_a_node_are_rejected_in_one_line(self):
        # The agent waits for the longer of both; an operator who plans by `drain` would be wrong (review/6).
        fleet = read_fleet(self.site.settings)
        path = fleet.hosts[0].instances[0].config_path
        with open(path, "w", encoding="utf-8") as file:
            json.dump({"stop_ms": 3_600_000}, file)
        code, out, err = await self.run_oakkeel("settings", "check", self.site.settings)
        self.assertEqual((code, out, err.count("\n")), (2, "", 1), err)
        self.assertIn("is shorter than stop_ms=3600000 of instance", err)

    async def test_each_command_has_help_with_an_example(self):
        for path, command in iterate_subcommands(main):
            if not isinstance(command, Group):
                with self.subTest(path):
                    self.assertIsInstance(command, Command)
                    self.assertIn(
                        f"Example: {'PROXY_CONFIG=config.json ' * path.endswith(' node')}{path}", command.help
                    )
        _, out, _ = await self.run_oakkeel("drain", "--help")
        self.assertIn("3 some agent did not answer", " ".join(out.split()))

    async def test_demo_loses_no_request_and_leaves_no_folder_or_process(self):
        code, out, err = await self.run_oakkeel("demo", "--for", "3s")
        self.assertEqual(code, 0, out + err)
        match = re.fullmatch(r"demo: (\d+) requests answered, 0 lost", out.splitlines()[-1])
        self.assertGreater(int(match[1]), 20)
        folder = re.search(r"OAKKEEL_SETTINGS=(\S+)/fleet.xml", out)[1]
        self.assertFalse(os.path.exists(folder))
        for pid in filter(str.isdigit, os.listdir("/proc")):
            try:
                with open(f"/proc/{pid}/environ", "rb") as file:
                    self.assertNotIn(folder.encode(), file.read())
            except OSError:
                continue


class FairSharingCommandsTest(CommandLineTestCase):
    """Runs an agent with a real node whose settings have fair sharing by client."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.site_folder = self.enterContext(tempfile.TemporaryDirectory())
        self.site = FakeSite(
            self.site_folder,
            {"wb1": ["n1"]},
            SiteOptions(max_unavailable=1, supervision='<fairness by="client"/>'),
        )
        await self.site.open()
        self.addAsyncCleanup(self.site.close)
        self.agent_process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "oakkeel.agent", self.site.settings, "wb1", stderr=subprocess.PIPE
        )
        self.addAsyncCleanup(self.stop_agent)

    async def stop_agent(self) -> None:
        await self.run_oakkeel("stop", "--all", "--yes")
        self.agent_process.terminate()
        await self.agent_process.communicate()

    async def wait_for_log(self, text: str) -> str:
        while line := await asyncio.wait_for(self.agent_process.stderr.readline(), TIMEOUT_S):
            if text.encode() in line:
                return line.decode()
        raise AssertionError(f"the agent ended without logging {text!r}")

    async def test_shows_heavy_clients_and_sends_changed_weights_to_the_node(self):
        await self.wait_for_log("instance_started")
        while (await self.instance_states()) != {"n1": "serving"}:
            await asyncio.sleep(0.1)
        _, out, _ = await self.run_oakkeel("show", "n1", "--output", "json")
        host, _, port = json.loads(out)["instances"][0]["told"]["report"]["address"].rpartition(":")
        client = CompliantClient("steelpan", (host, int(port)), 1.0, 7)
        await client.send_one()
        await client.stop()
        code, out, err = await self.run_oakkeel("show", "n1", "--clients")
        self.assertEqual((code, "steelpan" in out, "1 known" in err), (0, True, True), out + err)
        fairness = '<fairness by="client"><weight of="steelpan" is="2.5"/></fairness>'
        self.site.options = replace(self.site.options, supervision=fairness)
        self.site.write_settings()
        self.agent_process.send_signal(signal.SIGHUP)
        await self.wait_for_log("settings_reloaded")
        path = os.path.join(self.site_folder, "wb1", "n1.log")
        for _ in range(200):
            with open(path) as file:
                if "flow_weights_reloaded weights=1" in file.read():
                    break
            await asyncio.sleep(0.05)
        else:
            self.fail("the node did not log the changed weights")


class FaultyPeersTest(unittest.IsolatedAsyncioTestCase):
    """Runs a real node with a fake dispatcher, engine and catalogue, some of which have a fault."""

    async def asyncSetUp(self) -> None:
        self.site = FakeSite(
            self.enterContext(tempfile.TemporaryDirectory()), {"wb1": ["n1"]}, SiteOptions(max_unavailable=1)
        )
        await self.site.open()
        self.addAsyncCleanup(self.site.close)
        self.engine = self.site.engines["n1"]
        self.node = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "oakkeel",
            stderr=subprocess.PIPE,
            env={**os.environ, "PROXY_CONFIG": os.path.join(self.site.folder, "n1.json")},
        )
        address = "127.0.0.1", int((await self.wait_for_log("listening")).rsplit(b":", 1)[1])
        await self.wait_for_log("engine_ready")
        self.dispatcher = Dispatcher(1, lambda: {"n1": address}, 100, 7)
        self.addAsyncCleanup(self.kill_node)

    async def wait_for_log(self, text: str) -> bytes:
        while line := await asyncio.wait_for(self.node.stderr.readline(), TIMEOUT_S):
            if text.encode() in line:
                return line
        raise AssertionError(f"the node ended without logging {text!r}")

    async def kill_node(self) -> None:
        self.node.send_signal(signal.SIGKILL)
        await self.node.communicate()

    async def send(self, count: int) -> None:
        for _ in range(count):
            await self.dispatcher.send_one()

    async def assert_all_answered(self) -> None:
        await self.dispatcher.stop()
        self.assertEqual(
            self.dispatcher.answered_count, self.dispatcher.counts["sent"], self.dispatcher.counts
        )
        self.assertEqual(max(self.engine.start_counts.values()), 1)

    async def test_each_request_is_answered_with_the_result_of_its_run(self):
        self.engine.runs_per_call = 1  # downstream calls of each run
        for _ in range(10):
            await self.send(2)
            while self.dispatcher.open_count:
                await asyncio.sleep(0.005)
        await self.assert_all_answered()
        self.assertEqual((self.dispatcher.counts["ok"], self.site.catalogue.call_count), (20, 20))

    async def test_an_engine_that_breaks_off_within_a_line_loses_no_request_and_repeats_no_run(self):
        for _ in range(4):
            self.engine.set_fault(Fault.BREAK)
            await self.send(5)
        await self.assert_all_answered()

    async def test_the_node_reconnects_to_an_engine_that_crashed(self):
        await self.send(5)
        self.engine.set_fault(Fault.CRASH)
        await self.wait_for_log("engine_link_lost")
        self.engine.set_fault(Fault.NONE)
        await self.send(5)
        await self.assert_all_answered()

    async def test_requests_are_answered_by_their_deadlines_while_the_catalogue_hangs(self):
        self.engine.runs_per_call = 1
        self.site.catalogue.set_fault(Fault.HANG)
        await self.send(20)
        await self.assert_all_answered()
        self.assertEqual(self.dispatcher.counts["late"], 0)

    async def test_a_slow_engine_causes_rejections_and_a_full_catalogue_leaves_no_request_unanswered(self):
        self.engine.set_fault(Fault.SLOW, 100.0)
        self.site.catalogue.rejects_calls = True
        await self.send(32)
        await self.assert_all_answered()
        self.assertGreater(self.dispatcher.counts["full"], 0)
