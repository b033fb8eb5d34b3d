"""Timeouts and pauses of a connection."""

import unittest

from oakkeel.dispatch.timeouts import read_pause
from oakkeel.units import MS
from tests.support.node_request import RESOURCE_LIMITS

MAX_READ_SHARE = 0.05  # of the CPU time, for the reads of one connection


class ReadPauseTest(unittest.TestCase):
    def test_a_connection_that_always_has_bytes_gets_a_bounded_share_of_the_event_loop(self):
        for cpu_time in (MS // 10, MS, 50 * MS):
            pause = read_pause(cpu_time, False, RESOURCE_LIMITS)
            self.assertLessEqual(cpu_time / (cpu_time + pause), MAX_READ_SHARE)


if __name__ == "__main__":
    unittest.main()
