"""Commands to the engine that may be lost with the connection, without a connection."""

import unittest
from dataclasses import replace

from oakkeel.admission.types import Idempotency
from oakkeel.engine.commands import Command, LossEffect, UnconfirmedCommands
from oakkeel.engine.verbs import FEED, RUN, STAT
from oakkeel.units import MS, SECOND
from tests.support.fake_host import REQUEST_CLASS
from tests.support.node_request import RESOURCE_LIMITS, node_request

AT_MOST_ONCE_CLASS = replace(REQUEST_CLASS, idempotency=Idempotency.NON_IDEMPOTENT)

LOSS_WINDOW = 50 * MS  # the engine may lose the commands of this time before a loss of the link
READ_AT = 10 * SECOND


def gauge_request() -> Command:
    return Command(b"STAT 1", None, STAT, is_written=True)


class LossWindowTest(unittest.TestCase):
    def setUp(self) -> None:
        self.unconfirmed = UnconfirmedCommands(RESOURCE_LIMITS)
        self.feed = Command(b"FEED x 0", node_request(), FEED, is_written=True)
        self.unconfirmed.add(self.feed)
        self.add_gauges(READ_AT - MS, READ_AT)  # the engine had read the FEED by then

    def add_gauges(self, sent_at: int, answered_at: int) -> None:
        marker = gauge_request()
        self.unconfirmed.add(marker)
        self.unconfirmed.confirm(marker, sent_at, answered_at)

    def test_a_command_can_be_lost_until_the_engine_has_read_another_a_loss_window_later(self):
        self.add_gauges(READ_AT + LOSS_WINDOW - 1, READ_AT + SECOND)  # its answer was read late
        self.assertIn(self.feed, self.unconfirmed.commands)

    def test_a_command_is_safe_a_loss_window_after_the_engine_has_read_it(self):
        # Without it, a reply that the run has received would count as lost, and its call would be skipped.
        self.add_gauges(READ_AT + LOSS_WINDOW, READ_AT + LOSS_WINDOW + MS)
        self.assertNotIn(self.feed, self.unconfirmed.commands)


class UncertainRunTest(unittest.TestCase):
    def test_a_run_that_may_be_lost_is_kept_at_the_limit_of_commands(self):
        # Dropped, a lost run of an at-most-once request would count as running for good.
        unconfirmed = UnconfirmedCommands(RESOURCE_LIMITS)
        request = node_request(request_class=AT_MOST_ONCE_CLASS)
        request.in_engine = True
        run = Command(b"RUN x c 0", request, RUN, is_written=True)
        self.assertIs(run.loss_effect(), LossEffect.UNCERTAIN)
        unconfirmed.add(run)
        for _ in range(RESOURCE_LIMITS.max_unconfirmed_commands):
            unconfirmed.add(Command(b"HALT y", node_request(), RUN, is_written=True))
        unconfirmed.prepare_resend()
        self.assertIn(request, unconfirmed.uncertain_runs)


if __name__ == "__main__":
    unittest.main()
