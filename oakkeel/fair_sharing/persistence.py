"""What outlives a process of the measures: heavy senders and open promises, with ages in place of times."""

from __future__ import annotations

import msgspec

from oakkeel.fair_sharing.heavy_hitters import HeavyHitters
from oakkeel.fair_sharing.max_min import MaxMinShares
from oakkeel.fair_sharing.reservations import Reservation, Reservations

YOUNG = 60_000_000_000  # nanoseconds: an older one tells nothing of now


class FlowRecord(msgspec.Struct, array_like=True):
    key: int
    label: bytes
    parent: int  # key at the level outside; 0: none
    rate: float  # a second, certain; nanoseconds on the cores
    retries: float


class ReservationRecord(msgspec.Struct, array_like=True):
    key: int
    after: int  # nanoseconds from when it was kept
    work: float


class FairSharingSnapshot(msgspec.Struct, array_like=True):
    written: int  # Unix nanoseconds
    by: list[str]
    secret: bytes
    levels: list[list[FlowRecord]]
    promises: list[ReservationRecord]


class SnapshotRejectedError(ValueError):
    """It is from the future, too old, or of other settings; the text says which."""


def encode_snapshot(
    now: int, unix: int, by: tuple[str, ...], secret: bytes, levels: MaxMinShares, promises: Reservations
) -> bytes:
    tables = [
        [
            FlowRecord(
                each.key,
                each.label,
                each.parent.key if each.parent else 0,
                table.rate(now, each),
                table.retry_rate(now, each),
            )
            for each in table.flows.values()
        ]
        for table in levels.tables
    ]
    ahead = [
        ReservationRecord(each.key, each.due_at - now, each.work)
        for found in promises.open.values()
        for each in found
        if each.due_at > now
    ]
    return msgspec.msgpack.encode(FairSharingSnapshot(unix, list(by), secret, tables, ahead))


def decode_snapshot(content: bytes, unix: int, by: tuple[str, ...]) -> FairSharingSnapshot:
    """Raises Unfit, also for bytes that are none of ours."""
    try:
        found = msgspec.msgpack.decode(content, type=FairSharingSnapshot)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise SnapshotRejectedError(f"not readable: {error}") from None
    if found.written > unix + 1_000_000_000:
        raise SnapshotRejectedError("from the future")
    if unix - found.written > YOUNG:
        raise SnapshotRejectedError(f"{(unix - found.written) // 1_000_000_000} s old")
    if tuple(found.by) != by:
        raise SnapshotRejectedError(f"of senders by {' '.join(found.by)}")
    return found


def restore_snapshot(
    found: FairSharingSnapshot, now: int, unix: int, levels: MaxMinShares, promises: Reservations
) -> None:
    """Fill empty measures: who was heavy still is, as much as its age has left, and promises hold."""
    age = max(0, unix - found.written)
    outer: dict[int, object] = {}
    for table, rows in zip(levels.tables, found.levels, strict=False):
        inner: dict[int, object] = {}
        for row in sorted(rows, key=lambda each: -each.rate)[: table.max_flows]:
            inner[row.key] = _restore(table, row, now, age, outer.get(row.parent))
        outer = inner
    for each in found.promises:
        if (at := now + each.after - age) > now and promises.open_count < promises.max_open:
            promises.restore(Reservation(each.key, at, each.work))


def _restore(table: HeavyHitters, row: FlowRecord, now: int, age: int, parent: object) -> object:
    weight = (
        0.5 ** (age / table.half_life) * table.half_life / (0.6931471805599453 * 1e9)
    )  # of a rate: its fading sum
    flow = table.add(now, row.key, row.rate * weight, False, row.label, parent)
    flow.retries = row.retries * weight * table.scale(now)
    return flow
