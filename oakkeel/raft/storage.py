"""A keeper's file: what `StorageUpdate` says, in one SQLite transaction."""

from __future__ import annotations

import contextlib
import json
import os

import msgspec

from oakkeel.raft.log import Snapshot
from oakkeel.raft.messages import Entry, decode_members, encode_members
from oakkeel.raft.replica import DurableState, StorageUpdate
from oakkeel.store.database import Database, Statement

VERSION = 1
MAX_FILE_BYTES = 256 * 1024 * 1024
SCHEMA = """
CREATE TABLE head (one INTEGER PRIMARY KEY CHECK (one = 1), name TEXT, life TEXT, epoch TEXT, term INTEGER,
    voted TEXT, marks TEXT);
CREATE TABLE entries (place INTEGER PRIMARY KEY, term INTEGER, kind INTEGER, content BLOB);
CREATE TABLE snapshot (one INTEGER PRIMARY KEY CHECK (one = 1), place INTEGER, term INTEGER, members BLOB,
    content BLOB)
"""
PUT_HEAD = "INSERT OR REPLACE INTO head VALUES (1,?,?,?,?,?,?)"
PUT_ENTRY = "INSERT OR REPLACE INTO entries VALUES (?,?,?,?)"
PUT_SNAPSHOT = "INSERT OR REPLACE INTO snapshot VALUES (1,?,?,?,?)"


def statements(durable: DurableState, storage_update: StorageUpdate) -> list[Statement]:
    """In the order that `StorageUpdate` asks for."""
    rows: list[Statement] = []
    if storage_update.metadata:
        rows.append(
            (
                PUT_HEAD,
                (
                    durable.name,
                    durable.incarnation,
                    durable.epoch,
                    durable.term,
                    durable.voted_for,
                    json.dumps(durable.acknowledgements),
                ),
            )
        )
    if storage_update.snapshot and storage_update.replaces_log:
        rows.append(("DELETE FROM entries", ()))
    if storage_update.truncate_from:
        rows.append(("DELETE FROM entries WHERE place >= ?", (storage_update.truncate_from,)))
    rows += [
        (PUT_ENTRY, (index, entry.term, entry.kind, entry.content)) for index, entry in storage_update.entries
    ]
    if snapshot := storage_update.snapshot:
        rows.append(
            (
                PUT_SNAPSHOT,
                (snapshot.index, snapshot.term, encode_members(list(snapshot.members)), snapshot.content),
            )
        )
        rows.append(("DELETE FROM entries WHERE place <= ?", (snapshot.index,)))
    return rows


WRITE_COUNTER_SCHEMA: list[Statement] = [
    ("CREATE TABLE IF NOT EXISTS writes (one INTEGER PRIMARY KEY, count INTEGER)", ())
]


class WriteCounter:
    """How often the record was written, beside the file and in it: a copy that is put back has fewer.

    Beside it the count is written after the file, and not forced to the disk: a process that is killed leaves
    it right, a power cut may leave it behind, and it is never ahead of the file that it belongs to.
    """

    def __init__(self, path: str, store: Database) -> None:
        """Raises StoreError, or OSError."""
        self.path, self.store = path, store
        store.write(WRITE_COUNTER_SCHEMA)
        rows = store.read("SELECT count FROM writes")
        self.count = rows[0][0] if rows else 0
        self.descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        told = os.pread(self.descriptor, 20, 0)
        self.beside = int(told) if told.strip().isdigit() else 0

    def why(self) -> str:
        """What shows that the file is an older copy; empty where nothing does."""
        if self.beside <= self.count:
            return ""
        return f"it was written {self.count} times, and {self.beside} times are known here"

    def counted(self) -> Statement:
        """Goes into the same transaction as what is kept."""
        return "INSERT OR REPLACE INTO writes VALUES (1, ?)", (self.count + 1,)

    def written(self) -> None:
        """That transaction is on disk."""
        self.count += 1
        with contextlib.suppress(OSError):
            os.pwrite(self.descriptor, b"%020d" % self.count, 0)

    def begin_anew(self) -> None:
        """The file that it counted for was put away."""
        with contextlib.suppress(OSError):
            os.pwrite(self.descriptor, b"%020d" % 0, 0)
        os.close(self.descriptor)

    def close(self) -> None:
        os.close(self.descriptor)


def write(
    store: Database, durable: DurableState, storage_update: StorageUpdate, witness: WriteCounter | None = None
) -> None:
    """On disk once it returns. Raises StoreError: nothing of it is then."""
    rows = statements(durable, storage_update)
    if witness is None:
        return store.write(rows)
    store.write([*rows, witness.counted()])
    witness.written()


def load(store: Database, name: str, new_incarnation: str) -> DurableState:
    """What a keeper finds when it starts; an empty file begins a new life. Raises StoreError."""
    rows = store.read("SELECT name, life, epoch, term, voted, marks FROM head")
    if not rows:
        durable = DurableState(name, new_incarnation)
        write(store, durable, StorageUpdate(metadata=True))
        return durable
    held, life, epoch, term, voted, marks = rows[0]
    durable = DurableState(
        held,
        life,
        epoch,
        term,
        voted,
        acknowledgements={key: (value[0], value[1]) for key, value in json.loads(marks).items()},
    )
    for place, of_term, members, content in store.read("SELECT place, term, members, content FROM snapshot"):
        durable.snapshot = Snapshot(place, of_term, tuple(decode_members(members)), content)
    durable.entries = [
        Entry(*row) for row in store.read("SELECT term, kind, content FROM entries ORDER BY place")
    ]
    return durable


def check(durable: DurableState) -> str:
    """Why what is held can't be one file's content; empty where it can. Damage that no page sum shows."""
    terms = [durable.snapshot.term, *(entry.term for entry in durable.entries)]
    if terms != sorted(terms) or terms[-1] > durable.term:
        return "terms that go back"
    try:
        for entry in durable.entries:
            if entry.kind == 1:
                decode_members(entry.content)
    except msgspec.MsgspecError as error:
        return f"members that can't be read: {error}"
    return ""
