"""What version ea5a81e wrote is read, and written again with the same bytes where a form has one writing.

The fixtures under data/compatibility were written by that version (see README.md there). A field renamed without
its outside name, a dropped column or another order of fields fails here.
"""

import asyncio
import base64
import gzip
import hashlib
import io
import json
import os
import re
import shutil
import socket
import struct
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

import msgspec

from oakkeel.agent import messages
from oakkeel.authentication.mac import AuthenticatedMessage
from oakkeel.control import messages as control
from oakkeel.dispatch import codec, resp
from oakkeel.disruption.state_machine import Rejection
from oakkeel.fair_sharing import persistence
from oakkeel.fakes.rig import ProcessRig
from oakkeel.fakes.site import FakeSite
from oakkeel.node_limits import Pairs, read_limits
from oakkeel.policy_change import coordinator
from oakkeel.policy_change.state_machine import PolicyStateMachine
from oakkeel.raft import messages as raft_messages
from oakkeel.resource_limits import ResourceLimits
from oakkeel.rollout import messages as release_words
from oakkeel.rollout.gates import GateState
from oakkeel.rollout.state_machine import RolloutStateMachine
from oakkeel.settings.fleet import read_fleet
from oakkeel.settings.keys import write_key
from oakkeel.simulator_adapter import wire
from oakkeel.simulator_adapter.table import InstanceTable
from oakkeel.store import snapshot_file
from tests.agent.test_agent import AgentStory
from tests.cluster.test_rig import SUPERVISION
from tests.support.node_process import NodeStory, words_of

DATA = Path(__file__).parent / "data"
HOSTS = {"h1": ["n1a", "n1b"], "h2": ["n2a", "n2b"], "h3": ["n3a", "n3b"]}


def load(name: str):
    if name.endswith(".gz"):
        return json.loads(gzip.decompress((DATA / name).read_bytes()))
    return json.loads((DATA / name).read_text(encoding="utf-8"))


RENAMED = {  # members of enums, as the old version called them
    "<Idempotency.IDEMPOTENT: 'repeatable'>": "<Effect.REPEATABLE: 'repeatable'>",
    "<Idempotency.IDEMPOTENCY_KEY: 'deduplicated'>": "<Effect.DEDUPLICATED: 'deduplicated'>",
    "<Idempotency.NON_IDEMPOTENT: 'mutating'>": "<Effect.MUTATING: 'mutating'>",
}


def leaves(value: object) -> list[str]:
    """All plain values in a structure, as sorted texts: what they are called does not count."""
    if isinstance(value, dict):
        found = [leaf for pair in value.items() for each in pair for leaf in leaves(each)]
    elif isinstance(value, list | tuple | set | frozenset):
        found = [leaf for each in value for leaf in leaves(each)]
    elif hasattr(value, "__dataclass_fields__"):
        found = [leaf for name in value.__dataclass_fields__ for leaf in leaves(getattr(value, name))]
    else:
        found = [RENAMED.get(repr(value), repr(value))]
    return sorted(found)


def paths(value: object, path: str = "$") -> set[str]:
    """The keys of a JSON document with the types of its values."""
    if isinstance(value, dict):
        inner = {found for key, each in value.items() for found in paths(each, f"{path}.{key}")}
        return {f"{path}.{key}" for key in value} | inner
    if isinstance(value, list):
        return {found for each in value for found in paths(each, f"{path}[]")}
    return {f"{path}: {type(value).__name__}"}


def apply_and_encode(machine_type: type):
    """A replicated command is read by the state machine that applies it."""
    machine = machine_type()
    return lambda content: msgspec.msgpack.encode(machine.read(content))


def of_type(kind: type):
    return lambda content: msgspec.msgpack.encode(msgspec.msgpack.decode(content, type=kind))


REWRITE = {
    "control request": lambda content: control.encode(control.decode_request(content)),
    "control response": lambda content: control.encode(control.decode_response(content)),
    "agent request": lambda content: messages.encode(messages.decode_request(content)),
    "agent response": lambda content: messages.encode(messages.decode_response(content)),
    "replicated command": apply_and_encode(RolloutStateMachine),
    "policy change command": apply_and_encode(PolicyStateMachine),
    "release status": lambda content: release_words.encode(release_words.decode_report(content)),
    "release assignment": lambda content: release_words.encode(release_words.decode_assignments(content)),
    "gate progress": of_type(GateState),
    "policy lease status": of_type(coordinator.AgentReport),
    "policy lease": of_type(coordinator.PolicyAssignment),
    "members": lambda content: raft_messages.encode_members(raft_messages.decode_members(content)),
    "authenticated frame": of_type(AuthenticatedMessage),
}


