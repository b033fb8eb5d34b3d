"""Releases with many processes: controllers killed, agents lost, sites cut off."""

import asyncio
import contextlib

from oakkeel.agent import messages
from oakkeel.fleet.agent_clients import NoLeaderError
from tests.cluster.rollout_case import ALL, SECOND, RolloutCase, is_out


class RolloutControllerTest(RolloutCase):
    async def test_killed_controllers_are_succeeded_at_their_step(self):
        spec = self.program("v2")
        await self.start_release(spec, ["n1a", "n2a", "n3a", "n4a", "n5a"], gated=False, max_batch=1)
        step, kills = 0, 0
        while kills < 5:
            status = await self.wait_for_status(
                "it goes on", lambda status, step=step: status.step > step or status.state == "done"
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
        self.assertEqual([self.journal_of(name).count("start") for name in ("n1a", "n2a", "n3a")], [2] * 3)

    async def test_old_controller_takes_no_step_and_wall_clocks_do_not_matter(self):
        spec = self.program("v2")
        for number, host in enumerate(self.hosts):
            self.rig.enable_fault(host, "clock", str((number - 2) * 3600))
        await self.start_release(spec)
        await self.wait_for_status("a batch is out", lambda status: status.batch >= 1)
        leader = await self.rig.wait_for_leader()
        self.rig.suspend_agent(leader)
        other = await self.rig.wait_for_leader(excluding=[leader])
        status = await self.wait_for_status(
            "another drives", lambda status: status.controller not in ("", leader)
        )
        self.assertEqual(status.controller, other)
        self.rig.resume_agent(leader)
        await self.wait_for_end("done")
        await self.assert_all_run(spec.version)

    async def test_rejects_second_release_and_accepts_repeated_command(self):
        spec = self.program("v2")
        await self.start_release(spec, ["n4a"])
        answer = await self.start_release(self.program("v3"), ["n5a"], ident="r2")
        self.assertIsInstance(answer, messages.ErrorResponse)
        self.assertIn("asha's release r", answer.why)
        self.assertIsInstance(await self.start_release(spec, ["n4a"]), messages.ReleaseStatus)
        await self.wait_for_end("done")
        answer = await self.start_release(self.program("v4"), ["n5a", "n4a"], ident="r2")
        self.assertIsInstance(answer, messages.ReleaseStatus, answer)
        await self.wait_for_end("done", ident="r2")


class RolloutUnderFaultsTest(RolloutCase):
    async def test_lost_agent_halts_batch_until_resumed(self):
        spec = self.program("slow", "slow")
        await self.start_release(
            spec, ["n4a", "n4b", "n5a"], gated=False, batch_timeout=3 * SECOND, max_batch=1
        )
        status = await self.wait_for_status("one is out", is_out)
        [host] = [entry.host for entry in status.targets if entry.state == "changing"]
        await self.rig.kill_agent(host)
        status = await self.wait_for_end("halted", wait=40)
        self.assertRegex(status.why, "did not finish before the timeout of its batch")
        await self.rig.start_agent(host)
        await self.control("resume")
        await self.wait_for_end("done")
        await self.assert_all_run(spec.version, ["n4a", "n4b", "n5a"])

    async def test_partitioned_site_is_not_touched(self):
        spec = self.program("v2")
        for name in ("n4a", "n5a", "n5b"):
            self.rig.set_node_script(name, "slow")
        await self.start_release(spec, gated=False, max_batch=1)
        await self.wait_for_status("it is on its way", lambda status: status.batch >= 1)
        far = ["h3", "h4", "h5"]
        self.rig.links.cut(far, ["h1", "h2"])
        self.rig.kill_node("n5a")
        self.rig.kill_node("n5b")
        await asyncio.sleep(4.0)
        before = {name: self.journal_of(name).count("start") for name in ("n4a", "n4b")}
        await asyncio.sleep(2.0)
        self.assertEqual({name: self.journal_of(name).count("start") for name in before}, before)
        self.rig.links.clear_faults()
        status = await self.wait_for_end("done", "halted")
        if status.state == "halted":
            await self.control("resume")
            await self.wait_for_end("done")
        await self.assert_all_run(spec.version)

    async def test_stale_good_reports_are_not_used(self):
        spec = self.program("v2")
        await self.start_release(spec, ["n4a", "n4b", "n5a"], gated=False, max_batch=1)
        status = await self.wait_for_status(
            "one is there", lambda status: any(entry.state == "new" for entry in status.targets)
        )
        names = {"h4", "h5"} - {await self.rig.wait_for_leader()}
        for host in names:
            self.rig.suspend_agent(host)  # their last word was that all serve
        steps = status.step
        with contextlib.suppress(NoLeaderError):
            steps = (await self.status()).step
        await asyncio.sleep(4.0)
        status = await self.status()
        self.assertLessEqual(status.step, steps + 2)
        self.assertNotEqual(status.state, "done")
        for host in names:
            self.rig.resume_agent(host)
        if (await self.status()).state == "halted":
            await self.control("resume")
        await self.wait_for_end("done")

    async def test_without_majority_nothing_moves_and_nodes_keep_serving(self):
        spec = self.program("v2")
        await self.start_release(spec, gated=False, max_batch=1)
        await self.wait_for_status("it is on its way", lambda status: status.batch >= 1)
        for host in ("h1", "h2"):
            await self.rig.kill_agent(host)
        await asyncio.sleep(1.5)
        starts = {name: self.journal_of(name).count("start") for name in ALL}
        await asyncio.sleep(2.0)
        self.assertEqual({name: self.journal_of(name).count("start") for name in ALL}, starts)
        for host in ("h1", "h2"):
            await self.rig.start_agent(host)
        status = await self.wait_for_end("done", "halted")
        if status.state == "halted":
            await self.control("resume")
            await self.wait_for_end("done")
        await self.assert_all_run(spec.version)
