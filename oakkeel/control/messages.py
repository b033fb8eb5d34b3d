"""Messages of the control link: one JSON object per line, typed and of bounded size.

The protocol fixes the message types (`tag=` of each class) and the keys; a field whose key differs from its
name in the code declares the key. The field `tag` of a message numbers a request; its response repeats it.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

MAX_LINE_BYTES = 4096


class ServingState(StrEnum):
    """The serving state of a node in its status reports."""

    WAITING = "waiting"  # for its engine to come up
    WARMING_UP = "cold"  # in slow start
    SERVING = "serving"
    DRAINING = "draining"


class StatusRequest(msgspec.Struct, tag="ask", forbid_unknown_fields=True):
    """Request the state of the node; the response is a `NodeStatus`."""

    tag: int


class DrainRequest(msgspec.Struct, tag="leave", forbid_unknown_fields=True):
    """Drain and stop, if the node has this generation; the response is an `Acknowledgement`."""

    tag: int
    generation: int
    timeout: int = msgspec.field(default=0, name="within")  # nanoseconds; 0: the limit after a SIGTERM


class CancelDrainRequest(msgspec.Struct, tag="stay", forbid_unknown_fields=True):
    """Cancel the drain, if the node has this generation and has not stopped.

    The response is an `Acknowledgement`.
    """

    tag: int
    generation: int


class ClientsRequest(msgspec.Struct, tag="clients", forbid_unknown_fields=True):
    """Request the heaviest clients, with fair sharing; the response is a `ClientsStatus`."""

    tag: int
    limit: int = msgspec.field(default=20, name="most")


class NodeStatus(msgspec.Struct, tag="report"):
    """The state of a node; its times are in nanoseconds."""

    tag: int
    name: str
    pid: int
    generation: int  # number that the agent gave to this start of the node
    state: str  # a `ServingState`; a node of another version may report another value
    address: str
    uptime: int
    stage: str = "NORMAL"  # name of the overload stage
    # Requests of a lower rank are rejected.
    shedding_threshold: float = msgspec.field(default=0.0, name="cut")
    # Counts of requests: queued, running in the engine, and waiting for a downstream call.
    queued: int = msgspec.field(default=0, name="hold")
    running: int = msgspec.field(default=0, name="runs")
    calling: int = msgspec.field(default=0, name="calls")
    memory_kb: float = 0.0  # estimated memory of open requests and of retained keys
    resident_kb: int = 0  # memory of the process
    descriptors: int = 0
    connections: int = 0
    gauges_age: int = -1  # time since the gauges of the engine were read; -1: never read
    open_requests: int = msgspec.field(default=0, name="owes")  # read and not finished
    open_by_class: dict[str, int] = msgspec.field(default_factory=dict, name="owes_by")  # while draining
    completed: int = 0  # since the start of the node, as are `rejected` and `failed`
    rejected: int = msgspec.field(default=0, name="denied")
    failed: int = msgspec.field(default=0, name="terminated")
    cpu: int = 0  # CPU time of the process since its start
    version: str = ""  # of the program, set by the agent
    load: float = 0.0  # fraction of the engine's cores that is busy, by the last gauges
    # Count, sum and sum of squares over all requests since the start: `earned_weight` of the priority weight
    # that each request earned; `latencies`, by request class, of the logarithm of the seconds until a request
    # was completed.
    earned_weight: list[float] = msgspec.field(default_factory=list, name="benefit")
    latencies: dict[str, list[float]] = msgspec.field(default_factory=dict, name="times")


class Acknowledgement(msgspec.Struct, tag="told"):
    """The result of an order, or the reason why a message was refused (tag 0: it could not be decoded)."""

    tag: int
    accepted: bool = msgspec.field(name="done")
    reason: str = msgspec.field(default="", name="why")


class ClientUsage(msgspec.Struct):
    """One client; `demand` and `retries` are fractions of the request rate of all clients."""

    name: str
    demand: float = msgspec.field(name="asks")
    retries: float
    fair_fraction: float = msgspec.field(name="keeps")  # fraction of its demand that its fair share allows


class ClientsStatus(msgspec.Struct, tag="clients"):
    """The heaviest clients, and the counts of reservations since the start of the node."""

    tag: int
    flow_key: list[str] = msgspec.field(name="by")  # request fields that identify a client; empty: none
    tracked_count: int = msgspec.field(default=0, name="known")  # number of clients that the node tracks
    # upper bound of the `demand` of a client that is not tracked
    untracked_max_share: float = msgspec.field(default=0.0, name="error")
    reservations_open: int = msgspec.field(default=0, name="open")
    reservations_made: int = msgspec.field(default=0, name="made")
    reservations_honored: int = msgspec.field(default=0, name="kept")
    reservations_broken: int = msgspec.field(default=0, name="broken")
    reservations_expired: int = msgspec.field(default=0, name="lapsed")
    clients: list[ClientUsage] = []


Request = StatusRequest | DrainRequest | CancelDrainRequest | ClientsRequest
Response = NodeStatus | Acknowledgement | ClientsStatus
_request_decoder = msgspec.json.Decoder(Request)
_response_decoder = msgspec.json.Decoder(Response)
_encoder = msgspec.json.Encoder()


def encode(message: Request | Response) -> bytes:
    """Encode one message as a line."""
    return _encoder.encode(message) + b"\n"


def decode_request(line: bytes) -> Request:
    """Decode a request. Raises `msgspec.MsgspecError`."""
    return _request_decoder.decode(line)


def decode_response(line: bytes) -> Response:
    """Decode a response. Raises `msgspec.MsgspecError`."""
    return _response_decoder.decode(line)
