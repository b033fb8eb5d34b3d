"""What passes between command line and agent, inside sealed frames. Ages are nanoseconds, -1 for never."""

from __future__ import annotations

import msgspec

from oakkeel.control.messages import ClientsStatus, NodeStatus
from oakkeel.disruption.messages import Heartbeat, HeartbeatResponse
from oakkeel.raft.messages import Envelope
from oakkeel.rollout.commands import RolloutPolicy, VersionSpec


class HostStatusRequest(msgspec.Struct, tag="look", forbid_unknown_fields=True):
    """How is everything on the host? `HostStatus` comes back."""


class OrderRequest(msgspec.Struct, tag="order", forbid_unknown_fields=True):
    """An order for instances, each with the generation that it is made for. `OrderTold` comes back."""

    ident: str
    verb: str
    instances: list[tuple[str, int]]
    lasts: int  # nanoseconds, from when it is taken
    supersede: bool = False


class CancelOrderRequest(msgspec.Struct, tag="cancel", forbid_unknown_fields=True):
    """End what an order has not begun. `OrderTold` comes back."""

    ident: str


class ListOrdersRequest(msgspec.Struct, tag="orders", forbid_unknown_fields=True):
    """The last orders. `OrderList` comes back."""

    most: int = 50


class InstanceClientsRequest(msgspec.Struct, tag="clients", forbid_unknown_fields=True):
    """Who sends the most to an instance? `InstanceClients` comes back."""

    instance: str
    most: int = 20


class PeerEnvelopesRequest(msgspec.Struct, tag="carry", forbid_unknown_fields=True):
    """Letters from one keeper to another. `PeerEnvelopesResponse` comes back."""

    letters: list[Envelope]


class HeartbeatRequest(msgspec.Struct, tag="polled", forbid_unknown_fields=True):
    """An agent to whom it takes for the leader. `HeartbeatAccepted` comes back, or `NotLeaderResponse`."""

    poll: Heartbeat


class FleetOrderRequest(msgspec.Struct, tag="fleet", forbid_unknown_fields=True):
    """An order for things of any host, to be agreed. `FleetOrderStatus` comes back, or `NotLeaderResponse`."""

    ident: str
    verb: str
    things: list[tuple[str, int]]
    lasts: int  # nanoseconds
    whole: bool = False


class EndFleetOrderRequest(msgspec.Struct, tag="end", forbid_unknown_fields=True):
    """Halt an order of the fleet, or cancel it: what it took out comes back. `FleetOrderStatus` comes back."""

    ident: str
    back: bool


class SetVotersRequest(msgspec.Struct, tag="set keepers", forbid_unknown_fields=True):
    """Who should keep the record from now on. `RaftStatus` comes back, or `NotLeaderResponse`."""

    hosts: list[str]


class StartReleaseRequest(msgspec.Struct, tag="start release", forbid_unknown_fields=True):
    """Bring that to those things, step by step. `ReleaseStatus` comes back, or `NotLeaderResponse`."""

    ident: str
    what: VersionSpec
    pace: RolloutPolicy
    things: list[str]


class ControlReleaseRequest(msgspec.Struct, tag="turn release", forbid_unknown_fields=True):
    """pause, resume, abort, undo, leave. `ReleaseStatus` comes back, or `NotLeaderResponse`."""

    ident: str
    to: str


class ReleaseStatusRequest(msgspec.Struct, tag="ask release", forbid_unknown_fields=True):
    """How far is it? Without an id the open one, or the last. `ReleaseStatus` comes back, or `NotLeaderResponse`."""

    ident: str = ""


class RaftStatusRequest(msgspec.Struct, tag="record", forbid_unknown_fields=True):
    """How is the record, as this agent knows it? `RaftStatus` comes back."""


class FleetStatusRequest(msgspec.Struct, tag="fleet state", forbid_unknown_fields=True):
    """Places and orders of the fleet. `FleetStatus` comes back, or `NotLeaderResponse`."""

    ident: str = ""  # of one order; else the latest


class OpenOrder(msgspec.Struct):
    """The order that is open on an instance."""

    ident: str
    operator: str
    verb: str
    state: str
    age: int


class InstanceStatus(msgspec.Struct):
    """An instance as its agent knows it."""

    name: str
    phase: str
    phase_age: int
    goal: str
    generation: int
    changed: int  # Unix nanoseconds
    changed_by: str
    pid: int
    heard_age: int  # of `report`
    report: NodeStatus | None
    order: OpenOrder | None
    deaths: int  # within the window of the budget
    resting: bool
    starts_in: int  # nanoseconds until it may be started; 0: now or not to be
    why: str  # the last thing that went wrong


