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
            await self.serve(name)
        await super().asyncSetUp()

    async def serve(self, name: str) -> None:
        self.servers[name] = await asyncio.start_server(
            lambda reader, writer: writer.close(), "127.0.0.1", self.ports[name]
        )
        self.addCleanup(self.servers[name].close)

    async def down(self, name: str) -> None:
        self.servers[name].close()
        await self.servers[name].wait_closed()

    async def test_service_that_dies_counts_while_another_of_its_kind_is_out(self):
        async def all_up() -> bool:
            return not (await self.rig.fleet_status()).unavailable

        await self.rig.wait_until("the services are seen", all_up)
        await self.order("o1", "drain", ["cat1"])
        await self.wait_until_granted("o1", "cat1")
        await self.down("cat1")
        self.assertEqual(await self.rig.wait_until_ended("o1"), {"cat1": "done"})
        await self.order("o2", "drain", ["cat2"], duration=2)
        self.assertEqual(await self.rig.wait_until_ended("o2"), {"cat2": "expired"})
        await self.down("cat2")

        async def counted() -> bool:
            state = await self.rig.fleet_status()
            out = {each.target: each.reasons for each in state.unavailable}
            group = next(each for each in state.budgets if each.name == "kind catalogue")
            return group.unavailable == 2 and out.get("n4a") == ["hangs on cat2"]

        await self.rig.wait_until("the dead one counts, and what depends on it", counted)
        for name in self.ports:
            await self.serve(name)
        await self.rig.wait_until("both are back, and the place is free", all_up)


if __name__ == "__main__":
    unittest.main()
