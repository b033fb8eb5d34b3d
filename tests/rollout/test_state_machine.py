"""The replicated state of releases and the assignments of versions."""

import unittest

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
    """A step is accepted once, and only with the fencing token of the current lease."""

    def setUp(self) -> None:
        self.state_machine = RolloutStateMachine()
        self.index = 0
        self.apply(permit_commands.SetTopology(TOPOLOGY))
        self.fencing_token = self.apply(permit_commands.AcquireLease(LEASE, "h1.1", SECOND))
        self.apply(
            commands.StartRelease("r", "asha", 0, VersionSpec("v2", "/p"), RolloutPolicy(), ["a", "b"])
        )

    def apply(self, command):
        self.index += 1
        return self.state_machine.apply(self.index, permit_commands.encode(command))

    @property
    def release(self) -> Release:
        return self.state_machine.state.releases["r"]

    def assert_rejected(self, command, text: str) -> None:
        result = self.apply(command)
        self.assertIsInstance(result, Rejection)
        self.assertIn(text, result.reason)

    def test_accepts_a_step_once_and_rejects_an_old_controller_by_its_fencing_token(self):
        self.apply(commands.BeginRollout("r", self.fencing_token, 0))
        self.assertIsInstance(
            self.apply(commands.StartBatch("r", self.fencing_token, 1, 0, [("a", 1)])), DisruptionOrder
        )
        self.assert_rejected(
            commands.StartBatch("r", self.fencing_token, 1, 0, [("b", 1)]), "step 1 was taken"
        )
        self.apply(permit_commands.ReleaseLease(LEASE, self.fencing_token))
        fencing_token = self.apply(permit_commands.AcquireLease(LEASE, "h2.1", SECOND))
        self.assert_rejected(
            commands.FinishBatch("r", self.fencing_token, 2, ["a"]),
            "another controller holds the release lease",
        )
        self.assertGreater(fencing_token, self.fencing_token)
        self.assertIs(self.apply(commands.FinishBatch("r", fencing_token, 2, ["a"])), self.release)
        self.assertEqual(self.state_machine.state.versions, {"a": "v2"})

    def test_rejects_a_second_open_release_and_accepts_a_repeated_command(self):
        self.assert_rejected(
            commands.StartRelease("r2", "ravi", 0, VersionSpec("v3", "/p"), RolloutPolicy(), ["c"]),
            "asha's release r",
        )
        result = self.apply(
            commands.StartRelease("r", "asha", 0, VersionSpec("v2", "/p"), RolloutPolicy(), ["b", "a"])
        )
        self.assertIs(result, self.release)
        self.assert_rejected(
            commands.StartRelease("r", "asha", 0, VersionSpec("v3", "/p"), RolloutPolicy(), ["a", "b"]),
            "another release",
        )

    def test_rejects_an_invalid_release_with_a_reason(self):
        self.apply(commands.ControlRelease("r", "asha", "abort"))
        self.assertEqual(self.release.state, "left")
        for targets, spec, text in (
            (["zz"], VersionSpec("v", "/p"), "no target zz"),
            (["db1"], VersionSpec("v", "/p"), "can't be in one release"),
            (["a", "a"], VersionSpec("v", "/p"), "twice"),
            (["a"], VersionSpec(""), "the version is empty"),
            (["a"], VersionSpec("v", services=True), "can't be in one release"),
        ):
            self.assert_rejected(commands.StartRelease("x", "asha", 0, spec, RolloutPolicy(), targets), text)

    def test_a_release_of_a_patch_alone_must_not_drop_a_released_program(self):
        self.apply(commands.BeginRollout("r", self.fencing_token, 0))
        self.apply(commands.StartBatch("r", self.fencing_token, 1, 0, [("a", 1)]))
        self.apply(commands.FinishBatch("r", self.fencing_token, 2, ["a"]))
        self.apply(commands.ControlRelease("r", "asha", "abort"))
        self.apply(commands.ControlRelease("r", "asha", "leave"))
        patch_alone = commands.StartRelease(
            "p", "asha", 0, VersionSpec("v3", "", "/patch"), RolloutPolicy(), ["a"]
        )
        self.assert_rejected(patch_alone, "released program")
        patch_with_settings = commands.StartRelease(
            "p", "asha", 0, VersionSpec("v3", "", "/patch", from_settings=True), RolloutPolicy(), ["a"]
        )
        self.assertIsInstance(self.apply(patch_with_settings), Release)

    def test_a_rollback_during_a_batch_halts_its_order_and_restores_versions(self):
        self.apply(commands.ReportPrepared("r", self.fencing_token, "h1", "", {"a": "base a", "b": "base b"}))
        self.apply(commands.BeginRollout("r", self.fencing_token, 0))
        self.apply(commands.StartBatch("r", self.fencing_token, 1, 0, [("a", 1)]))
        self.apply(commands.ControlRelease("r", "ravi", "undo"))
        order = self.state_machine.state.orders["r.1"]
        self.assertEqual((order.halted_by, order.tasks["a"].state), ("asha", "halted"))
        self.assert_rejected(
            commands.StartBatch("r", self.fencing_token, 2, 0, [("a", 1)]), "batch is in progress"
        )
        # The target started with the new version.
        self.apply(commands.FinishBatch("r", self.fencing_token, 2, ["a"]))
        self.assertIsInstance(
            self.apply(commands.StartBatch("r", self.fencing_token, 3, 0, [("a", 2)])), DisruptionOrder
        )
        self.assertEqual(self.state_machine.state.versions["a"], "base a")
        self.assert_rejected(commands.FinishRelease("r", self.fencing_token, 4), "not all targets")
        self.apply(commands.FinishBatch("r", self.fencing_token, 4, []))
        self.assertEqual(self.apply(commands.FinishRelease("r", self.fencing_token, 5)).state, "undone")
        self.assertEqual(self.state_machine.state.versions, {})

    def test_a_host_that_cannot_prepare_ends_the_release_before_any_change(self):
        self.apply(commands.ReportPrepared("r", self.fencing_token, "h1", "no such folder", {}))
        self.assertEqual((self.release.state, self.release.why), ("left", "h1 can't take it: no such folder"))

    def test_a_halted_rollback_resumes_as_a_rollback(self):
        self.apply(commands.BeginRollout("r", self.fencing_token, 0))
        self.apply(commands.StartBatch("r", self.fencing_token, 1, 0, [("a", 1)]))
        self.apply(commands.FinishBatch("r", self.fencing_token, 2, ["a"]))
        self.apply(commands.ControlRelease("r", "asha", "undo"))
        self.apply(commands.ControlRelease("r", "asha", "abort"))
        self.assertEqual(self.release.state, "halted")
        self.assertEqual(self.apply(commands.ControlRelease("r", "asha", "resume")).state, "undoing")

    def test_restores_snapshots_with_and_without_releases(self):
        self.apply(commands.BeginRollout("r", self.fencing_token, 0))
        self.apply(commands.StartBatch("r", self.fencing_token, 1, 0, [("a", 1)]))
        restored = RolloutStateMachine()
        restored.restore(self.state_machine.snapshot())
        self.assertEqual(restored.snapshot(), self.state_machine.snapshot())
        without_releases = PermitStateMachine()
        without_releases.apply(1, permit_commands.encode(permit_commands.SetTopology(TOPOLOGY)))
        restored.restore(without_releases.snapshot())
        self.assertEqual((restored.state.releases, restored.state.topology), ({}, TOPOLOGY))

    ACTIONS = (
        "begin rollout",
        "start batch",
        "finish batch with the old version",
        "finish batch with the new version",
        "halt",
        "finish release",
        "pause",
        "resume",
        "abort",
        "undo",
        "leave",
        "old fencing token",
        "old step",
    )

    @given(st.lists(st.tuples(st.sampled_from(ACTIONS), st.integers(0, 1)), max_size=40))
    @settings(max_examples=150, deadline=None)
    def test_any_commands_follow_the_transition_table_and_versions_match_states(self, actions):
        self.setUp()
        for action, index in actions:
            previous_state = self.release.state
            step = self.release.step
            target_name = "ab"[index]
            fencing_token = self.fencing_token - (action == "old fencing token")
            command = {
                "begin rollout": commands.BeginRollout("r", fencing_token, step),
                "finish release": commands.FinishRelease("r", fencing_token, step),
                "start batch": commands.StartBatch("r", fencing_token, step, 0, [(target_name, 1)]),
                "finish batch with the old version": commands.FinishBatch("r", fencing_token, step, []),
                "finish batch with the new version": commands.FinishBatch(
                    "r", fencing_token, step, list(self.release.in_progress)
                ),
                "halt": commands.RecordVerdict("r", fencing_token, step, b"", "", "worse"),
                "old fencing token": commands.FinishBatch("r", fencing_token, step, []),
                "old step": commands.FinishRelease("r", fencing_token, step - 1),
            }.get(action, commands.ControlRelease("r", "asha", action))
            result = self.apply(command)
            if action.startswith("old"):
                self.assertIsInstance(result, Rejection)
            self.assertTrue(
                self.release.state == previous_state or self.release.state in TRANSITIONS[previous_state]
            )
            for name, target in self.release.targets.items():
                if target.state == "new":
                    self.assertEqual(self.state_machine.state.versions.get(name), "v2")
                if target.state == "old":
                    self.assertNotEqual(self.state_machine.state.versions.get(name), "v2")
            if self.release.state in ("done", "undone"):
                expected_state = "new" if self.release.state == "done" else "old"
                self.assertEqual({target.state for target in self.release.targets.values()}, {expected_state})


class VersionAssignmentsTest(unittest.TestCase):
    def test_assigned_versions_survive_a_restart_of_the_agent(self):
        assignments = VersionAssignments()
        spec = VersionSpec("v2", "/p")
        response = AgentAssignments({"a": "v2"}, {"v2": spec}, "r", spec, ["a"], True)
        assignments.handle_response(encode(response))
        self.assertEqual((assignments.version("a"), assignments.needs_storing), ("v2", True))
        [request] = assignments.take_requests()
        self.assertEqual((request.release, request.targets, assignments.take_requests()), ("r", ("a",), []))
        assignments.record_prepared("r", "", {"a": "base"})
        assignments.handle_response(encode(response))
        self.assertEqual(assignments.take_requests(), [])
        restored = VersionAssignments()
        restored.restore(assignments.versions, assignments.sources, assignments.bases)
        self.assertEqual(restored.needed_versions(), {"v2", "base"})

    def test_an_empty_or_damaged_response_changes_nothing(self):
        assignments = VersionAssignments()
        assignments.restore({"a": "v2"}, {}, {})
        for content in (b"", b"\x99"):
            assignments.handle_response(content)
        self.assertEqual(assignments.version("a"), "v2")
