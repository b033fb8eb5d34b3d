"""What an agent tells the leader again and again, and what it hears of its own things."""

from __future__ import annotations

import msgspec


class TargetReport(msgspec.Struct, array_like=True):
    name: str
    up: bool  # it serves
    begun: int = 0  # fence of the place under which it was taken out
    back: bool = False  # and that is over
    given: int = 0  # fence of a place that will not be used
    owes: str = ""  # what it has yet to answer while it leaves, for people


class TaskResult(msgspec.Struct, array_like=True):
    """How a part of an order ended on its host."""

    ident: str
    thing: str
    how: str
    why: str


class Heartbeat(msgspec.Struct, array_like=True):
    host: str
    life: int  # of the agent's process
    count: int  # of its polls
    heard: int  # index of the latest answer that it took
    things: list[TargetReport]
    ended: list[TaskResult]
    reserve: dict[str, int]  # generations that it wants to be free to use
    above: bytes = b""  # for what is built on places
    echo: tuple[int, int] = (0, 0)  # the stamp of the latest answer that it took


class GrantedPermit(msgspec.Struct, array_like=True):
    thing: str
    ident: str
    fence: int
    out: bool
    good_for: int  # nanoseconds in which it may be begun, from when the poll was sent
    down: bool = False  # only while no process of it is there


class AssignedOrder(msgspec.Struct, array_like=True):
    """An order as far as it concerns the host. Times in nanoseconds."""

    ident: str
    operator: str
    verb: str
    unix: int
    left: int
    halted: str
    cancelled: str
    parts: list[tuple[str, int, str]]  # thing, generation, state


class HeartbeatResponse(msgspec.Struct, array_like=True):
    """The answer to a poll."""

    epoch: str
    index: int
    places: list[GrantedPermit]
    orders: list[AssignedOrder]
    generations: dict[str, int]
    keepers: list[str] = []  # hosts whose agents keep the record, or shall
    above: bytes = b""  # of what is built on places
    stamp: tuple[int, int] = (0, 0)  # whose clock, and what it shows: who echoes it was alive after that
