"""Stories of releases with no process: tests that may be looked at, the plan, the record, drawn schedules."""

import os
import tempfile
import unittest
import unittest.mock
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from oakkeel.disruption import commands as places
from oakkeel.disruption.state_machine import Order, Rejection
from oakkeel.disruption.topology import BudgetGroup, Topology, UnavailableTargets
from oakkeel.emulator.consensus import ConsensusSimulation, play
from oakkeel.emulator.faults import Fault, Schedule, draw
from oakkeel.invariants.rollout import RolloutAudit
from oakkeel.models import releases as model
from oakkeel.rollout import commands
from oakkeel.rollout.assignments import VersionAssignments
from oakkeel.rollout.commands import RolloutPolicy, VersionSpec
from oakkeel.rollout.controller import RolloutController
from oakkeel.rollout.gates import Decision, Gate, Samples
from oakkeel.rollout.messages import AgentAssignments, encode
from oakkeel.rollout.plan import OLD, BatchPlanner, TargetObservation
from oakkeel.rollout.sequential import Difference, Events, Sums
from oakkeel.rollout.state_machine import FINAL_STATES, LEASE, TRANSITIONS, Release, RolloutStateMachine
from oakkeel.store.content_store import Content, ContentError, ContentStore, hash_folder, merged

SECOND = 1_000_000_000
LAYOUT = Topology(
    {"h1": ("a", "b"), "h2": ("c", "d"), "h3": ("db1", "db2")},
    (
        BudgetGroup("site one", 1, ("a", "b")),
        BudgetGroup("site two", 1, ("c", "d")),
        BudgetGroup("fleet", 2, ("a", "b", "c", "d")),
        BudgetGroup("kind db", 1, ("db1", "db2")),
    ),
    {"db1": ("a", "c"), "db2": ("b", "d")},
)


def bits(random: Random, chance: float, count: int) -> Sums:
    good = sum(random.random() < chance for _ in range(count))
    return Sums(count, good, good)


class SequentialStories(unittest.TestCase):
    def halted(self, seed: int, old: float, new: float, stretches: int = 300) -> bool:
        random, test = Random(seed), Difference()
        for _ in range(stretches):
            test.look(bits(random, old, 110), bits(random, new, 10), 0.05)
            if test.new.count > 50 and test.worse(0.0, 0.02) > 4.605:
                return True
        return False

    def test_looking_after_every_stretch_keeps_the_bound_on_false_halts(self):
        self.assertLessEqual(sum(self.halted(seed, 0.95, 0.95) for seed in range(200)), 4)

    def test_a_loss_is_found_and_the_bound_alone_would_not_have_been_kept_by_a_fixed_test(self):
        self.assertGreaterEqual(sum(self.halted(seed, 0.95, 0.91) for seed in range(40)), 38)
        random, false = Random(5), 0
        for _ in range(100):  # a test made for one look, looked at 300 times
            old, new = Sums(), Sums()
            for _ in range(300):
                old.add(bits(random, 0.95, 110))
                new.add(bits(random, 0.95, 10))
                spread = (0.95 * 0.05 * (1 / old.count + 1 / new.count)) ** 0.5
                if new.count > 50 and (old.mean - new.mean) / spread > 2.326:
                    false += 1
                    break
        self.assertGreater(false, 4)

    def test_deaths_count_against_the_part_of_the_time_that_the_new_had(self):
        few, fair = Events(), Events()
        few.happened(True, 1 / 12)
        self.assertLess(few.worse(), 4.605)
        few.happened(True, 1 / 12)
        few.happened(True, 1 / 12)
        self.assertGreater(few.worse(), 4.605)
        for number in range(60):
            fair.happened(number % 12 == 0, 1 / 12)
        self.assertLess(fair.worse(), 0)

    def test_one_arm_alone_says_nothing(self):
        test = Difference()
        self.assertFalse(test.look(Sums(100, 10, 10), Sums(), 0.05))
        self.assertEqual(test.weight, 0)


