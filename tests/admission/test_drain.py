"""The requests that a draining node admits, and its answers before the stop."""

import unittest

from oakkeel.units import MS, SECOND
from tests.support.fake_host import FakeHost


class DrainTest(unittest.TestCase):
    def test_rejects_after_the_grace_period_and_answers_all_requests_before_the_stop(self):
        host = FakeHost(request_classes=[{"latency_objective": 4 * SECOND}])
        request = host.arrive()
        stop_at = host.now + 3 * SECOND
        host.admission.drain(host.now, 3 * SECOND)
        stale_request = host.arrive(queueing_delay=100 * MS)
        host.run_until(host.now + 2100 * MS)
        self.assertEqual(host.actions_on(host.arrive()), ["reject"])
        host.run_until(stop_at - MS)
        self.assertIn("reject", host.actions_on(request))
        self.assertIn("reject", host.actions_on(stale_request))
        self.assertIn(("set_health", False, True), host.actions)
