"""Tests of the summary of a target's requests in flight in a heartbeat."""

import unittest

from oakkeel.agent.instances import Instance, Phase
from oakkeel.agent.target_status import in_flight_summary
from oakkeel.control.messages import NodeStatus


def instance_with_open_requests(phase: Phase = Phase.DRAINING) -> Instance:
    report = NodeStatus(0, "n1", 1, 3, "draining", "", 0, queued=1, running=2, calling=1, connections=7)
    report.open_requests = 4
    report.open_by_class = {"quote": 3, "card": 1}
    return Instance("n1", "site", phase=phase, report=report)


class InFlightSummaryTest(unittest.TestCase):
    def test_a_draining_node_reports_its_requests_in_flight_by_state_and_class(self):
        self.assertEqual(
            in_flight_summary(instance_with_open_requests()),
            "4: 1 held, 2 running, 1 at calls on 7 connections; 1 card, 3 quote",
        )

    def test_summary_is_empty_for_a_node_that_does_not_drain_or_has_no_report(self):
        self.assertEqual(in_flight_summary(instance_with_open_requests(Phase.SERVING)), "")
        self.assertEqual(in_flight_summary(Instance("n1", "site", phase=Phase.DRAINING)), "")

    def test_summary_is_empty_once_no_request_is_open(self):
        instance = instance_with_open_requests()
        instance.report.open_requests = 0
        self.assertEqual(in_flight_summary(instance), "")


if __name__ == "__main__":
    unittest.main()