class MessageCompatibilityTest(unittest.TestCase):
    def test_each_message_is_read_and_written_with_the_same_bytes(self):
        rows = load("messages.json")
        self.assertEqual({row["form"] for row in rows}, set(REWRITE))
        for row in rows:
            with self.subTest(form=row["form"], message=row["message"]):
                content = base64.b64decode(row["content"])
                self.assertEqual(REWRITE[row["form"]](content), content)

    def test_every_message_of_each_union_has_a_fixture(self):
        counts = {}
        for row in load("messages.json"):
            counts[row["form"]] = counts.get(row["form"], 0) + 1
        self.assertEqual(
            counts,
            {
                "control request": 4,
                "control response": 3,
                "agent request": 15 + 9,
                "agent response": 12,
                "replicated command": 14 + 8,
                "policy change command": 5,
                "release status": 1,
                "release assignment": 1,
                "gate progress": 1,
                "policy lease status": 1,
                "policy lease": 1,
                "members": 1,
                "authenticated frame": 1,
            },
        )


class ReplicatedStateCompatibilityTest(unittest.TestCase):
    def test_replayed_commands_give_the_same_results_and_snapshots(self):
        for kind, machine_type in (("cluster", RolloutStateMachine), ("policy", PolicyStateMachine)):
            for number, log in enumerate(load("replicated.json.gz")[kind]):
                machine = machine_type()
                for row in log["commands"]:
                    result = machine.apply(row["index"], base64.b64decode(row["command"]))
                    folded = hashlib.sha256(machine.snapshot()).hexdigest()
                    self.assertEqual(
                        (isinstance(result, Rejection), folded),
                        (row["refused"], row["snapshot"]),
                        (kind, number, row["index"]),
                    )

    def test_snapshots_are_restored_and_written_with_the_same_bytes(self):
        for kind, machine_type in (("cluster", RolloutStateMachine), ("policy", PolicyStateMachine)):
            for log in load("replicated.json.gz")[kind]:
                machine = machine_type()
                content = base64.b64decode(log["snapshot"])
                machine.restore(content)
                self.assertEqual(machine.snapshot(), content)


