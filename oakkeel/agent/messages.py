"""The requests that agents serve and their responses, sent in authenticated frames.

Ages are in nanoseconds; -1: never, or not known. Tags and keys are part of the protocol: a field whose name
differs from its key states the key.
"""

from __future__ import annotations

import msgspec

from oakkeel.control.messages import ClientsStatus, NodeStatus
from oakkeel.disruption.messages import Heartbeat, HeartbeatResponse
from oakkeel.raft.messages import Envelope
from oakkeel.rollout.commands import RolloutPolicy, VersionSpec


class HostStatusRequest(msgspec.Struct, tag="look", forbid_unknown_fields=True):
    """Ask for the state of the host and its instances. Answered by `HostStatus`."""


class OrderRequest(msgspec.Struct, tag="order", forbid_unknown_fields=True):
    """Order an action on instances, each with the generation that the operator saw.

    Answered by `OrderStatus`.
    """

    order_id: str = msgspec.field(name="ident")
    verb: str
    instances: list[tuple[str, int]]
    lifetime: int = msgspec.field(name="lasts")  # nanoseconds from the acceptance of the order
    supersede: bool = False


class CancelOrderRequest(msgspec.Struct, tag="cancel", forbid_unknown_fields=True):
    """Cancel the tasks of an order that are not started. Answered by `OrderStatus`."""

    order_id: str = msgspec.field(name="ident")


class ListOrdersRequest(msgspec.Struct, tag="orders", forbid_unknown_fields=True):
    """Ask for the latest orders. Answered by `OrderList`."""

    limit: int = msgspec.field(default=50, name="most")


class InstanceClientsRequest(msgspec.Struct, tag="clients", forbid_unknown_fields=True):
    """Ask for the heaviest clients of an instance. Answered by `InstanceClients`."""

    instance: str
    limit: int = msgspec.field(default=20, name="most")


class PeerEnvelopesRequest(msgspec.Struct, tag="carry", forbid_unknown_fields=True):
    """Raft envelopes from one replica to another. Answered by `PeerEnvelopesResponse`."""

    envelopes: list[Envelope] = msgspec.field(name="letters")


class HeartbeatRequest(msgspec.Struct, tag="polled", forbid_unknown_fields=True):
    """The heartbeat of an agent. Answered by `HeartbeatAccepted` or `NotLeaderResponse`."""

    heartbeat: Heartbeat = msgspec.field(name="poll")


class FleetOrderRequest(msgspec.Struct, tag="fleet", forbid_unknown_fields=True):
    """Order an action on targets of any host. Answered by `FleetOrderStatus` or `NotLeaderResponse`."""

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
    """Set the voters of the control plane. Answered by `RaftStatus` or `NotLeaderResponse`."""

    hosts: list[str]


class StartReleaseRequest(msgspec.Struct, tag="start release", forbid_unknown_fields=True):
    """Roll a version out to targets. Answered by `ReleaseStatus` or `NotLeaderResponse`."""

    release_id: str = msgspec.field(name="ident")
    version: VersionSpec = msgspec.field(name="what")
    policy: RolloutPolicy = msgspec.field(name="pace")
    targets: list[str] = msgspec.field(name="things")


class ControlReleaseRequest(msgspec.Struct, tag="turn release", forbid_unknown_fields=True):
    """Control a release. Answered by `ReleaseStatus` or `NotLeaderResponse`."""

    release_id: str = msgspec.field(name="ident")
    action: str = msgspec.field(name="to")  # pause, resume, abort, undo (roll back), leave (give up)


class ReleaseStatusRequest(msgspec.Struct, tag="ask release", forbid_unknown_fields=True):
    """Ask for the release with that ID; without an ID, for the open or the last release.

    Answered by `ReleaseStatus` or `NotLeaderResponse`.
    """

    release_id: str = msgspec.field(default="", name="ident")


class RaftStatusRequest(msgspec.Struct, tag="record", forbid_unknown_fields=True):
    """Ask for the state of the agent's replica. Answered by `RaftStatus`."""


class FleetStatusRequest(msgspec.Struct, tag="fleet state", forbid_unknown_fields=True):
    """Ask for permits and orders of the fleet. Answered by `FleetStatus` or `NotLeaderResponse`."""

    order_id: str = msgspec.field(default="", name="ident")  # asks for one order; empty: the latest orders


class OpenOrder(msgspec.Struct):
    """The open order on an instance."""

    order_id: str = msgspec.field(name="ident")
    operator: str
    verb: str
    state: str
    age: int  # of the state


class InstanceStatus(msgspec.Struct):
    """The state of an instance, as known to its agent."""

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
    recent_crashes: int = msgspec.field(name="deaths")  # within the restart window
    restarts_exhausted: bool = msgspec.field(name="resting")
    starts_in: int  # nanoseconds until the instance may be started; 0: now, or no start is due
    why: str  # the last error


class HostStatus(msgspec.Struct, tag="host"):
    """The state of one host and its instances."""

    host: str
    site: str
    uptime: int  # of the agent
    unix_time: int = msgspec.field(name="unix")  # of the host's wall clock
    max_unavailable: int = msgspec.field(name="away")  # the host's part of its site's disruption budget
    unavailable: int = msgspec.field(name="out")  # instances that count against `max_unavailable`
    notes: list[str]  # conditions that its operator should know
    instances: list[InstanceStatus]


