"""Elections of Raft replicas: pre-vote, lease and failover."""

import unittest

from oakkeel.raft.messages import EntryKind, encode_members
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
