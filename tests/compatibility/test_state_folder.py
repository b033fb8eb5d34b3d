"""Agents start with the state folders of an earlier version."""

import contextlib
import os
import shutil
import sqlite3
import tempfile
import time
import unittest

from oakkeel.agent import messages
from oakkeel.agent.processes import read_boot_id
from oakkeel.fakes.rig import ProcessRig
from oakkeel.fakes.site import FakeSite, SiteOptions
from tests.compatibility.fixtures import DATA, HOSTS, assert_same_keys, load_fixture
from tests.support.rig_case import SUPERVISION

HOUR_NS = 3600 * 1_000_000_000


def move_to_this_boot(path: str) -> None:
    """Set the boot id and the times of a copied database to those of this boot.

    The database holds monotonic times of the machine that wrote it. With these times, the uptime of the test
    machine would decide whether the orders have expired and whether the instances may start.
    """
    with contextlib.closing(sqlite3.connect(path)) as database, database:
        database.execute("UPDATE boot SET id = ?", (read_boot_id(),))
        database.execute("UPDATE orders SET expires = ?", (time.monotonic_ns() + HOUR_NS,))
        database.execute("UPDATE instances SET start_at = 0")


class StateFolderCompatibilityTest(unittest.IsolatedAsyncioTestCase):
    """Agents that start with the state folders written by commit ea5a81e continue from that state."""

    async def asyncSetUp(self) -> None:
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        site = FakeSite(
            self.folder,
            HOSTS,
            SiteOptions(
                max_unavailable=1,
                supervision=SUPERVISION,
                sites=dict.fromkeys(HOSTS, "woodbrook"),
                replicas=("h1", "h2", "h3"),
                fleet_max_unavailable=1,
            ),
        )
        for host in HOSTS:
            folder = os.path.join(self.folder, host)
            shutil.copytree(DATA / "state" / host, folder)
            move_to_this_boot(os.path.join(folder, "agent.db"))
        self.rig = ProcessRig(site)
        self.addAsyncCleanup(self.rig.close)
        await self.rig.open()
        await self.rig.wait_for_leader()

    async def test_orders_generations_permits_and_the_log_are_kept(self):
        expected = load_fixture("state/expected.json")
        status = (await self.rig.raft_statuses())[await self.rig.wait_for_leader()]
        self.assertEqual(status.epoch, expected["epoch"])
        self.assertGreater(status.term, expected["term"])
        self.assertGreaterEqual(status.committed, expected["committed"])
        orders = (await self.rig.fleet_status()).orders
        self.assertEqual(
            {order.order_id: {task.target: task.state for task in order.tasks} for order in orders},
            expected["orders"],
        )
        permits = {
            target.target: target.order_id
            for target in (await self.rig.fleet_status()).unavailable
            if target.order_id
        }
        self.assertEqual(permits, {target: order for target, order in expected["permits"].items() if order})
        release = await self.rig.clients.request_leader(messages.ReleaseStatusRequest())
        self.assertEqual((release.release_id, release.state), (expected["release"], "done"))

        async def is_restarted() -> bool:
            generations = await self.rig.generations()
            return all(
                generations[name] > generation
                for name, generation in expected["generations"].items()
                if name not in expected["permits"]
            )

        await self.rig.wait_until("each serving instance has a later generation", is_restarted)
        for command in load_fixture("command-line.json")["cluster"]:
            # The state of the earlier version holds an order with the recorded id.
            arguments = ["cli-2" if word == "cli-1" else word for word in command["arguments"]]
            await assert_same_keys(self, self.folder, {**command, "arguments": arguments})
