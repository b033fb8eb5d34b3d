"""Policy changes are in force on all hosts or on none, despite changes of leader, crashes and partitions."""

import unittest
from unittest import mock

from oakkeel.disruption import commands
from oakkeel.disruption.state import Rejection
from oakkeel.disruption.timeouts import PermitTimeouts
from oakkeel.emulator.policy_change import PolicyHost, PolicySimulation
from oakkeel.invariants.policy_change import PolicyChangeAudit
from oakkeel.models import policy_change as model
from oakkeel.policy_change.coordinator import (
    POLICY_LEASE_NS,
    PolicyAssignment,
    PolicyCoordinator,
    PolicyReport,
)
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
from oakkeel.units import SECOND

MAX_DRIFT_RATIO = PermitTimeouts().max_clock_drift_ratio


class PolicyStateMachineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.state_machine = PolicyStateMachine()
        self.index = 0

    def apply(self, command):
        self.index += 1
        return self.state_machine.apply(self.index, commands.encode(command))

    def propose(self, ident: str = "c1", based_on: int = 0, content: bytes = b"<policy/>"):
        return self.apply(ProposePolicy(ident, "asha", 0, "for Carnival", based_on, content))

    def test_takes_one_proposal_at_a_time_based_on_the_decided_version(self):
        first = self.propose()
        self.assertEqual((first.number, first.state), (1, "proposed"))
        self.assertIs(self.propose(), first)
        self.assertIn("another change", self.propose(content=b"<other/>").reason)
        self.assertIn("asha's change 1", self.propose("c2").reason)
        self.apply(CommitPolicy(1))
        self.assertIn("based on 0", self.propose("c2").reason)
        self.assertEqual(self.propose("c2", 1).number, 2)

    def test_applies_the_first_of_a_concurrent_commit_and_withdrawal(self):
        self.propose()
        self.apply(CommitPolicy(1))
        self.assertIsInstance(self.apply(WithdrawPolicy(1, "ravi")), Rejection)
        self.propose("c2", 1)
        self.assertIsInstance(self.apply(WithdrawPolicy(2, "ravi")), PolicyVersion)
        self.assertIsInstance(self.apply(CommitPolicy(2)), Rejection)
        self.assertEqual(self.state_machine.state.decided, 1)

    def test_snapshot_holds_all_versions_with_operator_and_reasons(self):
        self.propose()
        self.apply(RejectPolicy(1, "h3", "no such group"))
        restored = PolicyStateMachine()
        restored.restore(self.state_machine.snapshot())
        version = restored.state.policies[1]
        self.assertEqual(
            (version.operator, version.reason, version.state, version.state_reason),
            ("asha", "for Carnival", "refused", "h3: no such group"),
        )
        self.assertIsInstance(self.apply(MarkInForce(7)), Rejection)
        self.assertIsInstance(self.propose("big", content=bytes(70_000)), Rejection)


class PolicyLeaseTest(unittest.TestCase):
    def test_node_decides_only_with_a_valid_lease_and_ignores_earlier_versions(self):
        node = NodePolicyLease()
        self.assertFalse(node.may_decide(0))
        self.assertTrue(node.renew(0, 3, 100))
        self.assertTrue(node.may_decide(99))
        self.assertFalse(node.may_decide(100))
        self.assertIs(node.status, LeaseStatus.EXPIRED)
        self.assertFalse(node.renew(101, 2, 900))
        self.assertFalse(node.may_decide(102))
        node.renew(103, 3, 200)
        self.assertTrue(node.may_decide(104))

    def test_agent_reports_the_lowest_version_of_its_nodes_or_that_a_node_has_not_reported(self):
        agent = AgentPolicyLease()
        agent.receive_assignment(0, PolicyAssignment(2, SECOND, b"two"))
        agent.record_node_start("a")
        agent.record_node_start("b")
        agent.record_node_version("a", 2)
        self.assertEqual((agent.report().number, agent.report().held_version), (-1, 2))
        agent.record_node_version("b", 1)
        self.assertEqual(agent.report().number, 1)
        agent.remove_node("b")
        self.assertEqual(agent.report().number, 2)

    def test_lease_starts_at_the_heartbeat_and_a_reordered_response_does_not_shorten_it(self):
        agent = AgentPolicyLease()
        agent.receive_assignment(100, PolicyAssignment(1, 50, b"one"))
        agent.receive_assignment(20, PolicyAssignment(1, 50))
        self.assertEqual(agent.node_lease(), (1, 150))
        self.assertFalse(agent.receive_assignment(300, PolicyAssignment(0, 50)))
        # Without its content the agent can't use version 2, and its lease on version 1 is not renewed.
        agent.receive_assignment(200, PolicyAssignment(2, 50))
        self.assertEqual(agent.node_lease(), (1, 150))


class PolicyCoordinatorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.state_machine = PolicyStateMachine()
        self.index = 0
        self.coordinator = PolicyCoordinator(0, self.state_machine, ("h1", "h2"), PermitTimeouts())
        self.apply(ProposePolicy("c1", "asha", 0, "", 0, b"one"))

    def apply(self, *new_commands):
        for command in new_commands:
            self.index += 1
            self.state_machine.apply(self.index, commands.encode(command))

    def version_state(self) -> str:
        return self.state_machine.state.policies[1].state

    def receive_report(self, now: int, host: str, **fields) -> None:
        self.apply(*self.coordinator.receive_report(now, host, PolicyReport(**({"number": 0} | fields)), now))
        self.apply(*self.coordinator.tick(now))

    def test_version_is_decided_once_all_are_ready_and_in_force_once_all_use_it(self):
        self.receive_report(SECOND, "h1", ready_version=1)
        self.assertEqual(self.version_state(), "proposed")
        self.receive_report(SECOND, "h2", ready_version=1)
        self.assertEqual(self.version_state(), "decided")
        self.assertEqual(self.coordinator.assign(SECOND, "h1", PolicyReport(0)).content, b"one")
        self.apply(*self.coordinator.tick(SECOND))
        self.receive_report(2 * SECOND, "h1", number=1, held_version=1)
        self.assertEqual(self.version_state(), "decided")
        self.receive_report(2 * SECOND, "h2", number=1, held_version=1)
        self.assertEqual(self.version_state(), "in force")

    def test_version_is_in_force_once_the_lease_of_a_silent_host_has_expired(self):
        self.receive_report(SECOND, "h1", ready_version=1)
        self.receive_report(SECOND, "h2", ready_version=1)
        self.apply(*self.coordinator.tick(SECOND))
        self.receive_report(2 * SECOND, "h1", number=1, held_version=1)
        self.apply(*self.coordinator.tick(SECOND + POLICY_LEASE_NS))
        self.assertEqual(self.version_state(), "decided")
        self.apply(*self.coordinator.tick(SECOND + PermitTimeouts().upper_bound(POLICY_LEASE_NS) + 2))
        self.assertEqual(self.version_state(), "in force")

    def test_new_leader_waits_for_a_full_lease(self):
        self.receive_report(SECOND, "h1", ready_version=1)
        self.receive_report(SECOND, "h2", ready_version=1)
        self.coordinator = PolicyCoordinator(3 * SECOND, self.state_machine, ("h1", "h2"), PermitTimeouts())
        self.apply(*self.coordinator.tick(3 * SECOND))
        self.apply(*self.coordinator.tick(3 * SECOND + POLICY_LEASE_NS))
        self.assertEqual(self.version_state(), "decided")

    def test_one_refusal_rejects_a_version_and_a_host_that_is_down_does_not_block_a_version(self):
        self.receive_report(SECOND, "h2", refused_version=1, reason="n3 has no group 'quote'")
        self.assertEqual(self.state_machine.state.policies[1].state_reason, "h2: n3 has no group 'quote'")
        self.apply(ProposePolicy("c2", "asha", 0, "", 0, b"two"))
        self.receive_report(2 * SECOND, "h1", ready_version=2)
        self.receive_report(12 * SECOND, "h1", ready_version=2)
        self.assertEqual(self.state_machine.state.policies[2].state, "decided")


