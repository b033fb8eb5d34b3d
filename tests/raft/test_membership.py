"""Membership changes of a Raft cluster."""

import unittest

from oakkeel.raft.log import ReplicatedLog, Snapshot
from oakkeel.raft.messages import Entry, EntryKind, Member, encode_members
from oakkeel.raft.timeouts import RaftTimeouts
from oakkeel.units import SECOND
from tests.raft.cluster import Cluster


class MembershipTest(unittest.TestCase):
    def test_voters_change_from_three_to_five_while_one_is_partitioned_and_then_to_three(self):
        cluster = Cluster(
            "a",
            "b",
            "c",
            "d",
            "e",
            initial_voters=("a", "b", "c"),
            timeouts=RaftTimeouts(max_entries_before_snapshot=4),
        )
        cluster.commit(*(b"%d" % number for number in range(6)))
        partitioned_name = next(name for name in "abc" if name != cluster.leader().name)
        cluster.isolate(partitioned_name)
        cluster.commit(b"voters a b c d e")

        def voters() -> set[str]:
            return {member.name for member in cluster.leader().members if member.is_voter}

        cluster.run(10 * SECOND, lambda: voters() == set("abcde"))
        self.assertEqual(voters(), set("abcde"))
        cluster.blocked_links.clear()
        cluster.commit(b"voters c d e")
        cluster.run(10 * SECOND, lambda: voters() == set("cde"))
        self.assertEqual(voters(), set("cde"))
        cluster.commit(b"after")
        self.assertEqual(
            {name: commands[-1] for name, commands in cluster.applied_commands().items() if name in "cde"},
            dict.fromkeys("cde", b"after"),
        )

    def test_members_change_when_the_entry_that_names_them_is_appended_or_truncated(self):
        log = ReplicatedLog(Snapshot(0, 0, (Member("a", "a.1"),), b""), [])
        log.append(
            Entry(1, EntryKind.MEMBERS, encode_members([Member("a", "a.1"), Member("b", "b.1", False)]))
        )
        self.assertEqual(len(log.members), 2)
        log.truncate_from(1)
        self.assertEqual((len(log.members), log.members_index), (1, 0))
