"""Elections of Raft replicas: pre-vote, lease and failover."""

import unittest

from oakkeel.raft.elections import VoteDecision, decide_vote
from oakkeel.raft.messages import EntryKind, Envelope, VoteRequest, VoteResponse, encode_members
from oakkeel.raft.proposals import LEASE_EXPIRED_REASON
from oakkeel.raft.replica import Replica
from oakkeel.raft.roles import Role
from oakkeel.units import SECOND
from tests.raft.cluster import Cluster


class ElectionTest(unittest.TestCase):
    def test_elects_a_leader_with_all_commands_within_two_seconds_of_a_crash(self):
        cluster = Cluster("a", "b", "c", "d", "e")
        cluster.commit(b"one")
        for _ in range(2):
            crashed_name = cluster.leader().name
            del cluster.replicas[crashed_name]
            crashed_at = cluster.now
            self.assertNotEqual(cluster.leader().name, crashed_name)
            self.assertLess(cluster.now - crashed_at, 2 * SECOND)
        cluster.commit(b"two")
        self.assertEqual(set(map(tuple, cluster.applied_commands().values())), {(b"one", b"two")})

    def test_partitioned_replica_does_not_depose_the_leader_on_its_return(self):
        cluster = Cluster("a", "b", "c")
        leader = cluster.leader()
        partitioned_name = next(name for name in cluster.replicas if name != leader.name)
        cluster.isolate(partitioned_name)
        cluster.run(10 * SECOND)
        self.assertEqual(cluster.replicas[partitioned_name].role, Role.PRE_CANDIDATE)
        cluster.blocked_links.clear()
        cluster.run(SECOND)
        self.assertEqual((cluster.leader(), leader.term, leader.elections_won), (leader, 1, 1))

    def test_lease_of_a_partitioned_leader_ends_before_the_next_election(self):
        cluster = Cluster("a", "b", "c")
        leader = cluster.leader()
        # The messages of the leader still arrive.
        cluster.blocked_links = {(name, leader.name) for name in cluster.replicas}
        cluster.run(cluster.timeouts.max_election_timeout_ns)
        self.assertFalse(leader.holds_lease(cluster.now))
        cluster.run(2 * SECOND, cluster.has_leader)
        self.assertIsNot(cluster.leader(), leader)

    def test_a_leader_that_steps_down_on_a_late_vote_response_no_longer_names_itself(self):
        # Its clients and agents would be redirected to it until a new leader is in contact.
        cluster = Cluster("a", "b", "c")
        leader = cluster.leader()
        other = next(replica for replica in cluster.replicas.values() if replica is not leader)
        response = VoteResponse(leader.term + 1, False, False)
        leader.receive(cluster.now, Envelope(leader.durable.epoch, other.name, other.incarnation, response))
        self.assertEqual((leader.role, leader.leader), (Role.FOLLOWER, ""))

    def test_leader_without_a_lease_reports_its_expiry_and_a_follower_reports_nothing(self):
        cluster = Cluster("a", "b", "c")
        leader = cluster.leader()
        follower = next(replica for replica in cluster.replicas.values() if replica is not leader)
        cluster.blocked_links = {(name, leader.name) for name in cluster.replicas}
        cluster.run(cluster.timeouts.min_election_timeout_ns)
        self.assertIs(leader.role, Role.LEADER)
        self.assertFalse(leader.holds_lease(cluster.now))
        self.assertEqual(leader.lease_missing_reason(), LEASE_EXPIRED_REASON)
        self.assertEqual(follower.lease_missing_reason(), "")

    def test_removed_leader_steps_down(self):
        cluster = Cluster("a", "b", "c", "d")
        leader = cluster.leader()
        other_names = [name for name in cluster.replicas if name != leader.name]
        cluster.commit(b"voters " + " ".join(other_names).encode())
        cluster.run(5 * SECOND, lambda: leader.role is not Role.LEADER)
        self.assertNotEqual(cluster.leader().name, leader.name)
        cluster.commit(b"after")

    def test_leader_with_its_uncommitted_removal_may_become_a_candidate(self):
        """Simulated schedule 1006046: only the leader had the entry that removes it. It neither voted for a
        shorter log nor became a candidate, and the other replicas had no majority without its vote."""
        cluster = Cluster("a", "b", "c", "d")
        cluster.commit(b"one")
        leader = cluster.leader()
        other_names = [name for name in cluster.replicas if name != leader.name]
        cluster.blocked_links = {(leader.name, other) for other in other_names}
        leader.append(
            cluster.now,
            EntryKind.MEMBERS,
            encode_members([member for member in leader.members if member.name != leader.name]),
        )
        cluster.process_output(leader.name, leader._finish(cluster.now))
        del cluster.storages[other_names[0]]
        cluster.start(other_names[0])
        cluster.run(3 * SECOND)
        cluster.blocked_links.clear()
        cluster.commit(b"two")
        cluster.run(3 * SECOND)
        self.assertNotIn(leader.incarnation, cluster.leader().voters)
        self.assertEqual(cluster.replicas[other_names[1]].state_machine.commands, [b"one", b"two"])


