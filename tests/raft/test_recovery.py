"""Recovery of Raft replicas that start: bootstrap, lost files and older copies."""

import unittest

from oakkeel.raft.proposals import NotLeaderError
from oakkeel.raft.roles import Role
from oakkeel.raft.timeouts import RaftTimeouts
from oakkeel.units import MS, SECOND
from tests.raft.cluster import Cluster


class RecoveryTest(unittest.TestCase):
    def test_three_empty_replicas_bootstrap_a_cluster(self):
        cluster = Cluster("a", "b", "c")
        cluster.commit(b"one", b"two")
        self.assertEqual(set(map(tuple, cluster.applied_commands().values())), {(b"one", b"two")})
        self.assertEqual(len({replica.durable.epoch for replica in cluster.replicas.values()}), 1)

    def test_does_not_bootstrap_while_an_initial_voter_is_missing(self):
        cluster = Cluster("a", "b", initial_voters=("a", "b", "c"))
        cluster.run(5 * SECOND)
        self.assertEqual({replica.role for replica in cluster.replicas.values()}, {Role.RECOVERING})
        with self.assertRaises(NotLeaderError):
            cluster.replicas["a"].propose(cluster.now, b"one")

    def test_replica_with_a_lost_file_votes_only_as_a_new_member(self):
        cluster = Cluster("a", "b", "c")
        cluster.commit(b"one")
        lost_name = next(name for name in cluster.replicas if name != cluster.leader().name)
        lost_incarnation = cluster.storages.pop(lost_name).metadata.incarnation
        cluster.start(lost_name)
        cluster.commit(b"two")
        replica = cluster.replicas[lost_name]
        cluster.run(5 * SECOND, lambda: replica.incarnation in cluster.leader().voters)
        self.assertIn(replica.incarnation, cluster.leader().voters)
        self.assertNotIn(lost_incarnation, cluster.leader().voters)
        self.assertEqual(cluster.applied_commands()[lost_name], [b"one", b"two"])

    def test_replica_with_an_older_file_is_stale(self):
        cluster = Cluster("a", "b", "c")
        cluster.commit(b"one")
        restored_name = next(name for name in cluster.replicas if name != cluster.leader().name)
        backup = cluster.storages[restored_name].copy()
        cluster.commit(b"two", b"three", b"four")  # acknowledgements are stored with later entries
        cluster.storages[restored_name] = backup
        cluster.start(restored_name)
        cluster.run(SECOND, lambda: cluster.replicas[restored_name].role is not Role.RECOVERING)
        self.assertEqual(cluster.replicas[restored_name].role, Role.STALE)
        self.assertRegex(cluster.replicas[restored_name].stale_reason, "knows that this replica stored entry")
        del cluster.storages[restored_name]
        cluster.start(restored_name)
        cluster.run(
            5 * SECOND, lambda: cluster.replicas[restored_name].incarnation in cluster.leader().voters
        )
        self.assertEqual(cluster.applied_commands()[restored_name], [b"one", b"two", b"three", b"four"])

    def test_recovery_waits_for_the_responses_of_all_reachable_voters(self):
        """Simulated schedule 1018860: the first response came from a voter that did not know of the latest
        acknowledgement."""
        cluster = Cluster("a", "b", "c")
        cluster.commit(b"one")
        leader_name = cluster.leader().name
        restored_name, other_name = (name for name in cluster.replicas if name != leader_name)
        backup = cluster.storages[restored_name].copy()
        cluster.blocked_links = {(leader_name, other_name), (other_name, leader_name)}
        cluster.commit(b"two", b"three")
        cluster.storages[restored_name] = backup
        cluster.start(restored_name)
        cluster.run(300 * MS, lambda: cluster.replicas[restored_name].role is not Role.RECOVERING)
        self.assertEqual(cluster.replicas[restored_name].role, Role.STALE)

    def test_follower_whose_log_ends_before_its_acknowledgement_is_stale(self):
        cluster = Cluster("a", "b", "c")
        cluster.commit(b"one")
        leader_name = cluster.leader().name
        restored_name = next(name for name in cluster.replicas if name != leader_name)
        backup = cluster.storages[restored_name].copy()
        cluster.commit(b"two", b"three")
        cluster.storages[restored_name] = backup
        cluster.start(restored_name)
        cluster.replicas[restored_name].change_role(
            cluster.now, Role.FOLLOWER
        )  # as if no voter knew of the acknowledgement
        cluster.run(SECOND, lambda: cluster.replicas[restored_name].role is Role.STALE)
        self.assertRegex(cluster.replicas[restored_name].stale_reason, "has its acknowledgement of entry")

    def test_recovering_replica_in_contact_with_the_leader_is_not_stale(self):
        cluster = Cluster("a", "b", "c")
        cluster.commit(b"one")
        leader = cluster.leader()
        name = next(other_name for other_name in cluster.replicas if other_name != leader.name)
        cluster.start(name)
        replica = cluster.replicas[name]
        # The recovery requests of the replica are lost, but the messages of the leader arrive.
        cluster.blocked_links = {(name, other_name) for other_name in cluster.replicas}
        cluster.commit(b"two", b"three")
        cluster.run(300 * MS)
        cluster.blocked_links.clear()
        cluster.run(2 * SECOND, lambda: replica.role is not Role.RECOVERING)
        self.assertEqual(replica.role, Role.FOLLOWER)
        self.assertEqual(cluster.applied_commands()[name], [b"one", b"two", b"three"])

    def test_restarted_replicas_elect_a_leader_in_a_later_term(self):
        cluster = Cluster("a", "b", "c")
        cluster.commit(b"one")
        for name in list(cluster.replicas):
            cluster.start(name)
        terms = {replica.durable.term for replica in cluster.replicas.values()}
        cluster.commit(b"two")
        self.assertGreater(cluster.leader().term, max(terms))

    def test_cluster_continues_after_all_replicas_are_killed(self):
        cluster = Cluster("a", "b", "c", timeouts=RaftTimeouts(max_entries_before_snapshot=4))
        cluster.commit(*(b"%d" % number for number in range(10)))
        for name in list(cluster.replicas):
            cluster.start(name)
        cluster.commit(b"last")
        self.assertEqual({len(commands) for commands in cluster.applied_commands().values()}, {11})
        self.assertTrue(all(replica.log.snapshot.index > 4 for replica in cluster.replicas.values()))