class GateStories(unittest.TestCase):
    def feed(
        self,
        gate: Gate,
        seconds: int,
        bad: float = 0.02,
        leak: float = 0.0,
        cold: float | None = None,
        start: int = 0,
    ) -> None:
        for second in range(start, start + seconds):
            now = second * SECOND
            for thing, arm in (("new", "new"), ("old1", "old"), ("old2", "old")):
                count = 100.0 * second
                loss = bad if arm == "new" else 0.02
                good = count * (1 - loss)
                grown = leak * second if arm == "new" else 0.0
                figures = Samples(Sums(count, good, good), 0, 0, 20000 + grown)
                gate.heard(now, thing, arm, arm, 1, False, figures)
            if cold is not None:
                for thing, arm, part in (("cold new", "new", cold), ("control", "old", 0.02)):
                    good = count * (1 - part)
                    gate.heard(now, thing, arm, arm, 2, True, Samples(Sums(count, good, good)))
            gate.look(now)

    def test_few_samples_are_no_answer_and_say_so(self):
        gate = Gate(0, b"", 0.02)
        self.feed(gate, 1)
        verdict = gate.verdict(gate.full())
        self.assertIs(verdict.answer, Decision.TOO_FEW)
        self.assertIn("0 exchanges", verdict.why)

    def test_good_passes_and_worse_halts_with_figures(self):
        gate = Gate(0, b"", 0.02)
        self.feed(gate, 60)
        self.assertIs(gate.verdict(gate.full()).answer, Decision.GOOD)
        gate = Gate(0, b"", 0.02)
        self.feed(gate, 60, bad=0.10)
        verdict = gate.verdict(gate.full())
        self.assertIs(verdict.answer, Decision.WORSE)
        self.assertIn("0.9", verdict.why)

    def test_one_that_denies_more_halts_though_it_brings_as_much(self):
        gate = Gate(0, b"", 0.02)
        for second in range(60):
            count = 100.0 * second
            for thing, arm, part in (("new", "new", 0.1), ("old", "old", 0.01)):
                figures = Samples(Sums(count, count * 0.9, count * 0.9), count * part)
                gate.heard(second * SECOND, thing, arm, arm, 1, False, figures)
            gate.look(second * SECOND)
        verdict = gate.verdict(gate.full())
        self.assertIs(verdict.answer, Decision.WORSE)
        self.assertIn("10.0 % are denied", verdict.why)

    def test_one_that_leaks_and_one_that_is_worse_while_cold_are_told_as_such(self):
        gate = Gate(0, b"", 0.02)
        self.feed(gate, 120, leak=2000.0)
        self.assertIn("memory", gate.verdict(gate.full()).why)
        gate = Gate(0, b"", 0.02)
        self.feed(gate, 60, cold=0.25)
        self.assertIn("while cold", gate.verdict(gate.full()).why)

    def test_a_cold_new_one_is_not_compared_with_warm_old_ones(self):
        gate = Gate(0, b"", 0.02)
        for second in range(60):
            count = 100.0 * second
            bad, good = Samples(Sums(count, count * 0.5, count * 0.5)), Samples(Sums(count, count, count))
            gate.heard(second * SECOND, "new", "new", "new", 1, True, bad)
            gate.heard(second * SECOND, "old", "old", "old", 1, False, good)
            gate.look(second * SECOND)
        self.assertIs(gate.verdict(gate.full()).answer, Decision.TOO_FEW)

    def test_the_next_driver_goes_on_with_what_was_seen_and_one_that_can_t_be_read_begins_anew(self):
        gate = Gate(0, b"", 0.02)
        self.feed(gate, 60, bad=0.10)
        again = Gate(0, gate.kept(), 0.02)
        self.assertIs(again.verdict(again.full()).answer, Decision.WORSE)
        self.assertEqual(Gate(0, b"\x93spoilt", 0.02).count(), 0)
        self.assertLess(len(gate.kept()), 2000)


