"""Downstream calls: quota, circuit breaker, optional calls."""

import unittest

from oakkeel.admission.types import DownstreamKind, Outcome, RequestState, StopKind
from oakkeel.units import MS, SECOND
from tests.support.fake_host import FakeHost


class DownstreamCallsTest(unittest.TestCase):
    def test_keeps_the_downstream_quota_over_a_long_window(self):
        host = FakeHost(
            request_classes=[{}],
            downstream=DownstreamKind.SHARED,
            downstream_quota=0.2,
            downstream_window=20 * SECOND,
        )
        spent = 0
        for _ in range(120):
            request = host.arrive()
            host.need_call(request)
            if request.state is RequestState.CALLING:
                started = host.now
                host.run_until(host.now + 300 * MS)
                spent += host.now - started
                host.finish_call(request, Outcome.COMPLETED)
                host.finish(request)
            host.run_until(host.now + 100 * MS)
        self.assertLess(spent, 0.2 * max(host.now - SECOND, host.limits.downstream_window))

    def test_bounds_calls_in_flight_by_a_quota_below_one(self):
        host = FakeHost(
            request_classes=[{}],
            downstream=DownstreamKind.SHARED,
            downstream_quota=0.4,
            stop_kind=StopKind.SUSPEND,
        )
        spent = 0
        for _ in range(100):
            request = host.arrive()
            host.need_call(request)
            started = host.now
            host.run_until(host.now + 300 * MS)
            if request.state is RequestState.CALLING:
                spent += host.now - started
                host.finish_call(request, Outcome.COMPLETED)
                host.finish(request)
        self.assertLessEqual(host.admission.occupancy.count[RequestState.CALLING], 1)
        self.assertGreater(spent, 0)
        self.assertLess(spent / (host.now - SECOND), 0.4)

    def test_opens_the_circuit_breaker_until_a_single_half_open_probe(self):
        host = FakeHost(request_classes=[{"degraded_weight": 0.5}], downstream=DownstreamKind.TIER)
        for _ in range(8):
            request = host.arrive()
            host.need_call(request)
            host.finish_call(request, Outcome.ERROR)
            host.finish(request)
        self.assertEqual(sum(action[0] == "call" for action in host.actions), 5)
        host.run_until(host.now + 1100 * MS)
        pair = [host.arrive(), host.arrive()]
        for request in pair:
            host.need_call(request)
        self.assertEqual(sum(action[0] == "call" for action in host.actions), 6)

    def test_waits_for_room_before_it_skips_a_call(self):
        # Leaving calls out at the first full moment gave up half the benefit for a wait of milliseconds.
        host = FakeHost(
            request_classes=[{"degraded_weight": 0.5}], downstream=DownstreamKind.SHARED, downstream_quota=1
        )
        first, second = host.arrive(), host.arrive()
        host.need_call(first)
        host.need_call(second)
        self.assertEqual(host.actions_on(second), ["run"])
        host.run_until(host.now + 400 * MS)
        self.assertEqual(host.actions_on(second), ["run", "skip_call"])

    def test_ends_a_call_in_time_to_go_on_without_it(self):
        # Calls through a dead dispatcher hung until nothing could be done in time without them.
        host = FakeHost(request_classes=[{"degraded_weight": 0.5}], downstream=DownstreamKind.TIER)
        request = host.arrive()
        host.need_call(request)
        until = next(action[2] for action in host.actions if action[0] == "call")
        self.assertLess(until, request.objective_end - 200 * MS)
        host.run_until(until)
        host.finish_call(request, Outcome.TIMED_OUT)
        self.assertEqual(host.actions_on(request), ["run", "call", "skip_call"])
