"""Stories of changes of policy, free of I/O: everywhere or nowhere, whoever leads, stops or is cut off."""

import unittest
from unittest import mock

from oakkeel.disruption import commands
from oakkeel.disruption.allocator import PermitTimeouts
from oakkeel.disruption.state import Rejection
from oakkeel.emulator.policy_change import PolicyHost, PolicySimulation
from oakkeel.invariants.policy_change import PolicyChangeAudit
from oakkeel.models import policy_change as model
from oakkeel.policy_change.coordinator import LEASE, PolicyAssignment, PolicyCoordinator, PolicyReport
from oakkeel.policy_change.policy_lease import AgentPolicyLease, LeaseStatus, NodePolicyLease
from oakkeel.policy_change.state_machine import (
    CommitPolicy,
    MarkInForce,
    PolicyStateMachine,
    PolicyVersion,
    ProposePolicy,
    RejectPolicy,
    WithdrawPolicy,
)

SECOND = 1_000_000_000
DRIFT = PermitTimeouts().drift


class RegisterStories(unittest.TestCase):
    def setUp(self) -> None:
        self.register, self.index = PolicyStateMachine(), 0

    def do(self, command):
        self.index += 1
        return self.register.apply(self.index, commands.encode(command))

    def propose(self, ident: str = "c1", based_on: int = 0, content: bytes = b"<policy/>"):
        return self.do(ProposePolicy(ident, "asha", 0, "for Carnival", based_on, content))

    def test_one_at_a_time_each_made_of_the_one_that_holds_and_the_same_twice_is_one(self):
        first = self.propose()
        self.assertEqual((first.number, first.state), (1, "proposed"))
        self.assertIs(self.propose(), first)
        self.assertIn("another change", self.propose(content=b"<other/>").reason)
        self.assertIn("asha's change 1", self.propose("c2").reason)
        self.do(CommitPolicy(1))
        self.assertIn("made of 0", self.propose("c2").reason)
        self.assertEqual(self.propose("c2", 1).number, 2)

    def test_of_a_decision_and_a_withdrawal_that_cross_the_first_holds(self):
        self.propose()
        self.do(CommitPolicy(1))
        self.assertIsInstance(self.do(WithdrawPolicy(1, "ravi")), Rejection)
        self.propose("c2", 1)
        self.assertIsInstance(self.do(WithdrawPolicy(2, "ravi")), PolicyVersion)
        self.assertIsInstance(self.do(CommitPolicy(2)), Rejection)
        self.assertEqual(self.register.state.decided, 1)

    def test_a_snapshot_holds_all_versions_with_who_when_and_why(self):
        self.propose()
        self.do(RejectPolicy(1, "h3", "no such group"))
        again = PolicyStateMachine()
        again.restore(self.register.snapshot())
        found = again.state.policies[1]
        self.assertEqual(
            (found.operator, found.reason, found.state, found.why),
            ("asha", "for Carnival", "refused", "h3: no such group"),
        )
        self.assertIsInstance(self.do(MarkInForce(7)), Rejection)
        self.assertIsInstance(self.propose("big", content=bytes(70_000)), Rejection)


class HoldingStories(unittest.TestCase):
    def test_a_node_decides_nothing_before_it_was_told_nor_after_its_time_and_never_goes_back(self):
        node = NodePolicyLease()
        self.assertFalse(node.may_decide(0))
        self.assertTrue(node.told(0, 3, 100))
        self.assertTrue(node.may_decide(99))
        self.assertFalse(node.may_decide(100))
        self.assertIs(node.standing, LeaseStatus.LAPSED)
        self.assertFalse(node.told(101, 2, 900))
        self.assertFalse(node.may_decide(102))
        node.told(103, 3, 200)
        self.assertTrue(node.may_decide(104))

    def test_an_agent_says_the_least_of_its_nodes_and_one_that_was_not_heard_counts_as_none(self):
        agent = AgentPolicyLease()
        agent.heard(0, PolicyAssignment(2, SECOND, b"two"))
        agent.node_there("a")
        agent.node_there("b")
        agent.node_said("a", 2)
        self.assertEqual((agent.told().number, agent.told().has), (-1, 2))
        agent.node_said("b", 1)
        self.assertEqual(agent.told().number, 1)
        agent.node_gone("b")
        self.assertEqual(agent.told().number, 2)

    def test_a_lease_counts_from_when_was_asked_and_an_overtaken_answer_shortens_nothing(self):
        agent = AgentPolicyLease()
        agent.heard(100, PolicyAssignment(1, 50, b"one"))
        agent.heard(20, PolicyAssignment(1, 50))
        self.assertEqual(agent.hand_on(), (1, 150))
        self.assertFalse(agent.heard(300, PolicyAssignment(0, 50)))
        agent.heard(
            200, PolicyAssignment(2, 50)
        )  # with no content it can't go by that, and has no more time for this
        self.assertEqual(agent.hand_on(), (1, 150))