class PlanStories(unittest.TestCase):
    def setUp(self) -> None:
        self.out, self.planner = UnavailableTargets(LAYOUT), BatchPlanner(LAYOUT)
        self.seen = {
            name: TargetObservation(name, "serving", 1, "", 0)
            for names in LAYOUT.hosts.values()
            for name in names
        }

    def choose(self, wanted: str, most: int = 9, ceiling: float = 0.85, broken: bool = False, now: int = 0):
        return self.planner.choose(now, wanted.split(), self.seen, self.out, most, ceiling, broken)

    def test_sites_take_turns_and_the_bounds_hold(self):
        self.assertEqual(self.choose("a b c d").things, ["a", "c"])

    def test_the_last_that_serves_of_a_site_stays(self):
        self.out.put("a", "does not serve")
        self.seen["a"].phase = "failing"
        self.assertNotIn("b", self.choose("b").things)
        wide = Topology(
            LAYOUT.hosts, tuple(BudgetGroup(group.name, 9, group.things) for group in LAYOUT.groups)
        )
        out = UnavailableTargets(wide)
        out.put("a", "does not serve")
        choice = BatchPlanner(wide).choose(0, ["b"], self.seen, out, 9, 0.85, False)
        self.assertIn("last that serves of site one", choice.why)

    def test_old_news_are_not_touched(self):
        for each in self.seen.values():
            each.at = 0
        self.assertEqual(self.choose("a b c d", now=OLD + 1).things, [])
        self.assertIn("nothing new is known", self.choose("a", now=OLD + 1).why)

    def test_never_both_sides_of_a_dependency(self):
        self.out.put("db1", "a place")
        choice = self.choose("a b c d")
        self.assertNotIn("a", choice.things)
        self.assertNotIn("c", choice.things)
        self.setUp()
        self.out.put("a", "a place")
        self.assertNotIn("db1", self.choose("db1").things)
        self.assertIn("hangs on", self.choose("db1").why)

    def test_a_site_near_its_limit_waits_and_cold_ones_carry_their_part(self):
        for name in "ab":
            self.seen[name].load = 0.6
        self.assertEqual(self.choose("a b").things, [])
        self.assertIn("would carry 1.20", self.choose("a").why)
        for name in "ab":
            self.seen[name].load = 0.4
        self.assertEqual(self.choose("a b").things, ["a"])
        self.seen["b"].phase = "cold"
        self.out.put("b", "does not serve")
        self.assertEqual(self.choose("a").things, [])

    def test_a_site_of_one_can_be_released_though_nobody_there_carries_its_load(self):
        layout = Topology({"h1": ("a",)}, (BudgetGroup("site one", 1, ("a",)),))
        self.seen["a"].load = 0.9
        choice = BatchPlanner(layout).choose(0, ["a"], self.seen, UnavailableTargets(layout), 1, 0.5, False)
        self.assertEqual(choice.things, ["a"])

    def test_on_a_way_back_what_is_broken_comes_first_and_needs_no_room(self):
        self.out.put("a", "does not serve")
        self.seen["a"].phase = "failing"
        self.assertEqual(self.choose("a b", broken=True).things, ["a"])
        self.assertEqual(self.choose("a", broken=False).things, ["a"])  # nothing else is left

    @given(st.integers(0, 1 << 30))
    @settings(max_examples=60, deadline=None)
    def test_whatever_is_out_no_choice_passes_a_bound_or_leaves_a_site_without(self, seed):
        random = Random(seed)
        self.setUp()
        for name in self.seen:
            if random.random() < 0.3:
                self.out.put(name, "does not serve")
                self.seen[name].phase = random.choice(("failing", "cold", "draining", "stopped"))
            if random.random() < 0.2:
                self.seen[name].at = -2 * OLD
        before = set(self.out.reasons)
        chosen = self.choose("a b c d", random.randint(1, 4), broken=random.random() < 0.5).things
        self.assertEqual(len(set(chosen)), len(chosen))
        news = [thing for thing in chosen if thing not in before]
        for thing in news:
            self.out.put(thing, "a place")
        for group in LAYOUT.groups:
            fresh = [thing for thing in news if thing in group.things]
            if fresh:
                self.assertLessEqual(self.out.counts[group.name], group.bound)
                self.assertTrue(set(group.things) - set(self.out.reasons))


