"""The choice of the targets of the next batch of a release."""

import unittest
from random import Random

from hypothesis import given, settings
from hypothesis import strategies as st

from oakkeel.disruption.topology import BudgetGroup, Topology, UnavailableTargets
from oakkeel.rollout.plan import MAX_REPORT_AGE_NS, BatchChoice, BatchLimits, BatchPlanner, TargetObservation
from tests.rollout.topology import TOPOLOGY


class BatchPlannerTest(unittest.TestCase):
    def setUp(self) -> None:
        self.unavailable = UnavailableTargets(TOPOLOGY)
        self.planner = BatchPlanner(TOPOLOGY)
        self.observations = {
            name: TargetObservation(name, "serving", 1, "", 0)
            for names in TOPOLOGY.hosts.values()
            for name in names
        }

    def choose(
        self,
        candidates: str,
        max_targets: int = 9,
        max_load: float = 0.85,
        broken_first: bool = False,
        now: int = 0,
    ) -> BatchChoice:
        """Choose a batch from the candidates, whose names are separated by spaces."""
        limits = BatchLimits(max_targets, max_load, broken_first)
        return self.planner.choose(now, candidates.split(), self.observations, self.unavailable, limits)

    def test_sites_take_turns_within_their_budgets(self):
        self.assertEqual(self.choose("a b c d").targets, ["a", "c"])

    def test_the_last_serving_target_of_a_site_is_not_chosen(self):
        self.unavailable.add("a", "does not serve")
        self.observations["a"].phase = "failing"
        self.assertNotIn("b", self.choose("b").targets)
        wide_budgets = Topology(
            TOPOLOGY.hosts, tuple(BudgetGroup(group.name, 9, group.targets) for group in TOPOLOGY.groups)
        )
        unavailable = UnavailableTargets(wide_budgets)
        unavailable.add("a", "does not serve")
        planner = BatchPlanner(wide_budgets)
        choice = planner.choose(0, ["b"], self.observations, unavailable, BatchLimits(9, 0.85))
        self.assertIn("last serving target of site one", choice.why)

    def test_targets_with_stale_reports_are_not_chosen(self):
        for observation in self.observations.values():
            observation.observed_at = 0
        self.assertEqual(self.choose("a b c d", now=MAX_REPORT_AGE_NS + 1).targets, [])
        self.assertIn("last reports of 1 targets are stale", self.choose("a", now=MAX_REPORT_AGE_NS + 1).why)

    def test_a_service_and_its_dependent_are_not_chosen_together(self):
        self.unavailable.add("db1", "a permit")
        choice = self.choose("a b c d")
        self.assertNotIn("a", choice.targets)
        self.assertNotIn("c", choice.targets)
        self.setUp()
        self.unavailable.add("a", "a permit")
        self.assertNotIn("db1", self.choose("db1").targets)
        self.assertIn("depends on db1", self.choose("db1").why)

    def test_a_site_near_its_load_limit_waits_and_a_cold_target_has_partial_capacity(self):
        for name in "ab":
            self.observations[name].load = 0.6
        self.assertEqual(self.choose("a b").targets, [])
        self.assertIn("would carry 1.20", self.choose("a").why)
        for name in "ab":
            self.observations[name].load = 0.4
        self.assertEqual(self.choose("a b").targets, ["a"])
        self.observations["b"].phase = "cold"
        self.unavailable.add("b", "does not serve")
        self.assertEqual(self.choose("a").targets, [])

    def test_the_only_target_of_a_site_can_be_changed(self):
        topology = Topology({"h1": ("a",)}, (BudgetGroup("site one", 1, ("a",)),))
        self.observations["a"].load = 0.9
        choice = BatchPlanner(topology).choose(
            0, ["a"], self.observations, UnavailableTargets(topology), BatchLimits(1, 0.5)
        )
        self.assertEqual(choice.targets, ["a"])

    def test_a_rollback_chooses_broken_targets_first(self):
        self.unavailable.add("a", "does not serve")
        self.observations["a"].phase = "failing"
        self.assertEqual(self.choose("a b", broken_first=True).targets, ["a"])
        self.assertEqual(self.choose("a", broken_first=False).targets, ["a"])  # no other target remains

    @given(st.integers(0, 1 << 30))
    @settings(max_examples=60, deadline=None)
    def test_no_choice_exceeds_a_budget_or_leaves_a_group_without_serving_targets(self, seed):
        random = Random(seed)
        self.setUp()
        for name in self.observations:
            if random.random() < 0.3:
                self.unavailable.add(name, "does not serve")
                self.observations[name].phase = random.choice(("failing", "cold", "draining", "stopped"))
            if random.random() < 0.2:
                self.observations[name].observed_at = -2 * MAX_REPORT_AGE_NS
        unavailable_before = set(self.unavailable.reasons)
        chosen = self.choose("a b c d", random.randint(1, 4), broken_first=random.random() < 0.5).targets
        self.assertEqual(len(set(chosen)), len(chosen))
        available_before = [target for target in chosen if target not in unavailable_before]
        for target in available_before:
            self.unavailable.add(target, "a permit")
        for group in TOPOLOGY.groups:
            newly_unavailable = [target for target in available_before if target in group.targets]
            if newly_unavailable:
                self.assertLessEqual(self.unavailable.counts[group.name], group.max_unavailable)
                self.assertTrue(set(group.targets) - set(self.unavailable.reasons))
