"""The decisions of one node: one test for each rule and each failure met."""

import unittest

from oakkeel.admission import MS, SECOND
from oakkeel.admission.load_report import CLIENTS_MOST
from oakkeel.admission.overload import Stage, next_stage
from oakkeel.admission.types import (
    DownstreamKind,
    Gauges,
    Idempotency,
    LoadReportKind,
    Outcome,
    RequestState,
    StopKind,
)
from tests.support.fake_host import FakeHost


class OverloadTest(unittest.TestCase):
    def test_runs_a_request_at_once_on_an_idle_node(self):
        host = FakeHost()
        self.assertEqual(host.actions_on(host.arrive()), ["run"])

    def test_stages_have_hysteresis(self):
        row = (0.7, 0.8, 0.85, 0.9, 0.95)
        self.assertEqual(next_stage(Stage.NORMAL, 0.9, row, 0.05), Stage.BACKPRESSURE)
        self.assertEqual(next_stage(Stage.BACKPRESSURE, 0.86, row, 0.05), Stage.BACKPRESSURE)
        self.assertEqual(next_stage(Stage.BACKPRESSURE, 0.84, row, 0.05), Stage.REORDER)
        self.assertEqual(next_stage(Stage.REJECT, 0.1, row, 0.05), Stage.NORMAL)

    def test_rejects_a_flood_on_arrival_with_retry_after_and_bounds_runs(self):
        host = FakeHost()
        flood = [host.arrive() for _ in range(60)]
        rejections = [action for action in host.actions if action[0] == "reject"]
        self.assertGreater(len(rejections), 20)
        self.assertTrue(all(0 < action[3] <= SECOND for action in rejections))
        self.assertLessEqual(len(host.in_state(flood, RequestState.RUNNING)), 2 * host.limits.cores)

    def test_rejects_nothing_by_cpu_alone_while_the_cores_have_room(self):
        host = FakeHost()
        host.gauges.core_busy = 1.0
        host.run_until(3 * SECOND)
        self.assertEqual(host.actions_on(host.arrive()), ["run"])

    def test_sheds_low_priority_weight_first(self):
        host = FakeHost(request_classes=[{"priority_weight": 1}, {"priority_weight": 5}])
        requests = []
        for _ in range(100):
            requests += [host.arrive(0), host.arrive(1)]
            running = host.in_state(requests, RequestState.RUNNING)
            if len(running) > 3:
                host.finish(running[0])
            host.run_until(host.now + 100 * MS)
        rejected = [
            sum(host.actions_on(request) == ["reject"] for request in requests[group::2]) for group in (0, 1)
        ]
        self.assertGreater(rejected[0], 2 * rejected[1])

    def test_lets_low_rank_try_elsewhere_until_many_retries_arrive(self):
        # Behind clients that choose by subject one node was full while others had room.
        for retries_in_ten, elsewhere in ((0, True), (4, False)):
            host = FakeHost()
            requests = []
            for number in range(200):
                requests.append(host.arrive(retry_attempt=number % 10 < retries_in_ten))
                while (
                    len(open_ones := host.in_state(requests, RequestState.QUEUED, RequestState.RUNNING)) > 8
                ):
                    host.finish(host.in_state(open_ones, RequestState.RUNNING)[0])
                host.run_until(host.now + 20 * MS)
            final = [
                action[2] for action in host.actions if action[0] == "reject" and not action[1].retry_attempt
            ]
            self.assertGreater(len(final), 10)
            self.assertEqual(sum(final) < len(final) / 4, elsewhere)

    def test_ranks_a_tenant_over_its_allowance_below_the_others(self):
        host = FakeHost(tenants=[5.0, 50.0])
        for _ in range(300):
            host.finish(host.arrive(tenant=0))
            host.finish(host.arrive(tenant=1))
            host.run_until(host.now + 20 * MS)
        over_allowance, within_allowance = host.admission.ranking.ranks[0]
        self.assertLess(over_allowance[0], within_allowance[0])


