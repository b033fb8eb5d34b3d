"""Orders over many agents, tracked until their result."""

import unittest

from oakkeel.agent import messages
from oakkeel.fleet.order_tracking import OrderSpec, OrderTracker, Result
from oakkeel.fleet.view import FleetView
from oakkeel.units import SECOND
from tests.fleet.builders import fleet_of, host_status


def order_status(name: str, state: str, ident: str = "o1") -> messages.OrderStatus:
    return messages.OrderStatus(ident, "asha", "stop", 0, [messages.TaskStatus(name, state, 0, "")])


class OrderTrackerTest(unittest.TestCase):
    def setUp(self) -> None:
        view = FleetView(fleet_of(3, 1))
        view.update("h0", SECOND, host_status("h0", instance_numbers=(0,)))
        view.update("h1", SECOND, host_status("h1", instance_numbers=(0,)))
        self.tracker = OrderTracker(OrderSpec("o1", "stop", 60 * SECOND), view.rows(SECOND))

    def test_gives_each_instance_one_outcome_and_sends_no_order_for_unreported_ones(self):
        tracker = self.tracker
        self.assertEqual(
            {host: request.instances for host, request in tracker.requests().items()},
            {"h0": [("n00", 4)], "h1": [("n10", 4)]},
        )
        tracker.record_response("h0", order_status("n00", "waiting"))
        tracker.record_response("h1", messages.ErrorResponse("not taken, as it can't be kept"))
        self.assertEqual((tracker.is_finished, tracker.hosts_to_poll()), (False, ["h0"]))
        tracker.record_response("h0", messages.OrderList([order_status("n00", "done")]))
        self.assertEqual(
            {task.instance: task.state for task in tracker.tasks.values()},
            {"n00": "done", "n10": "refused", "n20": "not ordered"},
        )
        self.assertIs(tracker.result(True), Result.SOME_SILENT)

    def test_ignores_outdated_statuses_and_those_of_other_orders_and_hosts(self):
        tracker = self.tracker
        tracker.record_response("h0", order_status("n00", "done"))
        tracker.record_response("h0", order_status("n00", "acting"))
        tracker.record_response("h0", order_status("n00", "failed", ident="o0"))
        tracker.record_response("h1", order_status("n00", "failed"))
        self.assertEqual(tracker.tasks["n00"].state, "done")

    def test_a_task_without_response_is_unknown_until_the_agent_reports(self):
        tracker = self.tracker
        tracker.record_response("h0", order_status("n00", "done"))
        tracker.record_no_response("h1", "did not answer")
        self.assertEqual(
            (tracker.tasks["n10"].state, tracker.result(True)), ("not known", Result.SOME_SILENT)
        )
        self.assertEqual(tracker.hosts_to_poll(), ["h1"])
        tracker.record_response("h1", messages.OrderList([order_status("n10", "failed")]))
        del tracker.tasks["n20"]
        self.assertIs(tracker.result(True), Result.SOME_FAILED)

    def test_an_open_task_counts_as_done_for_a_sender_that_does_not_wait(self):
        tracker = self.tracker
        del tracker.tasks["n20"]
        tracker.record_response("h0", order_status("n00", "acting"))
        tracker.record_response("h1", order_status("n10", "waiting"))
        self.assertEqual((tracker.result(False), tracker.result(True)), (Result.DONE, Result.SOME_FAILED))