class FileCompatibilityTest(unittest.TestCase):
    def test_settings_are_read_to_the_same_values(self):
        fleet = read_fleet(str(DATA / "fleet.xml"))
        self.assertEqual([leaf.replace(str(DATA), "HERE") for leaf in leaves(fleet)], load("settings.json"))

    def test_a_snapshot_of_fair_shares_is_read_and_written_with_the_same_bytes(self):
        content = snapshot_file.read(str(DATA / "fair-shares.snapshot"))
        found = persistence.decode_snapshot(content, 1_700_000_001_000_000_000, ("tenant", "via"))
        self.assertEqual(msgspec.msgpack.encode(found), content)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "snapshot"
            snapshot_file.write(str(path), content)
            self.assertEqual(path.read_bytes(), (DATA / "fair-shares.snapshot").read_bytes())

    def test_a_key_file_is_written_with_the_same_bytes(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "key"
            write_key(str(path), bytes(range(32)))
            self.assertEqual(path.read_bytes(), (DATA / "operator.key").read_bytes())


class NetworkCompatibilityTest(unittest.TestCase):
    def test_requests_are_read_to_the_same_values_and_answers_written_with_the_same_bytes(self):
        expected = load("network.json")
        settings = Pairs(load("simulator-settings.json"))
        reader = codec.RequestReader(
            read_limits(settings),
            ["quote", "pay", "card"],
            ["guild", "south"],
            ResourceLimits(1024, 192 * 2**20, 3_000_000_000),
            lambda: 1_700_000_000_000_000_000,
        )
        for content, values in zip(expected["calls"], expected["read"], strict=True):
            content = base64.b64decode(content)
            call = words_of(io.BytesIO(content))
            self.assertEqual(resp.encode(*call), content)
            found = reader.read(int(call[1]), call, None)
            self.assertEqual(
                leaves(
                    [
                        "group",
                        found.request_class,
                        "tenant",
                        found.tenant,
                        "caller",
                        found.client,
                        "memory_kb",
                        found.memory_kb,
                        "marked_retry",
                        found.retry_attempt,
                        "left",
                        found.remaining_time,
                        "backlog",
                        found.queueing_delay,
                        "has_key",
                        found.has_key,
                        "repeats",
                        found.is_duplicate,
                        "ident",
                        found.request_id,
                        "tag",
                        found.tag,
                        "group_name",
                        found.class_name,
                        "body",
                        found.body,
                        "key",
                        found.cache_key,
                    ]
                ),
                values,
            )
        written = [
            codec.encode_answer(7, codec.COMPLETED, 0.625, b"result"),
            codec.encode_answer(8, codec.REJECTED, None, b"", True, 250_000_000),
            codec.encode_answer(9, codec.FAILED, 1.0),
            codec.encode_answer(10, codec.HEALTHY, 0.5),
            codec.encode_answer(11, codec.UNHEALTHY, None),
            codec.LAST,
            codec.MALFORMED_STREAM,
        ]
        self.assertEqual(written, [base64.b64decode(each) for each in expected["answers"]])

    def test_the_simulator_is_answered_with_the_same_bytes(self):
        for name in ("simulator-1.bin.gz", "simulator-2.bin.gz", "simulator-3.bin.gz"):
            content, table, at, batches = gzip.decompress((DATA / name).read_bytes()), InstanceTable(), 0, 0
            while at < len(content):
                asked, answered = struct.unpack_from("<II", content, at)
                frame, reply = (
                    content[at + 8 : at + 8 + asked],
                    content[at + 8 + asked : at + 8 + asked + answered],
                )
                at, batches = at + 8 + asked + answered, batches + 1
                self.assertEqual(
                    table.batch(*wire.read_frame(io.BytesIO(frame))).hex(), reply.hex(), (name, batches)
                )
            self.assertGreater(batches, 3000)


class NodeBytesTest(NodeStory):
    """The bytes that a node sends to its engine, catalogue, directory and dispatcher, for one way of each kind."""

    def transcript(self) -> dict[str, list[str]]:
        sent: dict[str, list[str]] = {"engine": [], "catalogue": [], "directory": [], "dispatcher": []}
        self.launch(self.told())
        port = int(self.log("listening").rsplit(":", 1)[1])
        self.engine.server.settimeout(20)
        link, _ = self.engine.server.accept()
        stream = link.makefile("rb")
        self.addCleanup(link.close)
        self.addCleanup(stream.close)

        def engine_next() -> None:
            while (line := stream.readline()).startswith(b"STAT "):
                link.sendall(b"STATS %s 0.1 0.0 0.1 1.0\r\n" % line.split()[1])
            if line.startswith((b"RUN", b"FEED")):
                line += stream.read(int(line.split()[-1]) + 2)
            sent["engine"].append(line.decode())

        engine_next()
        link.sendall(b"HELLO steady 60000.0\r\n")
        self.log("engine_ready")
        dispatcher = socket.create_connection(("127.0.0.1", port), timeout=20)
        self.addCleanup(dispatcher.close)

        def call(tag: bytes, ident: bytes) -> None:
            dispatcher.sendall(
                resp.encode(b"CALL", tag, b"quote", b"req=%s,need=24.5,via=4" % ident, b"what")
            )

        call(b"1", b"00c4913a5d91c40f")
        engine_next()
        link.sendall(b"NEED 1 00c4913a5d91c40f 4\r\ncall\r\n")
        called, _ = self.catalogue.accept()
        called_stream = called.makefile("rb")
        self.addCleanup(called.close)
        self.addCleanup(called_stream.close)
        fetch = called_stream.readline()
        fetch += called_stream.read(int(fetch.split()[-1]) + 2)
        sent["catalogue"].append(re.sub(r" \d+ 4\r", " WAIT 4\r", fetch.decode()))
        called.sendall(b"00c4913a5d91c40f DATA 5\r\nreply\r\n")
        engine_next()
        link.sendall(b"DONE 2 00c4913a5d91c40f success 12.3 6\r\nresult\r\n")
        answers = dispatcher.makefile("rb")
        self.addCleanup(answers.close)
        call(b"2", b"00c4913a5d91c410")
        engine_next()
        dispatcher.sendall(resp.encode(b"CANCEL", b"2"))
        engine_next()
        link.sendall(b"DONE 3 00c4913a5d91c410 interrupted 1.0 0\r\n\r\n")
        dispatcher.sendall(resp.encode(b"CHECK", b"3"))
        found = [words_of(answers), words_of(answers)]
        sent["dispatcher"] = [re.sub(r"signal=[\d.]+", "signal=VALUE", str(each)) for each in found]
        sent["directory"].append(self.report())
        return sent

    def test_a_node_sends_the_same_bytes(self):
        self.assertEqual(self.transcript(), load("node-bytes.json"))


class CommandLineCompatibilityTest(AgentStory):
    async def test_json_output_of_one_host_has_the_same_keys(self):
        agent = await self.agent()
        await self.serving(agent)
        for row in load("command-line.json")["one host"]:
            await assert_same_keys(self, os.path.dirname(self.site.settings), row)


async def assert_same_keys(test: unittest.TestCase, folder: str, row: dict) -> None:
    variables = {
        **os.environ,
        "OAKKEEL_SETTINGS": os.path.join(folder, "fleet.xml"),
        "OAKKEEL_OPERATOR": "asha",
    }
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "oakkeel",
        *row["arguments"],
        "--output",
        "json",
        env=variables,
        stdin=subprocess.DEVNULL,
        stdout=subprocess.PIPE,
    )
    printed, _ = await process.communicate()
    document = json.loads(printed.splitlines()[0] if row["arguments"][0] == "watch" else printed)
    with test.subTest(row["arguments"]):
        test.assertEqual(process.returncode, row["code"])
        test.assertEqual(keys_of(paths(document)), keys_of(row["paths"]))


