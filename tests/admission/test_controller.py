"""Short stories about the decisions: one for each rule and each failure met."""

import unittest

from oakkeel.admission import MS, SECOND
from oakkeel.admission.client_returns import CLIENTS_MOST
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


class LadderStories(unittest.TestCase):
    def test_an_idle_node_starts_an_exchange_at_once(self):
        host = FakeHost()
        self.assertEqual(host.words(host.arrive()), ["run"])

    def test_stages_climb_at_their_threshold_and_fall_only_below_the_slack(self):
        row = (0.7, 0.8, 0.85, 0.9, 0.95)
        self.assertEqual(next_stage(Stage.NORMAL, 0.9, row, 0.05), Stage.BACKPRESSURE)
        self.assertEqual(next_stage(Stage.BACKPRESSURE, 0.86, row, 0.05), Stage.BACKPRESSURE)
        self.assertEqual(next_stage(Stage.BACKPRESSURE, 0.84, row, 0.05), Stage.REORDER)
        self.assertEqual(next_stage(Stage.REJECT, 0.1, row, 0.05), Stage.NORMAL)

    def test_a_flood_is_denied_on_arrival_with_when_to_return_and_the_run_stays_bounded(self):
        host = FakeHost()
        flood = [host.arrive() for _ in range(60)]
        denials = [wish for wish in host.said if wish[0] == "reject"]
        self.assertGreater(len(denials), 20)
        self.assertTrue(all(0 < wish[3] <= SECOND for wish in denials))
        self.assertLessEqual(len(host.in_state(flood, RequestState.RUNNING)), 2 * host.limits.cores)

    def test_a_busy_poll_alone_denies_nothing_while_the_cores_have_room(self):
        host = FakeHost()
        host.gauges.core_busy = 1.0
        host.run_until(3 * SECOND)
        self.assertEqual(host.words(host.arrive()), ["run"])

    def test_low_benefit_is_shed_first(self):
        host = FakeHost(request_classes=[{"priority_weight": 1}, {"priority_weight": 5}])
        exchanges = []
        for _ in range(100):
            exchanges += [host.arrive(0), host.arrive(1)]
            running = host.in_state(exchanges, RequestState.RUNNING)
            if len(running) > 3:
                host.done(running[0])
            host.run_until(host.now + 100 * MS)
        denied = [
            sum(host.words(request) == ["reject"] for request in exchanges[group::2]) for group in (0, 1)
        ]
        self.assertGreater(denied[0], 2 * denied[1])

    def test_low_rank_may_try_elsewhere_until_many_later_tries_come(self):
        # Behind callers that choose by subject one node was full while others had room.
        for share, elsewhere in ((0, True), (4, False)):
            host = FakeHost()
            exchanges = []
            for number in range(200):
                exchanges.append(host.arrive(retry_attempt=number % 10 < share))
                while (
                    len(open_ones := host.in_state(exchanges, RequestState.QUEUED, RequestState.RUNNING)) > 8
                ):
                    host.done(host.in_state(open_ones, RequestState.RUNNING)[0])
                host.run_until(host.now + 20 * MS)
            wished = [wish[2] for wish in host.said if wish[0] == "reject" and not wish[1].retry_attempt]
            self.assertGreater(len(wished), 10)
            self.assertEqual(sum(wished) < len(wished) / 4, elsewhere)

    def test_a_tenant_over_its_share_is_shed_before_the_others(self):
        host = FakeHost(tenants=[5.0, 50.0])
        for _ in range(300):
            host.done(host.arrive(tenant=0))
            host.done(host.arrive(tenant=1))
            host.run_until(host.now + 20 * MS)
        greedy, modest = host.admission.ranking.ranks[0]
        self.assertLess(greedy[0], modest[0])


