"""The heartbeat of an agent and the leader's response.

Written as arrays: fields may be renamed, never reordered. Times are in nanoseconds.
"""

from __future__ import annotations

import msgspec


class TargetReport(msgspec.Struct, array_like=True):
    """How one target is."""

    name: str
    serving: bool
    started_token: int = 0  # fencing token of the permit under which it was taken out
    restored: bool = False  # it is back in service
    unused_token: int = 0  # fencing token of a permit that will not be used
    in_flight: str = ""  # requests while it drains, for people


class TaskResult(msgspec.Struct, array_like=True):
    """How a task of an order ended on its host."""

    order_id: str
    target: str
    state: str
    reason: str


class Heartbeat(msgspec.Struct, array_like=True):
    """What an agent reports again and again."""

    host: str
    incarnation: int  # of the agent's process
    sequence: int  # number of the heartbeat
    last_index: int  # of the latest response that it accepted
    targets: list[TargetReport]
    task_results: list[TaskResult]
    generation_limits: dict[str, int]  # up to where it wants to use generations
    extension: bytes = b""  # for the LeaderExtension
    echoed_timestamp: tuple[int, int] = (0, 0)  # timestamp of the latest response that it received


class GrantedPermit(msgspec.Struct, array_like=True):
    """A permit for a target of the host."""

    target: str
    order_id: str
    fencing_token: int
    started: bool
    valid_for: int  # in which it may be started, from when the heartbeat was sent
    only_while_down: bool = False  # to be started only while no process of it is there


class AssignedOrder(msgspec.Struct, array_like=True):
    """An order as far as it concerns the host."""

    id: str
    operator: str
    verb: str
    created_at: int
    remaining: int
    halted_by: str
    cancelled_by: str
    tasks: list[tuple[str, int, str]]  # target, generation, state


class HeartbeatResponse(msgspec.Struct, array_like=True):
    """The response to a heartbeat."""

    epoch: str
    index: int
    permits: list[GrantedPermit]
    orders: list[AssignedOrder]
    generations: dict[str, int]
    voters: list[str] = []  # hosts that are members of the Raft group, or shall be
    extension: bytes = b""  # from the LeaderExtension
    timestamp: tuple[int, int] = (0, 0)  # nonce of the leader, its clock: who echoes it was alive after that
