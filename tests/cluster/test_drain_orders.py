import asyncio
import subprocess
import sys
import unittest

from oakkeel.agent import messages
from oakkeel.fleet.agent_clients import NoLeaderError
from tests.support.rig_case import RigTestCase


class DrainOrderTest(RigTestCase):
    async def test_two_operators_that_drain_all_sites_at_once_keep_the_disruption_budget(self):
        all_targets = [name for names in self.hosts.values() for name in names]
        generations = await self.rig.generations()
        first, second = await asyncio.gather(
            *(
                self.rig.submit_order(order_id, "drain", all_targets, 4, generations=generations)
                for order_id in ("o1", "o2")
            )
        )
        refused_counts = [sum(task.state == "refused" for task in status.tasks) for status in (first, second)]
        self.assertEqual(sorted(refused_counts), [0, len(all_targets)])
        await self.wait_until_granted("o1" if not refused_counts[0] else "o2")
        states = await self.rig.wait_until_ended("o1" if not refused_counts[0] else "o2")
        self.assertEqual(sorted(states.values()), ["done"] * 2 + ["expired"] * 8)

    async def test_crashed_instances_use_up_the_budget(self):
        await self.submit_order_with_retry("o1", "drain", ["n3a"])
        await self.rig.wait_until_ended("o1")
        for name in ("n4a", "n4b", "n5a"):
            self.rig.set_node_script(name, "crash")
            self.rig.kill_node(name)

        async def are_counted() -> bool:
            reasons = {
                status.target: status.reasons for status in (await self.rig.fleet_status()).unavailable
            }
            return all("does not serve" in reasons.get(name, ()) for name in ("n4a", "n4b", "n5a"))

        await self.rig.wait_until("the crashed instances count as unavailable", are_counted)
        await self.submit_order_with_retry("o2", "drain", ["n3b", "n5b", "n1a"], duration=3)
        states = await self.rig.wait_until_ended("o2")
        self.assertEqual((states["n3b"], states["n5b"]), ("expired", "expired"))
        self.assertEqual(states["n1a"], "expired")  # the crashed instances use up the maximum of the fleet

    async def test_permits_of_a_killed_agent_count_as_unavailable(self):
        self.rig.set_node_script("n4a", "linger")
        await self.submit_order_with_retry("o1", "drain", ["n4a"])
        await self.wait_until_granted("o1", "n4a")
        await self.rig.kill_agent("h4")
        await self.submit_order_with_retry("o2", "drain", ["n3a"], duration=8)
        self.assertEqual(await self.rig.wait_until_ended("o2"), {"n3a": "expired"})
        await self.rig.start_agent("h4")
        await self.rig.wait_until_ended("o1")
        self.assertEqual((await self.rig.instance_statuses())["n4a"].phase, "stopped")

    async def test_cancel_during_drain_resumes_serving_and_cancel_after_stop_restarts_instance(self):
        self.rig.set_node_script("n4a", "linger")
        await self.submit_order_with_retry("o1", "drain", ["n4a"])

        async def is_draining() -> bool:
            return (await self.rig.instance_statuses())["n4a"].phase == "draining"

        await self.rig.wait_until("n4a drains", is_draining)
        await asyncio.sleep(0.5)
        response = await self.rig.end_order("o1", True)
        self.assertIsInstance(response, messages.FleetOrderStatus)
        await self.rig.wait_until_serving(["n4a"])
        self.assertEqual(self.journal_events("n4a"), ["start", "up", "leave", "stay", "up"])
        self.assertEqual(await self.rig.wait_until_ended("o1"), {"n4a": "cancelled"})
        await self.submit_order_with_retry("o2", "drain", ["n3a"])
        await self.rig.wait_until_ended("o2")
        await self.rig.end_order("o2", True)
        await self.rig.wait_until_serving(["n3a"])
        self.assertEqual(self.journal_events("n3a"), ["start", "up", "leave", "end", "start", "up"])
        await self.submit_order_with_retry("o3", "drain", ["n3a"])  # the budget is free again
        self.assertEqual(await self.rig.wait_until_ended("o3"), {"n3a": "done"})

    async def test_no_further_instance_drains_after_a_halt(self):
        all_targets = [name for names in self.hosts.values() for name in names]
        for name in all_targets:
            self.rig.set_node_script(name, "linger")
        await self.submit_order_with_retry("o1", "restart", all_targets, duration=60)
        await asyncio.sleep(0.7)
        await self.rig.end_order("o1", False)

        async def is_halted() -> bool:
            tasks = (await self.rig.fleet_status("o1")).orders[0].tasks
            return all(task.state not in ("granted", "waiting") for task in tasks)

        await self.rig.wait_until("the halted order has no permits and no waiting tasks", is_halted)
        leave_count = sum(self.journal_events(name).count("leave") for name in all_targets)
        await self.rig.wait_until_ended("o1")
        self.assertEqual(sum(self.journal_events(name).count("leave") for name in all_targets), leave_count)
        self.assertLess(leave_count, 6)
        statuses = await self.rig.instance_statuses()  # the halted order blocks no later order
        self.assertEqual([name for name in all_targets if statuses[name].order], [])
        await self.submit_order_with_retry("o2", "restart", all_targets[:2])
        self.assertEqual(set((await self.rig.wait_until_ended("o2")).values()), {"done"})

    async def test_without_a_majority_no_instance_drains_and_instances_keep_serving(self):
        followers = [host for host in self.replicas if host != await self.rig.wait_for_leader()]
        for host in followers:
            await self.rig.kill_agent(host)
        with self.assertRaises(NoLeaderError) as caught:
            await asyncio.sleep(1.5)
            await self.rig.submit_order("o1", "drain", ["n4a"])
        self.assertGreaterEqual(len(caught.exception.reasons), 3)
        command = [
            sys.executable,
            "-m",
            "oakkeel",
            "drain",
            "n4a",
            "--settings",
            self.site.settings,
            "--as",
            "asha",
            "--yes",
        ]
        completed = await asyncio.to_thread(subprocess.run, command, capture_output=True, text=True)
        self.assertEqual(completed.returncode, 3, completed)
        self.assertIn("nothing new is committed, running instances keep serving", completed.stderr)
        statuses = await self.rig.instance_statuses()
        self.assertEqual({statuses[name].phase for name in ("n4a", "n4b", "n5a", "n5b")}, {"serving"})


if __name__ == "__main__":
    unittest.main()
