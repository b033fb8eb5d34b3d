"""The decision on a request that arrives, and the reason of a rejection."""

import unittest

from oakkeel.admission.arrival_decision import Decision, RejectionDecision, RejectionReason
from oakkeel.admission.overload import Stage
from oakkeel.admission.types import Admission, Rejection, ShareStatus
from oakkeel.units import MS, SECOND
from tests.support.fake_host import FakeHost, make_request


class ArrivalDecisionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.host = FakeHost()
        self.controller = self.host.admission

    def decide(
        self, time_to_deadline: int = SECOND, share_status=ShareStatus.WITHIN_SHARE, **fields
    ) -> Decision:
        request = make_request(self.host.limits.request_classes[0], **fields)
        request.deadline = self.host.now + time_to_deadline
        request.objective_end = request.deadline
        request.share_status = share_status
        request.rank = 0.1
        return self.controller.arrivals.decide(self.host.now, request)

    def assert_rejected(self, decision: Decision, rejection: Rejection, reason: RejectionReason) -> None:
        self.assertEqual(decision, RejectionDecision(rejection, reason))

    def test_admits_a_request_beyond_its_share_on_an_idle_node(self):
        self.assertIs(self.decide(), Admission.QUEUE)
        self.assertIs(self.decide(share_status=ShareStatus.EXCEEDED), Admission.QUEUE)

    def test_rejects_after_the_deadline(self):
        self.assert_rejected(self.decide(time_to_deadline=0), Rejection.FINAL, RejectionReason.DEADLINE)

    def test_rejects_a_request_that_exceeds_the_memory(self):
        decision = self.decide(memory_kb=100_000)
        self.assert_rejected(decision, Rejection.RETRY_ON_OTHER_NODE, RejectionReason.MEMORY)

    def test_rejects_after_the_grace_period_of_a_drain(self):
        self.controller.drain(self.host.now, 10 * SECOND)
        self.host.now += 3 * SECOND
        self.assert_rejected(self.decide(), Rejection.RETRY_ON_OTHER_NODE, RejectionReason.DRAIN)

    def test_rejects_a_request_beyond_its_share_while_another_runs(self):
        self.host.arrive()
        decision = self.decide(share_status=ShareStatus.EXCEEDED)
        self.assert_rejected(decision, Rejection.FINAL, RejectionReason.SHARE)

    def test_rejects_every_request_without_a_reservation_at_stage_reject(self):
        self.controller.overload.latency_stage = Stage.REJECT
        self.assert_rejected(self.decide(), Rejection.RETRY_ON_OTHER_NODE, RejectionReason.STAGE)
        self.assertIs(self.decide(share_status=ShareStatus.RESERVED), Admission.QUEUE)

    def test_rejects_a_request_that_cannot_end_in_time_even_with_a_reservation(self):
        for share_status in ShareStatus:
            decision = self.decide(time_to_deadline=100 * MS, share_status=share_status)
            self.assert_rejected(decision, Rejection.RETRY_ON_OTHER_NODE, RejectionReason.FIT)

    def test_rejects_a_low_rank_from_reorder_on_and_delays_a_high_rank_at_backpressure(self):
        self.controller.overload.latency_stage = Stage.BACKPRESSURE
        self.assertIs(self.decide(), Admission.DELAY)
        self.controller.shedding.threshold = 0.9
        self.controller.overload.latency_stage = Stage.REORDER
        self.assert_rejected(self.decide(), Rejection.FINAL, RejectionReason.RANK)
        self.assertIs(self.decide(share_status=ShareStatus.RESERVED), Admission.QUEUE)
