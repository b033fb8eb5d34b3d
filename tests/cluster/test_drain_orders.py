import asyncio
import subprocess
import sys
import unittest

from oakkeel.agent import messages
from oakkeel.fleet.agent_clients import NoLeaderError
from tests.support.rig_case import RigTestCase


class DrainOrderTest(RigTestCase):
    async def test_two_operators_that_drain_all_sites_at_once_keep_the_disruption_budget(self):
        everything = [name for names in self.hosts.values() for name in names]
        generations = await self.rig.generations()
        first, second = await asyncio.gather(
            *(
                self.rig.submit_order(ident, "drain", everything, 4, generations=generations)
                for ident in ("o1", "o2")
            )
        )
        refused = [sum(part.state == "refused" for part in each.tasks) for each in (first, second)]
        self.assertEqual(sorted(refused), [0, len(everything)])
        await self.wait_until_granted("o1" if not refused[0] else "o2")
        states = await self.rig.wait_until_ended("o1" if not refused[0] else "o2")
        self.assertEqual(sorted(states.values()), ["done"] * 2 + ["expired"] * 8)

    async def test_dead_instances_use_up_the_budget_while_a_drain_is_out(self):
        await self.order("o1", "drain", ["n3a"])
        await self.rig.wait_until_ended("o1")
        for name in ("n4a", "n4b", "n5a"):
            self.rig.set_node_script(name, "crash")
            self.rig.kill_node(name)

        async def known() -> bool:
            out = {each.target: each.reasons for each in (await self.rig.fleet_status()).unavailable}
            return all("does not serve" in out.get(name, ()) for name in ("n4a", "n4b", "n5a"))

        await self.rig.wait_until("the dead are known", known)
        await self.order("o2", "drain", ["n3b", "n5b", "n1a"], duration=3)
        states = await self.rig.wait_until_ended("o2")
        self.assertEqual((states["n3b"], states["n5b"]), ("expired", "expired"))
        self.assertEqual(states["n1a"], "expired")  # the fleet's own bound is used up by the dead

    async def test_permits_of_a_vanished_agent_stay_counted(self):
        self.rig.set_node_script("n4a", "linger")
        await self.order("o1", "drain", ["n4a"])
        await self.wait_until_granted("o1", "n4a")
        await self.rig.kill_agent("h4")
        await self.order("o2", "drain", ["n3a"], duration=8)
        self.assertEqual(await self.rig.wait_until_ended("o2"), {"n3a": "expired"})
        await self.rig.start_agent("h4")
        await self.rig.wait_until_ended("o1")
        self.assertEqual((await self.rig.instance_statuses())["n4a"].phase, "stopped")

    async def test_late_cancel_resumes_serving_and_one_that_crosses_the_stop_starts_again(self):
        self.rig.set_node_script("n4a", "linger")
        await self.order("o1", "drain", ["n4a"])

        async def draining() -> bool:
            return (await self.rig.instance_statuses())["n4a"].phase == "draining"

        await self.rig.wait_until("it drains", draining)
        await asyncio.sleep(0.5)
        answer = await self.rig.end_order("o1", True)
        self.assertIsInstance(answer, messages.FleetOrderStatus)
        await self.rig.wait_until_serving(["n4a"])
        self.assertEqual(self.journal_of("n4a"), ["start", "up", "leave", "stay", "up"])
        self.assertEqual(await self.rig.wait_until_ended("o1"), {"n4a": "cancelled"})
        await self.order("o2", "drain", ["n3a"])
        await self.rig.wait_until_ended("o2")
        await self.rig.end_order("o2", True)
        await self.rig.wait_until_serving(["n3a"])
        self.assertEqual(self.journal_of("n3a"), ["start", "up", "leave", "end", "start", "up"])
        await self.order("o3", "drain", ["n3a"])  # the places are free again
        self.assertEqual(await self.rig.wait_until_ended("o3"), {"n3a": "done"})

    async def test_nothing_further_drains_after_a_halt(self):
        everything = [name for names in self.hosts.values() for name in names]
        for name in everything:
            self.rig.set_node_script(name, "linger")
        await self.order("o1", "restart", everything, duration=60)
        await asyncio.sleep(0.7)
        await self.rig.end_order("o1", False)

        async def none_granted() -> bool:
            parts = (await self.rig.fleet_status("o1")).orders[0].tasks
            return all(part.state not in ("granted", "waiting") for part in parts)

        await self.rig.wait_until("the halt is in force", none_granted)
        left = sum(self.journal_of(name).count("leave") for name in everything)
        await self.rig.wait_until_ended("o1")
        self.assertEqual(sum(self.journal_of(name).count("leave") for name in everything), left)
        self.assertLess(left, 6)
        told = await self.rig.instance_statuses()  # and nothing of it stands in the way of what comes next
        self.assertEqual([name for name in everything if told[name].order], [])
        await self.order("o2", "restart", everything[:2])
        self.assertEqual(set((await self.rig.wait_until_ended("o2")).values()), {"done"})

    async def test_without_a_majority_nothing_new_drains_and_instances_go_on_serving(self):
        keys = [host for host in self.replicas if host != await self.rig.wait_for_leader()]
        for host in keys:
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
        ended = await asyncio.to_thread(subprocess.run, command, capture_output=True, text=True)
        self.assertEqual(ended.returncode, 3, ended)
        self.assertIn("nothing new is committed, running instances keep serving", ended.stderr)
        told = await self.rig.instance_statuses()
        self.assertEqual({told[name].phase for name in ("n4a", "n4b", "n5a", "n5b")}, {"serving"})


if __name__ == "__main__":
    unittest.main()
