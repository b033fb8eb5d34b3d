"""The frames of the simulator's protocol: batches of events in, replies with actions out.

This module maps codes and records to the terms of the code; comments give the names of the protocol. The
module does not depend on the admission decisions.
"""

from __future__ import annotations

from enum import IntEnum
from struct import Struct
from typing import BinaryIO, NamedTuple

from oakkeel.errors import OakkeelError

EVENT_SIZE = 72
GAUGE_SIZE = 4
BATCH_HEADER = Struct("<IIQI")  # number, length of the rest of the frame, clock, count of records
REPLY_HEADER = Struct("<III")  # number, length of the rest of the frame, count of records
UNCOUNTED_HEADER_SIZE = 8  # the number and the length, which the length does not count


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
EVENT_VALUE = Struct("<BIQ")  # request; or the time left of a drain
TIMER = Struct("<BIQB")  # token, number of gauges; the gauges follow
MAX_GAUGES = (EVENT_SIZE - TIMER.size) // GAUGE_SIZE

# Records of actions: code, instance, then the fields, padded to 24 bytes.
ACTION_REQUEST = Struct("<BIQ11x")  # request
ACTION_REQUEST_TIME = Struct("<BIQQ3x")  # request or token of a timer, time
ACTION_REJECT = Struct("<BIQBQ2x")  # request, final, Retry-After
ACTION_HEALTH = Struct("<BIBB17x")  # `stored` and `good` of `Instance.set_health`
ACTION_VALUE = Struct("<BIf15x")  # load report
ACTION_TIME = Struct("<BIQ11x")  # idle timeout
ACTION_TEXT = Struct("<BIII11x")  # offset and length of the text

RETRY_FLAG = 2


class WireError(OakkeelError):
    """A frame that can't be read; the message is one line for the standard error of the adapter."""


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
    """A frame from the simulator; its body has the records, then the settings that START records refer to."""

    number: int
    clock: int  # simulated time in nanoseconds
    record_count: int
    body: bytes

    @property
    def records_size(self) -> int:
        """Return the size of all records, which is the offset of the settings."""
        return self.record_count * EVENT_SIZE


def read_batch(input_stream: BinaryIO) -> Batch | None:
    """Read the next batch; return None at the end of the input. Raises `WireError` for a truncated batch."""
    header = input_stream.read(BATCH_HEADER.size)
    if not header:
        return None
    if len(header) < BATCH_HEADER.size:
        raise WireError(f"batch header cut short: {len(header)} of {BATCH_HEADER.size} bytes")
    number, length, clock, record_count = BATCH_HEADER.unpack(header)
    size = length - (BATCH_HEADER.size - UNCOUNTED_HEADER_SIZE)
    if size < record_count * EVENT_SIZE:
        raise WireError(f"batch {number}: {length} bytes are too few for {record_count} records")
    body = input_stream.read(size)
    if len(body) < size:
        raise WireError(f"batch {number} cut short: {len(body)} of {size} bytes")
    return Batch(number, clock, record_count, body)


class Reply:
    """Collects the actions of one reply and encodes them as a frame."""

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
        """Return the frame with all actions added since the last frame, as the reply to batch `number`."""
        body = b"".join(self.records) + b"".join(self.texts)
        length = REPLY_HEADER.size - UNCOUNTED_HEADER_SIZE + len(body)
        frame = REPLY_HEADER.pack(number, length, len(self.records)) + body
        self.records.clear()
        self.texts.clear()
        self.text_size = 0
        return frame