class AnswerStories(unittest.TestCase):
    def test_held_running_and_calling_are_all_answered_before_they_are_due(self):
        host = FakeHost(request_classes=[{}], downstream=DownstreamKind.TIER)
        exchanges = [host.arrive(remaining_time=1500 * MS) for _ in range(9)]
        host.at_call(exchanges[0])
        host.run_until(host.now + 1490 * MS)
        for request in exchanges:
            self.assertEqual(sum(word in ("reject", "fail") for word in host.words(request)), 1)
        self.assertIn("cancel", host.words(exchanges[1]))

    def test_what_waited_too_long_behind_higher_ranks_is_denied_not_started(self):
        # Low ranks started with too little time left: a fifth of the runs was given up.
        host = FakeHost()
        exchanges = [host.arrive() for _ in range(7)]
        held = host.in_state(exchanges, RequestState.QUEUED)
        host.run_until(host.now + 1900 * MS)
        host.done(host.in_state(exchanges, RequestState.RUNNING)[0])
        self.assertEqual(len(held), 2)
        self.assertEqual([host.words(request) for request in held], [["reject"], ["reject"]])

    def test_what_can_no_longer_be_in_time_is_denied_at_once(self):
        host = FakeHost()
        self.assertEqual(
            host.words(host.arrive(queueing_delay=3 * SECOND, remaining_time=2 * SECOND)), ["reject"]
        )

    def test_a_caller_known_gone_gets_no_answer_and_its_work_is_stopped(self):
        host = FakeHost()
        request = host.arrive()
        host.admission.client_disconnected(host.now, request)
        host.done(request, Outcome.CANCELLED)
        self.assertEqual((host.words(request), request.state), (["run", "cancel"], RequestState.FINISHED))

    def test_events_for_an_exchange_already_over_are_harmless(self):
        host = FakeHost()
        request = host.arrive()
        host.done(request)
        host.done(request, Outcome.NEVER_STARTED)
        host.at_call(request)
        host.call_done(request, Outcome.COMPLETED)
        host.admission.client_disconnected(host.now, request)
        self.assertEqual(host.words(request), ["run"])


class EffectStories(unittest.TestCase):
    def test_a_repeat_of_a_deduplicated_exchange_shares_its_one_run(self):
        host = FakeHost(request_classes=[{"idempotency": Idempotency.IDEMPOTENCY_KEY}])
        first = host.arrive(has_key=True)
        again = host.arrive(has_key=True, is_duplicate=True)
        self.assertEqual((host.words(first), host.words(again)), (["retain_key", "run"], ["coalesce"]))

    def test_what_ran_once_is_terminated_not_denied_and_never_rerun(self):
        host = FakeHost(request_classes=[{"idempotency": Idempotency.NON_IDEMPOTENT}])
        request = host.arrive(remaining_time=SECOND)
        host.run_until(host.now + 2 * SECOND)
        host.done(request, Outcome.CANCELLED)
        self.assertEqual(host.words(request), ["run", "fail", "cancel"])

    def test_a_call_of_a_mutating_exchange_is_resent_only_when_it_never_ran(self):
        for outcome, calls in ((Outcome.CONNECT_FAILED, 2), (Outcome.RESET, 1)):
            host = FakeHost(
                request_classes=[{"idempotency": Idempotency.NON_IDEMPOTENT}], downstream=DownstreamKind.TIER
            )
            request = host.arrive()
            host.at_call(request)
            host.call_done(request, outcome)
            self.assertEqual(host.words(request).count("call"), calls)

    def test_a_call_that_could_be_left_out_is_placed_again_where_only_its_link_broke(self):
        for outcome, word in (
            (Outcome.RESET, "call"),
            (Outcome.CONNECT_FAILED, "call"),
            (Outcome.REJECTED, "skip_call"),
            (Outcome.TIMED_OUT, "skip_call"),
        ):
            host = FakeHost(request_classes=[{"degraded_weight": 0.5}], downstream=DownstreamKind.TIER)
            request = host.arrive()
            host.at_call(request)
            host.call_done(request, outcome)
            self.assertEqual(host.words(request)[2:], [word])

    def test_fresh_reads_are_shared(self):
        host = FakeHost(cache_ttl=SECOND)
        host.arrive(has_key=True)
        self.assertEqual(host.words(host.arrive(has_key=True, is_duplicate=True)), ["coalesce"])


class ReturnStories(unittest.TestCase):
    def test_callers_stay_away_for_less_from_a_node_of_a_small_fleet(self):
        # With two nodes nobody else takes what stays away: denials told by both left the cores idle.
        told = {}
        for peers in (2, 20):
            host = FakeHost(peers=peers)
            host.gauges = Gauges(run_queue=50)  # its reading places are full
            host.run_until(host.now + SECOND)
            exchanges = [host.arrive() for _ in range(40)]
            denied = [wish for wish in host.said if wish[0] == "reject"]
            self.assertTrue(denied and len(denied) < len(exchanges))
            told[peers] = denied[-1][3]
        self.assertEqual(told[20], 500 * MS)
        self.assertLess(told[2], 200 * MS)


