"""The heartbeat of an agent and the leader's response.

Encoded as arrays: fields may be renamed, but never reordered. Times are in nanoseconds.
"""

from __future__ import annotations

import msgspec


class TargetReport(msgspec.Struct, array_like=True):
    """The state of one target."""

    name: str
    serving: bool
    started_token: int = 0  # fencing token of the permit under which the target was taken out
    restored: bool = False  # the target is back in service
    unused_token: int = 0  # fencing token of a permit that will not be used
    in_flight: str = ""  # requests in flight while the target drains, shown to operators


class TaskResult(msgspec.Struct, array_like=True):
    """The final state of a task of an order, as the agent reports it."""

    order_id: str
    target: str
    state: str  # a final `FleetTaskState`
    reason: str


class Heartbeat(msgspec.Struct, array_like=True):
    """The periodic report of an agent."""

    host: str
    incarnation: int  # of the agent's process
    sequence: int  # number of the heartbeat within the incarnation
    last_index: int  # of the latest response that the agent accepted
    targets: list[TargetReport]
    task_results: list[TaskResult]
    generation_limits: dict[str, int]  # highest generation that the agent wants to reserve, by target
    extension: bytes = b""  # for the LeaderExtension
    echoed_timestamp: tuple[int, int] = (0, 0)  # timestamp of the latest response that the agent received


class GrantedPermit(msgspec.Struct, array_like=True):
    """A permit for a target of the host."""

    target: str
    order_id: str
    fencing_token: int
    started: bool
    valid_for: int  # time within which the permit may be started, from the sending of the heartbeat
    only_while_down: bool = False  # the permit may be started only while the target has no process


class AssignedTask(msgspec.Struct, array_like=True):
    """A task of an order for a target of the host."""

    target: str
    generation: int  # the generation of the target that the order applies to
    state: str


class AssignedOrder(msgspec.Struct, array_like=True):
    """The part of an order that concerns the host."""

    id: str
    operator: str
    verb: str
    created_at: int  # Unix time
    remaining: int  # time until the timeout of the order
    halted_by: str
    cancelled_by: str
    tasks: list[AssignedTask]


class HeartbeatResponse(msgspec.Struct, array_like=True):
    """The response to a heartbeat."""

    epoch: str
    index: int  # of the last command that the leader had applied
    permits: list[GrantedPermit]
    orders: list[AssignedOrder]
    generations: dict[str, int]  # highest reserved generation, by target
    voters: list[str] = []  # hosts that are members of the Raft group or should be
    extension: bytes = b""  # from the LeaderExtension
    # Nonce and clock of the leader. An agent that echoes the timestamp was alive at that time.
    timestamp: tuple[int, int] = (0, 0)
