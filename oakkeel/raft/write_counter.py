"""Count of the writes of a replica's file, which shows an older copy of it."""

from __future__ import annotations

import contextlib
import os

from oakkeel.store.database import Database, Statement

CREATE_TABLE: list[Statement] = [
    ("CREATE TABLE IF NOT EXISTS writes (one INTEGER PRIMARY KEY, count INTEGER)", ())
]
COUNT_BYTES = 20


class WriteCounter:
    """Counts the writes of a database, in it and beside it: a copy that is put back has fewer.

    Beside it the count is written after the database, and not forced to the disk: a process that is killed
    leaves it right, a power cut may leave it behind, and it is never ahead of the database it belongs to.
    """

    def __init__(self, path: str, database: Database) -> None:
        """Open the file beside the database. Raises DatabaseError, or OSError."""
        self.path, self.database = path, database
        database.write(CREATE_TABLE)
        rows = database.read("SELECT count FROM writes")
        self.count = rows[0][0] if rows else 0
        self.descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        content = os.pread(self.descriptor, COUNT_BYTES, 0)
        self.count_beside = int(content) if content.strip().isdigit() else 0

    def stale_reason(self) -> str:
        """Return what shows that the database is an older copy; empty where nothing does."""
        if self.count_beside <= self.count:
            return ""
        return f"it was written {self.count} times, and {self.count_beside} times are known here"

    def increment(self) -> Statement:
        """Return the statement that belongs into each transaction on the database."""
        return "INSERT OR REPLACE INTO writes VALUES (1, ?)", (self.count + 1,)

    def confirm(self) -> None:
        """Count a transaction that is on disk."""
        self.count += 1
        self._write_beside(self.count)

    def reset(self) -> None:
        """Begin anew and close, as the database that it counted for is gone."""
        self._write_beside(0)
        os.close(self.descriptor)

    def close(self) -> None:
        """Close the file beside the database."""
        os.close(self.descriptor)

    def _write_beside(self, count: int) -> None:
        with contextlib.suppress(OSError):
            os.pwrite(self.descriptor, b"%0*d" % (COUNT_BYTES, count), 0)
