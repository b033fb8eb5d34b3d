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

    order_id: str = msgspec.field(name="ident")
    verb: str
    instances: list[tuple[str, int]]
    lifetime: int = msgspec.field(name="lasts")  # nanoseconds, from when it is taken
    supersede: bool = False


class CancelOrderRequest(msgspec.Struct, tag="cancel", forbid_unknown_fields=True):
    """End what an order has not begun. `OrderTold` comes back."""

    order_id: str = msgspec.field(name="ident")


class ListOrdersRequest(msgspec.Struct, tag="orders", forbid_unknown_fields=True):
    """The last orders. `OrderList` comes back."""

    limit: int = msgspec.field(default=50, name="most")


class InstanceClientsRequest(msgspec.Struct, tag="clients", forbid_unknown_fields=True):
    """Who sends the most to an instance? `InstanceClients` comes back."""

    instance: str
    limit: int = msgspec.field(default=20, name="most")


class PeerEnvelopesRequest(msgspec.Struct, tag="carry", forbid_unknown_fields=True):
    """Letters from one keeper to another. `PeerEnvelopesResponse` comes back."""

    envelopes: list[Envelope] = msgspec.field(name="letters")


class HeartbeatRequest(msgspec.Struct, tag="polled", forbid_unknown_fields=True):
    """An agent to whom it takes for the leader. `HeartbeatAccepted` comes back, or `NotLeaderResponse`."""

    heartbeat: Heartbeat = msgspec.field(name="poll")


class FleetOrderRequest(msgspec.Struct, tag="fleet", forbid_unknown_fields=True):
    """An order for targets of any host. Answered by `FleetOrderStatus` or `NotLeaderResponse`."""

    order_id: str = msgspec.field(name="ident")
    verb: str
    targets: list[tuple[str, int]] = msgspec.field(name="things")
    lifetime: int = msgspec.field(name="lasts")  # nanoseconds
    atomic: bool = msgspec.field(default=False, name="whole")


class EndFleetOrderRequest(msgspec.Struct, tag="end", forbid_unknown_fields=True):
    """Halt a fleet order, or cancel it, which restores its targets. Answered by `FleetOrderStatus`."""

    order_id: str = msgspec.field(name="ident")
    cancel: bool = msgspec.field(name="back")


class SetVotersRequest(msgspec.Struct, tag="set keepers", forbid_unknown_fields=True):
    """Who should keep the record from now on. `RaftStatus` comes back, or `NotLeaderResponse`."""

    hosts: list[str]


class StartReleaseRequest(msgspec.Struct, tag="start release", forbid_unknown_fields=True):
    """Bring that to those things, step by step. `ReleaseStatus` comes back, or `NotLeaderResponse`."""

    release_id: str = msgspec.field(name="ident")
    version: VersionSpec = msgspec.field(name="what")
    policy: RolloutPolicy = msgspec.field(name="pace")
    targets: list[str] = msgspec.field(name="things")


class ControlReleaseRequest(msgspec.Struct, tag="turn release", forbid_unknown_fields=True):
    """pause, resume, abort, undo, leave. `ReleaseStatus` comes back, or `NotLeaderResponse`."""

    release_id: str = msgspec.field(name="ident")
    action: str = msgspec.field(name="to")


class ReleaseStatusRequest(msgspec.Struct, tag="ask release", forbid_unknown_fields=True):
    """Without an ID the open release, or the last. Answered by `ReleaseStatus` or `NotLeaderResponse`."""

    release_id: str = msgspec.field(default="", name="ident")


class RaftStatusRequest(msgspec.Struct, tag="record", forbid_unknown_fields=True):
    """How is the record, as this agent knows it? `RaftStatus` comes back."""


class FleetStatusRequest(msgspec.Struct, tag="fleet state", forbid_unknown_fields=True):
    """Places and orders of the fleet. `FleetStatus` comes back, or `NotLeaderResponse`."""

    order_id: str = msgspec.field(default="", name="ident")  # of one order; else the latest


class OpenOrder(msgspec.Struct):
    """The order that is open on an instance."""

    order_id: str = msgspec.field(name="ident")
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
    changed_at: int = msgspec.field(name="changed")  # Unix nanoseconds
    changed_by: str
    pid: int
    report_age: int = msgspec.field(name="heard_age")  # of `report`
    report: NodeStatus | None
    order: OpenOrder | None
    recent_crashes: int = msgspec.field(name="deaths")  # within the window of the budget
    restarts_exhausted: bool = msgspec.field(name="resting")
    starts_in: int  # nanoseconds until it may be started; 0: now or not to be
    why: str  # the last thing that went wrong


class HostStatus(msgspec.Struct, tag="host"):
    """The state of one host and its instances."""

    host: str
    site: str
    uptime: int  # of the agent
    unix_time: int = msgspec.field(name="unix")  # its clock
    max_unavailable: int = msgspec.field(name="away")  # how many of its instances may be out at one time
    unavailable: int = msgspec.field(name="out")  # how many are
    notes: list[str]  # what its operator should know of
    instances: list[InstanceStatus]


class TaskStatus(msgspec.Struct):
    """The state of an order on one instance."""

    instance: str
    state: str
    age: int
    why: str


