"""The leader's grants, its expiry of permits, and its sessions of agents."""

from oakkeel.disruption import commands
from oakkeel.disruption.holder import PermitHolder
from oakkeel.disruption.state import Rejection
from oakkeel.units import MS, SECOND
from tests.disruption.permit_cluster import TOPOLOGY, PermitClusterTest


class GrantTest(PermitClusterTest):
    def test_grants_nothing_before_all_agents_of_the_site_have_reported(self):
        self.submit("o1", "a")
        self.send_heartbeats("h2")
        self.assertEqual(self.task_states("o1"), {"a": "waiting"})
        self.send_heartbeats("h1")
        self.assertEqual(self.task_states("o1"), {"a": "granted"})

    def test_grants_keep_the_budget_of_all_hosts_and_continue_after_a_release(self):
        self.send_heartbeats()
        self.submit("o1", "a", "b", "c", "d", verb="restart")
        self.send_heartbeats()
        self.send_heartbeats()
        self.assertEqual(
            sorted(self.task_states("o1").values()), ["granted", "granted", "waiting", "waiting"]
        )
        self.assertTrue(self.start("h1", "a", "o1"))
        self.assertFalse(self.start("h1", "b", "o1"))
        self.send_heartbeats()
        self.assertEqual(self.task_states("o1")["a"], "out")
        self.serving["a"] = True
        self.holders["h1"].mark_restored("a")
        self.send_heartbeats()
        self.send_heartbeats()
        self.assertEqual(
            self.task_states("o1"), {"a": "done", "b": "granted", "c": "granted", "d": "waiting"}
        )

    def test_atomic_order_waits_for_room_for_all_its_targets(self):
        self.send_heartbeats()
        self.submit("o1", "a")
        self.send_heartbeats()
        self.submit("o2", "c", "d", atomic=True)
        self.send_heartbeats()
        self.assertEqual(self.task_states("o2"), {"c": "waiting", "d": "waiting"})
        self.start("h1", "a", "o1")
        self.send_heartbeats()
        self.apply(commands.CancelOrder("o1", "ravi"))
        self.serving["a"] = True
        self.holders["h1"].mark_restored("a")
        self.send_heartbeats()
        self.send_heartbeats()
        self.assertEqual(self.task_states("o2"), {"c": "granted", "d": "granted"})
        self.assertIsInstance(self.submit("o3", "a", "b", "nobody"), Rejection)
        self.assertEqual(self.state_machine.state.orders["o2"].atomic, True)

    def test_unavailable_service_counts_with_its_dependents(self):
        self.send_heartbeats()
        self.submit("o1", "cat2")
        self.send_heartbeats()
        # c and d depend on cat2, so the budget of the fleet is exhausted.
        self.assertEqual(self.task_states("o1"), {"cat2": "granted"})
        self.submit("o2", "a")
        self.send_heartbeats()
        self.assertEqual(self.task_states("o2"), {"a": "waiting"})
        self.serving["cat1"] = False  # cat1 fails while cat2, of the same kind, is out
        self.submit("o3", "cat1")
        self.send_heartbeats()
        self.assertEqual(
            (self.task_states("o2"), self.task_states("o3")), ({"a": "waiting"}, {"cat1": "waiting"})
        )
        self.assertIn("hangs on cat1", self.allocator.unavailable.reasons["a"])

    def test_permit_beyond_the_budget_can_be_started_only_while_its_target_is_down(self):
        self.serving["a"] = self.serving["b"] = False  # the maximum of their site is 1
        self.send_heartbeats()
        self.submit("o1", "a", verb="restart")
        self.send_heartbeats()
        holder = self.holders["h1"]
        self.assertTrue(self.state_machine.state.permits["a"].only_while_down)
        self.assertFalse(holder.may_start(self.now, "a", "o1", True))
        self.assertTrue(holder.may_start(self.now, "a", "o1", False))


