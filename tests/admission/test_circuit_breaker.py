"""The circuit breaker of downstream calls."""

import unittest

from oakkeel.admission.circuit_breaker import MAX_FAILURES_IN_ROW, PROBE_INTERVAL_NS, CircuitBreaker
from oakkeel.units import SECOND


class CircuitBreakerTest(unittest.TestCase):
    def setUp(self):
        self.breaker = CircuitBreaker()
        self.breaker.call_placed(SECOND)

    def fail(self, times: int) -> None:
        for _ in range(times):
            self.breaker.call_failed()

    def test_opens_after_failures_in_a_row(self):
        self.fail(MAX_FAILURES_IN_ROW - 1)
        self.assertTrue(self.breaker.allows_call(SECOND))
        self.fail(1)
        self.assertTrue(self.breaker.is_open())
        self.assertFalse(self.breaker.allows_call(SECOND))

    def test_lets_one_probe_through_at_each_interval_while_open(self):
        self.fail(MAX_FAILURES_IN_ROW)
        probe_at = SECOND + PROBE_INTERVAL_NS
        self.assertFalse(self.breaker.allows_call(probe_at - 1))
        self.assertTrue(self.breaker.allows_call(probe_at))
        self.breaker.call_placed(probe_at)
        self.assertFalse(self.breaker.allows_call(probe_at))

    def test_closes_after_a_success(self):
        self.fail(MAX_FAILURES_IN_ROW)
        self.breaker.call_succeeded()
        self.assertFalse(self.breaker.is_open())
        self.fail(MAX_FAILURES_IN_ROW - 1)
        self.assertTrue(self.breaker.allows_call(SECOND))


if __name__ == "__main__":
    unittest.main()
