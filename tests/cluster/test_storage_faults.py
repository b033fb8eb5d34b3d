import asyncio
import unittest

from oakkeel.agent import messages
from tests.support.rig_case import RigTestCase


class StorageFaultTest(RigTestCase):
    async def test_replica_with_a_lost_or_restored_database_votes_only_as_a_new_incarnation(self):
        victim = await self.follower()
        backup = self.rig.back_up_replica(victim)
        for number in range(4):
            await self.order(f"o{number}", "restart", ["n4a"])
            await self.rig.wait_until_ended(f"o{number}")
        lives = {
            each.name: each.incarnation
            for each in (await self.rig.raft_statuses())[await self.rig.wait_for_leader()].members
        }
        await self.rig.kill_agent(victim)
        self.rig.restore_replica(victim, backup)
        await self.rig.start_agent(victim)

        async def anew() -> bool:
            told = (await self.rig.raft_statuses())[await self.rig.wait_for_leader()]
            return any(
                each.name == victim and each.is_voter and each.incarnation != lives[victim] and not each.lag
                for each in told.members
            )

        await self.rig.wait_until("it votes under a new life", anew)
        self.assertIn("knows that this replica stored entry", self.log_of(victim))
        lives[victim] = ""
        await self.rig.kill_agent(victim)
        self.rig.delete_databases(victim, "record.db")
        await self.rig.start_agent(victim)
        await self.rig.wait_until("it votes under a third life", anew)

    async def test_agent_without_its_database_repeats_no_generation_and_leaves_drained_instances_stopped(
        self,
    ):
        await self.order("o1", "drain", ["n4a"])
        await self.rig.wait_until_ended("o1")
        before = await self.rig.generations()
        await self.rig.kill_agent("h4")
        self.rig.kill_node("n4b")
        self.rig.delete_databases("h4", "agent.db")
        self.rig.links.cut(["h4"], [host for host in self.hosts if host != "h4"])
        await self.rig.start_agent("h4")
        await asyncio.sleep(1.5)
        self.assertEqual(
            (await self.rig.instance_statuses())["n4b"].phase, "stopped"
        )  # it may not start anything yet
        self.rig.links.clear_faults()
        await self.rig.wait_until_serving(["n4b"])
        told = await self.rig.instance_statuses()
        self.assertEqual((told["n4a"].phase, told["n4a"].goal), ("stopped", "down"))
        self.assertGreater(told["n4a"].generation, before["n4a"])
        self.assertGreater(told["n4b"].generation, before["n4b"])
        answer = await self.rig.submit_order("old", "drain", ["n4b"], generations=before)
        self.assertIsInstance(answer, messages.FleetOrderStatus)
        self.assertEqual(await self.rig.wait_until_ended("old"), {"n4b": "refused"})

    async def test_disk_that_fills_during_a_write_accepts_nothing_and_loses_nothing(self):
        leader = await self.rig.wait_for_leader()
        self.rig.enable_fault(leader, "full")
        await self.order("o1", "restart", ["n4a"], duration=30)  # by another leader
        self.assertNotEqual(await self.rig.wait_for_leader(), leader)
        self.assertIn('"error": "database or disk is full"', self.log_of(leader))
        self.rig.disable_fault(leader, "full")
        self.assertEqual(await self.rig.wait_until_ended("o1"), {"n4a": "done"})

        async def keeps() -> bool:
            told = (await self.rig.raft_statuses())[leader]
            return told.role in ("following", "leading") and told.committed >= 3

        await self.rig.wait_until("it keeps the record again", keeps)

    async def test_wall_clocks_set_forward_and_back_change_nothing(self):
        for host, seconds in (("h1", "3600"), ("h2", "-3600"), ("h4", "86400")):
            self.rig.enable_fault(host, "clock", seconds)
        await self.order("o1", "restart", ["n4a", "n1a"])
        self.assertEqual(set((await self.rig.wait_until_ended("o1")).values()), {"done"})


if __name__ == "__main__":
    unittest.main()
