"""Releases of good and bad programs and configurations with many processes."""

import asyncio
import json
import os
import sys
import time
from typing import ClassVar

from oakkeel.agent import messages
from oakkeel.invariants.rollout import read_running_versions
from oakkeel.rollout.commands import VersionSpec
from oakkeel.store.content_store import ContentStore
from tests.cluster.rollout_case import SECOND, RolloutCase


class RejectedProgramTest(RolloutCase):
    async def test_worse_program_halts_release_with_figures_until_rolled_back(self):
        versions_before = read_running_versions(self.folder, self.hosts)
        await self.start_release(self.write_program("bad", "worse"))
        status = await self.wait_for_end("halted")
        self.assertRegex(
            status.why,
            r"worse than the old: benefit 0\.\d+ a request, \d+\.\d % less than the old version's 0\.9\d+",
        )
        changed = [entry.target for entry in status.targets if entry.state == "new"]
        self.assertLessEqual(len(changed), 2)
        await asyncio.sleep(1.0)
        self.assertEqual((await self.status()).step, status.step)
        await self.control_release("undo")
        await self.wait_for_end("undone")
        await self.rig.wait_until_serving()
        for name, version in read_running_versions(self.folder, self.hosts).items():
            self.assertNotEqual(version, status.version.version, name)
        self.assertEqual(set(versions_before.values()), {""})

    async def test_crashing_and_silent_programs_roll_back_automatically(self):
        await self.start_release(
            self.write_program("crash", "crash"), ["n3a", "n4a", "n5a"], auto_roll_back=True
        )
        status = await self.wait_for_end("undone")
        self.assertIn("processes of the new version crashed", status.why)
        await self.rig.wait_until_serving()
        await self.start_release(
            self.write_program("mute", "mute"),
            ["n4a"],
            release_id="r2",
            auto_roll_back=True,
            batch_timeout=4 * SECOND,
        )
        status = await self.wait_for_end("undone", release_id="r2")
        self.assertIn("n4a", status.why)
        await self.rig.wait_until_serving()

    async def test_rollback_during_batch_can_be_halted_and_resumed(self):
        spec = self.write_program("slow", "slow")
        await self.start_release(spec, gated=False, max_batch=2)
        await self.wait_for_status("the second batch has begun", lambda status: status.batch >= 2)
        await self.control_release("undo")
        await self.wait_for_status(
            "the release rolls back", lambda status: status.state == "undoing" and status.batch >= 3
        )
        await self.control_release("abort")
        status = await self.status()
        self.assertEqual(status.state, "halted")
        await self.control_release("resume")
        await self.wait_for_end("undone")
        await self.rig.wait_until_serving()
        self.assertNotIn(spec.version, read_running_versions(self.folder, self.hosts).values())

    async def test_retains_version_that_a_process_was_started_from(self):
        spec = self.write_program("bad", "worse")
        await self.start_release(spec, ["n4a"], auto_roll_back=True, control=False)
        await self.wait_for_end("undone")
        await self.rig.wait_until_serving()
        version = read_running_versions(self.folder, self.hosts)["n4a"]
        self.assertNotIn(version, ("", spec.version))  # the stored copy of the previous program
        [host] = [host for host, names in self.hosts.items() if "n4a" in names]
        folder = os.path.join(self.folder, host, "versions")
        self.assertIsNotNone(ContentStore(folder).find(version))
        removed_versions = ContentStore(folder).prune({version})
        self.assertEqual(
            (removed_versions, ContentStore(folder).find(version) is None), ([spec.version], False)
        )

    async def test_runs_stored_copy_after_its_source_has_changed(self):
        spec = self.write_program("v2")
        await self.start_release(spec, ["n4a", "n5a"], control=False)
        await self.wait_for_status("all hosts are prepared", lambda status: status.state != "preparing")
        with open(os.path.join(spec.program, "run"), "w", encoding="ascii") as file:
            file.write("#!/bin/sh\nexit 9\n")
        await self.wait_for_end("done")
        response = await self.start_release(VersionSpec(spec.version, spec.program), ["n1a"], release_id="r2")
        self.assertIsInstance(response, messages.ReleaseStatus)
        status = await self.wait_for_end("left", release_id="r2")
        self.assertIn(", expected " + spec.version, status.why)


