"""What passes on a control link: one JSON object a line, typed and bounded."""

from __future__ import annotations

import msgspec

MAX_LINE_BYTES = 4096  # bytes of a line


class StatusRequest(msgspec.Struct, tag="ask", forbid_unknown_fields=True):
    """How is the node? A `NodeStatus` comes back."""

    tag: int


class DrainRequest(msgspec.Struct, tag="leave", forbid_unknown_fields=True):
    """Drain and end, if the node is of that generation; `CancelDrainRequest` takes it back. `Told` comes back."""

    tag: int
    generation: int
    within: int = 0  # nanoseconds, until the rest is answered and it ends; 0: as after a SIGTERM


class CancelDrainRequest(msgspec.Struct, tag="stay", forbid_unknown_fields=True):
    """Take work again, if the node is of that generation and has not ended. `Told` comes back."""

    tag: int
    generation: int


class ClientsRequest(msgspec.Struct, tag="clients", forbid_unknown_fields=True):
    """Who sends the most, where shares are fair? `ClientsStatus` comes back."""

    tag: int
    most: int = 20


class NodeStatus(msgspec.Struct, tag="report"):
    """A node as it is now. Sizes in KB unless named otherwise, times in nanoseconds."""

    tag: int
    name: str
    pid: int
    generation: int  # told to it when it was started
    state: str  # waiting (its engine is not up), cold, serving, draining
    address: str
    uptime: int
    stage: str = "NORMAL"  # of the ladder
    cut: float = 0.0  # the rank below which exchanges are denied as low
    hold: int = 0
    runs: int = 0
    calls: int = 0
    memory_kb: float = 0.0  # booked by exchanges, as the decisions count
    resident_kb: int = 0
    descriptors: int = 0
    connections: int = 0
    gauges_age: int = -1  # -1: none were ever read
    owes: int = 0  # exchanges read and not over
    owes_by: dict[str, int] = {}  # the same by endpoint group, while it drains
    completed: int = 0  # since its start, as the next two
    denied: int = 0
    terminated: int = 0
    cpu: int = 0  # nanoseconds of a core since its start
    version: str = ""  # that it runs, as whoever started it said
    load: float = 0.0  # of its cores, as it last read it
    benefit: list[float] = []  # count, sum, sum of squares over exchanges since its start
    times: dict[str, list[float]] = {}  # the same by endpoint group, of logarithms of seconds


class Acknowledgement(msgspec.Struct, tag="told"):
    """What became of an order, or why a message was refused (tag 0: it could not be read)."""

    tag: int
    done: bool
    why: str = ""


class ClientUsage(msgspec.Struct):
    """One sender, as shares of what all ask for."""

    name: str
    asks: float
    retries: float
    keeps: float  # of what it asks, under its fair share


class ClientsStatus(msgspec.Struct, tag="clients"):
    """The heaviest senders. Promises are counted since the start."""

    tag: int
    by: list[str]  # who counts as one; empty: no sender is told from another
    known: int = 0
    error: float = 0.0  # the most that one not known may ask for
    open: int = 0
    made: int = 0
    kept: int = 0
    broken: int = 0
    lapsed: int = 0
    clients: list[ClientUsage] = []


Request = StatusRequest | DrainRequest | CancelDrainRequest | ClientsRequest
Response = NodeStatus | Acknowledgement | ClientsStatus
_request_decoder = msgspec.json.Decoder(Request)
_response_decoder = msgspec.json.Decoder(Response)
_encoder = msgspec.json.Encoder()


def encode(message: Request | Response) -> bytes:
    return _encoder.encode(message) + b"\n"


def decode_request(line: bytes) -> Request:
    """Raises `msgspec.MsgspecError` with one plain line."""
    return _request_decoder.decode(line)


def decode_response(line: bytes) -> Response:
    """Raises `msgspec.MsgspecError` with one plain line."""
    return _response_decoder.decode(line)
