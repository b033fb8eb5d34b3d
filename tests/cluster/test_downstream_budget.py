import asyncio
import unittest
from typing import ClassVar

from oakkeel.fakes.site import free_port
from tests.support.rig_case import RigTestCase


class DownstreamBudgetTest(RigTestCase):
    fleet_max_unavailable, max_unavailable = 4, 4
    dependencies: ClassVar[dict[str, str]] = {"n3a": "cat1", "n4a": "cat2"}

    @property
    def downstream(self) -> str:  # type: ignore[override]
        return (
            '<below><kind name="catalogue" away="1">'
            + "".join(
                f'<service name="{name}" address="127.0.0.1:{port}" host="h5"/>'
                for name, port in self.ports.items()
            )
            + "</kind></below>"
        )

    async def asyncSetUp(self) -> None:
        self.ports = {"cat1": free_port(), "cat2": free_port()}
        self.servers: dict[str, asyncio.Server] = {}
        for name in self.ports:
            await self.open_service(name)
        await super().asyncSetUp()

    async def open_service(self, name: str) -> None:
        self.servers[name] = await asyncio.start_server(
            lambda reader, writer: writer.close(), "127.0.0.1", self.ports[name]
        )
        self.addCleanup(self.servers[name].close)

    async def close_service(self, name: str) -> None:
        self.servers[name].close()
        await self.servers[name].wait_closed()

    async def test_closed_service_counts_while_another_service_of_its_kind_is_drained(self):
        async def is_all_available() -> bool:
            return not (await self.rig.fleet_status()).unavailable

        await self.rig.wait_until("the services are available", is_all_available)
        await self.submit_order_with_retry("o1", "drain", ["cat1"])
        await self.wait_until_granted("o1", "cat1")
        await self.close_service("cat1")
        self.assertEqual(await self.rig.wait_until_ended("o1"), {"cat1": "done"})
        await self.submit_order_with_retry("o2", "drain", ["cat2"], duration=2)
        self.assertEqual(await self.rig.wait_until_ended("o2"), {"cat2": "expired"})
        await self.close_service("cat2")

        async def are_counted() -> bool:
            status = await self.rig.fleet_status()
            reasons = {target.target: target.reasons for target in status.unavailable}
            budget = next(entry for entry in status.budgets if entry.name == "kind catalogue")
            return budget.unavailable == 2 and reasons.get("n4a") == ["hangs on cat2"]

        await self.rig.wait_until("the closed service and its dependent count as unavailable", are_counted)
        for name in self.ports:
            await self.open_service(name)
        await self.rig.wait_until("both services are available again", is_all_available)


if __name__ == "__main__":
    unittest.main()
