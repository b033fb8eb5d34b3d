"""The file of a replica: what is written, read again, and found to be an older copy."""

import contextlib
import os
import random
import sqlite3
import tempfile
import unittest

from oakkeel.raft import storage
from oakkeel.raft.durable_state import DurableState, StorageUpdate
from oakkeel.raft.log import LogPosition, ReplicatedLog, Snapshot
from oakkeel.raft.memory_storage import InMemoryStorage
from oakkeel.raft.messages import (
    Entry,
    EntryKind,
)
from oakkeel.raft.write_counter import WriteCounter
from oakkeel.store.database import APPLICATION_ID, Database, DatabaseError


class FileStories(unittest.TestCase):
    def setUp(self) -> None:
        self.path = os.path.join(self.enterContext(tempfile.TemporaryDirectory()), "record.db")

    def test_the_file_means_what_the_plain_values_mean(self):
        random_ = random.Random(5)
        for _ in range(30):
            if os.path.exists(self.path):
                os.unlink(self.path)
            store = Database(self.path, storage.SCHEMA, storage.VERSION)
            durable = storage.load(store, "a", "a.1")
            disk, log = InMemoryStorage(durable), ReplicatedLog(Snapshot(0, 0, (), b""), [])
            for _ in range(40):
                update = StorageUpdate()
                if random_.random() < 0.3:
                    durable.term, durable.voted_for, update.metadata = durable.term + 1, "b.1", True
                    durable.acknowledgements = {"b.1": LogPosition(durable.term, 3)}
                if log.entries and random_.random() < 0.2:
                    update.truncate_from = random_.randint(log.snapshot.index + 1, log.last_index)
                    log.truncate_from(update.truncate_from)
                for _ in range(random_.randrange(3)):
                    entry = Entry(durable.term, EntryKind.COMMAND, random_.randbytes(3))
                    update.entries.append((log.append(entry), entry))
                if log.entries and random_.random() < 0.2:
                    update.snapshot = log.compact(
                        random_.randint(log.snapshot.index + 1, log.last_index), b"all"
                    )
                storage.write(store, durable, update)
                disk.write(durable, update)
            store.close()
            store = Database(self.path, storage.SCHEMA, storage.VERSION)
            self.assertEqual(storage.load(store, "a", "a.2"), disk.load())
            storage.check(disk.load())
            store.close()

    def test_a_write_that_fails_leaves_nothing_of_it(self):
        store = Database(self.path, storage.SCHEMA, storage.VERSION)
        durable = storage.load(store, "a", "a.1")
        pages = store.read_pragma("page_count")
        store.connection.execute(f"PRAGMA max_page_count = {pages}")
        with self.assertRaises(DatabaseError):
            storage.write(
                store,
                durable,
                StorageUpdate(entries=[(1, Entry(1, 2, b"small")), (2, Entry(1, 2, bytes(100_000)))]),
            )
        self.assertEqual(storage.load(store, "a", "a.2").entries, [])

    def test_a_copy_that_is_put_back_shows_by_how_often_it_was_written(self):
        """Drawn schedule 1008469: with its leader stopped nobody else could know."""
        store = Database(self.path, storage.SCHEMA, storage.VERSION)
        witness = WriteCounter(self.path + ".count", store)
        durable = storage.load(store, "a", "a.1")
        storage.write(store, durable, StorageUpdate(metadata=True), witness)
        store.connection.execute("VACUUM INTO ?", (self.path + ".backup",))
        storage.write(store, durable, StorageUpdate(metadata=True), witness)
        witness.close()
        store.close()
        again = Database(self.path, storage.SCHEMA, storage.VERSION)
        self.assertEqual(WriteCounter(self.path + ".count", again).stale_reason(), "")
        again.close()
        os.replace(self.path + ".backup", self.path)
        for ending in ("-wal", "-shm"):
            with contextlib.suppress(FileNotFoundError):
                os.unlink(self.path + ending)
        back = sqlite3.connect(self.path)
        back.execute(f"PRAGMA application_id = {APPLICATION_ID}")
        back.close()
        old = Database(self.path, storage.SCHEMA, storage.VERSION)
        self.assertIn("written 1 times, and 2", WriteCounter(self.path + ".count", old).stale_reason())
        old.close()

    def test_a_power_cut_may_leave_the_count_beside_the_file_behind_and_that_is_no_old_copy(self):
        store = Database(self.path, storage.SCHEMA, storage.VERSION)
        witness = WriteCounter(self.path + ".count", store)
        storage.write(store, storage.load(store, "a", "a.1"), StorageUpdate(metadata=True), witness)
        os.truncate(self.path + ".count", 0)
        self.assertEqual(WriteCounter(self.path + ".count", store).stale_reason(), "")
        store.close()

    def test_terms_that_go_back_are_damage(self):
        durable = DurableState("a", "a.1", term=3, entries=[Entry(2, 2, b""), Entry(1, 2, b"")])
        with self.assertRaisesRegex(storage.CorruptStateError, "^terms that go back$"):
            storage.check(durable)
        durable.entries = [Entry(1, int(EntryKind.MEMBERS), b"\xc1")]
        with self.assertRaisesRegex(storage.CorruptStateError, "members"):
            storage.check(durable)