def keys_of(found) -> list[str]:
    """Without the types, and without plain list items: those may be there or not, by what happens."""
    names = {path.rsplit(": ", 1)[0] for path in found}
    return sorted(name for name in names if not name.endswith("[]"))


class StateFolderCompatibilityTest(unittest.IsolatedAsyncioTestCase):
    """Agents that are started on the state folders of ea5a81e go on where that version stopped."""

    async def asyncSetUp(self) -> None:
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        site = FakeSite(
            self.folder,
            HOSTS,
            1,
            supervision=SUPERVISION,
            sites=dict.fromkeys(HOSTS, "woodbrook"),
            keepers=("h1", "h2", "h3"),
            fleet_away=1,
        )
        for host in HOSTS:
            shutil.copytree(DATA / "state" / host, os.path.join(self.folder, host))
        self.rig = ProcessRig(site)
        self.addAsyncCleanup(self.rig.close)
        await self.rig.open()
        await self.rig.leader()

    async def test_orders_generations_permits_and_the_log_are_there(self):
        expected = load("state/expected.json")
        found = (await self.rig.records())[await self.rig.leader()]
        self.assertEqual(found.epoch, expected["epoch"])
        self.assertGreater(found.term, expected["term"])
        self.assertGreaterEqual(found.committed, expected["committed"])
        orders = (await self.rig.state_of()).orders
        self.assertEqual(
            {order.order_id: {part.target: part.state for part in order.tasks} for order in orders},
            expected["orders"],
        )
        permits = {
            each.target: each.order_id for each in (await self.rig.state_of()).unavailable if each.order_id
        }
        self.assertEqual(permits, {thing: order for thing, order in expected["permits"].items() if order})
        release = await self.rig.asker.ask_leader(messages.ReleaseStatusRequest())
        self.assertEqual((release.release_id, release.state), (expected["release"], "done"))

        async def started_again() -> bool:
            generations = await self.rig.generations()
            return all(
                generations[name] > generation
                for name, generation in expected["generations"].items()
                if name not in expected["permits"]
            )

        await self.rig.until("all that serves has a later generation", started_again)
        for row in load("command-line.json")["cluster"]:
            arguments = [
                "cli-2" if word == "cli-1" else word for word in row["arguments"]
            ]  # that id is known
            await assert_same_keys(self, self.folder, {**row, "arguments": arguments})


if __name__ == "__main__":
    unittest.main()
