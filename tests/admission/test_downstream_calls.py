"""Downstream calls: quota, circuit breaker, optional calls."""

import unittest
from dataclasses import replace

from oakkeel.admission.downstream_calls import MAX_CALL_ATTEMPTS, FailedCallStep, step_after_failed_call
from oakkeel.admission.types import DownstreamKind, Idempotency, Outcome, RequestState, StopKind
from oakkeel.units import MS, SECOND
from tests.support.fake_host import REQUEST_CLASS, FakeHost, make_request


class DownstreamCallsTest(unittest.TestCase):
    def test_keeps_the_downstream_quota_over_a_long_window(self):
        host = FakeHost(
            request_classes=[{}],
            downstream=DownstreamKind.SHARED,
            downstream_quota=0.2,
            downstream_window=20 * SECOND,
        )
        call_time = 0
        for _ in range(120):
            request = host.arrive()
            host.need_call(request)
            if request.state is RequestState.CALLING:
                started_at = host.now
                host.run_until(host.now + 300 * MS)
                call_time += host.now - started_at
                host.finish_call(request, Outcome.COMPLETED)
                host.finish(request)
            host.run_until(host.now + 100 * MS)
        self.assertLess(call_time, 0.2 * max(host.now - SECOND, host.limits.downstream_window))

    def test_bounds_calls_in_flight_by_a_quota_below_one(self):
        host = FakeHost(
            request_classes=[{}],
            downstream=DownstreamKind.SHARED,
            downstream_quota=0.4,
            stop_kind=StopKind.SUSPEND,
        )
        call_time = 0
        for _ in range(100):
            request = host.arrive()
            host.need_call(request)
            started_at = host.now
            host.run_until(host.now + 300 * MS)
            if request.state is RequestState.CALLING:
                call_time += host.now - started_at
                host.finish_call(request, Outcome.COMPLETED)
                host.finish(request)
        self.assertLessEqual(host.admission.occupancy.counts[RequestState.CALLING], 1)
        self.assertGreater(call_time, 0)
        self.assertLess(call_time / (host.now - SECOND), 0.4)

    def test_opens_the_circuit_breaker_until_a_single_half_open_probe(self):
        host = FakeHost(request_classes=[{"degraded_weight": 0.5}], downstream=DownstreamKind.TIER)
        for _ in range(8):
            request = host.arrive()
            host.need_call(request)
            host.finish_call(request, Outcome.ERROR)
            host.finish(request)
        self.assertEqual(sum(action[0] == "call" for action in host.actions), 5)
        host.run_until(host.now + 1100 * MS)
        requests = [host.arrive(), host.arrive()]
        for request in requests:
            host.need_call(request)
        self.assertEqual(sum(action[0] == "call" for action in host.actions), 6)

    def test_waits_for_the_quota_before_it_skips_a_call(self):
        # The quota is often free again within milliseconds, and a skipped call costs half of the weight.
        host = FakeHost(
            request_classes=[{"degraded_weight": 0.5}], downstream=DownstreamKind.SHARED, downstream_quota=1
        )
        first, second = host.arrive(), host.arrive()
        host.need_call(first)
        host.need_call(second)
        self.assertEqual(host.actions_on(second), ["run"])
        host.run_until(host.now + 400 * MS)
        self.assertEqual(host.actions_on(second), ["run", "skip_call"])

    def test_ends_an_optional_call_early_enough_for_the_run_to_complete_without_its_result(self):
        # A call that hangs must end early enough for the run to complete without its result.
        host = FakeHost(request_classes=[{"degraded_weight": 0.5}], downstream=DownstreamKind.TIER)
        request = host.arrive()
        host.need_call(request)
        call_end = next(action[2] for action in host.actions if action[0] == "call")
        self.assertLess(call_end, request.objective_end - 200 * MS)
        host.run_until(call_end)
        host.finish_call(request, Outcome.TIMED_OUT)
        self.assertEqual(host.actions_on(request), ["run", "call", "skip_call"])

    def test_repeats_a_call_of_a_non_idempotent_request_only_if_the_call_never_ran(self):
        for outcome, call_count in ((Outcome.CONNECT_FAILED, 2), (Outcome.RESET, 1)):
            host = FakeHost(
                request_classes=[{"idempotency": Idempotency.NON_IDEMPOTENT}], downstream=DownstreamKind.TIER
            )
            request = host.arrive()
            host.need_call(request)
            host.finish_call(request, outcome)
            self.assertEqual(host.actions_on(request).count("call"), call_count)

    def test_repeats_an_optional_call_only_where_its_link_failed(self):
        for outcome, expected in (
            (Outcome.RESET, "call"),
            (Outcome.CONNECT_FAILED, "call"),
            (Outcome.REJECTED, "skip_call"),
            (Outcome.TIMED_OUT, "skip_call"),
        ):
            host = FakeHost(request_classes=[{"degraded_weight": 0.5}], downstream=DownstreamKind.TIER)
            request = host.arrive()
            host.need_call(request)
            host.finish_call(request, outcome)
            self.assertEqual(host.actions_on(request)[2:], [expected])

    def test_a_reply_that_may_be_lost_is_never_given_again(self):
        # The run may have received it and may wait for its next call.
        for fields, expected in (
            ({"degraded_weight": 0.5}, ["skip_call"]),
            ({"degraded_weight": 0.5, "idempotency": Idempotency.NON_IDEMPOTENT}, ["skip_call"]),
            ({"idempotency": Idempotency.IDEMPOTENT}, ["reject", "cancel"]),
            ({"idempotency": Idempotency.IDEMPOTENCY_KEY}, []),
            ({"idempotency": Idempotency.NON_IDEMPOTENT}, []),
        ):
            host = FakeHost(request_classes=[fields], downstream=DownstreamKind.TIER)
            request = host.arrive()
            host.need_call(request)
            host.finish_call(request, Outcome.COMPLETED)
            host.admission.call_reply_uncertain(host.now, request)
            self.assertEqual(host.actions_on(request)[2:], expected)

    def test_a_request_that_is_answered_ignores_a_reply_that_may_be_lost(self):
        host = FakeHost(request_classes=[{"degraded_weight": 0.5}], downstream=DownstreamKind.TIER)
        request = host.arrive()
        host.need_call(request)
        host.finish_call(request, Outcome.COMPLETED)
        host.admission.client_disconnected(host.now, request)
        actions = host.actions_on(request)
        host.admission.call_reply_uncertain(host.now, request)
        self.assertEqual(host.actions_on(request), actions)

    def test_fails_the_request_after_the_maximum_of_call_attempts(self):
        request = make_request(failed_calls=MAX_CALL_ATTEMPTS - 1)
        self.assertIs(step_after_failed_call(request, Outcome.RESET), FailedCallStep.RETRY)
        request.failed_calls += 1
        self.assertIs(step_after_failed_call(request, Outcome.RESET), FailedCallStep.FAIL)

    def test_skips_an_optional_call_after_the_maximum_of_attempts(self):
        request = make_request(replace(REQUEST_CLASS, degraded_weight=0.5), failed_calls=MAX_CALL_ATTEMPTS)
        self.assertIs(step_after_failed_call(request, Outcome.RESET), FailedCallStep.SKIP)


if __name__ == "__main__":
    unittest.main()
