"""The invariant checks of releases catch planted faults."""

import unittest
import unittest.mock

from oakkeel.disruption import commands as places
from oakkeel.emulator.consensus import ConsensusSimulation, play
from oakkeel.emulator.faults import Fault, draw
from oakkeel.invariants.rollout import RolloutAudit
from oakkeel.rollout import commands
from oakkeel.rollout.assignments import VersionAssignments
from oakkeel.rollout.commands import RolloutPolicy, VersionSpec
from oakkeel.rollout.controller import RolloutController

SECOND = 1_000_000_000


def release(to: int = 0, who: int = 1) -> Fault:
    """Of the kind `to % 4`: good, good, worse, crash; on all things."""
    return Fault(2 * SECOND, "release", who, to, 0, 1.0)


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
                        old(fitting, thing) or (world.rollout_audit.version.get(fitting.release, ""))
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
