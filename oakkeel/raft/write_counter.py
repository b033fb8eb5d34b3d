"""Counts the writes to a replica's database, to detect that an older copy was restored."""

from __future__ import annotations

import contextlib
import os

from oakkeel.store.database import Database, Statement

CREATE_TABLE: list[Statement] = [
    ("CREATE TABLE IF NOT EXISTS writes (one INTEGER PRIMARY KEY, count INTEGER)", ())
]
COUNT_BYTES = 20
FILE_MODE = 0o600


class WriteCounter:
    """Counts the writes to a database, both in the database and in a file beside it.

    A restored older copy of the database has a lower count than the file. The file is written after the
    database and is not synced: after a crash of the process its count is exact, after a power failure it may
    be behind, but it is never ahead of the count in the database that it belongs to.
    """

    def __init__(self, path: str, database: Database) -> None:
        """Open the file beside the database. Raises DatabaseError, or OSError."""
        self.path = path
        self.database = database
        database.write(CREATE_TABLE)
        rows = database.read("SELECT count FROM writes")
        self.count = rows[0][0] if rows else 0
        self.descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, FILE_MODE)
        content = os.pread(self.descriptor, COUNT_BYTES, 0)
        self.file_count = int(content) if content.strip().isdigit() else 0

    def stale_reason(self) -> str:
        """Return why the database is an older copy; empty if it is current."""
        if self.file_count <= self.count:
            return ""
        return f"the write count is {self.count} in the database and {self.file_count} beside it"

    def increment(self) -> Statement:
        """Return the statement to add to each transaction on the database."""
        return "INSERT OR REPLACE INTO writes VALUES (1, ?)", (self.count + 1,)

    def confirm(self) -> None:
        """Count a committed transaction."""
        self.count += 1
        self._write_file(self.count)

    def reset(self) -> None:
        """Set the count in the file to zero and close the file, after the database was removed."""
        self._write_file(0)
        os.close(self.descriptor)

    def close(self) -> None:
        """Close the file beside the database."""
        os.close(self.descriptor)

    def _write_file(self, count: int) -> None:
        with contextlib.suppress(OSError):
            os.pwrite(self.descriptor, b"%0*d" % (COUNT_BYTES, count), 0)
