"""The decisions of one node: one test for each rule and each failure met."""

import unittest

from oakkeel.admission.overload import Stage, StageThresholds, next_stage
from oakkeel.admission.types import (
    DownstreamKind,
    Gauges,
    Idempotency,
    Outcome,
    RequestState,
)
from oakkeel.units import MS, SECOND
from tests.support.fake_host import FakeHost


class OverloadTest(unittest.TestCase):
    def test_runs_a_request_at_once_on_an_idle_node(self):
        host = FakeHost()
        self.assertEqual(host.actions_on(host.arrive()), ["run"])

    def test_stages_have_hysteresis(self):
        thresholds = StageThresholds(
            expand=0.7, reap=0.8, reorder=0.85, backpressure=0.9, reject=0.95, hysteresis=0.05
        )
        self.assertEqual(next_stage(Stage.NORMAL, 0.9, thresholds), Stage.BACKPRESSURE)
        self.assertEqual(next_stage(Stage.BACKPRESSURE, 0.86, thresholds), Stage.BACKPRESSURE)
        self.assertEqual(next_stage(Stage.BACKPRESSURE, 0.84, thresholds), Stage.REORDER)
        self.assertEqual(next_stage(Stage.REJECT, 0.1, thresholds), Stage.NORMAL)

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
        self.assertLess(over_allowance.start, within_allowance.start)


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


if __name__ == "__main__":
    unittest.main()
