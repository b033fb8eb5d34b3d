"""Tests that a replica's file is quarantined if it can't be decoded."""

import glob
import os
import tempfile
import unittest

from oakkeel.agent.replica_file import ReplicaFile
from oakkeel.log import EventLog


class ReplicaFileTest(unittest.TestCase):
    def test_a_snapshot_that_cannot_be_decoded_is_quarantined_and_replaced_by_an_empty_file(self):
        path = os.path.join(self.enterContext(tempfile.TemporaryDirectory()), "record.db")
        log = EventLog("h1", 1000, "json")
        file = ReplicaFile(path, "h1", log)
        first_incarnation = file.load().incarnation
        file.store.write([("INSERT OR REPLACE INTO snapshot VALUES (1, 1, 1, x'ff', x'')", ())])
        reloaded = file.load()
        self.assertNotEqual(reloaded.incarnation, first_incarnation)
        self.assertEqual(reloaded.snapshot.index, 0)
        self.assertEqual(len(glob.glob(path + ".*T*-*[0-9]")), 1)
        file.close()


if __name__ == "__main__":
    unittest.main()
