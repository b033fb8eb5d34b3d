"""A test case with many agent and node processes, whose logs are audited at the end of each test."""

import os
import tempfile
import unittest
from typing import ClassVar

from oakkeel.agent import messages
from oakkeel.disruption.timeouts import PermitTimeouts
from oakkeel.fakes.rig import ProcessRig
from oakkeel.fakes.site import FakeSite, SiteOptions
from oakkeel.invariants.logs import audit_groups, audit_logs

HOSTS = {f"h{number}": [f"n{number}a", f"n{number}b"] for number in range(1, 6)}
SITES = {"h1": "woodbrook", "h2": "woodbrook", "h3": "belmont", "h4": "belmont", "h5": "belmont"}
SUPERVISION = '<supervision silent="500ms" start="5s" drain="3s" backoff="200ms"/>'
# Nanoseconds after its failure from which a target must count as unavailable for every new permit.
FAILURE_KNOWN_AFTER_NS = PermitTimeouts().expiry_ns + PermitTimeouts().max_agent_silence_ns + 2_000_000_000


class RigTestCase(unittest.IsolatedAsyncioTestCase):
    hosts, sites, replicas = HOSTS, SITES, ("h1", "h2", "h3")
    downstream: str = ""
    dependencies: ClassVar[dict[str, str]] = {}
    max_unavailable, fleet_max_unavailable = 1, 2

    async def asyncSetUp(self) -> None:
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.site = FakeSite(
            self.folder,
            self.hosts,
            SiteOptions(
                max_unavailable=self.max_unavailable,
                supervision=SUPERVISION,
                sites=self.sites,
                replicas=self.replicas,
                fleet_max_unavailable=self.fleet_max_unavailable,
                downstream=self.downstream,
                dependencies=self.dependencies,
            ),
        )
        self.rig = ProcessRig(self.site)
        self.addAsyncCleanup(self.close_and_audit)
        await self.rig.open()
        await self.rig.wait_for_leader()
        await self.rig.wait_until_serving()

    async def close_and_audit(self) -> None:
        await self.rig.close()
        groups = audit_groups(self.hosts, self.sites, self.max_unavailable, self.fleet_max_unavailable)
        audit = audit_logs(self.folder, self.hosts, groups, FAILURE_KNOWN_AFTER_NS)
        self.assertEqual(audit.finish(0), [])

    def agent_log(self, host: str) -> str:
        with open(os.path.join(self.folder, f"{host}.agent.log"), encoding="utf-8") as file:
            return file.read()

    def journal_events(self, name: str) -> list[str]:
        host = next(host for host, names in self.hosts.items() if name in names)
        with open(os.path.join(self.folder, host, f"{name}.journal"), encoding="ascii") as file:
            return [line.split()[0] for line in file]

    async def wait_until_granted(self, order_id: str, *targets: str) -> None:
        async def are_granted() -> bool:
            tasks = (await self.rig.fleet_status(order_id)).orders[0].tasks
            return all(task.state != "waiting" for task in tasks if task.target in targets)

        await self.rig.wait_until(f"{targets} have permits", are_granted)

    async def follower(self, *excluded: str) -> str:
        leader = await self.rig.wait_for_leader()
        return next(host for host in self.replicas if host != leader and host not in excluded)

    async def submit_order_with_retry(self, *arguments, **options) -> messages.FleetOrderStatus:
        """Submit an order, with the same id, until a leader accepts it."""
        response: messages.Response | None = None

        async def is_accepted() -> bool:
            nonlocal response
            response = await self.rig.submit_order(*arguments, **options)
            return isinstance(response, messages.FleetOrderStatus)

        await self.rig.wait_until("the order is accepted", is_accepted)
        assert isinstance(response, messages.FleetOrderStatus)
        return response
