"""Elections of Raft replicas: pre-vote, lease and failover."""

import unittest

from oakkeel.raft.elections import VoteDecision, decide_vote
from oakkeel.raft.messages import EntryKind, Envelope, VoteRequest, encode_members
from oakkeel.raft.proposals import LEASE_EXPIRED_REASON
from oakkeel.raft.replica import Replica
from oakkeel.raft.roles import Role
from oakkeel.units import SECOND
from tests.raft.cluster import Cluster


class ElectionTest(unittest.TestCase):
    def test_elects_a_complete_leader_within_two_seconds_of_a_crash(self):
        cluster = Cluster("a", "b", "c", "d", "e")
        cluster.commit(b"one")
        for _ in range(2):
            gone = cluster.leader().name
            del cluster.replicas[gone]
            since = cluster.now
            self.assertNotEqual(cluster.leader().name, gone)
            self.assertLess(cluster.now - since, 2 * SECOND)
        cluster.commit(b"two")
        self.assertEqual(set(map(tuple, cluster.applied_commands().values())), {(b"one", b"two")})

    def test_partitioned_replica_does_not_depose_the_leader_on_its_return(self):
        cluster = Cluster("a", "b", "c")
        leader = cluster.leader()
        partitioned = next(name for name in cluster.replicas if name != leader.name)
        cluster.isolate(partitioned)
        cluster.run(10 * SECOND)
        self.assertEqual(cluster.replicas[partitioned].role, Role.PRE_CANDIDATE)
        cluster.cut_links.clear()
        cluster.run(SECOND)
        self.assertEqual((cluster.leader(), leader.term, leader.elections_won), (leader, 1, 1))

    def test_lease_of_a_partitioned_leader_ends_before_the_next_election(self):
        cluster = Cluster("a", "b", "c")
        leader = cluster.leader()
        cluster.cut_links = {
            (name, leader.name) for name in cluster.replicas
        }  # its own messages still arrive
        cluster.run(cluster.timeouts.max_election_timeout_ns)
        self.assertFalse(leader.holds_lease(cluster.now))
        cluster.run(2 * SECOND, cluster.has_leader)
        self.assertIsNot(cluster.leader(), leader)

    def test_leader_without_a_lease_says_that_it_leads(self):
        cluster = Cluster("a", "b", "c")
        leader = cluster.leader()
        follower = next(each for each in cluster.replicas.values() if each is not leader)
        cluster.cut_links = {(name, leader.name) for name in cluster.replicas}
        cluster.run(cluster.timeouts.min_election_timeout_ns)
        self.assertIs(leader.role, Role.LEADER)
        self.assertFalse(leader.holds_lease(cluster.now))
        self.assertEqual(leader.lease_missing_reason(), LEASE_EXPIRED_REASON)
        self.assertEqual(follower.lease_missing_reason(), "")

    def test_removed_leader_steps_down(self):
        cluster = Cluster("a", "b", "c", "d")
        leader = cluster.leader()
        others = [name for name in cluster.replicas if name != leader.name]
        cluster.commit(b"voters " + " ".join(others).encode())
        cluster.run(5 * SECOND, lambda: leader.role is not Role.LEADER)
        self.assertNotEqual(cluster.leader().name, leader.name)
        cluster.commit(b"after")

    def test_leader_with_its_uncommitted_removal_may_become_a_candidate(self):
        """Drawn schedule 1006046: only the leader had the entry that removes it. It did not vote for a
        shorter log nor become a candidate, and the others had no majority without it."""
        cluster = Cluster("a", "b", "c", "d")
        cluster.commit(b"one")
        leader = cluster.leader()
        others = [name for name in cluster.replicas if name != leader.name]
        cluster.cut_links = {(leader.name, other) for other in others}
        leader.append(
            cluster.now,
            EntryKind.MEMBERS,
            encode_members([member for member in leader.members if member.name != leader.name]),
        )
        cluster.carry_out(leader.name, leader._finish(cluster.now))
        del cluster.storages[others[0]]
        cluster.start(others[0])
        cluster.run(3 * SECOND)
        cluster.cut_links.clear()
        cluster.commit(b"two")
        cluster.run(3 * SECOND)
        self.assertNotIn(leader.incarnation, cluster.leader().voters)
        self.assertEqual(cluster.replicas[others[1]].state_machine.commands, [b"one", b"two"])


class VoteDecisionTest(unittest.TestCase):
    """One follower of three decides on requests of another, long after the last message of the leader."""

    def setUp(self) -> None:
        self.cluster = Cluster("a", "b", "c")
        self.cluster.commit(b"one")
        leader = self.cluster.leader()
        voter, candidate = (replica for replica in self.cluster.replicas.values() if replica is not leader)
        self.voter: Replica = voter
        self.candidate: Replica = candidate
        self.now = self.cluster.now + 10 * SECOND

    def decide(
        self, term: int, *, pre_vote: bool = False, entries: int = 0, incarnation: str = ""
    ) -> VoteDecision:
        """Decide on a request; `term` and `entries` are what the candidate has more than the voter."""
        log = self.voter.log
        request = VoteRequest(self.voter.term + term, pre_vote, log.last_term, log.last_index + entries)
        sender = incarnation or self.candidate.incarnation
        envelope = Envelope(self.voter.durable.epoch, self.candidate.name, sender, request)
        return decide_vote(self.now, self.voter, envelope, request)

    def test_grants_a_vote_in_a_later_term_for_a_log_that_is_as_long(self):
        self.assertEqual(self.decide(1), VoteDecision.GRANT)
        self.assertEqual(self.decide(1, pre_vote=True), VoteDecision.GRANT)
        self.assertEqual(self.decide(1, entries=-1), VoteDecision.LOG_BEHIND)

    def test_gives_one_vote_in_a_term_and_none_in_an_earlier_one(self):
        self.voter.durable.voted_for = ""
        self.assertEqual(self.decide(0), VoteDecision.GRANT)
        self.voter.durable.voted_for = "another"
        self.assertEqual(self.decide(0), VoteDecision.ALREADY_VOTED)
        self.voter.durable.voted_for = self.candidate.incarnation
        self.assertEqual(self.decide(0), VoteDecision.GRANT)
        self.assertEqual(self.decide(0, pre_vote=True), VoteDecision.TERM_ENDED)
        self.assertEqual(self.decide(-1), VoteDecision.TERM_ENDED)

    def test_gives_no_vote_while_a_leader_is_in_contact(self):
        contact_at = self.voter.leader_contact_at
        self.now = contact_at + self.cluster.timeouts.min_election_timeout_ns - 1
        self.assertEqual(self.decide(1), VoteDecision.LEADER_ALIVE)
        self.now += 1
        self.assertEqual(self.decide(1), VoteDecision.GRANT)

    def test_gives_no_vote_to_a_replaced_incarnation_or_while_it_recovers(self):
        self.assertEqual(self.decide(1, incarnation="replaced"), VoteDecision.REPLACED)
        self.voter.role = Role.RECOVERING
        self.assertEqual(self.decide(1), VoteDecision.RECOVERING)
