"""Requests to many agents: deadlines, hedging and retries."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from oakkeel.fleet.fan_out import MS, FanOut, TargetState
from oakkeel.fleet.view import SECOND


class AskingStories(unittest.TestCase):
    def asking(self, count: int = 12, **more) -> FanOut:
        given = dict(deadline=SECOND, hedge=100 * MS, tries=3, seed=7) | more
        return FanOut(0, [f"h{number}" for number in range(count)], **given)

    def test_each_is_asked_once_and_only_the_quiet_one_again(self):
        asking = self.asking()
        names = asking.tick(0)
        self.assertEqual(len(names), 12)
        for name in names[1:]:
            self.assertTrue(asking.answered(10 * MS, name))
        self.assertEqual(asking.tick(50 * MS), [])
        self.assertEqual(asking.tick(asking.next_at()), ["h0"])
        self.assertFalse(asking.over)
        self.assertTrue(asking.answered(150 * MS, "h0"))
        self.assertTrue(asking.over)
        self.assertFalse(asking.answered(151 * MS, "h0"))  # the first try's answer, by now told already

    def test_a_silent_agent_costs_no_more_than_the_deadline(self):
        asking = self.asking(1, tries=2)
        sent = 0
        now = 0
        while not asking.over:
            sent += len(asking.tick(now))
            now = max(now + MS, asking.next_at())
        self.assertEqual((sent, asking.targets["h0"].state), (2, TargetState.LATE))
        self.assertLessEqual(now, SECOND + 2 * MS)
        self.assertFalse(asking.answered(now, "h0"))

    def test_agents_that_are_all_slow_are_not_asked_twice_as_much(self):
        asking = self.asking(100)
        sent = sum(len(asking.tick(at * 10 * MS)) for at in range(100))
        self.assertEqual(sent, 120)

    def test_a_try_that_fails_is_made_again_after_a_while_and_a_refusal_never(self):
        asking = self.asking(2)
        asking.tick(0)
        asking.failed(MS, "h0", "connection refused")
        asking.refused(MS, "h1", "wrong key")
        self.assertEqual((asking.tick(2 * MS), asking.targets["h1"].state), ([], TargetState.REFUSED))
        self.assertEqual(asking.tick(asking.next_at()), ["h0"])
        asking.failed(asking.next_at(), "h0", "connection refused")
        self.assertEqual(asking.tick(asking.next_at()), ["h0"])
        asking.failed(asking.next_at(), "h0", "connection refused")
        self.assertEqual(asking.targets["h0"].state, TargetState.FAILED)

    @given(
        st.lists(
            st.tuples(st.integers(0, 4), st.sampled_from(["answered", "failed", "refused", "time"])),
            max_size=60,
        )
    )
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_whatever_comes_it_ends_by_its_deadline_within_its_budget(self, events):
        asking, now, on_way = self.asking(5), 0, []
        sent = asking.tick(now)
        on_way += sent
        total = len(sent)
        for which, what in events:
            name = f"h{which}"
            if what == "time":
                now += 60 * MS
            elif name in on_way:
                on_way.remove(name)
                if what == "answered":
                    asking.answered(now, name)
                else:
                    getattr(asking, what)(now, name, "so")
            sent = asking.tick(now)
            on_way += sent
            total += len(sent)
        asking.tick(SECOND)
        self.assertTrue(asking.over)
        self.assertLessEqual(total, 5 + 3)
