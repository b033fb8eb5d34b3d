"""The invariant checks of releases catch planted faults."""

import unittest
import unittest.mock

from oakkeel.disruption import commands as permit_commands
from oakkeel.emulator.consensus import ConsensusSimulation, run_schedule
from oakkeel.emulator.faults import Fault, draw_schedule
from oakkeel.invariants.rollout import RolloutAudit
from oakkeel.rollout import commands
from oakkeel.rollout.assignments import VersionAssignments
from oakkeel.rollout.batches import Step
from oakkeel.rollout.commands import RolloutPolicy, VersionSpec
from oakkeel.rollout.controller import RolloutController
from oakkeel.rollout.observations import Observations
from oakkeel.units import SECOND


def release(version: int = 0, subject: int = 1) -> Fault:
    """Return a release of all instances whose version is, by `version % 4`: good, good, worse, crashing."""
    return Fault(2 * SECOND, "release", subject, version, 0, 1.0)


class RolloutAuditTest(unittest.TestCase):
    """The audit detects a planted breach of each invariant."""

    def breaches(self, plant_fault) -> str:
        breaches: list[str] = []
        for seed in range(2000, 2030):
            try:
                breaches += run_schedule(
                    draw_schedule(seed, releases=True, duration=30 * SECOND), plant_fault
                )[1]
            except RuntimeError as error:
                breaches.append(str(error))
            if breaches:
                break
        return breaches[0] if breaches else ""

    def test_detects_start_with_new_version_before_its_batch(self):
        def start_early(simulation: ConsensusSimulation) -> None:
            original = VersionAssignments.version
            self.enterContext(
                unittest.mock.patch.object(
                    VersionAssignments,
                    "version",
                    lambda assignments, target: (
                        original(assignments, target)
                        or (simulation.rollout_audit.new_versions.get(assignments.release, ""))
                    ),
                )
            )

        self.assertIn("invariant 8", self.breaches(start_early))

    def test_detects_release_reported_as_done_too_early(self):
        for owner, name, replacement in (
            (Observations, "is_updated", lambda observations, release, target, tasks: release.batch_forward),
            (Observations, "has_reached_batch_version", lambda *arguments: True),
            (Observations, "deviates", lambda *arguments: False),
            (VersionAssignments, "version", lambda *arguments: ""),
            (RolloutController, "_check_gate", lambda *arguments: Step(None, "")),
        ):
            self.enterContext(unittest.mock.patch.object(owner, name, replacement))
        self.assertIn("invariant 9", self.breaches(None))

    def test_detects_conflicting_steps_of_two_controllers(self):
        audit = RolloutAudit()
        audit.record_command(
            0,
            "h1",
            permit_commands.encode(
                commands.StartRelease("r", "asha", 0, VersionSpec("v"), RolloutPolicy(), ["a"])
            ),
        )
        audit.record_command(1, "h1", permit_commands.encode(commands.StartBatch("r", 9, 1, 0, [("a", 1)])))
        audit.record_command(2, "h2", permit_commands.encode(commands.StartBatch("r", 9, 1, 0, [("a", 1)])))
        self.assertEqual(audit.breaches, [])
        audit.record_command(3, "h2", permit_commands.encode(commands.StartBatch("r", 8, 1, 0, [("b", 1)])))
        audit.record_command(4, "h2", permit_commands.encode(commands.FinishBatch("r", 7, 2, [])))
        self.assertEqual(len(audit.breaches), 2)
