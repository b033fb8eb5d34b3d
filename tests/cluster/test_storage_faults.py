import asyncio
import unittest

from oakkeel.agent import messages
from tests.support.rig_case import RigTestCase


class StorageFaultTest(RigTestCase):
    async def test_replica_with_a_lost_or_restored_database_votes_only_as_a_new_incarnation(self):
        replica = await self.follower()
        backup = self.rig.back_up_replica(replica)
        for number in range(4):
            await self.submit_order_with_retry(f"o{number}", "restart", ["n4a"])
            await self.rig.wait_until_ended(f"o{number}")
        incarnations = {
            member.name: member.incarnation
            for member in (await self.rig.raft_statuses())[await self.rig.wait_for_leader()].members
        }
        await self.rig.kill_agent(replica)
        self.rig.restore_replica(replica, backup)
        await self.rig.start_agent(replica)

        async def votes_with_new_incarnation() -> bool:
            status = (await self.rig.raft_statuses())[await self.rig.wait_for_leader()]
            return any(
                member.name == replica
                and member.is_voter
                and member.incarnation != incarnations[replica]
                and not member.lag
                for member in status.members
            )

        await self.rig.wait_until("the replica votes under a new incarnation", votes_with_new_incarnation)
        self.assertIn("knows that this replica stored entry", self.agent_log(replica))
        incarnations[replica] = ""
        await self.rig.kill_agent(replica)
        self.rig.delete_databases(replica, "record.db")
        await self.rig.start_agent(replica)
        await self.rig.wait_until("the replica votes under a third incarnation", votes_with_new_incarnation)

    async def test_agent_that_lost_its_database_repeats_no_generation_and_restarts_no_drained_instance(
        self,
    ):
        await self.submit_order_with_retry("o1", "drain", ["n4a"])
        await self.rig.wait_until_ended("o1")
        generations_before = await self.rig.generations()
        await self.rig.kill_agent("h4")
        self.rig.kill_node("n4b")
        self.rig.delete_databases("h4", "agent.db")
        self.rig.links.partition(["h4"], [host for host in self.hosts if host != "h4"])
        await self.rig.start_agent("h4")
        await asyncio.sleep(1.5)
        # The partitioned agent may not start an instance.
        self.assertEqual((await self.rig.instance_statuses())["n4b"].phase, "stopped")
        self.rig.links.clear_faults()
        await self.rig.wait_until_serving(["n4b"])
        statuses = await self.rig.instance_statuses()
        self.assertEqual((statuses["n4a"].phase, statuses["n4a"].goal), ("stopped", "down"))
        self.assertGreater(statuses["n4a"].generation, generations_before["n4a"])
        self.assertGreater(statuses["n4b"].generation, generations_before["n4b"])
        response = await self.rig.submit_order("old", "drain", ["n4b"], generations=generations_before)
        self.assertIsInstance(response, messages.FleetOrderStatus)
        self.assertEqual(await self.rig.wait_until_ended("old"), {"n4b": "refused"})

    async def test_replica_with_full_disk_accepts_no_entry_and_loses_none(self):
        leader = await self.rig.wait_for_leader()
        self.rig.enable_fault(leader, "full")
        # Another leader accepts the order.
        await self.submit_order_with_retry("o1", "restart", ["n4a"], duration=30)
        self.assertNotEqual(await self.rig.wait_for_leader(), leader)
        self.assertIn('"error": "database or disk is full"', self.agent_log(leader))
        self.rig.disable_fault(leader, "full")
        self.assertEqual(await self.rig.wait_until_ended("o1"), {"n4a": "done"})

        async def is_replicating() -> bool:
            status = (await self.rig.raft_statuses())[leader]
            return status.role in ("following", "leading") and status.committed >= 3

        await self.rig.wait_until("the replica stores log entries again", is_replicating)

    async def test_orders_complete_while_wall_clocks_are_wrong(self):
        for host, seconds in (("h1", "3600"), ("h2", "-3600"), ("h4", "86400")):
            self.rig.enable_fault(host, "clock", seconds)
        await self.submit_order_with_retry("o1", "restart", ["n4a", "n1a"])
        self.assertEqual(set((await self.rig.wait_until_ended("o1")).values()), {"done"})


if __name__ == "__main__":
    unittest.main()
