"""The rate limit of the log: the lines per second, and the lines that count as repetitions."""

import unittest

from oakkeel.log import LineLimiter
from oakkeel.units import SECOND


class LineLimiterTest(unittest.TestCase):
    def setUp(self):
        self.now = 0
        self.limiter = LineLimiter(2, lambda: self.now)

    def test_admits_one_line_per_second_of_lines_that_differ_only_in_the_request_id(self):
        # Each request of a flood of malformed requests has a new ID: the flood must not hide other events.
        admitted = [
            self.limiter.admits("request_malformed", {"reason": "no class", "request_id": f"{number:016x}"})
            for number in range(9)
        ]
        self.assertEqual(admitted, [True] + [False] * 8)
        self.assertTrue(self.limiter.admits("request_malformed", {"reason": "a body", "request_id": "0"}))
        self.now = SECOND
        self.assertTrue(self.limiter.admits("request_malformed", {"reason": "no class", "request_id": "0"}))
        self.assertEqual(self.limiter.dropped_before, 8)

    def test_admits_no_more_lines_than_the_limit(self):
        self.assertEqual([self.limiter.admits(event, {}) for event in "abc"], [True, True, False])


if __name__ == "__main__":
    unittest.main()
