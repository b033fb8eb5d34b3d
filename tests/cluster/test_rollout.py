"""Releases with many processes while controllers are killed, agents lost and sites partitioned."""

import asyncio
import contextlib

from oakkeel.agent import messages
from oakkeel.fleet.agent_clients import NoLeaderError
from tests.cluster.rollout_case import ALL_TARGETS, SECOND, RolloutCase, is_target_changing


class RolloutControllerTest(RolloutCase):
    async def test_new_controllers_continue_at_the_step_of_killed_controllers(self):
        spec = self.write_program("v2")
        await self.start_release(spec, ["n1a", "n2a", "n3a", "n4a", "n5a"], gated=False, max_batch=1)
        step, kills = 0, 0
        while kills < 5:
            status = await self.wait_for_status(
                "the release takes a step or is done",
                lambda status, step=step: status.step > step or status.state == "done",
            )
            if status.state == "done":
                break
            leader = await self.rig.wait_for_leader()
            await self.rig.kill_agent(leader)
            step, kills = status.step, kills + 1
            await self.rig.start_agent(leader)
        self.assertGreaterEqual(kills, 3)
        await self.wait_for_end("done")
        await self.assert_all_run(spec.version, ["n1a", "n2a", "n3a", "n4a", "n5a"])
        self.assertEqual(
            [self.journal_events(name).count("start") for name in ("n1a", "n2a", "n3a")], [2] * 3
        )

    async def test_resumed_controller_takes_no_step_and_wall_clocks_have_no_effect(self):
        spec = self.write_program("v2")
        for number, host in enumerate(self.hosts):
            self.rig.enable_fault(host, "clock", str((number - 2) * 3600))
        await self.start_release(spec)
        await self.wait_for_status("a batch has begun", lambda status: status.batch >= 1)
        leader = await self.rig.wait_for_leader()
        self.rig.suspend_agent(leader)
        new_leader = await self.rig.wait_for_leader(excluding=[leader])
        status = await self.wait_for_status(
            "another controller drives the release", lambda status: status.controller not in ("", leader)
        )
        self.assertEqual(status.controller, new_leader)
        self.rig.resume_agent(leader)
        await self.wait_for_end("done")
        await self.assert_all_run(spec.version)

    async def test_rejects_second_release_and_accepts_repeated_command(self):
        spec = self.write_program("v2")
        await self.start_release(spec, ["n4a"])
        response = await self.start_release(self.write_program("v3"), ["n5a"], release_id="r2")
        self.assertIsInstance(response, messages.ErrorResponse)
        self.assertIn("asha's release r", response.why)
        self.assertIsInstance(await self.start_release(spec, ["n4a"]), messages.ReleaseStatus)
        await self.wait_for_end("done")
        response = await self.start_release(self.write_program("v4"), ["n5a", "n4a"], release_id="r2")
        self.assertIsInstance(response, messages.ReleaseStatus, response)
        await self.wait_for_end("done", release_id="r2")


class RolloutUnderFaultsTest(RolloutCase):
    async def test_lost_agent_halts_batch_until_resumed(self):
        spec = self.write_program("slow", "slow")
        await self.start_release(
            spec, ["n4a", "n4b", "n5a"], gated=False, batch_timeout=3 * SECOND, max_batch=1
        )
        status = await self.wait_for_status("an instance is changing", is_target_changing)
        [host] = [entry.host for entry in status.targets if entry.state == "changing"]
        await self.rig.kill_agent(host)
        status = await self.wait_for_end("halted", timeout=40)
        self.assertRegex(status.why, "did not finish before the timeout of its batch")
        await self.rig.start_agent(host)
        await self.control_release("resume")
        await self.wait_for_end("done")
        await self.assert_all_run(spec.version, ["n4a", "n4b", "n5a"])

    async def test_no_instance_of_a_partitioned_site_is_replaced(self):
        spec = self.write_program("v2")
        for name in ("n4a", "n5a", "n5b"):
            self.rig.set_node_script(name, "slow")
        await self.start_release(spec, gated=False, max_batch=1)
        await self.wait_for_status("the first batch has begun", lambda status: status.batch >= 1)
        partitioned_hosts = ["h3", "h4", "h5"]
        self.rig.links.partition(partitioned_hosts, ["h1", "h2"])
        self.rig.kill_node("n5a")
        self.rig.kill_node("n5b")
        await asyncio.sleep(4.0)
        start_counts = {name: self.journal_events(name).count("start") for name in ("n4a", "n4b")}
        await asyncio.sleep(2.0)
        self.assertEqual(
            {name: self.journal_events(name).count("start") for name in start_counts}, start_counts
        )
        self.rig.links.clear_faults()
        status = await self.wait_for_end("done", "halted")
        if status.state == "halted":
            await self.control_release("resume")
            await self.wait_for_end("done")
        await self.assert_all_run(spec.version)

    async def test_stale_good_reports_are_not_used(self):
        spec = self.write_program("v2")
        await self.start_release(spec, ["n4a", "n4b", "n5a"], gated=False, max_batch=1)
        status = await self.wait_for_status(
            "an instance has the new version",
            lambda status: any(entry.state == "new" for entry in status.targets),
        )
        suspended_hosts = {"h4", "h5"} - {await self.rig.wait_for_leader()}
        for host in suspended_hosts:
            self.rig.suspend_agent(host)  # in their last reports, all instances serve
        last_known_step = status.step
        with contextlib.suppress(NoLeaderError):
            last_known_step = (await self.status()).step
        await asyncio.sleep(4.0)
        status = await self.status()
        self.assertLessEqual(status.step, last_known_step + 2)
        self.assertNotEqual(status.state, "done")
        for host in suspended_hosts:
            self.rig.resume_agent(host)
        if (await self.status()).state == "halted":
            await self.control_release("resume")
        await self.wait_for_end("done")

    async def test_without_majority_no_instance_is_replaced_and_nodes_keep_serving(self):
        spec = self.write_program("v2")
        await self.start_release(spec, gated=False, max_batch=1)
        await self.wait_for_status("the first batch has begun", lambda status: status.batch >= 1)
        for host in ("h1", "h2"):
            await self.rig.kill_agent(host)
        await asyncio.sleep(1.5)
        start_counts = {name: self.journal_events(name).count("start") for name in ALL_TARGETS}
        await asyncio.sleep(2.0)
        self.assertEqual(
            {name: self.journal_events(name).count("start") for name in ALL_TARGETS}, start_counts
        )
        for host in ("h1", "h2"):
            await self.rig.start_agent(host)
        status = await self.wait_for_end("done", "halted")
        if status.state == "halted":
            await self.control_release("resume")
            await self.wait_for_end("done")
        await self.assert_all_run(spec.version)