class BookStories(unittest.TestCase):
    """The record's part: steps hold once, under the fence of the lease that stands."""

    def setUp(self) -> None:
        self.book, self.index = RolloutStateMachine(), 0
        self.do(places.SetTopology(LAYOUT))
        self.fence = self.do(places.AcquireLease(LEASE, "h1.1", SECOND))
        self.do(commands.StartRelease("r", "asha", 0, VersionSpec("v2", "/p"), RolloutPolicy(), ["a", "b"]))

    def do(self, command):
        self.index += 1
        return self.book.apply(self.index, places.encode(command))

    @property
    def release(self) -> Release:
        return self.book.held.releases["r"]

    def refused(self, command, text: str) -> None:
        answer = self.do(command)
        self.assertIsInstance(answer, Rejection)
        self.assertIn(text, answer.why)

    def test_a_step_holds_once_and_an_old_driver_is_refused_by_its_fence(self):
        self.do(commands.BeginRollout("r", self.fence, 0))
        self.assertIsInstance(self.do(commands.StartBatch("r", self.fence, 1, 0, [("a", 1)])), Order)
        self.refused(commands.StartBatch("r", self.fence, 1, 0, [("b", 1)]), "step 1 was taken")
        self.do(places.ReleaseLease(LEASE, self.fence))
        fence = self.do(places.AcquireLease(LEASE, "h2.1", SECOND))
        self.refused(commands.FinishBatch("r", self.fence, 2, ["a"]), "another drives")
        self.assertGreater(fence, self.fence)
        self.assertIs(self.do(commands.FinishBatch("r", fence, 2, ["a"])), self.release)
        self.assertEqual(self.book.held.versions, {"a": "v2"})

    def test_a_second_release_while_one_is_open_is_refused_and_the_same_twice_is_one(self):
        self.refused(
            commands.StartRelease("r2", "ravi", 0, VersionSpec("v3", "/p"), RolloutPolicy(), ["c"]),
            "asha's release r",
        )
        same = self.do(
            commands.StartRelease("r", "asha", 0, VersionSpec("v2", "/p"), RolloutPolicy(), ["b", "a"])
        )
        self.assertIs(same, self.release)
        self.refused(
            commands.StartRelease("r", "asha", 0, VersionSpec("v3", "/p"), RolloutPolicy(), ["a", "b"]),
            "another release",
        )

    def test_what_can_t_be_released_is_refused_with_a_reason(self):
        self.do(commands.ControlRelease("r", "asha", "abort"))
        self.assertEqual(self.release.state, "left")
        for things, what, text in (
            (["zz"], VersionSpec("v", "/p"), "no zz"),
            (["db1"], VersionSpec("v", "/p"), "one after the"),
            (["a", "a"], VersionSpec("v", "/p"), "twice"),
            (["a"], VersionSpec(""), "no version"),
            (["a"], VersionSpec("v", services=True), "one after the"),
        ):
            self.refused(commands.StartRelease("x", "asha", 0, what, RolloutPolicy(), things), text)

    def test_a_release_of_a_patch_alone_does_not_take_a_released_program_away_unasked(self):
        self.do(commands.BeginRollout("r", self.fence, 0))
        self.do(commands.StartBatch("r", self.fence, 1, 0, [("a", 1)]))
        self.do(commands.FinishBatch("r", self.fence, 2, ["a"]))
        self.do(commands.ControlRelease("r", "asha", "abort"))
        self.do(commands.ControlRelease("r", "asha", "leave"))
        alone = commands.StartRelease("p", "asha", 0, VersionSpec("v3", "", "/patch"), RolloutPolicy(), ["a"])
        self.refused(alone, "released program")
        both = commands.StartRelease(
            "p", "asha", 0, VersionSpec("v3", "", "/patch", as_set=True), RolloutPolicy(), ["a"]
        )
        self.assertIsInstance(self.do(both), Release)

    def test_undo_while_a_batch_comes_up_ends_it_and_brings_back_what_was(self):
        self.do(commands.ReportPrepared("r", self.fence, "h1", "", {"a": "base a", "b": "base b"}))
        self.do(commands.BeginRollout("r", self.fence, 0))
        self.do(commands.StartBatch("r", self.fence, 1, 0, [("a", 1)]))
        self.do(commands.ControlRelease("r", "ravi", "undo"))
        order = self.book.held.orders["r.1"]
        self.assertEqual((order.halted, order.parts["a"].state), ("asha", "halted"))
        self.refused(commands.StartBatch("r", self.fence, 2, 0, [("a", 1)]), "under way")
        self.do(commands.FinishBatch("r", self.fence, 2, ["a"]))  # it had come up with the new all the same
        self.assertIsInstance(self.do(commands.StartBatch("r", self.fence, 3, 0, [("a", 2)])), Order)
        self.assertEqual(self.book.held.versions["a"], "base a")
        self.refused(commands.FinishRelease("r", self.fence, 4), "not all")
        self.do(commands.FinishBatch("r", self.fence, 4, []))
        self.assertEqual(self.do(commands.FinishRelease("r", self.fence, 5)).state, "undone")
        self.assertEqual(self.book.held.versions, {})

    def test_a_host_that_can_t_take_it_ends_it_before_anything_is_changed(self):
        self.do(commands.ReportPrepared("r", self.fence, "h1", "no such folder", {}))
        self.assertEqual((self.release.state, self.release.why), ("left", "h1 can't take it: no such folder"))

    def test_an_undo_can_be_halted_too_and_goes_on_in_its_direction(self):
        self.do(commands.BeginRollout("r", self.fence, 0))
        self.do(commands.StartBatch("r", self.fence, 1, 0, [("a", 1)]))
        self.do(commands.FinishBatch("r", self.fence, 2, ["a"]))
        self.do(commands.ControlRelease("r", "asha", "undo"))
        self.do(commands.ControlRelease("r", "asha", "abort"))
        self.assertEqual(self.release.state, "halted")
        self.assertEqual(self.do(commands.ControlRelease("r", "asha", "resume")).state, "undoing")

    def test_a_snapshot_holds_all_of_it_and_one_of_before_has_no_releases(self):
        self.do(commands.BeginRollout("r", self.fence, 0))
        self.do(commands.StartBatch("r", self.fence, 1, 0, [("a", 1)]))
        again = RolloutStateMachine()
        again.restore(self.book.fold())
        self.assertEqual(again.fold(), self.book.fold())
        from oakkeel.disruption.state_machine import PermitStateMachine

        old = PermitStateMachine()
        old.apply(1, places.encode(places.SetTopology(LAYOUT)))
        again.restore(old.fold())
        self.assertEqual((again.held.releases, again.held.layout), ({}, LAYOUT))

    ACTS = (
        "go",
        "batch",
        "settle",
        "settle new",
        "worse",
        "finish",
        "pause",
        "resume",
        "abort",
        "undo",
        "leave",
        "old fence",
        "old step",
    )

    @given(st.lists(st.tuples(st.sampled_from(ACTS), st.integers(0, 1)), max_size=40))
    @settings(max_examples=150, deadline=None)
    def test_whatever_comes_in_whatever_order_it_moves_by_its_table_and_versions_say_where_it_is(self, acts):
        self.setUp()
        for act, who in acts:
            was, step, thing = self.release.state, self.release.step, "ab"[who]
            fence = self.fence - (act == "old fence")
            command = {
                "go": commands.BeginRollout("r", fence, step),
                "finish": commands.FinishRelease("r", fence, step),
                "batch": commands.StartBatch("r", fence, step, 0, [(thing, 1)]),
                "settle": commands.FinishBatch("r", fence, step, []),
                "settle new": commands.FinishBatch("r", fence, step, list(self.release.now)),
                "worse": commands.RecordVerdict("r", fence, step, b"", "", "worse"),
                "old fence": commands.FinishBatch("r", fence, step, []),
                "old step": commands.FinishRelease("r", fence, step - 1),
            }.get(act, commands.ControlRelease("r", "asha", act))
            answer = self.do(command)
            if act.startswith("old"):
                self.assertIsInstance(answer, Rejection)
            self.assertTrue(self.release.state == was or self.release.state in TRANSITIONS[was])
            for name, part in self.release.parts.items():
                if part.state == "new":
                    self.assertEqual(self.book.held.versions.get(name), "v2")
                if part.state == "old":
                    self.assertNotEqual(self.book.held.versions.get(name), "v2")
            if self.release.state in ("done", "undone"):
                wanted = "new" if self.release.state == "done" else "old"
                self.assertEqual({part.state for part in self.release.parts.values()}, {wanted})