class DeadlineTest(unittest.TestCase):
    def test_answers_queued_running_and_calling_requests_before_their_deadline(self):
        host = FakeHost(request_classes=[{}], downstream=DownstreamKind.TIER)
        requests = [host.arrive(remaining_time=1500 * MS) for _ in range(9)]
        host.need_call(requests[0])
        host.run_until(host.now + 1490 * MS)
        for request in requests:
            self.assertEqual(sum(expected in ("reject", "fail") for expected in host.actions_on(request)), 1)
        self.assertIn("cancel", host.actions_on(requests[1]))

    def test_rejects_a_queued_request_that_waited_too_long(self):
        # Low ranks started with too little time left: a fifth of the runs was given up.
        host = FakeHost()
        requests = [host.arrive() for _ in range(7)]
        queued = host.in_state(requests, RequestState.QUEUED)
        host.run_until(host.now + 1900 * MS)
        host.finish(host.in_state(requests, RequestState.RUNNING)[0])
        self.assertEqual(len(queued), 2)
        self.assertEqual([host.actions_on(request) for request in queued], [["reject"], ["reject"]])

    def test_rejects_request_past_its_deadline(self):
        host = FakeHost()
        self.assertEqual(
            host.actions_on(host.arrive(queueing_delay=3 * SECOND, remaining_time=2 * SECOND)), ["reject"]
        )

    def test_cancels_the_run_of_a_disconnected_client_without_an_answer(self):
        host = FakeHost()
        request = host.arrive()
        host.admission.client_disconnected(host.now, request)
        host.finish(request, Outcome.CANCELLED)
        self.assertEqual(
            (host.actions_on(request), request.state), (["run", "cancel"], RequestState.FINISHED)
        )

    def test_ignores_events_for_a_finished_request(self):
        host = FakeHost()
        request = host.arrive()
        host.finish(request)
        host.finish(request, Outcome.NEVER_STARTED)
        host.need_call(request)
        host.finish_call(request, Outcome.COMPLETED)
        host.admission.client_disconnected(host.now, request)
        self.assertEqual(host.actions_on(request), ["run"])


class IdempotencyTest(unittest.TestCase):
    def test_coalesces_a_duplicate_of_a_request_with_an_idempotency_key(self):
        host = FakeHost(request_classes=[{"idempotency": Idempotency.IDEMPOTENCY_KEY}])
        first = host.arrive(has_key=True)
        again = host.arrive(has_key=True, is_duplicate=True)
        self.assertEqual(
            (host.actions_on(first), host.actions_on(again)), (["retain_key", "run"], ["coalesce"])
        )

    def test_fails_a_non_idempotent_request_that_ran_and_never_reruns_it(self):
        host = FakeHost(request_classes=[{"idempotency": Idempotency.NON_IDEMPOTENT}])
        request = host.arrive(remaining_time=SECOND)
        host.run_until(host.now + 2 * SECOND)
        host.finish(request, Outcome.CANCELLED)
        self.assertEqual(host.actions_on(request), ["run", "fail", "cancel"])

    def test_repeats_the_call_of_a_non_idempotent_request_only_if_it_never_ran(self):
        for outcome, calls in ((Outcome.CONNECT_FAILED, 2), (Outcome.RESET, 1)):
            host = FakeHost(
                request_classes=[{"idempotency": Idempotency.NON_IDEMPOTENT}], downstream=DownstreamKind.TIER
            )
            request = host.arrive()
            host.need_call(request)
            host.finish_call(request, outcome)
            self.assertEqual(host.actions_on(request).count("call"), calls)

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

    def test_coalesces_reads_within_the_cache_ttl(self):
        host = FakeHost(cache_ttl=SECOND)
        host.arrive(has_key=True)
        self.assertEqual(host.actions_on(host.arrive(has_key=True, is_duplicate=True)), ["coalesce"])


class RetryAfterTest(unittest.TestCase):
    def test_shortens_retry_after_in_a_small_fleet(self):
        # With two nodes nobody else takes what stays away: the retry times of both left the cores idle.
        retry_after = {}
        for peers in (2, 20):
            host = FakeHost(peers=peers)
            host.gauges = Gauges(run_queue=50)  # its reading places are full
            host.run_until(host.now + SECOND)
            requests = [host.arrive() for _ in range(40)]
            rejected = [action for action in host.actions if action[0] == "reject"]
            self.assertTrue(rejected and len(rejected) < len(requests))
            retry_after[peers] = rejected[-1][3]
        self.assertEqual(retry_after[20], 500 * MS)
        self.assertLess(retry_after[2], 200 * MS)


class DrainTest(unittest.TestCase):
    def test_rejects_after_the_grace_and_answers_all_before_the_stop(self):
        host = FakeHost(request_classes=[{"latency_objective": 4 * SECOND}])
        request = host.arrive()
        stop = host.now + 3 * SECOND
        host.admission.drain(host.now, 3 * SECOND)
        late_read = host.arrive(queueing_delay=100 * MS)
        host.run_until(host.now + 2100 * MS)
        self.assertEqual(host.actions_on(host.arrive()), ["reject"])
        host.run_until(stop - MS)
        self.assertIn("reject", host.actions_on(request))
        self.assertIn("reject", host.actions_on(late_read))
        self.assertIn(("set_health", False, True), host.actions)


