"""Storage of a replica's durable state in a SQLite file: each update is one transaction."""

from __future__ import annotations

import json
from itertools import pairwise

import msgspec

from oakkeel.errors import OakkeelError
from oakkeel.raft.durable_state import DurableState, StorageUpdate
from oakkeel.raft.log import LogPosition, Snapshot
from oakkeel.raft.messages import Entry, EntryKind, decode_members, encode_members
from oakkeel.raft.write_counter import WriteCounter
from oakkeel.store.database import Database, Statement

VERSION = 1  # of the schema
MAX_FILE_BYTES = 256 * 1024 * 1024
# Stored names: `life` is the incarnation, `voted` the vote, `marks` the acknowledgements, `place` an index.
SCHEMA = """
CREATE TABLE head (one INTEGER PRIMARY KEY CHECK (one = 1), name TEXT, life TEXT, epoch TEXT, term INTEGER,
    voted TEXT, marks TEXT);
CREATE TABLE entries (place INTEGER PRIMARY KEY, term INTEGER, kind INTEGER, content BLOB);
CREATE TABLE snapshot (one INTEGER PRIMARY KEY CHECK (one = 1), place INTEGER, term INTEGER, members BLOB,
    content BLOB)
"""
PUT_METADATA = "INSERT OR REPLACE INTO head VALUES (1,?,?,?,?,?,?)"
PUT_ENTRY = "INSERT OR REPLACE INTO entries VALUES (?,?,?,?)"
PUT_SNAPSHOT = "INSERT OR REPLACE INTO snapshot VALUES (1,?,?,?,?)"


class CorruptStateError(OakkeelError, ValueError):
    """The stored state is inconsistent: damage that SQLite's own check does not detect."""


def write(
    database: Database, durable: DurableState, update: StorageUpdate, counter: WriteCounter | None = None
) -> None:
    """Store an update durably. Raises DatabaseError, after which no part of the update is stored."""
    statements = _statements(durable, update)
    if counter is None:
        database.write(statements)
        return
    database.write([*statements, counter.increment()])
    counter.confirm()


def _statements(durable: DurableState, update: StorageUpdate) -> list[Statement]:
    """Return the statements, in the order of the fields of `StorageUpdate`."""
    statements: list[Statement] = []
    if update.updates_metadata:
        statements.append((PUT_METADATA, _metadata_row(durable)))
    if update.snapshot and update.replaces_log:
        statements.append(("DELETE FROM entries", ()))
    if update.truncate_from:
        statements.append(("DELETE FROM entries WHERE place >= ?", (update.truncate_from,)))
    for index, entry in update.entries:
        statements.append((PUT_ENTRY, (index, entry.term, entry.kind, entry.content)))
    if snapshot := update.snapshot:
        members = encode_members(list(snapshot.members))
        statements.append((PUT_SNAPSHOT, (snapshot.index, snapshot.term, members, snapshot.content)))
        statements.append(("DELETE FROM entries WHERE place <= ?", (snapshot.index,)))
    return statements


def _metadata_row(durable: DurableState) -> tuple[object, ...]:
    acknowledgements = {
        incarnation: (position.term, position.index)
        for incarnation, position in durable.acknowledgements.items()
    }
    return (
        durable.name,
        durable.incarnation,
        durable.epoch,
        durable.term,
        durable.voted_for,
        json.dumps(acknowledgements),
    )


def load(database: Database, name: str, new_incarnation: str) -> DurableState:
    """Return the stored state; a new file gets the incarnation `new_incarnation`.

    Raises DatabaseError, and CorruptStateError for fields that can't be decoded.
    """
    rows = database.read("SELECT name, life, epoch, term, voted, marks FROM head")
    if not rows:
        durable = DurableState(name, new_incarnation)
        write(database, durable, StorageUpdate(updates_metadata=True))
        return durable
    *fields, acknowledgements = rows[0]
    durable = DurableState(*fields)
    try:
        durable.acknowledgements = _decode_acknowledgements(acknowledgements)
        for row in database.read("SELECT place, term, members, content FROM snapshot"):
            index, term, members, content = row
            durable.snapshot = Snapshot(index, term, tuple(decode_members(members)), content)
    except msgspec.MsgspecError as error:
        raise CorruptStateError(f"the metadata or the snapshot can't be decoded: {error}") from error
    durable.entries = [
        Entry(*row) for row in database.read("SELECT term, kind, content FROM entries ORDER BY place")
    ]
    return durable


def _decode_acknowledgements(content: str) -> dict[str, LogPosition]:
    """Return the acknowledged position by incarnation. Raises msgspec.MsgspecError."""
    positions = msgspec.json.decode(content, type=dict[str, tuple[int, int]])
    return {incarnation: LogPosition(*position) for incarnation, position in positions.items()}


def check(durable: DurableState) -> None:
    """Raise CorruptStateError if the state is inconsistent."""
    terms = [durable.snapshot.term, *(entry.term for entry in durable.entries), durable.term]
    if any(earlier > later for earlier, later in pairwise(terms)):
        raise CorruptStateError("the terms decrease within the log")
    try:
        for entry in durable.entries:
            if entry.kind == EntryKind.MEMBERS:
                decode_members(entry.content)
    except msgspec.MsgspecError as error:
        raise CorruptStateError(f"an entry with members can't be decoded: {error}") from error
