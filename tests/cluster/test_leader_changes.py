import asyncio
import time
import unittest

from oakkeel.agent import messages
from oakkeel.fleet.agent_clients import NoLeaderError
from tests.support.rig_case import RigTestCase


class LeaderChangeTest(RigTestCase):
    async def test_leader_suspended_during_an_election_repeats_no_restart_when_it_resumes(self):
        leader = await self.rig.wait_for_leader()
        await self.submit_order_with_retry("o1", "restart", ["n1a", "n3a", "n4a"])
        self.rig.suspend_agent(leader)
        started_at = time.monotonic()
        new_leader = await self.rig.wait_for_leader(excluding=[leader])
        self.assertLess(time.monotonic() - started_at, 3.0)
        await self.submit_order_with_retry("o2", "restart", ["n5b"])
        self.rig.resume_agent(leader)
        self.assertEqual(set((await self.rig.wait_until_ended("o1")).values()), {"done"})
        self.assertEqual(set((await self.rig.wait_until_ended("o2")).values()), {"done"})
        self.assertEqual(
            (await self.rig.raft_statuses())[leader].is_leader, leader == await self.rig.wait_for_leader()
        )
        self.assertIsNotNone(new_leader)
        await self.rig.wait_until_serving()
        self.assertEqual(
            [self.journal_events(name).count("start") for name in ("n1a", "n3a", "n4a", "n5b")], [2] * 4
        )

    async def test_replicas_killed_together_keep_committed_orders_after_restart(self):
        await self.submit_order_with_retry("o1", "drain", ["n4a"])
        await self.rig.wait_until_ended("o1")
        # The budget is used up: the tasks of the second order wait.
        await self.submit_order_with_retry("o2", "drain", ["n4b", "n5a"], duration=60)
        for host in self.replicas:
            await self.rig.kill_agent(host)
        with self.assertRaises(NoLeaderError):
            await self.rig.clients.request_leader(messages.FleetStatusRequest(), 500_000_000)
        for host in self.replicas:
            await self.rig.start_agent(host)
        await self.rig.wait_for_leader()
        states = {task.target: task.state for task in (await self.rig.fleet_status("o2")).orders[0].tasks}
        self.assertEqual(states, {"n4b": "waiting", "n5a": "waiting"})
        response = await self.rig.end_order("o1", True)
        self.assertIsInstance(response, messages.FleetOrderStatus, response)
        await self.rig.wait_until_serving(["n4a"])
        await self.wait_until_granted("o2", "n4b")
        await self.rig.end_order("o2", True)
        await self.rig.wait_until_serving()

    async def test_replicas_partitioned_both_ways_one_way_and_in_a_ring_commit_with_a_majority_only(self):
        leader = await self.rig.wait_for_leader()
        other_hosts = [host for host in self.hosts if host != leader]
        self.rig.links.partition([leader], other_hosts)
        second_leader = await self.rig.wait_for_leader(excluding=[leader])
        await self.submit_order_with_retry("two", "restart", ["n4a"])
        self.rig.links.clear_faults()
        other_hosts = [host for host in self.hosts if host != second_leader]
        self.rig.links.partition(
            other_hosts, [second_leader], both=False
        )  # the leader sends but receives nothing
        third_leader = await self.rig.wait_for_leader(excluding=[second_leader])
        await self.submit_order_with_retry("one", "restart", ["n5a"])
        self.rig.links.clear_faults()
        ring = list(self.replicas)
        for position, host in enumerate(ring):  # each receives only from the replica before it
            self.rig.links.partition([ring[(position + 1) % 3]], [host], both=False)
        await asyncio.sleep(1.5)
        self.rig.links.clear_faults()
        await self.rig.wait_for_leader()
        await self.submit_order_with_retry("ring", "restart", ["n3a"])
        for order_id in ("two", "one", "ring"):
            self.assertEqual(set((await self.rig.wait_until_ended(order_id)).values()), {"done"})
        self.assertIsNotNone(third_leader)

    async def test_links_that_lose_duplicate_delay_and_alter_messages_break_no_invariant(self):
        self.rig.links.set_faults(loss=0.1, double=0.1, altered=0.05, mixed=0.02)
        await self.submit_order_with_retry("o1", "restart", ["n1a", "n2a", "n3a", "n4a"], duration=60)
        self.rig.links.clear_faults()
        self.rig.links.break_connections()
        self.rig.links.set_faults(delay=1.5)  # longer than any lease
        await asyncio.sleep(2)
        self.rig.links.clear_faults()
        self.assertEqual(set((await self.rig.wait_until_ended("o1", 60)).values()), {"done"})
        await self.rig.wait_until_serving()


if __name__ == "__main__":
    unittest.main()
