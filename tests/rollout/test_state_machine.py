"""The replicated state of releases and the assignments of versions."""

import unittest
import unittest.mock

from hypothesis import given, settings
from hypothesis import strategies as st

from oakkeel.disruption import commands as permit_commands
from oakkeel.disruption.state import DisruptionOrder, Rejection
from oakkeel.disruption.state_machine import PermitStateMachine
from oakkeel.rollout import commands
from oakkeel.rollout.assignments import VersionAssignments
from oakkeel.rollout.commands import RolloutPolicy, VersionSpec
from oakkeel.rollout.messages import AgentAssignments, encode
from oakkeel.rollout.release import TRANSITIONS, Release
from oakkeel.rollout.state_machine import LEASE, RolloutStateMachine
from oakkeel.units import SECOND
from tests.rollout.topology import TOPOLOGY


class RolloutStateMachineTest(unittest.TestCase):
    """A step is accepted once, under the fencing token of the current lease."""

    def setUp(self) -> None:
        self.state_machine = RolloutStateMachine()
        self.index = 0
        self.do(permit_commands.SetTopology(TOPOLOGY))
        self.fence = self.do(permit_commands.AcquireLease(LEASE, "h1.1", SECOND))
        self.do(commands.StartRelease("r", "asha", 0, VersionSpec("v2", "/p"), RolloutPolicy(), ["a", "b"]))

    def do(self, command):
        self.index += 1
        return self.state_machine.apply(self.index, permit_commands.encode(command))

    @property
    def release(self) -> Release:
        return self.state_machine.state.releases["r"]

    def assert_rejected(self, command, text: str) -> None:
        answer = self.do(command)
        self.assertIsInstance(answer, Rejection)
        self.assertIn(text, answer.reason)

    def test_accepts_step_once_and_rejects_old_controller_by_its_fence(self):
        self.do(commands.BeginRollout("r", self.fence, 0))
        self.assertIsInstance(
            self.do(commands.StartBatch("r", self.fence, 1, 0, [("a", 1)])), DisruptionOrder
        )
        self.assert_rejected(commands.StartBatch("r", self.fence, 1, 0, [("b", 1)]), "step 1 was taken")
        self.do(permit_commands.ReleaseLease(LEASE, self.fence))
        fence = self.do(permit_commands.AcquireLease(LEASE, "h2.1", SECOND))
        self.assert_rejected(
            commands.FinishBatch("r", self.fence, 2, ["a"]), "another controller holds the release lease"
        )
        self.assertGreater(fence, self.fence)
        self.assertIs(self.do(commands.FinishBatch("r", fence, 2, ["a"])), self.release)
        self.assertEqual(self.state_machine.state.versions, {"a": "v2"})

    def test_rejects_second_open_release_and_accepts_same_command_twice(self):
        self.assert_rejected(
            commands.StartRelease("r2", "ravi", 0, VersionSpec("v3", "/p"), RolloutPolicy(), ["c"]),
            "asha's release r",
        )
        same = self.do(
            commands.StartRelease("r", "asha", 0, VersionSpec("v2", "/p"), RolloutPolicy(), ["b", "a"])
        )
        self.assertIs(same, self.release)
        self.assert_rejected(
            commands.StartRelease("r", "asha", 0, VersionSpec("v3", "/p"), RolloutPolicy(), ["a", "b"]),
            "another release",
        )

    def test_rejects_invalid_release_with_reason(self):
        self.do(commands.ControlRelease("r", "asha", "abort"))
        self.assertEqual(self.release.state, "left")
        for targets, spec, text in (
            (["zz"], VersionSpec("v", "/p"), "no target zz"),
            (["db1"], VersionSpec("v", "/p"), "can't be in one release"),
            (["a", "a"], VersionSpec("v", "/p"), "twice"),
            (["a"], VersionSpec(""), "the version is empty"),
            (["a"], VersionSpec("v", services=True), "can't be in one release"),
        ):
            self.assert_rejected(commands.StartRelease("x", "asha", 0, spec, RolloutPolicy(), targets), text)

    def test_release_of_patch_alone_keeps_released_program_unless_asked(self):
        self.do(commands.BeginRollout("r", self.fence, 0))
        self.do(commands.StartBatch("r", self.fence, 1, 0, [("a", 1)]))
        self.do(commands.FinishBatch("r", self.fence, 2, ["a"]))
        self.do(commands.ControlRelease("r", "asha", "abort"))
        self.do(commands.ControlRelease("r", "asha", "leave"))
        alone = commands.StartRelease("p", "asha", 0, VersionSpec("v3", "", "/patch"), RolloutPolicy(), ["a"])
        self.assert_rejected(alone, "released program")
        both = commands.StartRelease(
            "p", "asha", 0, VersionSpec("v3", "", "/patch", from_settings=True), RolloutPolicy(), ["a"]
        )
        self.assertIsInstance(self.do(both), Release)

    def test_rollback_during_batch_halts_its_order_and_restores_versions(self):
        self.do(commands.ReportPrepared("r", self.fence, "h1", "", {"a": "base a", "b": "base b"}))
        self.do(commands.BeginRollout("r", self.fence, 0))
        self.do(commands.StartBatch("r", self.fence, 1, 0, [("a", 1)]))
        self.do(commands.ControlRelease("r", "ravi", "undo"))
        order = self.state_machine.state.orders["r.1"]
        self.assertEqual((order.halted_by, order.tasks["a"].state), ("asha", "halted"))
        self.assert_rejected(commands.StartBatch("r", self.fence, 2, 0, [("a", 1)]), "batch is in progress")
        self.do(commands.FinishBatch("r", self.fence, 2, ["a"]))  # it had started with the new version
        self.assertIsInstance(
            self.do(commands.StartBatch("r", self.fence, 3, 0, [("a", 2)])), DisruptionOrder
        )
        self.assertEqual(self.state_machine.state.versions["a"], "base a")
        self.assert_rejected(commands.FinishRelease("r", self.fence, 4), "not all targets")
        self.do(commands.FinishBatch("r", self.fence, 4, []))
        self.assertEqual(self.do(commands.FinishRelease("r", self.fence, 5)).state, "undone")
        self.assertEqual(self.state_machine.state.versions, {})

    def test_host_that_cannot_prepare_ends_release_before_any_change(self):
        self.do(commands.ReportPrepared("r", self.fence, "h1", "no such folder", {}))
        self.assertEqual((self.release.state, self.release.why), ("left", "h1 can't take it: no such folder"))

    def test_halted_rollback_resumes_as_rollback(self):
        self.do(commands.BeginRollout("r", self.fence, 0))
        self.do(commands.StartBatch("r", self.fence, 1, 0, [("a", 1)]))
        self.do(commands.FinishBatch("r", self.fence, 2, ["a"]))
        self.do(commands.ControlRelease("r", "asha", "undo"))
        self.do(commands.ControlRelease("r", "asha", "abort"))
        self.assertEqual(self.release.state, "halted")
        self.assertEqual(self.do(commands.ControlRelease("r", "asha", "resume")).state, "undoing")

    def test_snapshot_round_trip_and_snapshot_without_releases(self):
        self.do(commands.BeginRollout("r", self.fence, 0))
        self.do(commands.StartBatch("r", self.fence, 1, 0, [("a", 1)]))
        restored = RolloutStateMachine()
        restored.restore(self.state_machine.snapshot())
        self.assertEqual(restored.snapshot(), self.state_machine.snapshot())
        without_releases = PermitStateMachine()
        without_releases.apply(1, permit_commands.encode(permit_commands.SetTopology(TOPOLOGY)))
        restored.restore(without_releases.snapshot())
        self.assertEqual((restored.state.releases, restored.state.topology), ({}, TOPOLOGY))

    ACTIONS = (
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

    @given(st.lists(st.tuples(st.sampled_from(ACTIONS), st.integers(0, 1)), max_size=40))
    @settings(max_examples=150, deadline=None)
    def test_any_commands_follow_transition_table_and_versions_match_states(self, actions):
        self.setUp()
        for action, index in actions:
            previous_state = self.release.state
            step = self.release.step
            target_name = "ab"[index]
            fence = self.fence - (action == "old fence")
            command = {
                "go": commands.BeginRollout("r", fence, step),
                "finish": commands.FinishRelease("r", fence, step),
                "batch": commands.StartBatch("r", fence, step, 0, [(target_name, 1)]),
                "settle": commands.FinishBatch("r", fence, step, []),
                "settle new": commands.FinishBatch("r", fence, step, list(self.release.in_progress)),
                "worse": commands.RecordVerdict("r", fence, step, b"", "", "worse"),
                "old fence": commands.FinishBatch("r", fence, step, []),
                "old step": commands.FinishRelease("r", fence, step - 1),
            }.get(action, commands.ControlRelease("r", "asha", action))
            answer = self.do(command)
            if action.startswith("old"):
                self.assertIsInstance(answer, Rejection)
            self.assertTrue(
                self.release.state == previous_state or self.release.state in TRANSITIONS[previous_state]
            )
            for name, target in self.release.targets.items():
                if target.state == "new":
                    self.assertEqual(self.state_machine.state.versions.get(name), "v2")
                if target.state == "old":
                    self.assertNotEqual(self.state_machine.state.versions.get(name), "v2")
            if self.release.state in ("done", "undone"):
                wanted = "new" if self.release.state == "done" else "old"
                self.assertEqual({target.state for target in self.release.targets.values()}, {wanted})


class VersionAssignmentsTest(unittest.TestCase):
    def test_assigned_versions_survive_restart_of_agent(self):
        assignments = VersionAssignments()
        spec = VersionSpec("v2", "/p")
        response = AgentAssignments({"a": "v2"}, {"v2": spec}, "r", spec, ["a"], True)
        assignments.handle_response(encode(response))
        self.assertEqual((assignments.version("a"), assignments.changed), ("v2", True))
        [request] = assignments.take_requests()
        self.assertEqual((request.release, request.targets, assignments.take_requests()), ("r", ("a",), []))
        assignments.record_prepared("r", "", {"a": "base"})
        assignments.handle_response(encode(response))
        self.assertEqual(assignments.take_requests(), [])
        restored = VersionAssignments()
        restored.restore(assignments.versions, assignments.sources, assignments.bases)
        self.assertEqual(restored.needed_versions(), {"v2", "base"})

    def test_empty_or_damaged_response_changes_nothing(self):
        assignments = VersionAssignments()
        assignments.restore({"a": "v2"}, {}, {})
        for content in (b"", b"\x99"):
            assignments.handle_response(content)
        self.assertEqual(assignments.version("a"), "v2")