class DrainStories(unittest.TestCase):
    def test_nothing_that_arrives_after_the_grace_runs_and_all_is_answered_before_the_stop(self):
        host = FakeHost(request_classes=[{"latency_objective": 4 * SECOND}])
        request = host.arrive()
        stop = host.now + 3 * SECOND
        host.admission.drain(host.now, 3 * SECOND)
        late_read = host.arrive(queueing_delay=100 * MS)
        host.run_until(host.now + 2100 * MS)
        self.assertEqual(host.words(host.arrive()), ["reject"])
        host.run_until(stop - MS)
        self.assertIn("reject", host.words(request))
        self.assertIn("reject", host.words(late_read))
        self.assertIn(("set_health", False, True), host.said)


class GuardStories(unittest.TestCase):
    def test_memory_bounds_what_is_held_and_what_runs(self):
        host = FakeHost(memory_kb=2000)
        exchanges = [host.arrive() for _ in range(30)]
        self.assertLessEqual(len(host.in_state(exchanges, RequestState.RUNNING)), 4)
        self.assertLessEqual(host.admission.occupancy.memory_kb, 2000)

    def test_repeats_of_a_hot_key_stay_within_the_memory(self):
        host = FakeHost(cache_ttl=SECOND, memory_kb=2000)
        host.arrive(has_key=True)
        repeats = [host.arrive(has_key=True, is_duplicate=True) for _ in range(60)]
        self.assertLessEqual(host.admission.occupancy.memory_kb, 2000)
        self.assertIn("reject", host.words(repeats[-1]))

    def test_the_calls_rule_holds_over_a_long_window(self):
        host = FakeHost(
            request_classes=[{}],
            downstream=DownstreamKind.SHARED,
            downstream_quota=0.2,
            downstream_window=20 * SECOND,
        )
        spent = 0
        for _ in range(120):
            request = host.arrive()
            host.at_call(request)
            if request.state is RequestState.CALLING:
                began = host.now
                host.run_until(host.now + 300 * MS)
                spent += host.now - began
                host.call_done(request, Outcome.COMPLETED)
                host.done(request)
            host.run_until(host.now + 100 * MS)
        self.assertLess(spent, 0.2 * max(host.now - SECOND, host.limits.downstream_window))

    def test_a_cold_node_keeps_runs_and_calls_under_its_smaller_crowd(self):
        host = FakeHost(
            request_classes=[{}], downstream=DownstreamKind.TIER, starts_cold=True, overload_multiple=2
        )
        exchanges = [host.arrive() for _ in range(40)]
        for request in exchanges:
            host.at_call(request)
        self.assertLess(
            host.admission.occupancy.count[RequestState.CALLING]
            + host.admission.occupancy.count[RequestState.RUNNING],
            1.25 * host.limits.cores,
        )

    def test_calls_in_hand_stay_under_a_share_below_one(self):
        host = FakeHost(
            request_classes=[{}],
            downstream=DownstreamKind.SHARED,
            downstream_quota=0.4,
            stop_kind=StopKind.SUSPEND,
        )
        spent = 0
        for _ in range(100):
            request = host.arrive()
            host.at_call(request)
            began = host.now
            host.run_until(host.now + 300 * MS)
            if request.state is RequestState.CALLING:
                spent += host.now - began
                host.call_done(request, Outcome.COMPLETED)
                host.done(request)
        self.assertLessEqual(host.admission.occupancy.count[RequestState.CALLING], 1)
        self.assertGreater(spent, 0)
        self.assertLess(spent / (host.now - SECOND), 0.4)

    def test_failures_in_a_row_stop_calls_until_a_single_trial(self):
        host = FakeHost(request_classes=[{"degraded_weight": 0.5}], downstream=DownstreamKind.TIER)
        for _ in range(8):
            request = host.arrive()
            host.at_call(request)
            host.call_done(request, Outcome.ERROR)
            host.done(request)
        self.assertEqual(sum(wish[0] == "call" for wish in host.said), 5)
        host.run_until(host.now + 1100 * MS)
        pair = [host.arrive(), host.arrive()]
        for request in pair:
            host.at_call(request)
        self.assertEqual(sum(wish[0] == "call" for wish in host.said), 6)

    def test_a_call_waits_for_room_before_it_is_left_out(self):
        # Leaving calls out at the first full moment gave up half the benefit for a wait of milliseconds.
        host = FakeHost(
            request_classes=[{"degraded_weight": 0.5}], downstream=DownstreamKind.SHARED, downstream_quota=1
        )
        first, second = host.arrive(), host.arrive()
        host.at_call(first)
        host.at_call(second)
        self.assertEqual(host.words(second), ["run"])
        host.run_until(host.now + 400 * MS)
        self.assertEqual(host.words(second), ["run", "skip_call"])

    def test_a_call_ends_in_time_to_go_on_without_it(self):
        # Calls through a dead dispatcher hung until nothing could be done in time without them.
        host = FakeHost(request_classes=[{"degraded_weight": 0.5}], downstream=DownstreamKind.TIER)
        request = host.arrive()
        host.at_call(request)
        until = next(wish[2] for wish in host.said if wish[0] == "call")
        self.assertLess(until, request.objective_end - 200 * MS)
        host.run_until(until)
        host.call_done(request, Outcome.TIMED_OUT)
        self.assertEqual(host.words(request), ["run", "call", "skip_call"])

    def test_reading_takes_the_place_of_runs(self):
        host = FakeHost()
        host.gauges.run_queue = 4
        host.run_until(2 * SECOND)
        exchanges = [host.arrive() for _ in range(8)]
        self.assertLess(len(host.in_state(exchanges, RequestState.RUNNING)), host.limits.cores)

    def test_reading_goes_first_while_what_is_read_is_old(self):
        # In a jam one run beside the reading made all that was read too old; no node came out of it.
        host = FakeHost()
        host.gauges.run_queue = 4
        host.run_until(2 * SECOND)
        old = host.arrive(queueing_delay=800 * MS)
        self.assertEqual(host.words(old), [])
        host.arrive()
        self.assertEqual(host.words(old), ["run"])

    def test_a_node_full_of_reading_wishes_no_other_try(self):
        host = FakeHost()
        host.gauges.run_queue = 8
        host.run_until(3 * SECOND)
        host.arrive(remaining_time=100 * MS)
        self.assertEqual([wish[2] for wish in host.said if wish[0] == "reject"], [True])

    def test_a_stuck_node_denies_early_and_takes_trials_again(self):
        # On a node slowed many times nothing completed, so it went on to take work that it gave up.
        host = FakeHost()
        wave = [host.arrive() for _ in range(4)]
        host.run_until(host.now + 2 * SECOND)
        for request in host.in_state(wave, RequestState.ORPHANED):
            host.done(request, Outcome.CANCELLED)
        host.run_until(host.now + SECOND)
        self.assertEqual(host.words(host.arrive(queueing_delay=800 * MS)), ["reject"])
        host.run_until(host.now + 15 * SECOND)
        self.assertEqual(host.words(host.arrive(queueing_delay=800 * MS)), ["run"])

    def test_a_node_that_reads_too_late_leaves_the_list_and_comes_back(self):
        # Slowed nodes went on getting exchanges that waited unread until their callers gave up.
        host = FakeHost()
        for _ in range(10):
            host.arrive(queueing_delay=1900 * MS)
        host.run_until(host.now + SECOND)
        self.assertEqual([wish[1:] for wish in host.said if wish[0] == "set_health"][-1], (False, True))
        host.run_until(host.now + 8 * SECOND)
        self.assertEqual([wish[1:] for wish in host.said if wish[0] == "set_health"][-1], (True, True))

    def idle_time(self, callers: int, reading: float = 0) -> int:
        host = FakeHost()
        host.gauges.connections, host.gauges.run_queue = 60, reading
        for number in range(100):
            host.done(host.arrive(client=number % callers))
            host.run_until(host.now + 100 * MS)
        return [wish[1] for wish in host.said if wish[0] == "close_idle"][-1]

    def test_idle_connections_stay_for_callers_who_return_and_close_for_those_who_do_not(self):
        # Hundreds of callers that seldom return filled the tables; the others got no connection.
        self.assertGreater(self.idle_time(callers=5), 400 * MS)
        self.assertLess(self.idle_time(callers=100), 100 * MS)

    def test_of_many_callers_those_heard_last_are_remembered(self):
        host = FakeHost()
        for number in range(CLIENTS_MOST + 100):
            host.arrive(client=number)
        self.assertEqual(list(host.admission.returns.last_seen), list(range(100, CLIENTS_MOST + 100)))

    def test_a_node_crowded_by_new_connections_lets_its_table_fill(self):
        # A hot key's node spent its cores on connections that it closed at once.
        self.assertGreater(self.idle_time(callers=100, reading=20), SECOND)

    def test_advice_falls_poll_by_poll_while_the_node_is_full(self):
        host = FakeHost(load_report=LoadReportKind.ADVERTISED_SHARE)
        host.gauges.run_queue = 12
        for _ in range(4):
            for _ in range(60):
                host.arrive()
            host.run_until(host.now + SECOND)
        advised = [wish[1] for wish in host.said if wish[0] == "report_load"]
        self.assertEqual(advised, sorted(advised, reverse=True))
        self.assertLess(advised[-1], 0.6)


if __name__ == "__main__":
    unittest.main()
