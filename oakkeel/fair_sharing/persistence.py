"""What outlives a process of fair sharing: heavy flows and reservations, with ages in place of times."""

from __future__ import annotations

import math
from typing import Any

import msgspec

from oakkeel.errors import OakkeelError
from oakkeel.fair_sharing.heavy_hitters import Flow, HeavyHitters
from oakkeel.fair_sharing.max_min import MaxMinShares
from oakkeel.fair_sharing.reservations import Reservation, Reservations
from oakkeel.units import SECOND

MAX_AGE = 60 * SECOND  # an older snapshot says nothing of now


class FlowRecord(msgspec.Struct, array_like=True):
    """A heavy flow; positional on disk."""

    key: int
    label: bytes
    parent: int  # key at the level outside; 0: none
    rate: float  # a second, certain; nanoseconds on the cores
    retries: float


class ReservationRecord(msgspec.Struct, array_like=True):
    """A reservation; positional on disk."""

    key: int
    after: int  # nanoseconds from when the snapshot was written
    work: float


class FairSharingSnapshot(msgspec.Struct, array_like=True):
    """The state of fair sharing; positional on disk."""

    written_at: int  # Unix nanoseconds
    levels: list[str]
    secret: bytes
    tables: list[list[FlowRecord]]
    reservations: list[ReservationRecord]


class SnapshotRejectedError(OakkeelError, ValueError):
    """A snapshot is not readable, from the future, too old, or of other settings; the text says which."""


def encode_snapshot(
    now: int,
    unix: int,
    levels: tuple[str, ...],
    secret: bytes,
    shares: MaxMinShares,
    reservations: Reservations,
) -> bytes:
    """Write the flows and the reservations ahead; `now` is monotonic, `unix` Unix time, in nanoseconds."""
    tables = [
        [
            FlowRecord(
                flow.key,
                flow.label,
                flow.parent.key if flow.parent else 0,
                table.rate(now, flow),
                table.retry_rate(now, flow),
            )
            for flow in table.flows.values()
        ]
        for table in shares.tables
    ]
    ahead = [
        ReservationRecord(reservation.key, reservation.due_at - now, reservation.work)
        for of_flow in reservations.open.values()
        for reservation in of_flow
        if reservation.due_at > now
    ]
    return msgspec.msgpack.encode(FairSharingSnapshot(unix, list(levels), secret, tables, ahead))


def decode_snapshot(content: bytes, unix: int, levels: tuple[str, ...]) -> FairSharingSnapshot:
    """Read a snapshot of the same levels that is young enough, or raise `SnapshotRejectedError`."""
    try:
        found = msgspec.msgpack.decode(content, type=FairSharingSnapshot)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise SnapshotRejectedError(f"not readable: {error}") from error
    if found.written_at > unix + SECOND:
        raise SnapshotRejectedError("from the future")
    if unix - found.written_at > MAX_AGE:
        raise SnapshotRejectedError(f"{(unix - found.written_at) // SECOND} s old")
    if tuple(found.levels) != levels:
        raise SnapshotRejectedError(f"of flows by {' '.join(found.levels)}")
    return found


def restore_snapshot(
    found: FairSharingSnapshot, now: int, unix: int, shares: MaxMinShares, reservations: Reservations
) -> None:
    """Fill empty tables: who was heavy still is, as much as its age has left, and reservations hold."""
    age = max(0, unix - found.written_at)
    outer: dict[int, Flow] = {}
    for table, records in zip(shares.tables, found.tables, strict=False):
        inner: dict[int, Flow] = {}
        for record in sorted(records, key=lambda record: -record.rate)[: table.max_flows]:
            inner[record.key] = _restore(table, record, now, age, outer.get(record.parent))
        outer = inner
    for reserved in found.reservations:
        due_at = now + reserved.after - age
        if due_at > now and reservations.open_count < reservations.max_open:
            reservations.restore(Reservation(reserved.key, due_at, reserved.work))


def _restore(table: HeavyHitters, record: FlowRecord, now: int, age: int, parent: Any) -> Flow:
    """Add a flow with the sum that fades at its rate."""
    weight = 0.5 ** (age / table.half_life) * table.half_life / (math.log(2) * 1e9)
    flow = table.add(now, record.key, record.rate * weight, False, record.label, parent)
    flow.retries = record.retries * weight * table.scale(now)
    return flow
