"""One SQLite file with a version, a bound on its size, and writes that hold once they return."""

from __future__ import annotations

import contextlib
import os
import sqlite3
import time
from collections.abc import Sequence

APPLICATION = 0x6F616B6B  # marks a file as ours
Statement = tuple[str, Sequence[object]]


class DatabaseError(OSError):
    """Nothing of the write was kept; the text says why."""


class Database:
    """Opens a file, or sets aside one that can't be used and begins another.

    `set_aside` names the file that was put away and why, or is empty. Raises StoreError where the folder
    can't be written.
    """

    def __init__(self, path: str, schema: str, version: int, most_bytes: int = 64 * 1024 * 1024) -> None:
        self.path, self.version, self.set_aside = path, version, ""
        if os.path.exists(path) and (why := self._unusable()):
            aside = f"{path}.{time.strftime('%Y%m%dT%H%M%S', time.gmtime())}-{os.getpid()}"
            for ending in ("", "-wal", "-shm"):
                with contextlib.suppress(FileNotFoundError):
                    os.rename(path + ending, aside + ending)
            self.set_aside = f"{aside}: {why}"
        try:
            self.base = self._connect()
            self.new = not self._number("user_version")  # nothing was there, or it was put away
            if self.new:
                self.base.executescript(
                    f"BEGIN; {schema}; PRAGMA application_id = {APPLICATION};"
                    f" PRAGMA user_version = {version}; COMMIT;"
                )
            pages = max(16, most_bytes // self._number("page_size"))
            self.base.execute(f"PRAGMA max_page_count = {pages}")
        except sqlite3.Error as error:
            raise DatabaseError(f"{path}: {error}") from None

    def _connect(self) -> sqlite3.Connection:
        base = sqlite3.connect(self.path, isolation_level=None, timeout=2.0)
        base.execute("PRAGMA journal_mode = WAL")
        base.execute("PRAGMA synchronous = FULL")  # what was told as kept must outlive the power
        return base

    def _number(self, pragma: str) -> int:
        return int(self.base.execute(f"PRAGMA {pragma}").fetchone()[0])

    def _unusable(self) -> str:
        """Why the file can't be used; empty where it can."""
        try:
            with contextlib.closing(self._connect()) as self.base:
                if (found := self._number("application_id")) != APPLICATION:
                    return f"no file of ours (application {found:#x})"
                if (found := self._number("user_version")) != self.version:
                    return f"of version {found}, not {self.version}"
                checked = self.base.execute("PRAGMA quick_check(1)").fetchone()[0]
                return "" if checked == "ok" else f"damaged: {checked}"
        except sqlite3.Error as error:
            return f"damaged: {error}"

    def write(self, statements: Sequence[Statement]) -> None:
        """Keep all or nothing; on disk once it returns. Raises StoreError."""
        try:
            self.base.execute("BEGIN IMMEDIATE")
            for text, values in statements:
                self.base.execute(text, values)
            self.base.execute("COMMIT")
        except sqlite3.Error as error:
            with contextlib.suppress(sqlite3.Error):
                self.base.execute("ROLLBACK")
            raise DatabaseError(str(error)) from None

    def read(self, text: str) -> list[tuple]:
        return self.base.execute(text).fetchall()

    def close(self) -> None:
        self.base.close()
