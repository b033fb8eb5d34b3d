"""The plan of a soak run."""

import unittest

from oakkeel.fakes.flood import FloodKind
from oakkeel.soak.plan import DisruptionKind, Effect, draw_plan


class PlanTest(unittest.TestCase):
    def test_one_seed_always_gives_the_same_plan(self):
        self.assertEqual(draw_plan(7, 20.0), draw_plan(7, 20.0))
        self.assertNotEqual(draw_plan(7, 20.0).requests, draw_plan(8, 20.0).requests)

    def test_a_kind_that_is_left_out_changes_nothing_else(self):
        whole, less = draw_plan(7, 30.0), draw_plan(7, 30.0, frozenset({DisruptionKind.PAUSE}))
        self.assertEqual(whole.requests, less.requests)
        kept = [disruption for disruption in whole.disruptions if disruption.kind is not DisruptionKind.PAUSE]
        self.assertEqual(list(less.disruptions), kept)

    def test_floods_are_drawn_apart_and_leave_the_rest_of_a_plan_as_it_is(self):
        whole, less = draw_plan(7, 30.0), draw_plan(7, 30.0, frozenset({DisruptionKind.FLOOD}))
        floods = [each for each in whole.disruptions if each.kind is DisruptionKind.FLOOD]
        self.assertTrue(floods)
        self.assertEqual(whole.disruptions[-len(floods) :], tuple(floods))
        self.assertEqual(whole.disruptions[: -len(floods)], less.disruptions)
        self.assertEqual(whole.requests, less.requests)

    def test_some_seeds_draw_every_kind_of_flood_under_load_and_in_a_drain(self):
        plans = [draw_plan(seed, 20.0) for seed in range(40)]
        floods = [each for plan in plans for each in plan.disruptions if each.flood]
        self.assertEqual({each.flood.kind for each in floods}, set(FloodKind))
        in_drain = [plan for plan in plans if plan.disruptions[-1].start_s > 19.0 - plan.stop_s - 0.1]
        self.assertTrue(0 < len(in_drain) < len(plans))

    def test_some_seeds_draw_every_kind_of_disruption_of_disruption_and_of_effect(self):
        plans = [draw_plan(seed, 20.0) for seed in range(10)]
        kinds = {disruption.kind for plan in plans for disruption in plan.disruptions}
        self.assertEqual(kinds, set(DisruptionKind))
        self.assertEqual({group.effect for group in plans[0].groups}, set(Effect))

    def test_repeats_of_a_key_have_the_body_of_the_original(self):
        bodies: dict[str, set[bytes]] = {}
        for request in draw_plan(7, 60.0).requests:
            if request.group.effect is Effect.KEYED:
                bodies.setdefault(request.key, set()).add(request.body)
        self.assertTrue(all(len(each) == 1 for each in bodies.values()))


if __name__ == "__main__":
    unittest.main()