class PolicySimulationTest(unittest.TestCase):
    def simulated_breaches(self, seeds=range(40)) -> list[str]:
        return [breach for seed in seeds for breach in PolicySimulation(seed).run()]

    def test_random_schedules_break_no_invariant_and_complete(self):
        decided_count = 0
        for seed in range(100):
            simulation = PolicySimulation(seed)
            self.assertEqual((simulation.run(), simulation.convergence_failures()), ([], []), seed)
            decided_count += len(simulation.audit.decision_counts)
        self.assertGreater(decided_count, 100)

    def test_a_version_that_a_host_cannot_use_is_refused_and_never_used(self):
        refused_count = 0
        for seed in range(40):
            simulation = PolicySimulation(seed)
            simulation.run()
            for policy in simulation.state_machine.state.policies.values():
                if policy.state == "refused":
                    refused_count += 1
                    self.assertIn("this host cannot use it", policy.state_reason)
                    self.assertNotIn(policy.number, simulation.audit.decision_counts)
        self.assertGreater(refused_count, 0)

    def test_detects_nodes_that_decide_without_a_lease(self):
        with mock.patch.object(NodePolicyLease, "may_decide", lambda lease, now: lease.expires_at > 0):
            self.assertRegex(self.simulated_breaches()[0], "invariant 11: ")

    def test_detects_a_lease_that_starts_at_the_response(self):
        original = PolicyHost.receive_assignment
        with mock.patch.object(
            PolicyHost,
            "receive_assignment",
            lambda host, incarnation, sent_at, assignment: original(
                host, incarnation, host.now(), assignment
            ),
        ):
            self.assertRegex(self.simulated_breaches((129, 258))[0], "invariant 11: ")

    def test_detects_a_version_in_force_before_the_longest_lease_has_expired(self):
        with mock.patch.object(PermitTimeouts, "upper_bound", lambda timeouts, duration: duration // 4):
            self.assertRegex(self.simulated_breaches()[0], "invariant 11: ")

    def test_detects_a_version_used_before_it_is_decided(self):
        original = PolicyCoordinator.assign

        def assign_proposed_version(coordinator, now, host, report):
            assignment = original(coordinator, now, host, report)
            if assignment.proposed_number and assignment.proposed_content:
                assignment.number = assignment.proposed_number
                assignment.content = assignment.proposed_content
            return assignment

        with mock.patch.object(PolicyCoordinator, "assign", assign_proposed_version):
            self.assertRegex(self.simulated_breaches()[0], "invariant 12: ")

    def test_audit_detects_decisions_under_a_withdrawn_version_and_under_an_earlier_one(self):
        audit = PolicyChangeAudit()
        audit.record_decision(0, "n1", 2)
        audit.record_refused_or_withdrawn(1, 2)
        audit.record_in_force(2, 3)
        audit.record_decision(3, "n2", 1)
        self.assertEqual(len(audit.breaches), 2)


class PolicyModelTest(unittest.TestCase):
    def test_old_versions_are_not_used_within_the_clock_drift_and_each_rule_is_needed(self):
        lease_s = 3.0
        wait_s = 3.0 * (1 + MAX_DRIFT_RATIO) / (1 - MAX_DRIFT_RATIO)
        self.assertFalse(model.can_use_old_version_after_change(lease_s, wait_s, MAX_DRIFT_RATIO))
        for rule in set(model.LeaseRule) - {model.LeaseRule.FROM_SENT}:
            self.assertTrue(
                model.can_use_old_version_after_change(lease_s, wait_s, MAX_DRIFT_RATIO, rule), rule
            )
        self.assertTrue(model.can_use_old_version_after_change(lease_s, lease_s, MAX_DRIFT_RATIO))

    def test_withdrawn_version_is_never_used_and_both_rules_are_needed(self):
        self.assertFalse(model.can_withdraw_used_version({"decided first", "decided stays"}))
        self.assertTrue(model.can_withdraw_used_version({"decided first"}))
        self.assertTrue(model.can_withdraw_used_version({"decided stays"}))


if __name__ == "__main__":
    unittest.main()
