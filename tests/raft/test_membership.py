"""Changes of the members of a Raft cluster."""

import unittest

from oakkeel.raft.log import ReplicatedLog, Snapshot
from oakkeel.raft.messages import (
    Entry,
    EntryKind,
    Member,
    encode_members,
)


class MembersStories(unittest.TestCase):
    def test_members_count_from_the_entry_that_names_them_and_go_with_it(self):
        log = ReplicatedLog(Snapshot(0, 0, (Member("a", "a.1"),), b""), [])
        log.append(
            Entry(1, EntryKind.MEMBERS, encode_members([Member("a", "a.1"), Member("b", "b.1", False)]))
        )
        self.assertEqual(len(log.members), 2)
        log.truncate_from(1)
        self.assertEqual((len(log.members), log.members_index), (1, 0))
