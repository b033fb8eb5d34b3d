"""Agents that start on the state folders of an earlier version."""

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
from tests.compatibility.fixtures import DATA, HOSTS, assert_same_keys, load
from tests.support.rig_case import SUPERVISION

HOUR = 3600 * 1_000_000_000


def move_to_this_boot(path: str) -> None:
    """Let a copied database be of this boot, with its orders still open.

    Its times are monotonic ones of the machine that wrote it: as they are, its orders would be open or
    expired, and its instances startable or not, by how long the machine of the test has been up.
    """
    with contextlib.closing(sqlite3.connect(path)) as database, database:
        database.execute("UPDATE boot SET id = ?", (read_boot_id(),))
        database.execute("UPDATE orders SET expires = ?", (time.monotonic_ns() + HOUR,))
        database.execute("UPDATE instances SET start_at = 0")


class StateFolderCompatibilityTest(unittest.IsolatedAsyncioTestCase):
    """Agents that are started on the state folders of ea5a81e go on where that version stopped."""

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

    async def test_orders_generations_permits_and_the_log_are_there(self):
        expected = load("state/expected.json")
        found = (await self.rig.raft_statuses())[await self.rig.wait_for_leader()]
        self.assertEqual(found.epoch, expected["epoch"])
        self.assertGreater(found.term, expected["term"])
        self.assertGreaterEqual(found.committed, expected["committed"])
        orders = (await self.rig.fleet_status()).orders
        self.assertEqual(
            {order.order_id: {part.target: part.state for part in order.tasks} for order in orders},
            expected["orders"],
        )
        permits = {
            each.target: each.order_id
            for each in (await self.rig.fleet_status()).unavailable
            if each.order_id
        }
        self.assertEqual(permits, {thing: order for thing, order in expected["permits"].items() if order})
        release = await self.rig.clients.request_leader(messages.ReleaseStatusRequest())
        self.assertEqual((release.release_id, release.state), (expected["release"], "done"))

        async def started_again() -> bool:
            generations = await self.rig.generations()
            return all(
                generations[name] > generation
                for name, generation in expected["generations"].items()
                if name not in expected["permits"]
            )

        await self.rig.wait_until("all that serves has a later generation", started_again)
        for row in load("command-line.json")["cluster"]:
            arguments = [
                "cli-2" if word == "cli-1" else word for word in row["arguments"]
            ]  # that id is known
            await assert_same_keys(self, self.folder, {**row, "arguments": arguments})
