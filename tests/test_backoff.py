"""Exponential backoff and jitter."""

import unittest

from oakkeel.backoff import MAX_DOUBLINGS, exponential_delay, with_jitter
from oakkeel.units import MS, SECOND


class BackoffTest(unittest.TestCase):
    def test_doubles_for_each_failure_up_to_the_maximum(self) -> None:
        delays = [exponential_delay(500 * MS, 3 * SECOND, failures) for failures in range(5)]
        self.assertEqual(delays, [500 * MS, SECOND, 2 * SECOND, 3 * SECOND, 3 * SECOND])

    def test_stays_a_small_number_after_very_many_failures(self) -> None:
        self.assertEqual(exponential_delay(1, 1 << 40, 10_000), 1 << MAX_DOUBLINGS)

    def test_jitter_spreads_over_half_to_one_and_a_half_of_the_delay(self) -> None:
        self.assertEqual(with_jitter(SECOND, 0.0), 500 * MS)
        self.assertEqual(with_jitter(SECOND, 0.5), SECOND)
        self.assertLess(with_jitter(SECOND, 0.999999), 1500 * MS)