class ExpiryTest(PermitClusterTest):
    def test_permit_expires_after_its_validity_and_uses_its_budget_until_its_agent_reports(self):
        self.send_heartbeats()
        self.submit("o1", "a")
        self.submit("o2", "c", "d")
        self.send_heartbeats()
        timeouts = self.allocator.timeouts
        granted_at = self.now
        self.now = granted_at + timeouts.validity_ns - MS
        self.assertTrue(self.holders["h1"].may_start(self.now, "a", "o1"))
        self.now = granted_at + timeouts.validity_ns
        self.assertFalse(self.holders["h1"].may_start(self.now, "a", "o1"))
        self.now = granted_at + timeouts.expiry_ns + MS
        for _ in range(3):
            self.send_heartbeats("h2")
        token = self.state_machine.state.permits["a"].fencing_token
        self.assertTrue(self.state_machine.state.permits["a"].expired_index)
        # The agent does not know of the expiry when it sends this heartbeat.
        heartbeat = self.holders["h1"].build_heartbeat(self.now, self.serving, [], {})
        self.apply(*self.allocator.receive_heartbeat(self.now, heartbeat))
        self.assertEqual(self.state_machine.state.permits["a"].fencing_token, token)
        self.send_heartbeats("h1")
        self.assertFalse(self.holders["h1"].may_start(self.now, "a", "o1"))
        self.send_heartbeats("h1")
        self.assertGreater(self.state_machine.state.permits["a"].fencing_token, token)  # a new grant

    def test_started_permit_survives_its_expiry_while_the_agent_was_silent(self):
        self.send_heartbeats()
        self.submit("o1", "a")
        self.send_heartbeats()
        self.start("h1", "a", "o1")
        self.now += self.allocator.timeouts.expiry_ns + MS
        self.send_heartbeats("h2")
        self.submit("o2", "b")
        self.serving["b"] = False  # b is down, so the budget has no room for a second permit
        self.send_heartbeats()
        self.send_heartbeats()
        self.assertEqual((self.task_states("o1"), self.task_states("o2")), ({"a": "out"}, {"b": "waiting"}))

    def test_new_leader_counts_the_full_validity_of_a_permit_again(self):
        self.send_heartbeats()
        self.submit("o1", "a")
        self.send_heartbeats()
        self.now += 2 * SECOND
        self.elect()
        self.now += 2 * SECOND
        self.send_heartbeats("h2")
        self.assertIn("a", self.state_machine.state.permits)


class ReportTest(PermitClusterTest):
    def test_all_targets_of_a_silent_host_count_as_unavailable(self):
        self.send_heartbeats()
        self.now += 3 * SECOND
        self.submit("o1", "a")
        self.send_heartbeats("h1")
        self.assertEqual(self.task_states("o1"), {"a": "waiting"})  # c and d count as unavailable
        self.send_heartbeats("h2")
        self.assertEqual(self.task_states("o1"), {"a": "granted"})

    def test_ignores_late_heartbeat_of_an_earlier_incarnation(self):
        self.send_heartbeats()
        late_heartbeat = self.holders["h1"].build_heartbeat(self.now, self.serving, [], {})
        self.holders["h1"] = PermitHolder("h1", TOPOLOGY.hosts["h1"], 2)
        self.serving["a"] = False
        self.send_heartbeats("h1")
        self.send_heartbeats("h1")  # the echo of the leader's timestamp shows the later incarnation
        self.allocator.receive_heartbeat(self.now, late_heartbeat)
        self.assertIn("does not serve", self.allocator.unavailable.reasons["a"])

    def test_late_heartbeat_of_a_killed_agent_does_not_outdate_its_successor(self):
        """Simulated schedule 1020500: after a change of leader, the heartbeat arrived after the successor's
        first heartbeat. The successor was taken for the earlier incarnation, and the leader ignored it."""
        self.send_heartbeats()
        late_heartbeat = self.holders["h1"].build_heartbeat(self.now, self.serving, [], {})
        self.holders["h1"] = PermitHolder("h1", TOPOLOGY.hosts["h1"], 2)
        self.index += 1
        self.elect()
        self.serving["a"] = False
        self.send_heartbeats("h1")
        self.allocator.receive_heartbeat(self.now, late_heartbeat)
        self.send_heartbeats("h1")
        self.now += SECOND
        self.send_heartbeats("h1")
        self.assertEqual(self.allocator.sessions["h1"].incarnation, 2)
        self.assertEqual(self.allocator.sessions["h1"].last_heartbeat_at, self.now)
