"""Limits of one node: memory, slow start, and the run limit while requests wait to be parsed."""

import unittest

from oakkeel.admission.types import DownstreamKind, Outcome, RequestState
from oakkeel.units import MS, SECOND
from tests.support.fake_host import FakeHost


class ConcurrencyTest(unittest.TestCase):
    def test_bounds_queue_and_runs_by_memory(self):
        host = FakeHost(memory_kb=2000)
        requests = [host.arrive() for _ in range(30)]
        self.assertLessEqual(len(host.in_state(requests, RequestState.RUNNING)), 4)
        self.assertLessEqual(host.admission.occupancy.memory_kb, 2000)

    def test_bounds_duplicates_of_a_hot_key_by_memory(self):
        host = FakeHost(cache_ttl=SECOND, memory_kb=2000)
        host.arrive(has_key=True)
        duplicates = [host.arrive(has_key=True, is_duplicate=True) for _ in range(60)]
        self.assertLessEqual(host.admission.occupancy.memory_kb, 2000)
        self.assertIn("reject", host.actions_on(duplicates[-1]))

    def test_bounds_runs_and_calls_of_a_cold_node_by_its_slow_start(self):
        host = FakeHost(
            request_classes=[{}], downstream=DownstreamKind.TIER, starts_cold=True, overload_multiple=2
        )
        requests = [host.arrive() for _ in range(40)]
        for request in requests:
            host.need_call(request)
        self.assertLess(
            host.admission.occupancy.counts[RequestState.CALLING]
            + host.admission.occupancy.counts[RequestState.RUNNING],
            1.25 * host.limits.cores,
        )

    def test_runs_fewer_requests_while_there_is_a_parsing_backlog(self):
        host = FakeHost()
        host.gauges.run_queue = 4
        host.run_until(2 * SECOND)
        requests = [host.arrive() for _ in range(8)]
        self.assertLess(len(host.in_state(requests, RequestState.RUNNING)), host.limits.cores)

    def test_starts_no_run_while_arrivals_are_stale(self):
        # Runs would delay the parsing until every request is too old, and the backlog would never clear.
        host = FakeHost()
        host.gauges.run_queue = 4
        host.run_until(2 * SECOND)
        stale_request = host.arrive(queueing_delay=800 * MS)
        self.assertEqual(host.actions_on(stale_request), [])
        host.arrive()
        self.assertEqual(host.actions_on(stale_request), ["run"])

    def test_lets_no_rejected_client_retry_elsewhere_while_the_parsing_backlog_is_large(self):
        host = FakeHost()
        host.gauges.run_queue = 8
        host.run_until(3 * SECOND)
        host.arrive(remaining_time=100 * MS)
        self.assertEqual([action[2] for action in host.actions if action[0] == "reject"], [True])

    def test_rejects_early_while_no_run_completes_and_probes_later(self):
        # While no run completes, timed-out runs must count as service times, which then decay.
        host = FakeHost()
        requests = [host.arrive() for _ in range(4)]
        host.run_until(host.now + 2 * SECOND)
        for request in host.in_state(requests, RequestState.ORPHANED):
            host.finish(request, Outcome.CANCELLED)
        host.run_until(host.now + SECOND)
        self.assertEqual(host.actions_on(host.arrive(queueing_delay=800 * MS)), ["reject"])
        host.run_until(host.now + 15 * SECOND)
        self.assertEqual(host.actions_on(host.arrive(queueing_delay=800 * MS)), ["run"])
