"""The stored state of a replica: writes, reads and the detection of an older copy."""

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
from oakkeel.raft.messages import Entry, EntryKind
from oakkeel.raft.write_counter import WriteCounter
from oakkeel.store.database import APPLICATION_ID, Database, DatabaseError


class StorageTest(unittest.TestCase):
    def setUp(self) -> None:
        self.path = os.path.join(self.enterContext(tempfile.TemporaryDirectory()), "record.db")

    def test_file_holds_the_same_state_as_the_storage_in_memory(self):
        generator = random.Random(5)
        for _ in range(30):
            if os.path.exists(self.path):
                os.unlink(self.path)
            database = Database(self.path, storage.SCHEMA, storage.VERSION)
            durable = storage.load(database, "a", "a.1")
            memory_storage = InMemoryStorage(durable)
            log = ReplicatedLog(Snapshot(0, 0, (), b""), [])
            for _ in range(40):
                update = StorageUpdate()
                if generator.random() < 0.3:
                    durable.term += 1
                    durable.voted_for = "b.1"
                    update.updates_metadata = True
                    durable.acknowledgements = {"b.1": LogPosition(durable.term, 3)}
                if log.entries and generator.random() < 0.2:
                    update.truncate_from = generator.randint(log.snapshot.index + 1, log.last_index)
                    log.truncate_from(update.truncate_from)
                for _ in range(generator.randrange(3)):
                    entry = Entry(durable.term, EntryKind.COMMAND, generator.randbytes(3))
                    update.entries.append((log.append(entry), entry))
                if log.entries and generator.random() < 0.2:
                    update.snapshot = log.compact(
                        generator.randint(log.snapshot.index + 1, log.last_index), b"all"
                    )
                storage.write(database, durable, update)
                memory_storage.write(durable, update)
            database.close()
            database = Database(self.path, storage.SCHEMA, storage.VERSION)
            self.assertEqual(storage.load(database, "a", "a.2"), memory_storage.load())
            storage.check(memory_storage.load())
            database.close()

    def test_undecodable_snapshot_members_and_acknowledgements_are_corrupt_state(self):
        for corrupting_statement in (
            "INSERT OR REPLACE INTO snapshot VALUES (1, 1, 1, x'ff', x'')",
            "UPDATE head SET marks = 'not JSON'",
            "UPDATE head SET marks = '[]'",
        ):
            with self.subTest(corrupting_statement):
                if os.path.exists(self.path):
                    os.unlink(self.path)
                database = Database(self.path, storage.SCHEMA, storage.VERSION)
                storage.load(database, "a", "a.1")
                database.write([(corrupting_statement, ())])
                with self.assertRaises(storage.CorruptStateError):
                    storage.load(database, "a", "a.2")
                database.close()

    def test_failed_write_stores_nothing(self):
        database = Database(self.path, storage.SCHEMA, storage.VERSION)
        durable = storage.load(database, "a", "a.1")
        page_count = database.read_pragma("page_count")
        database.connection.execute(f"PRAGMA max_page_count = {page_count}")
        with self.assertRaises(DatabaseError):
            storage.write(
                database,
                durable,
                StorageUpdate(entries=[(1, Entry(1, 2, b"small")), (2, Entry(1, 2, bytes(100_000)))]),
            )
        self.assertEqual(storage.load(database, "a", "a.2").entries, [])

    def test_restored_copy_is_detected_by_its_write_count(self):
        """Simulated schedule 1008469: with the leader stopped, no other replica knew of the later entries."""
        database = Database(self.path, storage.SCHEMA, storage.VERSION)
        counter = WriteCounter(self.path + ".count", database)
        durable = storage.load(database, "a", "a.1")
        storage.write(database, durable, StorageUpdate(updates_metadata=True), counter)
        database.connection.execute("VACUUM INTO ?", (self.path + ".backup",))
        storage.write(database, durable, StorageUpdate(updates_metadata=True), counter)
        counter.close()
        database.close()
        reopened = Database(self.path, storage.SCHEMA, storage.VERSION)
        self.assertEqual(WriteCounter(self.path + ".count", reopened).stale_reason(), "")
        reopened.close()
        os.replace(self.path + ".backup", self.path)
        for suffix in ("-wal", "-shm"):
            with contextlib.suppress(FileNotFoundError):
                os.unlink(self.path + suffix)
        connection = sqlite3.connect(self.path)
        connection.execute(f"PRAGMA application_id = {APPLICATION_ID}")
        connection.close()
        restored = Database(self.path, storage.SCHEMA, storage.VERSION)
        self.assertIn(
            "is 1 in the database and 2 beside it",
            WriteCounter(self.path + ".count", restored).stale_reason(),
        )
        restored.close()

    def test_database_is_not_stale_if_a_power_failure_lost_the_count_in_the_file(self):
        database = Database(self.path, storage.SCHEMA, storage.VERSION)
        counter = WriteCounter(self.path + ".count", database)
        storage.write(
            database, storage.load(database, "a", "a.1"), StorageUpdate(updates_metadata=True), counter
        )
        os.truncate(self.path + ".count", 0)
        self.assertEqual(WriteCounter(self.path + ".count", database).stale_reason(), "")
        database.close()

    def test_decreasing_terms_and_undecodable_members_are_corrupt_state(self):
        durable = DurableState("a", "a.1", term=3, entries=[Entry(2, 2, b""), Entry(1, 2, b"")])
        with self.assertRaisesRegex(storage.CorruptStateError, "^the terms decrease within the log$"):
            storage.check(durable)
        durable.entries = [Entry(1, int(EntryKind.MEMBERS), b"\xc1")]
        with self.assertRaisesRegex(storage.CorruptStateError, "members"):
            storage.check(durable)
