"""Health: the staleness at which a node leaves the endpoint list, and that at which it returns."""

import unittest

from oakkeel.admission.health import (
    MAX_HEALTHY_STALENESS_RATIO,
    MAX_STALENESS_RATIO_TO_RECOVER,
    is_healthy,
)


class HealthTest(unittest.TestCase):
    def test_becomes_unhealthy_at_the_maximum_staleness(self):
        self.assertTrue(is_healthy(True, False, MAX_HEALTHY_STALENESS_RATIO - 0.01))
        self.assertFalse(is_healthy(True, False, MAX_HEALTHY_STALENESS_RATIO))

    def test_recovers_only_below_half_of_the_maximum_staleness(self):
        self.assertFalse(is_healthy(False, False, MAX_STALENESS_RATIO_TO_RECOVER))
        self.assertTrue(is_healthy(False, False, MAX_STALENESS_RATIO_TO_RECOVER - 0.01))

    def test_is_unhealthy_while_draining(self):
        self.assertFalse(is_healthy(True, True, 0.0))


if __name__ == "__main__":
    unittest.main()
