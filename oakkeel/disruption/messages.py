"""What an agent tells the leader again and again, and what it hears of its own things."""

from __future__ import annotations

import msgspec


class TargetReport(msgspec.Struct, array_like=True):
    name: str
    serving: bool  # it serves
    started_token: int = 0  # fence of the place under which it was taken out
    restored: bool = False  # and that is over
    unused_token: int = 0  # fence of a place that will not be used
    in_flight: str = ""  # what it has yet to answer while it leaves, for people


class TaskResult(msgspec.Struct, array_like=True):
    """How a part of an order ended on its host."""

    order_id: str
    target: str
    state: str
    reason: str


class Heartbeat(msgspec.Struct, array_like=True):
    host: str
    incarnation: int  # of the agent's process
    sequence: int  # of its polls
    last_index: int  # index of the latest answer that it took
    targets: list[TargetReport]
    task_results: list[TaskResult]
    generation_limits: dict[str, int]  # generations that it wants to be free to use
    extension: bytes = b""  # for what is built on places
    echoed_timestamp: tuple[int, int] = (0, 0)  # the stamp of the latest answer that it took


class GrantedPermit(msgspec.Struct, array_like=True):
    target: str
    order_id: str
    fencing_token: int
    started: bool
    valid_for: int  # nanoseconds in which it may be begun, from when the poll was sent
    only_while_down: bool = False  # only while no process of it is there


class AssignedOrder(msgspec.Struct, array_like=True):
    """An order as far as it concerns the host. Times in nanoseconds."""

    id: str
    operator: str
    verb: str
    created_at: int
    remaining: int
    halted_by: str
    cancelled_by: str
    tasks: list[tuple[str, int, str]]  # thing, generation, state


class HeartbeatResponse(msgspec.Struct, array_like=True):
    """The answer to a poll."""

    epoch: str
    index: int
    permits: list[GrantedPermit]
    orders: list[AssignedOrder]
    generations: dict[str, int]
    voters: list[str] = []  # hosts whose agents keep the record, or shall
    extension: bytes = b""  # of what is built on places
    timestamp: tuple[int, int] = (0, 0)  # whose clock, and what it shows: who echoes it was alive after that
