"""The model of releases, checked in full."""

import unittest
import unittest.mock

from oakkeel.emulator.consensus import ConsensusSimulation
from oakkeel.models import releases as model
from oakkeel.rollout.state_machine import FINAL_STATES, TRANSITIONS


def state(world: ConsensusSimulation) -> tuple[str, str]:
    for host in world.hosts.values():
        if host.control_plane and host.control_plane.allocator:
            [found] = host.control_plane.state_machine.state.releases.values()
            return found.state, found.why
    return "nobody leads", ""


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
