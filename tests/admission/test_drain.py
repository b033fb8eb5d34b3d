"""What a draining node admits, and when it answers."""

import unittest

from oakkeel.units import MS, SECOND
from tests.support.fake_host import FakeHost


class DrainTest(unittest.TestCase):
    def test_rejects_after_the_grace_and_answers_all_before_the_stop(self):
        host = FakeHost(request_classes=[{"latency_objective": 4 * SECOND}])
        request = host.arrive()
        stop = host.now + 3 * SECOND
        host.admission.drain(host.now, 3 * SECOND)
        late_read = host.arrive(queueing_delay=100 * MS)
        host.run_until(host.now + 2100 * MS)
        self.assertEqual(host.actions_on(host.arrive()), ["reject"])
        host.run_until(stop - MS)
        self.assertIn("reject", host.actions_on(request))
        self.assertIn("reject", host.actions_on(late_read))
        self.assertIn(("set_health", False, True), host.actions)