class OrderStatus(msgspec.Struct, tag="order"):
    """An order on one host, with its tasks."""

    order_id: str = msgspec.field(name="ident")
    operator: str
    verb: str
    accepted_at: int = msgspec.field(name="taken")  # Unix nanoseconds
    tasks: list[TaskStatus] = msgspec.field(name="parts")


class OrderList(msgspec.Struct, tag="orders"):
    """The latest orders of a host."""

    orders: list[OrderStatus]  # the latest first


class InstanceClients(msgspec.Struct, tag="clients"):
    """The clients that send the most to an instance."""

    instance: str
    status: ClientsStatus = msgspec.field(name="told")


class PeerEnvelopesResponse(msgspec.Struct, tag="carried"):
    """Envelopes that waited for the host that asked."""

    envelopes: list[Envelope] = msgspec.field(name="letters")


class HeartbeatAccepted(msgspec.Struct, tag="agreed"):
    """The leader's response to a heartbeat."""

    response: HeartbeatResponse = msgspec.field(name="agreed")


class NotLeaderResponse(msgspec.Struct, tag="elsewhere"):
    """Only the leader answers that; `leader` is a host, or empty where none is known."""

    leader: str
    why: str


class FleetTaskStatus(msgspec.Struct):
    """The state of a fleet order on one target."""

    target: str = msgspec.field(name="thing")
    host: str
    state: str
    why: str
    fence: int = msgspec.field(name="place")  # the fence of its place; 0: none
    in_flight: str = msgspec.field(default="", name="owes")  # what it has yet to answer while it leaves


class FleetOrderStatus(msgspec.Struct, tag="fleet"):
    """An order of the fleet as it is agreed."""

    order_id: str = msgspec.field(name="ident")
    operator: str
    verb: str
    unix_time: int = msgspec.field(name="unix")
    atomic: bool = msgspec.field(name="whole")
    halted: str
    cancelled: str
    tasks: list[FleetTaskStatus] = msgspec.field(name="parts")


class UnavailableTarget(msgspec.Struct):
    """A thing that is out, and why."""

    target: str = msgspec.field(name="thing")
    host: str
    reasons: list[str]
    fence: int = 0
    order_id: str = msgspec.field(default="", name="order")


class BudgetUsage(msgspec.Struct):
    """How much of a disruption budget is in use."""

    name: str
    unavailable: int = msgspec.field(name="out")
    limit: int = msgspec.field(name="bound")


class FleetStatus(msgspec.Struct, tag="fleet state"):
    """Budgets, unavailable targets and orders of the fleet."""

    index: int
    budgets: list[BudgetUsage] = msgspec.field(name="groups")
    unavailable: list[UnavailableTarget] = msgspec.field(name="out")
    orders: list[FleetOrderStatus]  # the latest first


class MemberStatus(msgspec.Struct):
    """A member of the record, as its leader or one who follows knows it. -1: not known here."""

    name: str
    incarnation: str = msgspec.field(name="life")
    is_voter: bool = msgspec.field(name="votes")
    lag: int = msgspec.field(name="behind")  # entries
    contact_age: int = msgspec.field(name="heard_age")


class RaftStatus(msgspec.Struct, tag="record"):
    """The state of an agent's replica, or of none."""

    host: str
    role: str  # none: it keeps nothing
    role_age: int
    epoch: str
    term: int
    leader: str
    is_leader: bool = msgspec.field(name="leads")  # and its lease holds
    committed: int = msgspec.field(name="agreed")  # index
    last_index: int = msgspec.field(name="last")
    elections: int
    contact_age: int = msgspec.field(name="heard_age")  # since this agent heard the record's answer last
    members: list[MemberStatus]
    why: str


class ReleaseTargetStatus(msgspec.Struct):
    """The state of a release on one target."""

    target: str = msgspec.field(name="thing")
    host: str
    state: str  # old, changing, new
    running_version: str = msgspec.field(name="runs")  # the version that its process told
    phase: str
    report_age: int = msgspec.field(name="age")  # of that, -1: nothing is known
    why: str = ""


class ReleaseStatus(msgspec.Struct, tag="release"):
    """A release as it is agreed, and what whoever drives it waits for."""

    release_id: str = msgspec.field(name="ident")
    operator: str
    unix_time: int = msgspec.field(name="unix")
    state: str
    version: VersionSpec = msgspec.field(name="what")
    step: int
    batch: int
    why: str
    gate_summary: str = msgspec.field(name="said")  # the gates' figures
    waiting_for: str = msgspec.field(name="waits")  # what for, as the driver knows it
    controller: str = msgspec.field(name="driver")
    targets: list[ReleaseTargetStatus] = msgspec.field(name="parts")
    other_releases: list[tuple[str, str]] = msgspec.field(
        name="others"
    )  # releases that are over: id and state


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
    """Encode a request or response as msgpack."""
    return _encoder.encode(message)


def decode_request(content: bytes) -> Request:
    """Raises `msgspec.MsgspecError` with one plain line."""
    return _request_decoder.decode(content)


def decode_response(content: bytes) -> Response:
    """Raises `msgspec.MsgspecError` with one plain line."""
    return _response_decoder.decode(content)