class LimitsTest(unittest.TestCase):
    def test_bounds_queue_and_runs_by_memory(self):
        host = FakeHost(memory_kb=2000)
        requests = [host.arrive() for _ in range(30)]
        self.assertLessEqual(len(host.in_state(requests, RequestState.RUNNING)), 4)
        self.assertLessEqual(host.admission.occupancy.memory_kb, 2000)

    def test_bounds_duplicates_of_a_hot_key_by_memory(self):
        host = FakeHost(cache_ttl=SECOND, memory_kb=2000)
        host.arrive(has_key=True)
        repeats = [host.arrive(has_key=True, is_duplicate=True) for _ in range(60)]
        self.assertLessEqual(host.admission.occupancy.memory_kb, 2000)
        self.assertIn("reject", host.actions_on(repeats[-1]))

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

    def test_bounds_runs_and_calls_of_a_cold_node_by_its_slow_start(self):
        host = FakeHost(
            request_classes=[{}], downstream=DownstreamKind.TIER, starts_cold=True, overload_multiple=2
        )
        requests = [host.arrive() for _ in range(40)]
        for request in requests:
            host.need_call(request)
        self.assertLess(
            host.admission.occupancy.count[RequestState.CALLING]
            + host.admission.occupancy.count[RequestState.RUNNING],
            1.25 * host.limits.cores,
        )

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

    def test_runs_fewer_while_it_reads(self):
        host = FakeHost()
        host.gauges.run_queue = 4
        host.run_until(2 * SECOND)
        requests = [host.arrive() for _ in range(8)]
        self.assertLess(len(host.in_state(requests, RequestState.RUNNING)), host.limits.cores)

    def test_reads_first_while_arrivals_are_stale(self):
        # In a jam one run beside the reading made all that was read too old; no node came out of it.
        host = FakeHost()
        host.gauges.run_queue = 4
        host.run_until(2 * SECOND)
        old = host.arrive(queueing_delay=800 * MS)
        self.assertEqual(host.actions_on(old), [])
        host.arrive()
        self.assertEqual(host.actions_on(old), ["run"])

    def test_rejects_finally_while_crowded_by_reading(self):
        host = FakeHost()
        host.gauges.run_queue = 8
        host.run_until(3 * SECOND)
        host.arrive(remaining_time=100 * MS)
        self.assertEqual([action[2] for action in host.actions if action[0] == "reject"], [True])

    def test_rejects_early_when_stuck_and_probes_again(self):
        # On a node slowed many times nothing completed, so it went on to take work that it gave up.
        host = FakeHost()
        wave = [host.arrive() for _ in range(4)]
        host.run_until(host.now + 2 * SECOND)
        for request in host.in_state(wave, RequestState.ORPHANED):
            host.finish(request, Outcome.CANCELLED)
        host.run_until(host.now + SECOND)
        self.assertEqual(host.actions_on(host.arrive(queueing_delay=800 * MS)), ["reject"])
        host.run_until(host.now + 15 * SECOND)
        self.assertEqual(host.actions_on(host.arrive(queueing_delay=800 * MS)), ["run"])

    def test_reports_unhealthy_while_it_reads_too_late(self):
        # Slowed nodes went on getting requests that waited unread until their clients gave up.
        host = FakeHost()
        for _ in range(10):
            host.arrive(queueing_delay=1900 * MS)
        host.run_until(host.now + SECOND)
        self.assertEqual(
            [action[1:] for action in host.actions if action[0] == "set_health"][-1], (False, True)
        )
        host.run_until(host.now + 8 * SECOND)
        self.assertEqual(
            [action[1:] for action in host.actions if action[0] == "set_health"][-1], (True, True)
        )

    def idle_time(self, clients: int, reading: float = 0) -> int:
        host = FakeHost()
        host.gauges.connections, host.gauges.run_queue = 60, reading
        for number in range(100):
            host.finish(host.arrive(client=number % clients))
            host.run_until(host.now + 100 * MS)
        return [action[1] for action in host.actions if action[0] == "close_idle"][-1]

    def test_keeps_idle_connections_for_clients_that_return(self):
        # Hundreds of clients that seldom return filled the tables; the others got no connection.
        self.assertGreater(self.idle_time(clients=5), 400 * MS)
        self.assertLess(self.idle_time(clients=100), 100 * MS)

    def test_remembers_the_clients_last_seen(self):
        host = FakeHost()
        for number in range(CLIENTS_MOST + 100):
            host.arrive(client=number)
        self.assertEqual(list(host.admission.returns.last_seen), list(range(100, CLIENTS_MOST + 100)))

    def test_keeps_idle_connections_while_new_ones_crowd_the_cores(self):
        # A hot key's node spent its cores on connections that it closed at once.
        self.assertGreater(self.idle_time(clients=100, reading=20), SECOND)

    def test_lowers_the_advertised_share_poll_by_poll_while_full(self):
        host = FakeHost(load_report=LoadReportKind.ADVERTISED_SHARE)
        host.gauges.run_queue = 12
        for _ in range(4):
            for _ in range(60):
                host.arrive()
            host.run_until(host.now + SECOND)
        reported = [action[1] for action in host.actions if action[0] == "report_load"]
        self.assertEqual(reported, sorted(reported, reverse=True))
        self.assertLess(reported[-1], 0.6)


if __name__ == "__main__":
    unittest.main()
