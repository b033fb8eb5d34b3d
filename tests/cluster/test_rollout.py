"""Stories of releases with many processes: drivers killed, agents gone, sites cut off, bad programs.

Each ends with the auditors reading what agents logged and nodes wrote down.
"""

import asyncio
import contextlib
import json
import os
import sys
import time

from oakkeel.agent import messages
from oakkeel.agent.artifacts import version_of
from oakkeel.fakes.downstream_service import DownstreamService
from oakkeel.fakes.site import free_port
from oakkeel.fleet.agent_clients import NoLeaderError
from oakkeel.invariants.rollout import find_diverging_steps, read_running_versions
from oakkeel.rollout.commands import RolloutPolicy, VersionSpec
from oakkeel.store.content_store import ContentStore
from tests.cluster.test_rig import HOSTS, RigStory

SECOND = 1_000_000_000
QUICK = dict(soak=300_000_000, batch_timeout=10 * SECOND, verdict_timeout=20 * SECOND)
ALL = [name for names in HOSTS.values() for name in names]


def out(told: messages.ReleaseStatus) -> bool:
    return any(part.state == "changing" for part in told.targets)


class RolloutStory(RigStory):
    async def end(self) -> None:
        wrong = find_diverging_steps(self.folder, self.hosts)
        await super().end()
        self.assertEqual(wrong, [])

    def program(self, name: str, words: str = "") -> VersionSpec:
        """A new program of stand-in nodes that behave so."""
        folder = os.path.join(self.folder, name)
        os.makedirs(folder)
        with open(os.path.join(folder, "run"), "w", encoding="ascii") as file:
            file.write(
                f'#!/bin/sh\n# {name}\nOAKKEEL_BEHAVE="{words}" exec {sys.executable} -m oakkeel.fakes.node\n'
            )
        os.chmod(os.path.join(folder, "run"), 0o755)
        return VersionSpec(version_of(folder, ""), folder)

    async def leads(self, wish: messages.Request) -> messages.Response:
        """What the leader says, through changes of leader."""
        answer: messages.Response | None = None

        async def told() -> bool:
            nonlocal answer
            answer = await self.rig.asker.request_leader(wish)
            return True

        await self.rig.until("the leader answers", told)
        assert answer is not None
        return answer

    async def begin(self, what: VersionSpec, things=ALL, ident: str = "r", **pace) -> messages.Response:
        return await self.leads(
            messages.StartReleaseRequest(ident, what, RolloutPolicy(**(QUICK | pace)), list(things))
        )

    async def turn(self, to: str, ident: str = "r") -> messages.Response:
        return await self.leads(messages.ControlReleaseRequest(ident, to))

    async def told(self, ident: str = "r") -> messages.ReleaseStatus:
        answer = await self.leads(messages.ReleaseStatusRequest(ident))
        assert isinstance(answer, messages.ReleaseStatus), answer
        return answer

    async def until_told(
        self, what: str, done, wait: float = 60.0, ident: str = "r"
    ) -> messages.ReleaseStatus:
        found: messages.ReleaseStatus | None = None

        async def so() -> bool:
            nonlocal found
            answer = await self.rig.asker.request_leader(messages.ReleaseStatusRequest(ident))
            assert isinstance(answer, messages.ReleaseStatus), answer
            found = answer
            return done(answer)

        try:
            await self.rig.until(what, so, wait)
        except TimeoutError as error:
            seen = found and (found.state, found.step, found.why, found.waiting_for)
            raise AssertionError(f"{error}: {seen}") from None
        assert found is not None
        return found

    async def over(self, *states: str, wait: float = 60.0, ident: str = "r") -> messages.ReleaseStatus:
        return await self.until_told(f"it is {states}", lambda told: told.state in states, wait, ident)

    async def all_run(self, version: str, things=ALL) -> None:
        """By what the processes wrote down themselves."""
        await self.rig.all_serve(things)
        runs = read_running_versions(self.folder, self.hosts)
        self.assertEqual({name: runs[name] for name in things}, dict.fromkeys(things, version))


