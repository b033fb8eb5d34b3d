"""The batches that a release changes next."""

import unittest
import unittest.mock
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from oakkeel.disruption.topology import BudgetGroup, Topology, UnavailableTargets
from oakkeel.rollout.plan import OLD, BatchPlanner, TargetObservation

LAYOUT = Topology(
    {"h1": ("a", "b"), "h2": ("c", "d"), "h3": ("db1", "db2")},
    (
        BudgetGroup("site one", 1, ("a", "b")),
        BudgetGroup("site two", 1, ("c", "d")),
        BudgetGroup("fleet", 2, ("a", "b", "c", "d")),
        BudgetGroup("kind db", 1, ("db1", "db2")),
    ),
    {"db1": ("a", "c"), "db2": ("b", "d")},
)


class PlanStories(unittest.TestCase):
    def setUp(self) -> None:
        self.out, self.planner = UnavailableTargets(LAYOUT), BatchPlanner(LAYOUT)
        self.seen = {
            name: TargetObservation(name, "serving", 1, "", 0)
            for names in LAYOUT.hosts.values()
            for name in names
        }

    def choose(self, wanted: str, most: int = 9, ceiling: float = 0.85, broken: bool = False, now: int = 0):
        return self.planner.choose(now, wanted.split(), self.seen, self.out, most, ceiling, broken)

    def test_sites_take_turns_and_the_bounds_hold(self):
        self.assertEqual(self.choose("a b c d").things, ["a", "c"])

    def test_the_last_that_serves_of_a_site_stays(self):
        self.out.add("a", "does not serve")
        self.seen["a"].phase = "failing"
        self.assertNotIn("b", self.choose("b").things)
        wide = Topology(
            LAYOUT.hosts, tuple(BudgetGroup(group.name, 9, group.targets) for group in LAYOUT.groups)
        )
        out = UnavailableTargets(wide)
        out.add("a", "does not serve")
        choice = BatchPlanner(wide).choose(0, ["b"], self.seen, out, 9, 0.85, False)
        self.assertIn("last that serves of site one", choice.why)

    def test_old_news_are_not_touched(self):
        for each in self.seen.values():
            each.at = 0
        self.assertEqual(self.choose("a b c d", now=OLD + 1).things, [])
        self.assertIn("nothing new is known", self.choose("a", now=OLD + 1).why)

    def test_never_both_sides_of_a_dependency(self):
        self.out.add("db1", "a place")
        choice = self.choose("a b c d")
        self.assertNotIn("a", choice.things)
        self.assertNotIn("c", choice.things)
        self.setUp()
        self.out.add("a", "a place")
        self.assertNotIn("db1", self.choose("db1").things)
        self.assertIn("hangs on", self.choose("db1").why)

    def test_a_site_near_its_limit_waits_and_cold_ones_carry_their_part(self):
        for name in "ab":
            self.seen[name].load = 0.6
        self.assertEqual(self.choose("a b").things, [])
        self.assertIn("would carry 1.20", self.choose("a").why)
        for name in "ab":
            self.seen[name].load = 0.4
        self.assertEqual(self.choose("a b").things, ["a"])
        self.seen["b"].phase = "cold"
        self.out.add("b", "does not serve")
        self.assertEqual(self.choose("a").things, [])

    def test_a_site_of_one_can_be_released_though_nobody_there_carries_its_load(self):
        layout = Topology({"h1": ("a",)}, (BudgetGroup("site one", 1, ("a",)),))
        self.seen["a"].load = 0.9
        choice = BatchPlanner(layout).choose(0, ["a"], self.seen, UnavailableTargets(layout), 1, 0.5, False)
        self.assertEqual(choice.things, ["a"])

    def test_on_a_way_back_what_is_broken_comes_first_and_needs_no_room(self):
        self.out.add("a", "does not serve")
        self.seen["a"].phase = "failing"
        self.assertEqual(self.choose("a b", broken=True).things, ["a"])
        self.assertEqual(self.choose("a", broken=False).things, ["a"])  # nothing else is left

    @given(st.integers(0, 1 << 30))
    @settings(max_examples=60, deadline=None)
    def test_whatever_is_out_no_choice_passes_a_bound_or_leaves_a_site_without(self, seed):
        random = Random(seed)
        self.setUp()
        for name in self.seen:
            if random.random() < 0.3:
                self.out.add(name, "does not serve")
                self.seen[name].phase = random.choice(("failing", "cold", "draining", "stopped"))
            if random.random() < 0.2:
                self.seen[name].at = -2 * OLD
        before = set(self.out.reasons)
        chosen = self.choose("a b c d", random.randint(1, 4), broken=random.random() < 0.5).things
        self.assertEqual(len(set(chosen)), len(chosen))
        news = [thing for thing in chosen if thing not in before]
        for thing in news:
            self.out.add(thing, "a place")
        for group in LAYOUT.groups:
            fresh = [thing for thing in news if thing in group.targets]
            if fresh:
                self.assertLessEqual(self.out.counts[group.name], group.max_unavailable)
                self.assertTrue(set(group.targets) - set(self.out.reasons))
