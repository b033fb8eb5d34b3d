"""The snapshot of fair sharing: flows and reservations, with times relative to the time of writing."""

from __future__ import annotations

import msgspec

from oakkeel.errors import OakkeelError
from oakkeel.fair_sharing.heavy_hitters import Flow, PastRates
from oakkeel.fair_sharing.max_min import MaxMinShares
from oakkeel.fair_sharing.reservations import Reservation, Reservations
from oakkeel.units import SECOND

MAX_SNAPSHOT_AGE_NS = 60 * SECOND  # an older snapshot does not describe the present flows
MAX_CLOCK_LEAD_NS = SECOND  # maximum lead of the clock at the writing of the snapshot over the present clock


class FlowRecord(msgspec.Struct, array_like=True):
    """A flow of the table; its fields are stored by position."""

    key: int
    label: bytes
    parent: int  # key of the outer flow; 0: none
    rate: float  # lower bound, in nanoseconds of service time per second
    retries: float  # rate of the retries


class ReservationRecord(msgspec.Struct, array_like=True):
    """A reservation; its fields are stored by position."""

    key: int
    after: int  # nanoseconds from the writing of the snapshot to the reserved time
    work: float  # nanoseconds of service time; 0: no capacity is reserved


class FairSharingSnapshot(msgspec.Struct, array_like=True):
    """The state of fair sharing; its fields are stored by position."""

    written_at: int  # Unix nanoseconds
    levels: list[str]
    secret: bytes
    tables: list[list[FlowRecord]]
    reservations: list[ReservationRecord]


class SnapshotRejectedError(OakkeelError, ValueError):
    """A snapshot cannot be decoded, is from the future, is too old or has other levels (see the message)."""


def encode_snapshot(
    now: int,
    unix_now: int,
    levels: tuple[str, ...],
    secret: bytes,
    shares: MaxMinShares,
    reservations: Reservations,
) -> bytes:
    """Encode the flows and the future reservations.

    `now` is monotonic and `unix_now` is Unix time, both in nanoseconds.
    """
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
    future_reservations = [
        ReservationRecord(reservation.key, reservation.due_at - now, reservation.work)
        for flow_reservations in reservations.by_flow.values()
        for reservation in flow_reservations
        if reservation.due_at > now
    ]
    return msgspec.msgpack.encode(
        FairSharingSnapshot(unix_now, list(levels), secret, tables, future_reservations)
    )


def decode_snapshot(content: bytes, unix_now: int, levels: tuple[str, ...]) -> FairSharingSnapshot:
    """Decode a snapshot of these levels that is recent enough to describe the present flows.

    `unix_now` is Unix time in nanoseconds. Raises `SnapshotRejectedError`.
    """
    try:
        snapshot = msgspec.msgpack.decode(content, type=FairSharingSnapshot)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise SnapshotRejectedError(f"the snapshot cannot be decoded: {error}") from error
    age = unix_now - snapshot.written_at
    if age < -MAX_CLOCK_LEAD_NS:
        raise SnapshotRejectedError(
            f"the snapshot was written {-age // SECOND} s in the future: check the clock"
        )
    if age > MAX_SNAPSHOT_AGE_NS:
        raise SnapshotRejectedError(
            f"the snapshot is {age // SECOND} s old, expected {MAX_SNAPSHOT_AGE_NS // SECOND} s or less"
        )
    if tuple(snapshot.levels) != levels:
        raise SnapshotRejectedError(
            f"the snapshot has flows by {' '.join(snapshot.levels)}, expected {' '.join(levels)}"
        )
    return snapshot


def restore_snapshot(
    snapshot: FairSharingSnapshot, now: int, unix_now: int, shares: MaxMinShares, reservations: Reservations
) -> None:
    """Fill empty tables: flows decay by the age of the snapshot, and future reservations stay valid.

    `now` is monotonic and `unix_now` is Unix time, both in nanoseconds.
    """
    age = max(0, unix_now - snapshot.written_at)
    outer: dict[int, Flow] = {}
    for level, (table, records) in enumerate(zip(shares.tables, snapshot.tables, strict=False)):
        inner: dict[int, Flow] = {}
        for record in sorted(records, key=lambda record: -record.rate)[: table.max_flows]:
            parent = outer.get(record.parent)
            if level > 0 and parent is None:
                continue  # the outer flow was no longer in the table, so there is no share to divide
            past = PastRates(record.rate, record.retries, age)
            inner[record.key] = table.restore(now, record.key, past, record.label, parent)
        outer = inner
    for reservation_record in snapshot.reservations:
        due_at = now + reservation_record.after - age
        if due_at > now and reservations.open_count < reservations.max_open:
            reservations.restore(Reservation(reservation_record.key, due_at, reservation_record.work))