class TaskStatus(msgspec.Struct):
    """The state of an order on one instance."""

    instance: str
    state: str
    age: int  # of the state
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

    orders: list[OrderStatus]  # latest first


class InstanceClients(msgspec.Struct, tag="clients"):
    """The heaviest clients of an instance."""

    instance: str
    status: ClientsStatus = msgspec.field(name="told")


class PeerEnvelopesResponse(msgspec.Struct, tag="carried"):
    """Envelopes that were queued for the requesting host."""

    envelopes: list[Envelope] = msgspec.field(name="letters")


class HeartbeatAccepted(msgspec.Struct, tag="agreed"):
    """The leader's response to a heartbeat."""

    response: HeartbeatResponse = msgspec.field(name="agreed")


class NotLeaderResponse(msgspec.Struct, tag="elsewhere"):
    """Only the leader handles the request; `leader` is a host, or empty if none is known."""

    leader: str
    why: str


class FleetTaskStatus(msgspec.Struct):
    """The state of a fleet order on one target."""

    target: str = msgspec.field(name="thing")
    host: str
    state: str
    why: str
    fencing_token: int = msgspec.field(name="place")  # of the target's permit; 0: none
    in_flight: str = msgspec.field(default="", name="owes")  # requests to answer before the drain ends


class FleetOrderStatus(msgspec.Struct, tag="fleet"):
    """A committed order of the fleet."""

    order_id: str = msgspec.field(name="ident")
    operator: str
    verb: str
    unix_time: int = msgspec.field(name="unix")  # of the submission
    atomic: bool = msgspec.field(name="whole")
    halted: str  # operator or other cause of the halt; empty: not halted
    cancelled: str  # operator who cancelled the order; empty: not cancelled
    tasks: list[FleetTaskStatus] = msgspec.field(name="parts")


class UnavailableTarget(msgspec.Struct):
    """A target that is unavailable, with the reasons."""

    target: str = msgspec.field(name="thing")
    host: str
    reasons: list[str]
    fencing_token: int = msgspec.field(default=0, name="fence")  # of the target's permit; 0: none
    order_id: str = msgspec.field(default="", name="order")


class BudgetUsage(msgspec.Struct):
    """The use of a disruption budget."""

    name: str  # of the budget group
    unavailable: int = msgspec.field(name="out")
    limit: int = msgspec.field(name="bound")


class FleetStatus(msgspec.Struct, tag="fleet state"):
    """Budgets, unavailable targets and orders of the fleet."""

    index: int  # of the last applied entry of the replicated log
    budgets: list[BudgetUsage] = msgspec.field(name="groups")
    unavailable: list[UnavailableTarget] = msgspec.field(name="out")
    orders: list[FleetOrderStatus]  # latest first


class MemberStatus(msgspec.Struct):
    """A member of the Raft group, as the reporting replica knows it. -1: not known to that replica."""

    name: str
    incarnation: str = msgspec.field(name="life")
    is_voter: bool = msgspec.field(name="votes")
    lag: int = msgspec.field(name="behind")  # entries of the log that the member has not acknowledged
    contact_age: int = msgspec.field(name="heard_age")


class RaftStatus(msgspec.Struct, tag="record"):
    """The state of an agent's replica, or a status without a replica."""

    host: str
    role: str  # "none": this host has no replica
    role_age: int
    epoch: str  # of the replicated log
    term: int
    leader: str
    is_leader: bool = msgspec.field(name="leads")  # with a valid lease
    committed: int = msgspec.field(name="agreed")  # index of the last committed entry
    last_index: int = msgspec.field(name="last")
    elections: int  # won by this replica
    contact_age: int = msgspec.field(name="heard_age")  # of the last accepted response of a leader
    members: list[MemberStatus]
    why: str  # reason the replica is stale or not running, or the last heartbeat failed


class ReleaseTargetStatus(msgspec.Struct):
    """The state of a release on one target."""

    target: str = msgspec.field(name="thing")
    host: str
    state: str  # old, changing, new
    running_version: str = msgspec.field(name="runs")  # the version that the process reported
    phase: str
    report_age: int = msgspec.field(name="age")  # of the last report of the target
    why: str = ""


class ReleaseStatus(msgspec.Struct, tag="release"):
    """A committed release, with the condition that the rollout controller waits for."""

    release_id: str = msgspec.field(name="ident")
    operator: str
    unix_time: int = msgspec.field(name="unix")
    state: str
    version: VersionSpec = msgspec.field(name="what")
    step: int
    batch: int
    why: str  # reason of the state
    gate_summary: str = msgspec.field(name="said")  # figures of the gates
    waiting_for: str = msgspec.field(name="waits")  # empty if the release has ended
    controller: str = msgspec.field(name="driver")  # host of the rollout controller
    targets: list[ReleaseTargetStatus] = msgspec.field(name="parts")
    other_releases: list[tuple[str, str]] = msgspec.field(name="others")  # ended releases: ID and state


class ErrorResponse(msgspec.Struct, tag="fault"):
    """The request failed and changed nothing."""

    why: str


PeerRequest = PeerEnvelopesRequest | HeartbeatRequest  # accepted only with the key of an agent
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
    """Decode a request. Raises `msgspec.MsgspecError`."""
    return _request_decoder.decode(content)


def decode_response(content: bytes) -> Response:
    """Decode a response. Raises `msgspec.MsgspecError`."""
    return _response_decoder.decode(content)