class FittingStories(unittest.TestCase):
    def test_versions_come_from_the_record_and_outlive_the_agent(self):
        fitting = VersionAssignments()
        what = VersionSpec("v2", "/p")
        heard = AgentAssignments({"a": "v2"}, {"v2": what}, "r", what, ["a"], True)
        fitting.heard(encode(heard))
        self.assertEqual((fitting.version("a"), fitting.changed), ("v2", True))
        [copy] = fitting.to_prepare()
        self.assertEqual((copy.release, copy.things, fitting.to_prepare()), ("r", ("a",), []))
        fitting.prepared("r", "", {"a": "base"})
        fitting.heard(encode(heard))
        self.assertEqual(fitting.to_prepare(), [])
        again = VersionAssignments()
        again.restore(fitting.versions, fitting.sources, fitting.bases)
        self.assertEqual(again.needed(), {"v2", "base"})

    def test_an_answer_of_a_leader_with_no_releases_or_a_spoilt_one_changes_nothing(self):
        fitting = VersionAssignments()
        fitting.restore({"a": "v2"}, {}, {})
        for content in (b"", b"\x99"):
            fitting.heard(content)
        self.assertEqual(fitting.version("a"), "v2")


class ContentStories(unittest.TestCase):
    def setUp(self) -> None:
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.program = os.path.join(self.folder, "program")
        os.makedirs(os.path.join(self.program, "sub"))
        self.write("run", "#!/bin/sh\n")
        self.write("sub/data", "1")
        self.contents = ContentStore(os.path.join(self.folder, "kept"))

    def write(self, name: str, text: str) -> None:
        with open(os.path.join(self.program, name), "w", encoding="ascii") as file:
            file.write(text)

    def test_a_copy_outlives_what_it_was_made_of(self):
        name = self.contents.keep_folder(self.program)
        version = self.contents.keep(Content(name))
        self.write("sub/data", "2")
        self.assertNotEqual(hash_folder(self.program), name)
        self.assertEqual(hash_folder(self.contents.path(name)), name)
        self.assertEqual(self.contents.find(version), Content(name))
        self.assertEqual(self.contents.keep_folder(self.contents.path(name)), name)

    def test_names_contents_and_rights_all_count(self):
        first = hash_folder(self.program)
        os.chmod(os.path.join(self.program, "run"), 0o755)
        second = hash_folder(self.program)
        os.rename(os.path.join(self.program, "run"), os.path.join(self.program, "runs"))
        self.assertEqual(len({first, second, hash_folder(self.program)}), 3)

    def test_links_and_what_is_not_there_are_refused(self):
        os.symlink("/etc/passwd", os.path.join(self.program, "link"))
        for path in (self.program, os.path.join(self.folder, "none")):
            with self.assertRaises(ContentError):
                self.contents.keep_folder(path)

    def test_what_nothing_needs_is_dropped_and_a_version_with_a_part_gone_is_not_here(self):
        kept = self.contents.keep(Content(self.contents.keep_folder(self.program)))
        self.write("sub/data", "2")
        other = self.contents.keep(Content(self.contents.keep_folder(self.program)))
        self.assertEqual(self.contents.drop_but({kept}), [other])
        self.assertIsNone(self.contents.find(other))
        self.assertIsNotNone(self.contents.find(kept))
        self.assertEqual(len(os.listdir(os.path.join(self.contents.folder, "content"))), 1)

    def test_a_merge_patch_is_as_its_specification_says(self):
        config = {"a": 1, "b": {"c": 2, "d": 3}, "e": [1]}
        patch = {"a": None, "b": {"c": 5, "x": {"y": 1}}, "e": [2]}
        self.assertEqual(merged(config, patch), {"b": {"c": 5, "d": 3, "x": {"y": 1}}, "e": [2]})
        self.assertEqual(config["a"], 1)