class HostStatus(msgspec.Struct, tag="host"):
    host: str
    site: str
    uptime: int  # of the agent
    unix: int  # its clock
    away: int  # how many of its instances may be out at one time
    out: int  # how many are
    notes: list[str]  # what its operator should know of
    instances: list[InstanceStatus]


class TaskStatus(msgspec.Struct):
    instance: str
    state: str
    age: int
    why: str


class OrderStatus(msgspec.Struct, tag="order"):
    ident: str
    operator: str
    verb: str
    taken: int  # Unix nanoseconds
    parts: list[TaskStatus]


class OrderList(msgspec.Struct, tag="orders"):
    orders: list[OrderStatus]  # the latest first


class InstanceClients(msgspec.Struct, tag="clients"):
    instance: str
    told: ClientsStatus


class PeerEnvelopesResponse(msgspec.Struct, tag="carried"):
    letters: list[Envelope]


class HeartbeatAccepted(msgspec.Struct, tag="agreed"):
    agreed: HeartbeatResponse


class NotLeaderResponse(msgspec.Struct, tag="elsewhere"):
    """Only the leader answers that; `leader` is a host, or empty where none is known."""

    leader: str
    why: str


class FleetTaskStatus(msgspec.Struct):
    thing: str
    host: str
    state: str
    why: str
    place: int  # the fence of its place; 0: none
    owes: str = ""  # what it has yet to answer while it leaves


class FleetOrderStatus(msgspec.Struct, tag="fleet"):
    """An order of the fleet as it is agreed."""

    ident: str
    operator: str
    verb: str
    unix: int
    whole: bool
    halted: str
    cancelled: str
    parts: list[FleetTaskStatus]


class UnavailableTarget(msgspec.Struct):
    """A thing that is out, and why."""

    thing: str
    host: str
    reasons: list[str]
    fence: int = 0
    order: str = ""


class BudgetUsage(msgspec.Struct):
    name: str
    out: int
    bound: int


class FleetStatus(msgspec.Struct, tag="fleet state"):
    index: int
    groups: list[BudgetUsage]
    out: list[UnavailableTarget]
    orders: list[FleetOrderStatus]  # the latest first


class MemberStatus(msgspec.Struct):
    """A member of the record, as its leader or one who follows knows it. -1: not known here."""

    name: str
    life: str
    votes: bool
    behind: int  # entries
    heard_age: int


class RaftStatus(msgspec.Struct, tag="record"):
    host: str
    role: str  # none: it keeps nothing
    role_age: int
    epoch: str
    term: int
    leader: str
    leads: bool  # and its lease holds
    agreed: int  # index
    last: int
    elections: int
    heard_age: int  # since this agent heard the record's answer last
    members: list[MemberStatus]
    why: str


class ReleaseTargetStatus(msgspec.Struct):
    thing: str
    host: str
    state: str  # old, changing, new
    runs: str  # the version that its process told
    phase: str
    age: int  # of that, -1: nothing is known
    why: str = ""


class ReleaseStatus(msgspec.Struct, tag="release"):
    """A release as it is agreed, and what whoever drives it waits for."""

    ident: str
    operator: str
    unix: int
    state: str
    what: VersionSpec
    step: int
    batch: int
    why: str
    said: str  # the gates' figures
    waits: str  # what for, as the driver knows it
    driver: str
    parts: list[ReleaseTargetStatus]
    others: list[tuple[str, str]]  # releases that are over: id and state


class ErrorResponse(msgspec.Struct, tag="fault"):
    """Nothing came of it."""

    why: str


PeerRequest = PeerEnvelopesRequest | HeartbeatRequest  # agents
Request = (
    HostStatusRequest
    | OrderRequest
    | CancelOrderRequest
    | ListOrdersRequest
    | InstanceClientsRequest
    | FleetOrderRequest
    | EndFleetOrderRequest
    | SetVotersRequest
    | RaftStatusRequest
    | FleetStatusRequest
    | StartReleaseRequest
    | ControlReleaseRequest
    | ReleaseStatusRequest
    | PeerRequest
)
Response = (
    HostStatus
    | OrderStatus
    | OrderList
    | InstanceClients
    | PeerEnvelopesResponse
    | HeartbeatAccepted
    | NotLeaderResponse
    | FleetOrderStatus
    | FleetStatus
    | RaftStatus
    | ReleaseStatus
    | ErrorResponse
)
_request_decoder = msgspec.msgpack.Decoder(Request)
_response_decoder = msgspec.msgpack.Decoder(Response)
_encoder = msgspec.msgpack.Encoder()


def encode(message: Request | Response) -> bytes:
    return _encoder.encode(message)


def decode_request(content: bytes) -> Request:
    """Raises `msgspec.MsgspecError` with one plain line."""
    return _request_decoder.decode(content)


def decode_response(content: bytes) -> Response:
    """Raises `msgspec.MsgspecError` with one plain line."""
    return _response_decoder.decode(content)
