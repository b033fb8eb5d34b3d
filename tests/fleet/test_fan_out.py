"""Requests to many agents: deadlines, hedging and retries."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from oakkeel.fleet.fan_out import FanOut, FanOutPolicy, TargetState
from oakkeel.units import MS, SECOND

HEDGE = 100 * MS


def fan_out_to(count: int = 12, max_attempts: int = 3) -> FanOut:
    return FanOut(0, [f"h{number}" for number in range(count)], FanOutPolicy(SECOND, HEDGE, max_attempts), 7)


class FanOutTest(unittest.TestCase):
    def test_sends_to_each_once_and_hedges_only_the_silent_one(self):
        fan_out = fan_out_to()
        names = fan_out.tick(0)
        self.assertEqual(len(names), 12)
        for name in names[1:]:
            self.assertTrue(fan_out.answered(10 * MS, name))
        self.assertEqual(fan_out.tick(50 * MS), [])
        self.assertEqual(fan_out.tick(fan_out.next_at()), ["h0"])
        self.assertFalse(fan_out.finished)
        self.assertTrue(fan_out.answered(150 * MS, "h0"))
        self.assertTrue(fan_out.finished)
        self.assertFalse(
            fan_out.answered(151 * MS, "h0")
        )  # the response to the first attempt, counted already

    def test_a_silent_agent_costs_no_more_than_the_deadline(self):
        fan_out = fan_out_to(1, max_attempts=2)
        sent = 0
        now = 0
        while not fan_out.finished:
            sent += len(fan_out.tick(now))
            now = max(now + MS, fan_out.next_at())
        self.assertEqual((sent, fan_out.targets["h0"].state), (2, TargetState.TIMED_OUT))
        self.assertLessEqual(now, SECOND + 2 * MS)
        self.assertFalse(fan_out.answered(now, "h0"))

    def test_agents_that_are_all_slow_share_one_retry_budget(self):
        fan_out = fan_out_to(100)
        sent = sum(len(fan_out.tick(at * 10 * MS)) for at in range(100))
        self.assertEqual(sent, 120)

    def test_retries_a_failed_attempt_after_a_backoff_and_a_rejection_never(self):
        fan_out = fan_out_to(2)
        fan_out.tick(0)
        fan_out.failed(MS, "h0", "connection refused")
        fan_out.rejected(MS, "h1", "wrong key")
        self.assertEqual((fan_out.tick(2 * MS), fan_out.targets["h1"].state), ([], TargetState.REJECTED))
        self.assertEqual(fan_out.tick(fan_out.next_at()), ["h0"])
        fan_out.failed(fan_out.next_at(), "h0", "connection refused")
        self.assertEqual(fan_out.tick(fan_out.next_at()), ["h0"])
        fan_out.failed(fan_out.next_at(), "h0", "connection refused")
        self.assertEqual(fan_out.targets["h0"].state, TargetState.FAILED)

    @given(
        st.lists(
            st.tuples(st.integers(0, 4), st.sampled_from(["answered", "failed", "rejected", "time"])),
            max_size=60,
        )
    )
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_finishes_by_its_deadline_within_its_budget_whatever_happens(self, events):
        fan_out = fan_out_to(5)
        now = 0
        in_flight = []
        sent = fan_out.tick(now)
        in_flight += sent
        total = len(sent)
        for target, event in events:
            name = f"h{target}"
            if event == "time":
                now += 60 * MS
            elif name in in_flight:
                in_flight.remove(name)
                if event == "answered":
                    fan_out.answered(now, name)
                else:
                    getattr(fan_out, event)(now, name, "so")
            sent = fan_out.tick(now)
            in_flight += sent
            total += len(sent)
        fan_out.tick(SECOND)
        self.assertTrue(fan_out.finished)
        self.assertLessEqual(total, 5 + 3)