class DriverStories(RolloutStory):
    async def test_the_driver_killed_again_and_again_is_followed_at_exactly_its_step(self):
        what = self.program("v2")
        await self.begin(what, ["n1a", "n2a", "n3a", "n4a", "n5a"], gated=False, max_batch=1)
        step, kills = 0, 0
        while kills < 5:
            told = await self.until_told(
                "it goes on", lambda told, step=step: told.step > step or told.state == "done"
            )
            if told.state == "done":
                break
            leader = await self.rig.leader()
            await self.rig.kill(leader)
            step, kills = told.step, kills + 1
            await self.rig.start(leader)
        self.assertGreaterEqual(kills, 3)
        await self.over("done")
        await self.all_run(what.version, ["n1a", "n2a", "n3a", "n4a", "n5a"])
        self.assertEqual([self.words(name).count("start") for name in ("n1a", "n2a", "n3a")], [2] * 3)

    async def test_an_old_driver_that_wakes_takes_no_step_and_clocks_that_jump_mean_nothing(self):
        what = self.program("v2")
        for number, host in enumerate(self.hosts):
            self.rig.mark(host, "clock", str((number - 2) * 3600))
        await self.begin(what)
        await self.until_told("a batch is out", lambda told: told.batch >= 1)
        leader = await self.rig.leader()
        self.rig.stop(leader)
        other = await self.rig.leader(but=[leader])
        told = await self.until_told("another drives", lambda told: told.controller not in ("", leader))
        self.assertEqual(told.controller, other)
        self.rig.go_on(leader)
        await self.over("done")
        await self.all_run(what.version)

    async def test_a_second_release_is_refused_with_whose_stands_and_the_same_once_more_is_the_same(self):
        what = self.program("v2")
        await self.begin(what, ["n4a"])
        answer = await self.begin(self.program("v3"), ["n5a"], ident="r2")
        self.assertIsInstance(answer, messages.ErrorResponse)
        self.assertIn("asha's release r", answer.why)
        self.assertIsInstance(await self.begin(what, ["n4a"]), messages.ReleaseStatus)
        await self.over("done")
        answer = await self.begin(self.program("v4"), ["n5a", "n4a"], ident="r2")
        self.assertIsInstance(answer, messages.ReleaseStatus, answer)
        await self.over("done", ident="r2")


