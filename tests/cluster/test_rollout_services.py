"""Releases of downstream services with many processes."""

import asyncio
from typing import ClassVar

from oakkeel.agent import messages
from oakkeel.fakes.downstream_service import DownstreamService
from oakkeel.fakes.site import free_port
from oakkeel.rollout.commands import VersionSpec
from tests.cluster.rollout_case import SECOND, RolloutCase, is_target_changing


class ServiceRolloutTest(RolloutCase):
    """Tests that replace services; scripts of dependent instances simulate the effect of a new service."""

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

    async def close_and_audit(self) -> None:
        for service in self.services.values():
            await service.close()
        await super().close_and_audit()

    async def replace_service(self, change_behaviour) -> str:
        """Replace the next service as an operator would; return its name, or "" if the release halted."""
        status = await self.wait_for_status(
            "a service is to be replaced or the release is halted",
            lambda status: (
                status.state == "halted" or any(entry.state == "changing" for entry in status.targets)
            ),
        )
        names = [entry.target for entry in status.targets if entry.state == "changing"]
        if not names:
            return ""

        async def has_permit() -> bool:
            unavailable = (await self.rig.fleet_status()).unavailable
            return any(target.target == names[0] and target.fencing_token for target in unavailable)

        await self.rig.wait_until("the service has a permit", has_permit)
        await self.services[names[0]].close()
        await asyncio.sleep(1.5)
        change_behaviour(names[0])
        await self.services[names[0]].open()
        return names[0]

    async def test_slower_service_halts_release_of_services(self):
        await self.start_release(
            VersionSpec("db-9", services=True), ["db1", "db2"], batch_timeout=20 * SECOND, soak=SECOND
        )

        def slow_down_dependents(service: str) -> None:
            for name, dependency in self.dependencies.items():
                if dependency == service:
                    self.rig.set_node_script(name, "slower")

        replaced_service = await self.replace_service(slow_down_dependents)
        status = await self.wait_for_end("halted", timeout=40)
        self.assertRegex(status.why, "quote takes .* % longer")
        self.assertEqual({entry.target: entry.state for entry in status.targets}[replaced_service], "new")
        await self.control_release("undo")
        self.assertEqual(await self.replace_service(lambda service: None), replaced_service)
        await self.wait_for_end("undone")

    async def test_instances_wait_while_their_service_is_unavailable(self):
        await self.start_release(
            VersionSpec("db-9", services=True), ["db1"], gated=False, batch_timeout=20 * SECOND
        )
        await self.wait_for_status("the service is to be replaced", is_target_changing)
        response = await self.start_release(self.write_program("v2"), ["n1a"], release_id="r2")
        self.assertIsInstance(response, messages.ErrorResponse)
        await self.replace_service(lambda service: None)
        await self.wait_for_end("done")
        await self.start_release(self.write_program("v3"), ["n1a", "n1b"], release_id="r2", gated=False)
        await self.services["db1"].close()
        await self.wait_for_status(
            "the release waits for db1",
            lambda status: (
                "db1 is unavailable" in status.waiting_for
                or "depends on db1" in status.waiting_for
                or status.batch >= 1
            ),
            release_id="r2",
        )
        await self.services["db1"].open()
        await self.wait_for_end("done", release_id="r2")
