"""The replicated state of releases and the assignments of versions."""

import unittest
import unittest.mock

from hypothesis import given, settings
from hypothesis import strategies as st

from oakkeel.disruption import commands as places
from oakkeel.disruption.state_machine import DisruptionOrder, Rejection
from oakkeel.disruption.topology import BudgetGroup, Topology
from oakkeel.rollout import commands
from oakkeel.rollout.assignments import VersionAssignments
from oakkeel.rollout.commands import RolloutPolicy, VersionSpec
from oakkeel.rollout.messages import AgentAssignments, encode
from oakkeel.rollout.state_machine import LEASE, TRANSITIONS, Release, RolloutStateMachine

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
        return self.book.state.releases["r"]

    def refused(self, command, text: str) -> None:
        answer = self.do(command)
        self.assertIsInstance(answer, Rejection)
        self.assertIn(text, answer.reason)

    def test_a_step_holds_once_and_an_old_driver_is_refused_by_its_fence(self):
        self.do(commands.BeginRollout("r", self.fence, 0))
        self.assertIsInstance(
            self.do(commands.StartBatch("r", self.fence, 1, 0, [("a", 1)])), DisruptionOrder
        )
        self.refused(commands.StartBatch("r", self.fence, 1, 0, [("b", 1)]), "step 1 was taken")
        self.do(places.ReleaseLease(LEASE, self.fence))
        fence = self.do(places.AcquireLease(LEASE, "h2.1", SECOND))
        self.refused(commands.FinishBatch("r", self.fence, 2, ["a"]), "another drives")
        self.assertGreater(fence, self.fence)
        self.assertIs(self.do(commands.FinishBatch("r", fence, 2, ["a"])), self.release)
        self.assertEqual(self.book.state.versions, {"a": "v2"})

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
        order = self.book.state.orders["r.1"]
        self.assertEqual((order.halted_by, order.tasks["a"].state), ("asha", "halted"))
        self.refused(commands.StartBatch("r", self.fence, 2, 0, [("a", 1)]), "under way")
        self.do(commands.FinishBatch("r", self.fence, 2, ["a"]))  # it had come up with the new all the same
        self.assertIsInstance(
            self.do(commands.StartBatch("r", self.fence, 3, 0, [("a", 2)])), DisruptionOrder
        )
        self.assertEqual(self.book.state.versions["a"], "base a")
        self.refused(commands.FinishRelease("r", self.fence, 4), "not all")
        self.do(commands.FinishBatch("r", self.fence, 4, []))
        self.assertEqual(self.do(commands.FinishRelease("r", self.fence, 5)).state, "undone")
        self.assertEqual(self.book.state.versions, {})

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
        again.restore(self.book.snapshot())
        self.assertEqual(again.snapshot(), self.book.snapshot())
        from oakkeel.disruption.state_machine import PermitStateMachine

        old = PermitStateMachine()
        old.apply(1, places.encode(places.SetTopology(LAYOUT)))
        again.restore(old.snapshot())
        self.assertEqual((again.state.releases, again.state.topology), ({}, LAYOUT))

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
                    self.assertEqual(self.book.state.versions.get(name), "v2")
                if part.state == "old":
                    self.assertNotEqual(self.book.state.versions.get(name), "v2")
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