class BadProgramStories(RolloutStory):
    async def test_one_that_answers_wrong_halts_with_figures_and_stands_until_it_is_undone(self):
        before = read_running_versions(self.folder, self.hosts)
        await self.begin(self.program("bad", "worse"))
        told = await self.over("halted")
        self.assertRegex(told.why, r"worse than the old: benefit 0\.\d+ an exchange, the old's 0\.9\d+")
        changed = [part.target for part in told.targets if part.state == "new"]
        self.assertLessEqual(len(changed), 2)
        await asyncio.sleep(1.0)
        self.assertEqual((await self.told()).step, told.step)
        await self.turn("undo")
        await self.over("undone")
        await self.rig.all_serve()
        for name, runs in read_running_versions(self.folder, self.hosts).items():
            self.assertNotEqual(runs, told.version.version, name)
        self.assertEqual(set(before.values()), {""})

    async def test_one_that_does_not_start_and_one_that_says_nothing_go_back_by_themselves(self):
        await self.begin(self.program("crash", "crash"), ["n3a", "n4a", "n5a"], auto_roll_back=True)
        told = await self.over("undone")
        self.assertIn("died by themselves", told.why)
        await self.rig.all_serve()
        await self.begin(
            self.program("mute", "mute"), ["n4a"], ident="r2", auto_roll_back=True, batch_timeout=4 * SECOND
        )
        told = await self.over("undone", ident="r2")
        self.assertIn("n4a", told.why)
        await self.rig.all_serve()

    async def test_undo_while_a_batch_comes_up_and_an_undo_that_is_halted_and_goes_on(self):
        what = self.program("slow", "slow")
        await self.begin(what, gated=False, max_batch=2)
        await self.until_told("the second batch is out", lambda told: told.batch >= 2)
        await self.turn("undo")
        await self.until_told("it goes back", lambda told: told.state == "undoing" and told.batch >= 3)
        await self.turn("abort")
        told = await self.told()
        self.assertEqual(told.state, "halted")
        await self.turn("resume")
        await self.over("undone")
        await self.rig.all_serve()
        self.assertNotIn(what.version, read_running_versions(self.folder, self.hosts).values())

    async def test_what_a_process_was_started_from_is_kept_though_no_release_needs_it(self):
        what = self.program("bad", "worse")
        await self.begin(what, ["n4a"], auto_roll_back=True, control=False)
        await self.over("undone")
        await self.rig.all_serve()
        runs = read_running_versions(self.folder, self.hosts)["n4a"]
        self.assertNotIn(runs, ("", what.version))  # the copy of what ran before
        [host] = [host for host, names in self.hosts.items() if "n4a" in names]
        folder = os.path.join(self.folder, host, "versions")
        self.assertIsNotNone(ContentStore(folder).find(runs))
        dropped = ContentStore(folder).prune({runs})
        self.assertEqual((dropped, ContentStore(folder).find(runs) is None), ([what.version], False))

    async def test_the_copy_is_run_and_not_what_lies_at_the_path_by_then(self):
        what = self.program("v2")
        await self.begin(what, ["n4a", "n5a"], control=False)
        await self.until_told("all are ready", lambda told: told.state != "preparing")
        with open(os.path.join(what.program, "run"), "w", encoding="ascii") as file:
            file.write("#!/bin/sh\nexit 9\n")
        await self.over("done")
        answer = await self.begin(VersionSpec(what.version, what.program), ["n1a"], ident="r2")
        self.assertIsInstance(answer, messages.ReleaseStatus)
        told = await self.over("left", ident="r2")
        self.assertIn("not " + what.version, told.why)


class LossStories(RolloutStory):
    async def test_an_agent_that_vanishes_with_one_of_the_batch_halts_it_and_it_goes_on_after(self):
        what = self.program("slow", "slow")
        await self.begin(what, ["n4a", "n4b", "n5a"], gated=False, batch_timeout=3 * SECOND, max_batch=1)
        told = await self.until_told("one is out", out)
        [host] = [part.host for part in told.targets if part.state == "changing"]
        await self.rig.kill(host)
        told = await self.over("halted", wait=40)
        self.assertRegex(told.why, "not heard of in the time of its batch")
        await self.rig.start(host)
        await self.turn("resume")
        await self.over("done")
        await self.all_run(what.version, ["n4a", "n4b", "n5a"])

    async def test_a_site_cut_off_in_the_middle_is_not_touched_and_half_a_site_that_dies_counts(self):
        what = self.program("v2")
        for name in ("n4a", "n5a", "n5b"):
            self.rig.script(name, "slow")
        await self.begin(what, gated=False, max_batch=1)
        await self.until_told("it is on its way", lambda told: told.batch >= 1)
        far = ["h3", "h4", "h5"]
        self.rig.cut(far, ["h1", "h2"])
        self.rig.kill_node("n5a")
        self.rig.kill_node("n5b")
        await asyncio.sleep(4.0)
        before = {name: self.words(name).count("start") for name in ("n4a", "n4b")}
        await asyncio.sleep(2.0)
        self.assertEqual({name: self.words(name).count("start") for name in before}, before)
        self.rig.heal()
        told = await self.over("done", "halted")
        if told.state == "halted":
            await self.turn("resume")
            await self.over("done")
        await self.all_run(what.version)

    async def test_reports_that_look_good_and_are_old_are_not_gone_by(self):
        what = self.program("v2")
        await self.begin(what, ["n4a", "n4b", "n5a"], gated=False, max_batch=1)
        told = await self.until_told(
            "one is there", lambda told: any(part.state == "new" for part in told.targets)
        )
        names = {"h4", "h5"} - {await self.rig.leader()}
        for host in names:
            self.rig.stop(host)  # their last word was that all serve
        steps = told.step
        with contextlib.suppress(NoLeaderError):
            steps = (await self.told()).step
        await asyncio.sleep(4.0)
        told = await self.told()
        self.assertLessEqual(told.step, steps + 2)
        self.assertNotEqual(told.state, "done")
        for host in names:
            self.rig.go_on(host)
        if (await self.told()).state == "halted":
            await self.turn("resume")
        await self.over("done")

    async def test_without_a_majority_nothing_moves_and_what_serves_goes_on(self):
        what = self.program("v2")
        await self.begin(what, gated=False, max_batch=1)
        await self.until_told("it is on its way", lambda told: told.batch >= 1)
        for host in ("h1", "h2"):
            await self.rig.kill(host)
        await asyncio.sleep(1.5)
        starts = {name: self.words(name).count("start") for name in ALL}
        await asyncio.sleep(2.0)
        self.assertEqual({name: self.words(name).count("start") for name in ALL}, starts)
        for host in ("h1", "h2"):
            await self.rig.start(host)
        told = await self.over("done", "halted")
        if told.state == "halted":
            await self.turn("resume")
            await self.over("done")
        await self.all_run(what.version)


