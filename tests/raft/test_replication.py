"""Replication of the log: proposals, duplicates and messages of another cluster."""

import unittest

from oakkeel.raft.messages import (
    AppendEntriesRequest,
    AppendEntriesResponse,
    Entry,
    Envelope,
    RecoveryRequest,
)
from oakkeel.raft.proposals import ProposalLimitError, ProposalStatus
from oakkeel.units import MS, SECOND
from tests.raft.cluster import Cluster


class ReplicationTest(unittest.TestCase):
    def test_proposal_to_a_partitioned_leader_has_an_unknown_status(self):
        cluster = Cluster("a", "b", "c")
        leader = cluster.leader()
        cluster.isolate(leader.name)
        proposal, output = leader.propose(cluster.now, b"never")
        cluster.process_output(leader.name, output)
        cluster.run(3 * SECOND)
        self.assertEqual(proposal.status, ProposalStatus.UNKNOWN)
        cluster.commit(b"other")
        cluster.blocked_links.clear()
        cluster.commit(b"third")
        self.assertEqual(set(map(tuple, cluster.applied_commands().values())), {(b"other", b"third")})

    def test_messages_of_another_cluster_and_duplicates_change_nothing(self):
        cluster = Cluster("a", "b", "c")
        cluster.commit(b"one")
        leader = cluster.leader()
        follower = next(replica for replica in cluster.replicas.values() if replica is not leader)
        for envelope in (
            Envelope("other", "x", "x.1", AppendEntriesRequest(99, 0, 0, [Entry(99, 2, b"bad")], 1, 0, [])),
            Envelope("other", "x", "x.1", RecoveryRequest(1, False, 99, 99, 99)),
            Envelope(
                leader.durable.epoch,
                leader.name,
                leader.incarnation,
                AppendEntriesRequest(leader.term, 0, 0, list(leader.log.entries), 2, 0, []),
            ),
        ):
            for _ in range(2):
                follower.receive(cluster.now, envelope)
        self.assertEqual((follower.term, follower.state_machine.commands), (leader.term, [b"one"]))

    def test_duplicated_messages_do_not_multiply(self):
        cluster = Cluster("a", "b", "c")
        leader = cluster.leader()
        cluster.commit(b"one")
        peer = next(iter(leader.leader_state.peers.values()))
        incarnation = next(
            incarnation for incarnation, other in leader.leader_state.peers.items() if other is peer
        )
        # The peer rejects all entries.
        peer.match_index = 0
        peer.next_index = 1
        peer.in_flight = False
        responses = [AppendEntriesResponse(leader.term, False, 0, peer.sent_at)]
        for _ in range(12):
            cluster.now += MS
            sent_messages = []
            for response in responses:
                output = leader.receive(
                    cluster.now, Envelope(leader.durable.epoch, peer.name, incarnation, response)
                )
                sent_messages += [
                    envelope.message for recipient, envelope in output.envelopes if recipient == peer.name
                ]
            responses = [
                AppendEntriesResponse(leader.term, False, 0, message.sent_at)
                for message in sent_messages
                for _ in range(2)
            ]
        self.assertEqual(len(responses), 2)

    def test_leader_rejects_too_many_and_too_large_proposals(self):
        cluster = Cluster("a", "b", "c")
        leader = cluster.leader()
        cluster.blocked_links = {(leader.name, name) for name in cluster.replicas}
        with self.assertRaisesRegex(ProposalLimitError, "1024 proposals are not committed yet"):
            for _ in range(2000):
                leader.propose(cluster.now, b"x")
        with self.assertRaisesRegex(ProposalLimitError, "5242880 bytes; 4194304 are allowed"):
            Cluster("a").leader().propose(SECOND, bytes(5 << 20))
