"""Requests to many agents: deadlines, hedging and retries."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from oakkeel.fleet.fan_out import FanOut, FanOutPolicy, TargetState
from oakkeel.units import MS, SECOND

HEDGE_DELAY = 100 * MS


def fan_out_to(count: int = 12, max_attempts: int = 3) -> FanOut:
    return FanOut(
        0, [f"h{number}" for number in range(count)], FanOutPolicy(SECOND, HEDGE_DELAY, max_attempts), 7
    )


class FanOutTest(unittest.TestCase):
    def test_sends_to_each_target_once_and_hedges_only_the_silent_one(self):
        fan_out = fan_out_to()
        names = fan_out.tick(0)
        self.assertEqual(len(names), 12)
        for name in names[1:]:
            self.assertTrue(fan_out.record_response(10 * MS, name))
        self.assertEqual(fan_out.tick(50 * MS), [])
        self.assertEqual(fan_out.tick(fan_out.next_tick_at()), ["h0"])
        self.assertFalse(fan_out.is_finished)
        self.assertTrue(fan_out.record_response(150 * MS, "h0"))
        self.assertTrue(fan_out.is_finished)
        self.assertFalse(fan_out.record_response(151 * MS, "h0"))  # the target has answered already

    def test_a_silent_agent_times_out_at_the_deadline(self):
        fan_out = fan_out_to(1, max_attempts=2)
        sent = 0
        now = 0
        while not fan_out.is_finished:
            sent += len(fan_out.tick(now))
            now = max(now + MS, fan_out.next_tick_at())
        self.assertEqual((sent, fan_out.targets["h0"].state), (2, TargetState.TIMED_OUT))
        self.assertLessEqual(now, SECOND + 2 * MS)
        self.assertFalse(fan_out.record_response(now, "h0"))

    def test_agents_that_are_all_slow_share_one_retry_budget(self):
        fan_out = fan_out_to(100)
        sent = sum(len(fan_out.tick(tick * 10 * MS)) for tick in range(100))
        self.assertEqual(sent, 120)  # one attempt to each of 100 targets, and a retry budget of 20 %

    def test_retries_a_failed_attempt_after_a_backoff_but_never_a_rejected_one(self):
        fan_out = fan_out_to(2)
        fan_out.tick(0)
        fan_out.record_failure(MS, "h0", "connection refused")
        fan_out.record_rejection(MS, "h1", "wrong key")
        self.assertEqual((fan_out.tick(2 * MS), fan_out.targets["h1"].state), ([], TargetState.REJECTED))
        self.assertEqual(fan_out.tick(fan_out.next_tick_at()), ["h0"])
        fan_out.record_failure(fan_out.next_tick_at(), "h0", "connection refused")
        self.assertEqual(fan_out.tick(fan_out.next_tick_at()), ["h0"])
        fan_out.record_failure(fan_out.next_tick_at(), "h0", "connection refused")
        self.assertEqual(fan_out.targets["h0"].state, TargetState.FAILED)

    @given(
        st.lists(
            st.tuples(st.integers(0, 4), st.sampled_from(["response", "failure", "rejection", "time"])),
            max_size=60,
        )
    )
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_finishes_by_its_deadline_within_its_budget_for_any_events(self, events):
        fan_out = fan_out_to(5)
        now = 0
        in_flight = []
        sent = fan_out.tick(now)
        in_flight += sent
        total_sent = len(sent)
        for target, event in events:
            name = f"h{target}"
            if event == "time":
                now += 60 * MS
            elif name in in_flight:
                in_flight.remove(name)
                if event == "response":
                    fan_out.record_response(now, name)
                else:
                    getattr(fan_out, f"record_{event}")(now, name, "a reason")
            sent = fan_out.tick(now)
            in_flight += sent
            total_sent += len(sent)
        fan_out.tick(SECOND)
        self.assertTrue(fan_out.is_finished)
        self.assertLessEqual(total_sent, 5 + 3)  # one attempt to each target, and the minimum retry budget