class RolloutCommandTest(RolloutCase):
    hosts: ClassVar = {"h1": ["n1a"], "h2": ["n2a"], "h3": ["n3a"]}
    sites: ClassVar = dict.fromkeys(hosts, "woodbrook")

    async def run_rollout_command(self, *arguments: str) -> tuple[int, str, str]:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "oakkeel",
            "rollout",
            *arguments,
            "--settings",
            self.site.settings,
            "--as",
            "asha",
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, err = await process.communicate()
        return process.returncode or 0, out.decode(), err.decode()

    async def test_rejects_bad_options_and_applies_patch_to_configuration(self):
        program = self.write_program("v2").program
        for arguments, expected_error in (
            (["--program", program], "select instances by name"),
            (["--all"], "name the new version of instances"),
            (["--all", "--program", program, "--version", "x"], "name the new version of instances"),
            (["--all", "--config", self.site.settings], "Expecting value"),
        ):
            code, _, err = await self.run_rollout_command("start", *arguments)
            self.assertEqual((code, expected_error in err), (2, True), err)
        self.assertEqual((await self.run_rollout_command("status"))[0], 1)
        patch = os.path.join(self.folder, "patch.json")
        with open(patch, "w", encoding="ascii") as file:
            file.write('{"settings": {"ceilings": {"max-retry-after": 1234567}}, "stop_ms": null}')
        code, out, err = await self.run_rollout_command(
            "start", "--config", patch, "n1a", "--no-gates", "--output", "json"
        )
        self.assertEqual((code, json.loads(out)["state"]), (0, "done"), err)
        with open(os.path.join(self.folder, "h1", "n1a.config.json"), encoding="ascii") as file:
            configuration = json.load(file)
        self.assertEqual(
            configuration["settings"]["ceilings"], {"retry-after": True, "max-retry-after": 1234567}
        )
        self.assertNotIn("stop_ms", configuration)
        code, _, err = await self.run_rollout_command("start", "--program", program, "n1a", "--no-wait")
        self.assertEqual((code, "released patch" in err), (1, True), err)
        code, out, _ = await self.run_rollout_command(
            "start", "--program", program, "n1a", "n2a", "--as-set", "--no-gates"
        )
        self.assertEqual((code, "2 new" in out), (0, True), out)


class SmallSiteRolloutTest(RolloutCase):
    hosts: ClassVar = {"h1": ["n1a"], "h2": ["n2a"], "h3": ["n3a"]}
    sites: ClassVar = dict.fromkeys(hosts, "woodbrook")

    async def test_releases_overlapping_targets_and_cold_instances(self):
        first_program = self.write_program("one")
        await self.start_release(first_program, ["n1a"], gated=False)
        await self.wait_for_end("done")
        second_program = self.write_program("two")
        await self.start_release(second_program, ["n1a", "n2a"], release_id="r2", gated=False)
        await self.wait_for_end("done", release_id="r2")
        await self.assert_all_run(second_program.version, ["n1a", "n2a"])
        cold_program = self.write_program("cold", "slow")
        for name in ("n1a", "n2a", "n3a"):
            self.rig.set_node_script(name, "slow")
            self.rig.kill_node(name)
        started_at = time.monotonic()
        await self.start_release(cold_program, ["n1a", "n2a", "n3a"], release_id="r3", gated=False)
        await self.wait_for_end("done", release_id="r3")
        self.assertGreater(time.monotonic() - started_at, 1.0)
        await self.assert_all_run(cold_program.version, ["n1a", "n2a", "n3a"])