class VoteDecisionTest(unittest.TestCase):
    """A follower decides on vote requests of the other follower, long after the leader's last message."""

    def setUp(self) -> None:
        self.cluster = Cluster("a", "b", "c")
        self.cluster.commit(b"one")
        leader = self.cluster.leader()
        voter, candidate = (replica for replica in self.cluster.replicas.values() if replica is not leader)
        self.voter: Replica = voter
        self.candidate: Replica = candidate
        self.now = self.cluster.now + 10 * SECOND

    def decide(
        self, term_lead: int, *, pre_vote: bool = False, entry_lead: int = 0, incarnation: str = ""
    ) -> VoteDecision:
        """Decide on a request of a candidate whose term and log are ahead of the voter's by the leads."""
        log = self.voter.log
        request = VoteRequest(
            self.voter.term + term_lead, pre_vote, log.last_term, log.last_index + entry_lead
        )
        sender = incarnation or self.candidate.incarnation
        envelope = Envelope(self.voter.durable.epoch, self.candidate.name, sender, request)
        return decide_vote(self.now, self.voter, envelope, request)

    def test_grants_a_vote_in_a_later_term_for_a_log_that_is_not_shorter(self):
        self.assertEqual(self.decide(1), VoteDecision.GRANT)
        self.assertEqual(self.decide(1, pre_vote=True), VoteDecision.GRANT)
        self.assertEqual(self.decide(1, entry_lead=-1), VoteDecision.LOG_BEHIND)

    def test_grants_one_vote_in_a_term_and_none_in_an_earlier_term(self):
        self.voter.durable.voted_for = ""
        self.assertEqual(self.decide(0), VoteDecision.GRANT)
        self.voter.durable.voted_for = "another"
        self.assertEqual(self.decide(0), VoteDecision.ALREADY_VOTED)
        self.voter.durable.voted_for = self.candidate.incarnation
        self.assertEqual(self.decide(0), VoteDecision.GRANT)
        self.assertEqual(self.decide(0, pre_vote=True), VoteDecision.TERM_ENDED)
        self.assertEqual(self.decide(-1), VoteDecision.TERM_ENDED)

    def test_grants_no_vote_while_a_leader_is_in_contact(self):
        contact_at = self.voter.leader_contact_at
        self.now = contact_at + self.cluster.timeouts.min_election_timeout_ns - 1
        self.assertEqual(self.decide(1), VoteDecision.LEADER_ALIVE)
        self.now += 1
        self.assertEqual(self.decide(1), VoteDecision.GRANT)

    def test_grants_no_vote_to_a_replaced_incarnation_or_during_recovery(self):
        self.assertEqual(self.decide(1, incarnation="replaced"), VoteDecision.REPLACED)
        self.voter.role = Role.RECOVERING
        self.assertEqual(self.decide(1), VoteDecision.RECOVERING)