class CommandStories(RolloutStory):
    hosts = {"h1": ["n1a"], "h2": ["n2a"], "h3": ["n3a"]}
    sites = dict.fromkeys(hosts, "woodbrook")

    async def oakkeel(self, *words: str) -> tuple[int, str, str]:
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "oakkeel",
            "rollout",
            *words,
            "--settings",
            self.site.settings,
            "--as",
            "asha",
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        out, err = await process.communicate()
        return process.returncode or 0, out.decode(), err.decode()

    async def test_bad_words_begin_nothing_and_a_patch_reaches_the_configuration_and_stays(self):
        program = self.program("v2").program
        for words, text in (
            (["--program", program], "say which instances"),
            (["--all"], "say what is new"),
            (["--all", "--program", program, "--version", "x"], "say what is new"),
            (["--all", "--config", self.site.settings], "Expecting value"),
        ):
            code, _, err = await self.oakkeel("start", *words)
            self.assertEqual((code, text in err), (2, True), err)
        self.assertEqual((await self.oakkeel("status"))[0], 1)
        patch = os.path.join(self.folder, "patch.json")
        with open(patch, "w", encoding="ascii") as file:
            file.write('{"settings": {"ceilings": {"max-retry-after": 1234567}}, "stop_ms": null}')
        code, out, err = await self.oakkeel(
            "start", "--config", patch, "n1a", "--no-gates", "--output", "json"
        )
        self.assertEqual((code, json.loads(out)["state"]), (0, "done"), err)
        with open(os.path.join(self.folder, "h1", "n1a.config.json"), encoding="ascii") as file:
            told = json.load(file)
        self.assertEqual(told["settings"]["ceilings"], {"retry-after": True, "max-retry-after": 1234567})
        self.assertNotIn("stop_ms", told)
        code, _, err = await self.oakkeel("start", "--program", program, "n1a", "--no-wait")
        self.assertEqual((code, "released patch" in err), (1, True), err)
        code, out, _ = await self.oakkeel(
            "start", "--program", program, "n1a", "n2a", "--as-set", "--no-gates"
        )
        self.assertEqual((code, "2 new" in out), (0, True), out)


