"""The database file: durable writes, and quarantine of files that can't be used."""

import os
import sqlite3
import tempfile
import unittest

from oakkeel.store.database import Database, DatabaseError


class DatabaseTest(unittest.TestCase):
    SCHEMA = "CREATE TABLE words (word TEXT)"

    def setUp(self) -> None:
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        self.path = os.path.join(self.folder, "a.db")

    def open(self, version: int = 1, **options) -> Database:
        database = Database(self.path, self.SCHEMA, version, **options)
        self.addCleanup(database.close)
        return database

    def insert_word(self, database: Database, word: str) -> None:
        database.write([("INSERT INTO words VALUES (?)", (word,))])

    def test_written_rows_are_read_after_reopening(self):
        self.insert_word(self.open(), "kept")
        reopened = self.open()
        self.assertEqual((reopened.read("SELECT * FROM words"), reopened.quarantine_note), ([("kept",)], ""))

    def test_quarantines_damaged_files_foreign_files_and_files_of_another_schema_version(self):
        for damage in (lambda: None, self._overwrite_second_page, self._replace_with_foreign_file):
            database = Database(self.path, self.SCHEMA, 1)
            for number in range(500):
                self.insert_word(database, "kept" * 50 + str(number)) if number < 40 else None
            database.close()
            damage()
            reopened = Database(self.path, self.SCHEMA, 2)
            self.assertTrue(reopened.quarantine_note)
            self.assertEqual(reopened.read("SELECT * FROM words"), [])
            quarantined_file = reopened.quarantine_note.partition(": ")[0]
            self.assertGreater(os.path.getsize(quarantined_file), 0)
            reopened.close()
            os.rename(quarantined_file, quarantined_file + str(id(damage)))
            os.remove(self.path)

    def _overwrite_second_page(self) -> None:
        with open(self.path, "r+b") as file:
            file.seek(4096)
            file.write(b"\xff" * 4096)

    def _replace_with_foreign_file(self) -> None:
        os.remove(self.path)
        connection = sqlite3.connect(self.path)
        connection.execute("CREATE TABLE words (word TEXT)")
        connection.close()

    def test_full_database_rejects_the_whole_write_with_the_cause(self):
        database = self.open(max_bytes=64 * 1024)
        with self.assertRaisesRegex(DatabaseError, "full"):
            database.write([("INSERT INTO words VALUES (?)", ("x" * 1000,))] * 200)
        self.assertEqual(database.read("SELECT count(*) FROM words"), [(0,)])
        self.insert_word(database, "small")

    def test_missing_folder_is_an_error_that_names_it(self):
        with self.assertRaisesRegex(DatabaseError, "nowhere"):
            Database("/nowhere/a.db", self.SCHEMA, 1)
