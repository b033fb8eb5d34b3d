"""The agent's side: the permit holder, the lease holder and the leader locator."""

import unittest
from types import SimpleNamespace

from oakkeel.agent.instances import HostTaskState, Instance, Phase, Verb
from oakkeel.agent.leader_locator import LeaderLocator
from oakkeel.agent.order_rules import OrderSubmission
from oakkeel.agent.orders import OrderRegistry
from oakkeel.agent.supervision_rules import SupervisionTimeouts
from oakkeel.agent.supervisor import Supervisor
from oakkeel.disruption import commands
from oakkeel.disruption.holder import PermitHolder, StoredPermit
from oakkeel.disruption.lease_holder import LeaseHolder
from oakkeel.disruption.messages import GrantedPermit, HeartbeatResponse
from oakkeel.disruption.state import Rejection
from oakkeel.units import MS, SECOND
from tests.disruption.permit_cluster import PermitClusterTest


class PermitHolderTest(PermitClusterTest):
    def test_target_gets_no_first_drain_request_after_the_validity_of_its_permit(self):
        """Simulated schedule 1047676: a permit was started, and the disk was full for eight seconds. The
        targets that failed during that time were not counted when the permit was used."""
        for is_late, state in ((False, "serving"), (True, "serving"), (True, "draining")):
            self.setUp()
            self.send_heartbeats()
            self.submit("o1", "a")
            self.send_heartbeats()
            holder = self.holders["h1"]
            instance = Instance(
                "a",
                "s",
                phase=Phase.SERVING,
                generation=1,
                process_generation=1,
                is_spawned=True,
                generation_limit=9,
            )
            supervision = Supervisor(
                [instance], SupervisionTimeouts(silence_timeout_ns=SECOND * 60), {}, 1, lambda: 0
            )
            orders = OrderRegistry(supervision, lambda: 0, permit_holder=holder)
            orders.submit(self.now, OrderSubmission("o1", "asha", Verb.DRAIN, (("a", 1),), 60 * SECOND))
            orders.advance(self.now)
            [step] = supervision.tick(self.now)
            self.assertTrue(holder.permits["a"].started)
            instance.drain_sent_at = 0  # the request was delayed, as the start could not be stored
            instance.report = SimpleNamespace(state=state)
            self.now += 4 * SECOND * is_late
            steps = orders.permitted_steps(self.now, supervision.tick(self.now))
            if is_late and state == "serving":
                self.assertEqual((steps, instance.phase, instance.task), ([], Phase.SERVING, None))
                self.assertEqual(orders.orders["o1"].tasks[0].state, HostTaskState.CANCELLED)
            else:
                self.assertEqual((steps, instance.task.is_drain_sent), ([step], True))

    def test_rejects_older_responses_responses_of_other_clusters_and_older_tokens(self):
        holder = PermitHolder("h1", ("a",), 1)
        response = HeartbeatResponse("e", 7, [GrantedPermit("a", "o1", 6, False, 3 * SECOND)], [], {})
        self.assertTrue(holder.receive_response(SECOND, SECOND, response))
        self.assertFalse(holder.receive_response(SECOND, SECOND, HeartbeatResponse("e", 5, [], [], {})))
        self.assertFalse(holder.receive_response(SECOND, SECOND, HeartbeatResponse("other", 9, [], [], {})))
        holder.start(SECOND, "a")
        restarted_holder = PermitHolder("h1", ("a",), 2)
        restarted_holder.restore("e", [StoredPermit("a", 6, "o1", True)], {})
        self.assertTrue(restarted_holder.may_start(9 * SECOND, "a", "o1"))  # the permit was started before
        restarted_holder.receive_response(
            SECOND, SECOND, HeartbeatResponse("e", 9, [GrantedPermit("a", "o0", 4, False, SECOND)], [], {})
        )
        self.assertFalse(restarted_holder.may_start(SECOND, "a", "o0"))


class LeaseHolderTest(PermitClusterTest):
    def test_lease_has_one_holder_at_a_time_and_the_next_holder_gets_a_higher_token(self):
        first_holder = LeaseHolder("release", "h1", SECOND)
        second_holder = LeaseHolder("release", "h2", SECOND)
        sent_at = self.now
        self.assertTrue(
            first_holder.receive_result(sent_at, self.apply(first_holder.build_acquire_command()))
        )
        token = first_holder.fencing_token
        self.assertFalse(
            second_holder.receive_result(self.now, self.apply(second_holder.build_acquire_command()))
        )
        self.now += SECOND // 2
        # A renewal keeps the token.
        self.assertTrue(
            first_holder.receive_result(self.now, self.apply(first_holder.build_acquire_command()))
        )
        self.assertEqual(
            (first_holder.fencing_token, first_holder.expires_at), (token, sent_at + SECOND // 2 + SECOND)
        )
        self.elect()  # a new leader does not know the time of the renewal
        self.now += SECOND
        self.assertFalse(first_holder.is_held(self.now))
        self.apply(*self.allocator.tick(self.now))
        self.assertFalse(
            second_holder.receive_result(self.now, self.apply(second_holder.build_acquire_command()))
        )
        self.now += self.allocator.timeouts.upper_bound(SECOND) + MS
        self.apply(*self.allocator.tick(self.now))
        self.assertTrue(
            second_holder.receive_result(self.now, self.apply(second_holder.build_acquire_command()))
        )
        self.assertGreater(second_holder.fencing_token, token)
        self.assertIsInstance(self.apply(commands.ReleaseLease("release", token)), Rejection)
        self.assertFalse(first_holder.receive_result(self.now, Rejection("h2 holds it")))


class LeaderLocatorTest(unittest.TestCase):
    def test_polls_the_leader_of_a_redirect_or_else_each_voter_in_turn(self):
        locator = LeaderLocator(["h1", "h2", "h3"], ["h1", "h2", "h3", "h4"])
        polled_hosts = []
        for leader in ("", "", "h4", "h9", "h4"):
            locator.redirect(leader)
            polled_hosts.append(locator.current)
        self.assertEqual(polled_hosts, ["h2", "h3", "h4", "h1", "h4"])
        locator.set_voters(["h9"])
        locator.redirect("")
        self.assertIn(locator.current, ("h1", "h2", "h3"))