class LeadingStories(unittest.TestCase):
    def setUp(self) -> None:
        self.register, self.index = PolicyStateMachine(), 0
        self.leader = PolicyCoordinator(0, self.register, ("h1", "h2"), PermitTimeouts())
        self.do(ProposePolicy("c1", "asha", 0, "", 0, b"one"))

    def do(self, *wanted):
        for command in wanted:
            self.index += 1
            self.register.apply(self.index, commands.encode(command))

    def state(self) -> str:
        return self.register.state.policies[1].state

    def say(self, now: int, host: str, **told) -> None:
        self.do(*self.leader.heard(now, host, PolicyReport(**({"number": 0} | told)), now))
        self.do(*self.leader.tick(now))

    def test_it_is_decided_once_all_are_ready_and_in_force_once_all_go_by_it(self):
        self.say(SECOND, "h1", ready=1)
        self.assertEqual(self.state(), "proposed")
        self.say(SECOND, "h2", ready=1)
        self.assertEqual(self.state(), "decided")
        self.assertEqual(self.leader.answer(SECOND, "h1", PolicyReport(0)).content, b"one")
        self.do(*self.leader.tick(SECOND))
        self.say(2 * SECOND, "h1", number=1, has=1)
        self.assertEqual(self.state(), "decided")
        self.say(2 * SECOND, "h2", number=1, has=1)
        self.assertEqual(self.state(), "in force")

    def test_one_that_is_not_heard_is_waited_for_as_long_as_it_may_go_by_the_old_and_no_longer(self):
        self.say(SECOND, "h1", ready=1)
        self.say(SECOND, "h2", ready=1)
        self.do(*self.leader.tick(SECOND))
        self.say(2 * SECOND, "h1", number=1, has=1)
        self.do(*self.leader.tick(SECOND + LEASE))
        self.assertEqual(self.state(), "decided")
        self.do(*self.leader.tick(SECOND + PermitTimeouts().upper_bound(LEASE) + 2))
        self.assertEqual(self.state(), "in force")

    def test_a_new_leader_waits_a_whole_lease_anew(self):
        self.say(SECOND, "h1", ready=1)
        self.say(SECOND, "h2", ready=1)
        self.leader = PolicyCoordinator(3 * SECOND, self.register, ("h1", "h2"), PermitTimeouts())
        self.do(*self.leader.tick(3 * SECOND))
        self.do(*self.leader.tick(3 * SECOND + LEASE))
        self.assertEqual(self.state(), "decided")

    def test_any_no_ends_it_by_name_and_one_down_does_not_keep_it_from_being_made(self):
        self.say(SECOND, "h2", refused=1, why="n3 has no group 'quote'")
        self.assertEqual(self.register.state.policies[1].why, "h2: n3 has no group 'quote'")
        self.do(ProposePolicy("c2", "asha", 0, "", 0, b"two"))
        self.say(2 * SECOND, "h1", ready=2)
        self.say(12 * SECOND, "h1", ready=2)
        self.assertEqual(self.register.state.policies[2].state, "decided")


class ChangeStories(unittest.TestCase):
    def breaches(self, seeds=range(40)) -> list[str]:
        return [breach for seed in seeds for breach in PolicySimulation(seed).run()]

    def test_drawn_schedules_break_no_promise_and_come_to_an_end(self):
        made = 0
        for seed in range(100):
            world = PolicySimulation(seed)
            self.assertEqual((world.run(), world.stuck()), ([], []), seed)
            made += len(world.audit.decided)
        self.assertGreater(made, 100)

    def test_nodes_that_go_on_without_a_lease_are_caught(self):
        with mock.patch.object(NodePolicyLease, "may_decide", lambda policy, now: policy.until > 0):
            self.assertRegex(self.breaches()[0], "promise 11: ")

    def test_a_lease_that_counts_from_the_answer_is_caught(self):
        old = PolicyHost.answered
        with mock.patch.object(
            PolicyHost, "answered", lambda host, life, sent_at, heard: old(host, life, host.now(), heard)
        ):
            self.assertRegex(self.breaches((129, 258))[0], "promise 11: ")

    def test_one_told_as_in_force_before_the_longest_lease_is_over_is_caught(self):
        with mock.patch.object(PermitTimeouts, "upper_bound", lambda terms, time: time // 4):
            self.assertRegex(self.breaches()[0], "promise 11: ")

    def test_a_version_that_is_used_before_it_is_decided_is_caught(self):
        old = PolicyCoordinator.answer

        def early(leader, now, host, told):
            heard = old(leader, now, host, told)
            if heard.proposed and heard.offered:
                heard.number, heard.content = heard.proposed, heard.offered
            return heard

        with mock.patch.object(PolicyCoordinator, "answer", early):
            self.assertRegex(self.breaches()[0], "promise 12: ")

    def test_the_auditor_finds_what_comes_before_and_after_it_is_told(self):
        audit = PolicyChangeAudit()
        audit.decide(0, "n1", 2)
        audit.told_not_made(1, 2)
        audit.told_in_force(2, 3)
        audit.decide(3, "n2", 1)
        self.assertEqual(len(audit.breaches), 2)


class ModelStories(unittest.TestCase):
    def test_no_clock_within_the_drift_lets_an_old_version_be_used_and_each_rule_is_needed(self):
        lease, wait = 3.0, 3.0 * (1 + DRIFT) / (1 - DRIFT)
        self.assertFalse(model.old_after_in_force(lease, wait, DRIFT))
        for rule in ("came", "none", "wall"):
            self.assertTrue(model.old_after_in_force(lease, wait, DRIFT, rule), rule)
        self.assertTrue(model.old_after_in_force(lease, lease, DRIFT))

    def test_what_is_told_as_not_made_was_never_used_by_two_rules_that_are_both_needed(self):
        self.assertFalse(model.not_made_and_used({"decided first", "decided stays"}))
        self.assertTrue(model.not_made_and_used({"decided first"}))
        self.assertTrue(model.not_made_and_used({"decided stays"}))


if __name__ == "__main__":
    unittest.main()
