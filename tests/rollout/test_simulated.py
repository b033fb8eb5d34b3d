"""Releases in simulated time."""

import unittest
import unittest.mock

from oakkeel.emulator.consensus import ConsensusSimulation, play
from oakkeel.emulator.faults import Fault, Schedule, draw
from oakkeel.units import SECOND


def schedule(faults: list[Fault], seed: int = 3, voters: int = 3, lasts: int = 25) -> Schedule:
    return Schedule(seed, voters, voters, 2, 1, 1, tuple(faults), lasts * SECOND)


def release(to: int = 0, who: int = 1) -> Fault:
    """Return the start of a release to all targets, of the kind `to % 4`: good, good, worse, crash."""
    return Fault(2 * SECOND, "release", who, to, 0, 1.0)


def state(world: ConsensusSimulation) -> tuple[str, str]:
    for host in world.hosts.values():
        if host.control_plane and host.control_plane.allocator:
            [found] = host.control_plane.state_machine.state.releases.values()
            return found.state, found.why
    return "nobody leads", ""


class SimulatedRolloutTest(unittest.TestCase):
    def play(self, *faults: Fault, **more) -> tuple[str, str]:
        world, breaches = play(schedule(list(faults), **more))
        self.assertEqual(breaches, [])
        return state(world)

    def test_good_releases_finish_and_worse_or_broken_ones_halt(self):
        self.assertEqual(self.play(release(1))[0], "done")
        self.assertIn("worse than the old", self.play(release(2))[1])
        self.assertIn("processes of the new version crashed", self.play(release(7))[1])
        self.assertEqual(self.play(release(6))[0], "undone")  # automatically, by its policy

    def test_controller_killed_at_any_step_is_succeeded_where_it_was(self):
        ended = set()
        for at in range(0, 6000, 150):
            for kind in (0, 1):
                kills = [
                    Fault((2 * SECOND) + at * 1_000_000, "kill in a step", host, kind, 0, 0.0)
                    for host in range(3)
                ]
                ended.add(self.play(release(1), *kills[: 1 + at // 150 % 3], seed=at, lasts=40)[0])
        self.assertEqual(ended, {"done"})

    def test_without_majority_nothing_moves_and_nothing_is_lost(self):
        cut = [Fault(2500_000_000, "stop", host, 0, 30 * SECOND, 0.0) for host in (0, 1)]
        world, breaches = play(schedule([release(1), *cut], lasts=15))
        self.assertEqual(breaches, [])
        steps = max((step for _, step in world.rollout_audit.steps), default=0)
        later, _ = play(schedule([release(1), *cut], lasts=25))
        self.assertEqual(max((step for _, step in later.rollout_audit.steps), default=0), steps)

    def test_random_schedules_break_no_invariant_and_end(self):
        for seed in range(2000, 2040):
            world, breaches = play(draw(seed, releases=True, duration=40 * SECOND))
            self.assertEqual((breaches, world.stuck()), ([], []), seed)
