"""Processes of the engine, told apart by their start time."""

import unittest

from oakkeel.engine.restarts import EngineProcess, Greeting
from oakkeel.units import SECOND

MARGIN = SECOND


class EngineProcessTest(unittest.TestCase):
    def test_tells_a_restart_from_a_later_greeting_of_the_same_process(self):
        process = EngineProcess(MARGIN)
        self.assertFalse(process.has_greeted)
        # The process started at 40 s.
        self.assertIs(process.greet(100 * SECOND, 100 * SECOND, 60 * SECOND), Greeting.FIRST)
        self.assertTrue(process.has_greeted)
        self.assertIs(process.greet(110 * SECOND, 110 * SECOND, 70 * SECOND), Greeting.SAME_PROCESS)
        self.assertIs(process.greet(120 * SECOND, 120 * SECOND, 5 * SECOND), Greeting.RESTARTED)
        self.assertIs(process.greet(130 * SECOND, 130 * SECOND, 15 * SECOND), Greeting.SAME_PROCESS)

    def test_a_greeting_that_comes_late_is_no_restart(self):
        # The age is that of the ATTACH, and the greeting was read five seconds later.
        process = EngineProcess(MARGIN)
        process.greet(100 * SECOND, 100 * SECOND, 60 * SECOND)
        self.assertIs(process.greet(115 * SECOND, 110 * SECOND, 70 * SECOND), Greeting.SAME_PROCESS)

    def test_the_first_restart_after_a_late_first_greeting_is_seen(self):
        # The first greeting was read ten seconds late; the second shows that the process started at 40 s.
        process = EngineProcess(MARGIN)
        process.greet(110 * SECOND, 100 * SECOND, 60 * SECOND)
        self.assertIs(process.greet(120 * SECOND, 120 * SECOND, 80 * SECOND), Greeting.SAME_PROCESS)
        self.assertIs(process.greet(130 * SECOND, 130 * SECOND, 85 * SECOND), Greeting.RESTARTED)


if __name__ == "__main__":
    unittest.main()
