"""The database file: what survives a crash, and what is put aside."""

import os
import sqlite3
import tempfile
import unittest

from oakkeel.store.database import Database, DatabaseError


class StoreStories(unittest.TestCase):
    SCHEMA = "CREATE TABLE words (word TEXT)"

    def setUp(self) -> None:
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = os.path.join(self.folder, "a.db")

    def open(self, version: int = 1, **more) -> Database:
        store = Database(self.path, self.SCHEMA, version, **more)
        self.addCleanup(store.close)
        return store

    def put(self, store: Database, word: str) -> None:
        store.write([("INSERT INTO words VALUES (?)", (word,))])

    def test_what_was_written_is_there_again(self):
        self.put(self.open(), "kept")
        again = self.open()
        self.assertEqual((again.read("SELECT * FROM words"), again.set_aside), ([("kept",)], ""))

    def test_a_file_of_another_version_damaged_or_not_ours_is_set_aside_and_named(self):
        for spoil in (lambda: None, self._damage, self._foreign):
            store = Database(self.path, self.SCHEMA, 1)
            for number in range(500):
                self.put(store, "kept" * 50 + str(number)) if number < 40 else None
            store.close()
            spoil()
            later = Database(self.path, self.SCHEMA, 2)
            self.assertTrue(later.set_aside)
            self.assertEqual(later.read("SELECT * FROM words"), [])
            aside = later.set_aside.partition(": ")[0]
            self.assertGreater(os.path.getsize(aside), 0)
            later.close()
            os.rename(aside, aside + str(id(spoil)))
            os.remove(self.path)

    def _damage(self) -> None:
        with open(self.path, "r+b") as file:
            file.seek(4096)
            file.write(b"\xff" * 4096)

    def _foreign(self) -> None:
        os.remove(self.path)
        base = sqlite3.connect(self.path)
        base.execute("CREATE TABLE words (word TEXT)")
        base.close()

    def test_a_full_disk_keeps_nothing_of_a_write_and_says_so(self):
        store = self.open(most_bytes=64 * 1024)
        with self.assertRaisesRegex(DatabaseError, "full"):
            store.write([("INSERT INTO words VALUES (?)", ("x" * 1000,))] * 200)
        self.assertEqual(store.read("SELECT count(*) FROM words"), [(0,)])
        self.put(store, "small")

    def test_a_folder_that_is_not_there_is_one_plain_error(self):
        with self.assertRaisesRegex(DatabaseError, "nowhere"):
            Database("/nowhere/a.db", self.SCHEMA, 1)
