"""Overload stages: their hysteresis and their effects."""

import unittest

from oakkeel.admission.overload import Stage, StageThresholds, next_stage
from oakkeel.admission.types import (
    RequestState,
)
from oakkeel.units import SECOND
from tests.support.fake_host import FakeHost


class OverloadTest(unittest.TestCase):
    def test_runs_a_request_at_once_on_an_idle_node(self):
        host = FakeHost()
        self.assertEqual(host.actions_on(host.arrive()), ["run"])

    def test_stages_have_hysteresis(self):
        thresholds = StageThresholds(
            expand=0.7, reap=0.8, reorder=0.85, backpressure=0.9, reject=0.95, hysteresis=0.05
        )
        self.assertEqual(next_stage(Stage.NORMAL, 0.9, thresholds), Stage.BACKPRESSURE)
        self.assertEqual(next_stage(Stage.BACKPRESSURE, 0.86, thresholds), Stage.BACKPRESSURE)
        self.assertEqual(next_stage(Stage.BACKPRESSURE, 0.84, thresholds), Stage.REORDER)
        self.assertEqual(next_stage(Stage.REJECT, 0.1, thresholds), Stage.NORMAL)

    def test_rejects_a_flood_on_arrival_with_retry_after_and_bounds_runs(self):
        host = FakeHost()
        flood = [host.arrive() for _ in range(60)]
        rejections = [action for action in host.actions if action[0] == "reject"]
        self.assertGreater(len(rejections), 20)
        self.assertTrue(all(0 < action[3] <= SECOND for action in rejections))
        self.assertLessEqual(len(host.in_state(flood, RequestState.RUNNING)), 2 * host.limits.cores)

    def test_runs_a_request_on_busy_cores_while_the_queue_is_empty(self):
        host = FakeHost()
        host.gauges.core_busy = 1.0
        host.run_until(3 * SECOND)
        self.assertEqual(host.actions_on(host.arrive()), ["run"])
