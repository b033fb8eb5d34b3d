"""A test case over many processes: agents that agree while faults happen, then an audit of their logs."""

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
KNOWN_AFTER = PermitTimeouts().expiry_ns + PermitTimeouts().max_agent_silence_ns + 2_000_000_000


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
        self.addAsyncCleanup(self.end)
        await self.rig.open()
        await self.rig.wait_for_leader()
        await self.rig.wait_until_serving()

    async def end(self) -> None:
        await self.rig.close()
        groups = audit_groups(self.hosts, self.sites, self.max_unavailable, self.fleet_max_unavailable)
        audit = audit_logs(self.folder, self.hosts, groups, KNOWN_AFTER)
        self.assertEqual(audit.finish(0), [])

    def log_of(self, host: str) -> str:
        with open(os.path.join(self.folder, f"{host}.agent.log"), encoding="utf-8") as file:
            return file.read()

    def journal_of(self, name: str) -> list[str]:
        host = next(host for host, names in self.hosts.items() if name in names)
        with open(os.path.join(self.folder, host, f"{name}.journal"), encoding="ascii") as file:
            return [line.split()[0] for line in file]

    async def wait_until_granted(self, ident: str, *things: str) -> None:
        async def granted() -> bool:
            parts = (await self.rig.fleet_status(ident)).orders[0].tasks
            return all(part.state != "waiting" for part in parts if part.target in things)

        await self.rig.wait_until(f"{things} have places", granted)

    async def follower(self, *but: str) -> str:
        leader = await self.rig.wait_for_leader()
        return next(host for host in self.replicas if host != leader and host not in but)

    async def order(self, *words, **more) -> messages.FleetOrderStatus:
        """Through changes of leader, with the same id."""
        answer: messages.Response | None = None

        async def taken() -> bool:
            nonlocal answer
            answer = await self.rig.submit_order(*words, **more)
            return isinstance(answer, messages.FleetOrderStatus)

        await self.rig.wait_until("the order is taken", taken)
        assert isinstance(answer, messages.FleetOrderStatus)
        return answer
