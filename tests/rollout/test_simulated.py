"""Releases in simulated time."""

import unittest

from oakkeel.emulator.consensus import ConsensusSimulation, run_schedule
from oakkeel.emulator.faults import Fault, Schedule, draw_schedule
from oakkeel.units import SECOND


def schedule(faults: list[Fault], seed: int = 3, voters: int = 3, seconds: int = 25) -> Schedule:
    return Schedule(seed, voters, voters, 2, 1, 1, tuple(faults), seconds * SECOND)


def release(kind: int = 0, subject: int = 1) -> Fault:
    """Return the start of a release to all targets.

    `kind % 4` selects its version: good, good, worse, crash. It rolls back automatically if `kind % 3` is 0.
    """
    return Fault(2 * SECOND, "release", subject, kind, 0, 1.0)


def release_state(simulation: ConsensusSimulation) -> tuple[str, str]:
    """Return the state of the only release and its reason, from the replica that leads."""
    for host in simulation.hosts.values():
        if host.control_plane and host.control_plane.allocator:
            [only_release] = host.control_plane.state_machine.state.releases.values()
            return only_release.state, only_release.why
    return "no leader", ""


class SimulatedRolloutTest(unittest.TestCase):
    def play(self, *faults: Fault, **options) -> tuple[str, str]:
        """Play a schedule without a breach; return the state of its release and the reason for the state."""
        simulation, breaches = run_schedule(schedule(list(faults), **options))
        self.assertEqual(breaches, [])
        return release_state(simulation)

    def test_good_releases_finish_and_worse_or_broken_ones_halt(self):
        self.assertEqual(self.play(release(1))[0], "done")
        self.assertIn("worse than the old", self.play(release(2))[1])
        self.assertIn("processes of the new version crashed", self.play(release(7))[1])
        self.assertEqual(self.play(release(6))[0], "undone")  # automatically, by its policy

    def test_a_new_controller_continues_at_any_step_at_which_the_old_one_was_killed(self):
        final_states = set()
        for offset_ms in range(0, 6000, 150):
            for crash_point in (0, 1):  # before or after the next write
                kills = [
                    Fault((2 * SECOND) + offset_ms * 1_000_000, "kill in a step", host, crash_point, 0, 0.0)
                    for host in range(3)
                ]
                kills = kills[: 1 + offset_ms // 150 % 3]
                final_states.add(self.play(release(1), *kills, seed=offset_ms, seconds=40)[0])
        self.assertEqual(final_states, {"done"})

    def test_without_a_majority_a_release_takes_no_step_and_breaks_no_invariant(self):
        stop_faults = [Fault(2500_000_000, "stop", host, 0, 30 * SECOND, 0.0) for host in (0, 1)]
        short_run, breaches = run_schedule(schedule([release(1), *stop_faults], seconds=15))
        self.assertEqual(breaches, [])
        last_step = max((step for _, step in short_run.rollout_audit.steps), default=0)
        long_run, _ = run_schedule(schedule([release(1), *stop_faults], seconds=25))
        self.assertEqual(max((step for _, step in long_run.rollout_audit.steps), default=0), last_step)

    def test_random_schedules_break_no_invariant_and_finish(self):
        for seed in range(2000, 2040):
            simulation, breaches = run_schedule(draw_schedule(seed, releases=True, duration=40 * SECOND))
            self.assertEqual((breaches, simulation.convergence_failures()), ([], []), seed)