class AllOutStories(RolloutStory):
    hosts = {"h1": ["n1a"], "h2": ["n2a"], "h3": ["n3a"]}
    sites = dict.fromkeys(hosts, "woodbrook")

    async def test_of_one_of_two_and_of_all_while_they_are_cold(self):
        one = self.program("one")
        await self.begin(one, ["n1a"], gated=False)
        await self.over("done")
        two = self.program("two")
        await self.begin(two, ["n1a", "n2a"], ident="r2", gated=False)
        await self.over("done", ident="r2")
        await self.all_run(two.version, ["n1a", "n2a"])
        cold = self.program("cold", "slow")
        for name in ("n1a", "n2a", "n3a"):
            self.rig.script(name, "slow")
            self.rig.kill_node(name)
        began = time.monotonic()
        await self.begin(cold, ["n1a", "n2a", "n3a"], ident="r3", gated=False)
        await self.over("done", ident="r3")
        self.assertGreater(time.monotonic() - began, 1.0)
        await self.all_run(cold.version, ["n1a", "n2a", "n3a"])


class ServiceStories(RolloutStory):
    """Services below are replaced by hand; what hangs on them shows how they do."""

    hosts = {"h1": ["n1a", "n1b"], "h2": ["n2a", "n2b"], "h3": ["n3a", "n3b"]}
    sites = {"h1": "woodbrook", "h2": "belmont", "h3": "st-james"}
    away, fleet_away = 2, 3
    hanging = {"n1a": "db1", "n2a": "db1", "n3a": "db1", "n1b": "db2", "n2b": "db2", "n3b": "db2"}

    async def asyncSetUp(self) -> None:
        self.services = {name: DownstreamService(free_port()) for name in ("db1", "db2")}
        for each in self.services.values():
            await each.open()
        self.below = (
            '<below><kind name="db" away="1">'
            + "".join(
                f'<service name="{name}" address="127.0.0.1:{each.port}" host="h{number}"/>'
                for number, (name, each) in enumerate(self.services.items(), 1)
            )
            + "</kind></below>"
        )
        await super().asyncSetUp()

    async def end(self) -> None:
        for each in self.services.values():
            await each.close()
        await super().end()

    async def replace(self, after) -> str:
        """As an operator would: wait for the leave, take it down, bring up another."""
        told = await self.until_told(
            "one may be taken down",
            lambda told: told.state == "halted" or any(part.state == "changing" for part in told.targets),
        )
        names = [part.target for part in told.targets if part.state == "changing"]
        if not names:
            return ""

        async def leave() -> bool:
            out = (await self.rig.state_of()).unavailable
            return any(each.target == names[0] and each.fence for each in out)

        await self.rig.until("its place is there", leave)
        await self.services[names[0]].close()
        await asyncio.sleep(1.5)
        after(names[0])
        await self.services[names[0]].open()
        return names[0]

    async def test_never_both_sides_at_once_and_one_that_comes_back_slower_halts_it(self):
        await self.begin(
            VersionSpec("db-9", services=True), ["db1", "db2"], batch_timeout=20 * SECOND, soak=SECOND
        )

        def slower(service: str) -> None:
            for name, on in self.hanging.items():
                if on == service:
                    self.rig.script(name, "slower")

        first = await self.replace(slower)
        told = await self.over("halted", wait=40)
        self.assertRegex(told.why, "quote takes .* % longer")
        self.assertEqual({part.target: part.state for part in told.targets}[first], "new")
        await self.turn("undo")
        self.assertEqual(await self.replace(lambda service: None), first)
        await self.over("undone")

    async def test_instances_wait_while_what_they_hang_on_is_out(self):
        await self.begin(VersionSpec("db-9", services=True), ["db1"], gated=False, batch_timeout=20 * SECOND)
        await self.until_told("it is out", out)
        answer = await self.begin(self.program("v2"), ["n1a"], ident="r2")
        self.assertIsInstance(answer, messages.ErrorResponse)
        await self.replace(lambda service: None)
        await self.over("done")
        await self.begin(self.program("v3"), ["n1a", "n1b"], ident="r2", gated=False)
        await self.services["db1"].close()
        await self.until_told(
            "it waits",
            lambda told: "db1 is out" in told.waiting_for or "hangs" in told.waiting_for or told.batch >= 1,
            ident="r2",
        )
        await self.services["db1"].open()
        await self.over("done", ident="r2")
