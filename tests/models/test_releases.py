"""The model of releases, checked in full."""

import unittest

from oakkeel.models import releases as model
from oakkeel.rollout.release import FINAL_STATES, TRANSITIONS


class ReleaseModelTest(unittest.TestCase):
    def test_every_release_ends_and_no_step_is_applied_for_two_controllers(self):
        self.assertEqual(model.stuck(), [])
        self.assertTrue(model.always_ends())
        self.assertFalse(model.always_ends({"attempts"}))
        self.assertFalse(model.both_applied(4, {"fence", "step"}))
        self.assertTrue(model.both_applied(4, {"fence"}))
        self.assertTrue(model.both_applied(4, {"step"}))

    def test_permits_alone_hold_bound_at_every_interleaving_of_two_controllers(self):
        self.assertEqual(model.max_unavailable(2, {"permits"}), 2)
        self.assertEqual(model.max_unavailable(2, {"step", "permits", "one batch"}), 1)
        self.assertEqual(model.max_unavailable(2, {"step"}), 3)

    def test_model_has_transition_table_of_code(self):
        self.assertEqual(set(TRANSITIONS), {state for move in model.MOVES for state in move})
        for before, after in model.MOVES:
            self.assertIn(after, TRANSITIONS[before])
        self.assertEqual({state for state, after in TRANSITIONS.items() if not after}, set(FINAL_STATES))
