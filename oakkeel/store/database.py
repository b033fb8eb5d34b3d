"""An SQLite file with a schema version, a bound on its size, and writes that are durable on return."""

from __future__ import annotations

import contextlib
import os
import sqlite3
import time
from collections.abc import Sequence
from typing import Any

from oakkeel.errors import OakkeelError

APPLICATION_ID = 0x6F616B6B  # marks a file as oakkeel's
Statement = tuple[str, Sequence[object]]


class DatabaseError(OakkeelError, OSError):
    """The file can't be used, or nothing of a write was stored; the message says why."""


class Database:
    """A database file; one that can't be used is quarantined (renamed), and an empty one takes its place.

    `quarantined` names the renamed file and the reason, or is empty. `created` tells whether the file began
    empty.
    """

    def __init__(self, path: str, schema: str, version: int, max_bytes: int = 64 * 1024 * 1024) -> None:
        """Open or create the file. Raises DatabaseError where the folder can't be written."""
        self.path, self.version, self.quarantined = path, version, ""
        if os.path.exists(path) and (why := self._unusable()):
            quarantine = f"{path}.{time.strftime('%Y%m%dT%H%M%S', time.gmtime())}-{os.getpid()}"
            for ending in ("", "-wal", "-shm"):
                with contextlib.suppress(FileNotFoundError):
                    os.rename(path + ending, quarantine + ending)
            self.quarantined = f"{quarantine}: {why}"
        try:
            self.connection = self._connect()
            self.created = not self.read_pragma("user_version")  # there was no file, or it was quarantined
            if self.created:
                self.connection.executescript(
                    f"BEGIN; {schema}; PRAGMA application_id = {APPLICATION_ID};"
                    f" PRAGMA user_version = {version}; COMMIT;"
                )
            pages = max(16, max_bytes // self.read_pragma("page_size"))
            self.connection.execute(f"PRAGMA max_page_count = {pages}")
        except sqlite3.Error as error:
            raise DatabaseError(f"{path}: {error}") from error

    def _connect(self) -> sqlite3.Connection:
        connection = sqlite3.connect(self.path, isolation_level=None, timeout=2.0)
        connection.execute("PRAGMA journal_mode = WAL")
        connection.execute(
            "PRAGMA synchronous = FULL"
        )  # what was confirmed as stored must survive a power cut
        return connection

    def read_pragma(self, pragma: str) -> int:
        """Return the integer value of a pragma."""
        return int(self.connection.execute(f"PRAGMA {pragma}").fetchone()[0])

    def _unusable(self) -> str:
        """Say why the file can't be used; empty where it can."""
        try:
            with contextlib.closing(self._connect()) as self.connection:
                if (found := self.read_pragma("application_id")) != APPLICATION_ID:
                    return f"no file of ours (application {found:#x})"
                if (found := self.read_pragma("user_version")) != self.version:
                    return f"of version {found}, not {self.version}"
                checked = self.connection.execute("PRAGMA quick_check(1)").fetchone()[0]
                return "" if checked == "ok" else f"damaged: {checked}"
        except sqlite3.Error as error:
            return f"damaged: {error}"

    def write(self, statements: Sequence[Statement]) -> None:
        """Execute all or none in one transaction, on disk on return. Raises DatabaseError."""
        try:
            self.connection.execute("BEGIN IMMEDIATE")
            for text, values in statements:
                self.connection.execute(text, values)
            self.connection.execute("COMMIT")
        except sqlite3.Error as error:
            with contextlib.suppress(sqlite3.Error):
                self.connection.execute("ROLLBACK")
            raise DatabaseError(str(error)) from error

    def read(self, text: str) -> list[tuple[Any, ...]]:
        """Return all rows of a query."""
        return self.connection.execute(text).fetchall()

    def close(self) -> None:
        """Close the file."""
        self.connection.close()
