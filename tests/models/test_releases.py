"""z3 and a full search check the model of releases; variants without one rule are found unsafe."""

import unittest

from oakkeel.models import releases as model
from oakkeel.rollout.release import FINAL_STATES, TRANSITIONS


class ReleaseModelTest(unittest.TestCase):
    def test_every_release_ends_and_no_step_of_two_controllers_is_applied_twice(self):
        self.assertEqual(model.stuck_states(), [])
        self.assertTrue(model.always_ends())
        self.assertFalse(model.always_ends({"attempts"}))
        self.assertFalse(model.can_apply_invalid_step(4, {"fence", "step"}))
        self.assertTrue(model.can_apply_invalid_step(4, {"fence"}))
        self.assertTrue(model.can_apply_invalid_step(4, {"step"}))

    def test_permits_alone_keep_maximum_unavailable_with_two_controllers(self):
        self.assertEqual(model.max_targets_out(2, {"permits"}), 2)
        self.assertEqual(model.max_targets_out(2, {"step", "permits", "one batch"}), 1)
        self.assertEqual(model.max_targets_out(2, {"step"}), 3)

    def test_model_has_same_transitions_as_state_machine(self):
        self.assertEqual(
            set(TRANSITIONS), {state for transition in model.TRANSITIONS for state in transition}
        )
        for before, after in model.TRANSITIONS:
            self.assertIn(after, TRANSITIONS[before])
        self.assertEqual({state for state, after in TRANSITIONS.items() if not after}, set(FINAL_STATES))