def schedule(troubles: list[Fault], seed: int = 3, keepers: int = 3, lasts: int = 25) -> Schedule:
    return Schedule(seed, keepers, keepers, 2, 1, 1, tuple(troubles), lasts * SECOND)


def release(to: int = 0, who: int = 1) -> Fault:
    """Of the kind `to % 4`: good, good, worse, crash; on all things."""
    return Fault(2 * SECOND, "release", who, to, 0, 1.0)


def state(world: ConsensusSimulation) -> tuple[str, str]:
    for host in world.hosts.values():
        if host.control_plane and host.control_plane.allocator:
            [found] = host.control_plane.ledger.held.releases.values()
            return found.state, found.why
    return "nobody leads", ""


class SimulatedStories(unittest.TestCase):
    def play(self, *troubles: Fault, **more) -> tuple[str, str]:
        world, breaches = play(schedule(list(troubles), **more))
        self.assertEqual(breaches, [])
        return state(world)

    def test_good_ones_end_done_worse_and_broken_ones_halt_by_themselves(self):
        self.assertEqual(self.play(release(1))[0], "done")
        self.assertIn("worse than the old", self.play(release(2))[1])
        self.assertIn("died by themselves", self.play(release(7))[1])
        self.assertEqual(self.play(release(6))[0], "undone")  # by itself, as it was told

    def test_the_driver_killed_at_every_step_is_followed_by_one_that_goes_on_there(self):
        ended = set()
        for at in range(0, 6000, 150):
            for kind in (0, 1):
                kills = [
                    Fault((2 * SECOND) + at * 1_000_000, "kill in a step", host, kind, 0, 0.0)
                    for host in range(3)
                ]
                ended.add(self.play(release(1), *kills[: 1 + at // 150 % 3], seed=at, lasts=40)[0])
        self.assertEqual(ended, {"done"})

    def test_without_a_majority_nothing_moves_and_nothing_is_lost(self):
        cut = [Fault(2500_000_000, "stop", host, 0, 30 * SECOND, 0.0) for host in (0, 1)]
        world, breaches = play(schedule([release(1), *cut], lasts=15))
        self.assertEqual(breaches, [])
        steps = max((step for _, step in world.of_releases.steps), default=0)
        later, _ = play(schedule([release(1), *cut], lasts=25))
        self.assertEqual(max((step for _, step in later.of_releases.steps), default=0), steps)

    def test_drawn_schedules_break_no_promise_and_come_to_an_end(self):
        for seed in range(2000, 2040):
            world, breaches = play(draw(seed, releases=True, lasts=40 * SECOND))
            self.assertEqual((breaches, world.stuck()), ([], []), seed)


class AuditStories(unittest.TestCase):
    """Each promise is broken on purpose, and that is noticed."""

    def breaches(self, plant) -> str:
        found: list[str] = []
        for seed in range(2000, 2030):
            try:
                found += play(draw(seed, releases=True, lasts=30 * SECOND), plant)[1]
            except RuntimeError as error:
                found.append(str(error))
            if found:
                break
        return found[0] if found else ""

    def test_a_start_with_the_new_before_its_batch_and_an_end_that_is_not_true_are_noticed(self):
        def early(world: ConsensusSimulation) -> None:
            old = VersionAssignments.version
            self.enterContext(
                unittest.mock.patch.object(
                    VersionAssignments,
                    "version",
                    lambda fitting, thing: (
                        old(fitting, thing) or (world.of_releases.version.get(fitting.release, ""))
                    ),
                )
            )

        self.assertIn("promise 8", self.breaches(early))

    def test_an_end_that_is_not_true_is_noticed(self):
        for owner, name, lie in (
            (RolloutController, "_is_new", lambda driver, release, thing, parts: release.forward),
            (RolloutController, "_came", lambda *words: True),
            (RolloutController, "_strays", lambda *words: False),
            (VersionAssignments, "version", lambda *words: ""),
            (RolloutController, "_gated", lambda driver, *words: setattr(driver, "why", "")),
        ):
            self.enterContext(unittest.mock.patch.object(owner, name, lie))
        self.assertIn("promise 9", self.breaches(None))

    def test_two_drivers_steps_both_taken_are_noticed(self):
        audit = RolloutAudit()
        audit.taken(
            0,
            "h1",
            places.encode(commands.StartRelease("r", "asha", 0, VersionSpec("v"), RolloutPolicy(), ["a"])),
        )
        audit.taken(1, "h1", places.encode(commands.StartBatch("r", 9, 1, 0, [("a", 1)])))
        audit.taken(2, "h2", places.encode(commands.StartBatch("r", 9, 1, 0, [("a", 1)])))
        self.assertEqual(audit.breaches, [])
        audit.taken(3, "h2", places.encode(commands.StartBatch("r", 8, 1, 0, [("b", 1)])))
        audit.taken(4, "h2", places.encode(commands.FinishBatch("r", 7, 2, [])))
        self.assertEqual(len(audit.breaches), 2)


class ModelStories(unittest.TestCase):
    def test_every_release_ends_and_two_drivers_never_both_take_a_step(self):
        self.assertEqual(model.stuck(), [])
        self.assertTrue(model.always_ends())
        self.assertFalse(model.always_ends({"tries"}))
        self.assertFalse(model.both_taken(4, {"fence", "step"}))
        self.assertTrue(model.both_taken(4, {"fence"}))
        self.assertTrue(model.both_taken(4, {"step"}))

    def test_the_bound_holds_at_every_interleaving_of_two_drivers_by_the_places_alone(self):
        self.assertEqual(model.most_out(2, {"places"}), 2)
        self.assertEqual(model.most_out(2, {"step", "places", "one batch"}), 1)
        self.assertEqual(model.most_out(2, {"step"}), 3)

    def test_the_model_has_the_table_of_the_code(self):
        self.assertEqual(set(TRANSITIONS), {each for pair in model.MOVES for each in pair})
        for was, to in model.MOVES:
            self.assertIn(to, TRANSITIONS[was])
        self.assertEqual({state for state, after in TRANSITIONS.items() if not after}, set(FINAL_STATES))


if __name__ == "__main__":
    unittest.main()
