"""The frames of the simulator's wire, in precompiled structs that know nothing of the decisions."""

from __future__ import annotations

from struct import Struct
from typing import BinaryIO, NoReturn

from oakkeel.errors import OakkeelError

EVENT_SIZE = 72
HEADER = Struct("<IIQI")  # number, bytes that follow the second field, clock, records
REPLY_HEADER = Struct("<III")
HEADER_REST = HEADER.size - 8
REPLY_REST = REPLY_HEADER.size - 8

# Events: code, instance, then the fields.
PROVISION = Struct("<BIQII")  # seed, offset and length of the settings
INCOMING = Struct("<BIQHfQfBHQIQQQ")
ENDED = Struct("<BIQHQ")  # work_done and call_done: id, status, latency
NAMED = Struct("<BIQ")  # awaiting, gone: id; lame_duck: time left
TIMER = Struct("<BIQB")  # token, number of gauges
KILLED = Struct("<BI")
MOST_GAUGES = (EVENT_SIZE - TIMER.size) // 4
(
    EV_PROVISION,
    EV_INCOMING,
    EV_WORK_DONE,
    EV_AWAITING,
    EV_CALL_DONE,
    EV_LAME_DUCK,
    EV_GONE,
    EV_TIMER,
    EV_KILLED,
) = range(1, 10)

# Actions: code, instance, then the fields, padded to 24 bytes.
ACT_ID = Struct("<BIQ11x")  # launch, go_on, share, interrupt, report_failure, release_key
ACT_ID_TIME = Struct("<BIQQ3x")  # dial, remember; set_timer: token, time
ACT_BOUNCE = Struct("<BIQBQ2x")
ACT_HEALTH = Struct("<BIBB17x")
ACT_FLOAT = Struct("<BIf15x")
ACT_TIME = Struct("<BIQ11x")  # trim_after
ACT_TEXT = Struct("<BIII11x")  # debug, internal_error: offset and length
(
    REPORT_FAILURE,
    TRIM_AFTER,
    HEALTH,
    INTERRUPT,
    DIAL,
    DEBUG,
    INTERNAL_ERROR,
    SET_TIMER,
    BOUNCE,
    RELEASE_KEY,
    REMEMBER,
    LAUNCH,
    SHARE,
    GO_ON,
    ANNOUNCE,
) = range(1, 16)

FLAG_RETRY = 2


class WireError(OakkeelError):
    """A frame that can't be read; the text is one plain line for whoever started the adapter."""


def fail(text: str) -> NoReturn:
    """Raise a `WireError`."""
    raise WireError(text)


def read_frame(source: BinaryIO) -> tuple[int, int, int, bytes] | None:
    """Read the next batch as number, clock, record count and body; None at the end of input."""
    head = source.read(HEADER.size)
    if not head:
        return None
    if len(head) < HEADER.size:
        fail(f"batch header cut short: {len(head)} of {HEADER.size} bytes")
    number, length, clock, count = HEADER.unpack(head)
    size = length - HEADER_REST
    if size < count * EVENT_SIZE:
        fail(f"batch {number}: {length} bytes are too few for {count} records")
    body = source.read(size)
    if len(body) < size:
        fail(f"batch {number} cut short: {len(body)} of {size} bytes")
    return number, clock, count, body


class Reply:
    """The actions of one reply."""

    __slots__ = ("records", "text_size", "texts")

    def __init__(self) -> None:
        """Start empty."""
        self.records: list[bytes] = []
        self.texts: list[bytes] = []
        self.text_size = 0

    def add_text(self, code: int, instance: int, text: str) -> None:
        """Add an action that carries a text, such as a remark or an error."""
        data = text.encode()
        self.records.append(ACT_TEXT.pack(code, instance, self.text_size, len(data)))
        self.texts.append(data)
        self.text_size += len(data)

    def frame(self, number: int) -> bytes:
        """Return the frame of all that was added; the reply is empty again after it."""
        body = b"".join(self.records) + b"".join(self.texts)
        frame = REPLY_HEADER.pack(number, REPLY_REST + len(body), len(self.records)) + body
        self.records.clear()
        self.texts.clear()
        self.text_size = 0
        return frame
