"""The frames of the simulator's wire: batches of events in, replies with actions out.

Codes and records are mapped here to the terms of the code; a comment has the name that the wire gives. This
module knows nothing of the decisions.
"""

from __future__ import annotations

from enum import IntEnum
from struct import Struct
from typing import BinaryIO, NamedTuple

from oakkeel.errors import OakkeelError

EVENT_SIZE = 72
GAUGE_SIZE = 4
BATCH_HEADER = Struct("<IIQI")  # number, bytes that follow the second field, clock, records
REPLY_HEADER = Struct("<III")  # number, bytes that follow the second field, records
UNCOUNTED_HEADER_SIZE = 8  # the number and the length itself


class EventCode(IntEnum):
    """The events of a batch."""

    START = 1  # provision
    ARRIVAL = 2  # incoming
    RUN_FINISHED = 3  # work_done
    CALL_NEEDED = 4  # awaiting
    CALL_FINISHED = 5  # call_done
    DRAIN = 6  # lame_duck
    CLIENT_DISCONNECTED = 7  # gone
    TIMER_EXPIRED = 8  # timeout_fired
    KILLED = 9


class ActionCode(IntEnum):
    """The actions of a reply."""

    FAIL = 1  # report_failure
    CLOSE_IDLE = 2  # trim_after
    SET_HEALTH = 3  # health
    CANCEL = 4  # interrupt
    CALL = 5  # dial
    NOTE = 6  # debug
    INTERNAL_ERROR = 7
    SET_TIMER = 8
    REJECT = 9  # bounce
    RELEASE_KEY = 10
    RETAIN_KEY = 11  # remember
    RUN = 12  # launch
    COALESCE = 13  # share
    SKIP_CALL = 14  # go_on
    REPORT_LOAD = 15  # announce


# Records of events: code, instance, then the fields.
EVENT_HEAD = Struct("<BI")
START = Struct("<BIQII")  # seed, offset and length of the settings
ARRIVAL = Struct("<BIQHfQfBHQIQQQ")  # the fields of `Arrival`
FINISHED = Struct("<BIQHQ")  # of a run or a call: request, status, latency
EVENT_VALUE = Struct("<BIQ")  # request; or for a drain the time left
TIMER = Struct("<BIQB")  # token, number of gauges; the gauges follow
MAX_GAUGES = (EVENT_SIZE - TIMER.size) // GAUGE_SIZE

# Records of actions: code, instance, then the fields, padded to 24 bytes.
ACTION_REQUEST = Struct("<BIQ11x")
ACTION_REQUEST_TIME = Struct("<BIQQ3x")  # request or token of a timer, time
ACTION_REJECT = Struct("<BIQBQ2x")  # request, final, time to stay away
ACTION_HEALTH = Struct("<BIBB17x")  # stored, good
ACTION_VALUE = Struct("<BIf15x")
ACTION_TIME = Struct("<BIQ11x")
ACTION_TEXT = Struct("<BIII11x")  # offset and length of the text

RETRY_FLAG = 2


class WireError(OakkeelError):
    """A frame that can't be read; the message is one line for whoever started the adapter."""


class Arrival(NamedTuple):
    """The arrival of a request; durations in nanoseconds."""

    code: int
    instance_id: int
    request_id: int
    class_index: int
    priority: float  # not used
    estimate: int  # not used
    memory_kb: float
    flags: int
    client: int
    remaining_time: int
    tenant_index: int
    queueing_delay: int
    key: int  # 0: none
    earlier_request: int  # with the same key; 0: none


class Batch(NamedTuple):
    """One frame from the simulator; the body has the records, then the settings that start records name."""

    number: int
    clock: int
    record_count: int
    body: bytes

    @property
    def records_size(self) -> int:
        """Return the size of all records: where the settings begin."""
        return self.record_count * EVENT_SIZE


def read_batch(source: BinaryIO) -> Batch | None:
    """Read the next batch, or None at the end of the input. Raises `WireError` for one that is cut short."""
    header = source.read(BATCH_HEADER.size)
    if not header:
        return None
    if len(header) < BATCH_HEADER.size:
        raise WireError(f"batch header cut short: {len(header)} of {BATCH_HEADER.size} bytes")
    number, length, clock, record_count = BATCH_HEADER.unpack(header)
    size = length - (BATCH_HEADER.size - UNCOUNTED_HEADER_SIZE)
    if size < record_count * EVENT_SIZE:
        raise WireError(f"batch {number}: {length} bytes are too few for {record_count} records")
    body = source.read(size)
    if len(body) < size:
        raise WireError(f"batch {number} cut short: {len(body)} of {size} bytes")
    return Batch(number, clock, record_count, body)


class Reply:
    """The actions of one reply."""

    __slots__ = ("records", "text_size", "texts")

    def __init__(self) -> None:
        """Start empty."""
        self.records: list[bytes] = []
        self.texts: list[bytes] = []
        self.text_size = 0

    def add_text(self, code: ActionCode, instance_id: int, text: str) -> None:
        """Add an action that carries a text, such as a remark or an error."""
        data = text.encode()
        self.records.append(ACTION_TEXT.pack(code, instance_id, self.text_size, len(data)))
        self.texts.append(data)
        self.text_size += len(data)

    def take_frame(self, number: int) -> bytes:
        """Return the frame of all that was added since the last one, as the reply to batch `number`."""
        body = b"".join(self.records) + b"".join(self.texts)
        length = REPLY_HEADER.size - UNCOUNTED_HEADER_SIZE + len(body)
        frame = REPLY_HEADER.pack(number, length, len(self.records)) + body
        self.records.clear()
        self.texts.clear()
        self.text_size = 0
        return frame
