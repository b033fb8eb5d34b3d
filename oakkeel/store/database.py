"""An SQLite database with a schema version, a maximum size, and writes that are durable on return."""

from __future__ import annotations

import contextlib
import os
import sqlite3
import time
from collections.abc import Sequence
from typing import Any

from oakkeel.errors import OakkeelError

APPLICATION_ID = 0x6F616B6B  # identifies an Oakkeel database
DEFAULT_MAX_BYTES = 64 * 1024 * 1024
MIN_PAGES = 16  # lower limit of the maximum size
LOCK_TIMEOUT_S = 2.0
FILE_SUFFIXES = ("", "-wal", "-shm")  # main file, write-ahead log and its shared-memory index
Statement = tuple[str, Sequence[object]]  # SQL text and its values


class DatabaseError(OakkeelError, OSError):
    """The database can't be used, or a write failed and nothing of it was stored."""


def quarantine(path: str) -> str:
    """Rename the files of a closed database that can't be used. Returns the new path.

    The new names contain the time and the process ID.
    """
    quarantined = f"{path}.{time.strftime('%Y%m%dT%H%M%S', time.gmtime())}-{os.getpid()}"
    for suffix in FILE_SUFFIXES:
        with contextlib.suppress(FileNotFoundError):
            os.rename(path + suffix, quarantined + suffix)
    return quarantined


class Database:
    """A database file. A damaged one is quarantined (renamed) and replaced by an empty one.

    `quarantine_note` has the path of the renamed file and the cause; it is empty if no file was quarantined.
    `is_new` tells whether the file was created empty.
    """

    def __init__(self, path: str, schema: str, version: int, max_bytes: int = DEFAULT_MAX_BYTES) -> None:
        """Open or create the file. Raises DatabaseError if the folder can't be written."""
        self.path = path
        self.version = version
        self.quarantine_note = ""
        if os.path.exists(path) and (defect := self._find_defect()):
            self.quarantine_note = f"{quarantine(path)}: {defect}"
        try:
            self.connection = self._connect()
            self.is_new = not self.read_pragma("user_version")  # 0 in a new file
            if self.is_new:
                self.connection.executescript(
                    f"BEGIN; {schema}; PRAGMA application_id = {APPLICATION_ID};"
                    f" PRAGMA user_version = {version}; COMMIT;"
                )
            max_pages = max(MIN_PAGES, max_bytes // self.read_pragma("page_size"))
            self.connection.execute(f"PRAGMA max_page_count = {max_pages}")
        except sqlite3.Error as error:
            raise DatabaseError(f"{path}: {error}") from error

    def _connect(self) -> sqlite3.Connection:
        connection = sqlite3.connect(self.path, isolation_level=None, timeout=LOCK_TIMEOUT_S)
        connection.execute("PRAGMA journal_mode = WAL")
        # A write that was reported as durable must survive a power failure.
        connection.execute("PRAGMA synchronous = FULL")
        return connection

    def read_pragma(self, pragma: str) -> int:
        """Return the integer value of a pragma."""
        return int(self.connection.execute(f"PRAGMA {pragma}").fetchone()[0])

    def _find_defect(self) -> str:
        """Return why the file can't be used; empty if it can."""
        try:
            with contextlib.closing(self._connect()) as self.connection:
                if (actual := self.read_pragma("application_id")) != APPLICATION_ID:
                    return f"not a database of oakkeel (application ID {actual:#x})"
                if (actual := self.read_pragma("user_version")) != self.version:
                    return f"schema version {actual}, expected {self.version}"
                result = self.connection.execute("PRAGMA quick_check(1)").fetchone()[0]
                return "" if result == "ok" else f"damaged: {result}"
        except sqlite3.Error as error:
            return f"damaged: {error}"

    def write(self, statements: Sequence[Statement]) -> None:
        """Execute statements in one transaction, which is durable on return. Raises DatabaseError."""
        try:
            self.connection.execute("BEGIN IMMEDIATE")
            for sql, values in statements:
                self.connection.execute(sql, values)
            self.connection.execute("COMMIT")
        except sqlite3.Error as error:
            with contextlib.suppress(sqlite3.Error):
                self.connection.execute("ROLLBACK")
            raise DatabaseError(str(error)) from error

    def read(self, sql: str) -> list[tuple[Any, ...]]:
        """Return the rows of a query."""
        return self.connection.execute(sql).fetchall()

    def close(self) -> None:
        """Close the file."""
        self.connection.close()
