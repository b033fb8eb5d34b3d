"""Releases of downstream services with many processes."""

import asyncio
from typing import ClassVar

from oakkeel.agent import messages
from oakkeel.fakes.downstream_service import DownstreamService
from oakkeel.fakes.site import free_port
from oakkeel.rollout.commands import VersionSpec
from tests.cluster.rollout_case import SECOND, RolloutCase, is_out


class ServiceRolloutTest(RolloutCase):
    """Services below are replaced by hand; their dependents show how they do."""

    hosts: ClassVar = {"h1": ["n1a", "n1b"], "h2": ["n2a", "n2b"], "h3": ["n3a", "n3b"]}
    sites: ClassVar = {"h1": "woodbrook", "h2": "belmont", "h3": "st-james"}
    max_unavailable, fleet_max_unavailable = 2, 3
    dependencies: ClassVar = {
        "n1a": "db1",
        "n2a": "db1",
        "n3a": "db1",
        "n1b": "db2",
        "n2b": "db2",
        "n3b": "db2",
    }

    async def asyncSetUp(self) -> None:
        self.services = {name: DownstreamService(free_port()) for name in ("db1", "db2")}
        for service in self.services.values():
            await service.open()
        self.downstream = (
            '<below><kind name="db" away="1">'
            + "".join(
                f'<service name="{name}" address="127.0.0.1:{service.port}" host="h{number}"/>'
                for number, (name, service) in enumerate(self.services.items(), 1)
            )
            + "</kind></below>"
        )
        await super().asyncSetUp()

    async def end(self) -> None:
        for service in self.services.values():
            await service.close()
        await super().end()

    async def replace(self, after) -> str:
        """As an operator would: wait for the leave, take it down, bring up another."""
        status = await self.wait_for_status(
            "one may be taken down",
            lambda status: (
                status.state == "halted" or any(entry.state == "changing" for entry in status.targets)
            ),
        )
        names = [entry.target for entry in status.targets if entry.state == "changing"]
        if not names:
            return ""

        async def leave() -> bool:
            unavailable = (await self.rig.fleet_status()).unavailable
            return any(target.target == names[0] and target.fencing_token for target in unavailable)

        await self.rig.wait_until("its place is there", leave)
        await self.services[names[0]].close()
        await asyncio.sleep(1.5)
        after(names[0])
        await self.services[names[0]].open()
        return names[0]

    async def test_slower_service_halts_release_of_services(self):
        await self.start_release(
            VersionSpec("db-9", services=True), ["db1", "db2"], batch_timeout=20 * SECOND, soak=SECOND
        )

        def slower(service: str) -> None:
            for name, on in self.dependencies.items():
                if on == service:
                    self.rig.set_node_script(name, "slower")

        first = await self.replace(slower)
        status = await self.wait_for_end("halted", wait=40)
        self.assertRegex(status.why, "quote takes .* % longer")
        self.assertEqual({entry.target: entry.state for entry in status.targets}[first], "new")
        await self.control("undo")
        self.assertEqual(await self.replace(lambda service: None), first)
        await self.wait_for_end("undone")

    async def test_instances_wait_while_their_service_is_out(self):
        await self.start_release(
            VersionSpec("db-9", services=True), ["db1"], gated=False, batch_timeout=20 * SECOND
        )
        await self.wait_for_status("it is out", is_out)
        answer = await self.start_release(self.program("v2"), ["n1a"], ident="r2")
        self.assertIsInstance(answer, messages.ErrorResponse)
        await self.replace(lambda service: None)
        await self.wait_for_end("done")
        await self.start_release(self.program("v3"), ["n1a", "n1b"], ident="r2", gated=False)
        await self.services["db1"].close()
        await self.wait_for_status(
            "it waits",
            lambda status: (
                "db1 is unavailable" in status.waiting_for
                or "depends on db1" in status.waiting_for
                or status.batch >= 1
            ),
            ident="r2",
        )
        await self.services["db1"].open()
        await self.wait_for_end("done", ident="r2")
