"""Deadlines of queued, running and calling requests."""

import unittest
from dataclasses import replace

from oakkeel.admission.deadline import (
    ANSWER_HEADROOM_NS,
    MIN_SERVICE_TIME_RATIO,
    STOP_HEADROOM_NS,
    answer_deadline,
    can_end_in_time,
    objective_end,
)
from oakkeel.admission.types import (
    DownstreamKind,
    RequestState,
)
from oakkeel.units import MS, SECOND
from tests.support.fake_host import REQUEST_CLASS, FakeHost, make_request


class DeadlineTest(unittest.TestCase):
    def test_answers_queued_running_and_calling_requests_before_their_deadline(self):
        host = FakeHost(request_classes=[{}], downstream=DownstreamKind.TIER)
        requests = [host.arrive(remaining_time=1500 * MS) for _ in range(9)]
        host.need_call(requests[0])
        host.run_until(host.now + 1490 * MS)
        for request in requests:
            self.assertEqual(sum(action in ("reject", "fail") for action in host.actions_on(request)), 1)
        self.assertIn("cancel", host.actions_on(requests[1]))

    def test_rejects_a_queued_request_that_waited_too_long(self):
        # Otherwise requests of low rank would start with too little time left and time out.
        host = FakeHost()
        requests = [host.arrive() for _ in range(7)]
        queued = host.in_state(requests, RequestState.QUEUED)
        host.run_until(host.now + 1900 * MS)
        host.finish(host.in_state(requests, RequestState.RUNNING)[0])
        self.assertEqual(len(queued), 2)
        self.assertEqual([host.actions_on(request) for request in queued], [["reject"], ["reject"]])

    def test_rejects_a_request_past_its_deadline(self):
        host = FakeHost()
        self.assertEqual(
            host.actions_on(host.arrive(queueing_delay=3 * SECOND, remaining_time=2 * SECOND)), ["reject"]
        )

    def test_deadline_is_the_end_of_the_objective_if_a_late_answer_has_no_weight(self):
        for late_weight, expected in ((0.0, 2 * SECOND), (0.5, 5 * SECOND - ANSWER_HEADROOM_NS)):
            request = make_request(replace(REQUEST_CLASS, late_weight=late_weight))
            request.objective_end = objective_end(0, request)
            self.assertEqual(answer_deadline(0, request, 0), expected)

    def test_deadline_is_before_the_stop_of_a_drain(self):
        request = make_request()
        request.objective_end = objective_end(0, request)
        self.assertEqual(answer_deadline(0, request, SECOND), SECOND - STOP_HEADROOM_NS)

    def test_can_end_in_time_while_seven_tenths_of_the_service_time_fit(self):
        request = make_request(objective_end=SECOND, deadline=SECOND)
        service_time = SECOND / MIN_SERVICE_TIME_RATIO
        self.assertTrue(can_end_in_time(-1, request, service_time))
        self.assertFalse(can_end_in_time(1, request, service_time))


if __name__ == "__main__":
    unittest.main()
