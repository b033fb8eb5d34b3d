"""What is put to the record: each command changes the ledger alike on every keeper."""

from __future__ import annotations

import msgspec

from oakkeel.disruption.topology import Topology

MAX_TARGETS = 1000  # of one order, or in one command


class SetTopology(msgspec.Struct, tag="lay", array_like=True):
    """What there is and what may be out, from the settings of the leader's host."""

    layout: Topology


class SubmitOrder(msgspec.Struct, tag="order", array_like=True):
    """An operator's order for things, each with the generation that it is made for."""

    ident: str
    operator: str
    verb: str
    unix: int  # when it was made, nanoseconds, for people
    lasts: int  # nanoseconds
    whole: bool  # all of it or nothing
    things: list[tuple[str, int]]


class HaltOrder(msgspec.Struct, tag="halt", array_like=True):
    """Nothing further leaves by that order."""

    ident: str
    operator: str


class CancelOrder(msgspec.Struct, tag="cancel", array_like=True):
    """Halt it, and what it has taken out comes back."""

    ident: str
    operator: str


class GrantPermits(msgspec.Struct, tag="grant", array_like=True):
    """Places for things of an order, all or none."""

    ident: str
    things: list[str]
    down: bool = False  # to be used only while no process of them is there


class StartPermit(msgspec.Struct, tag="began", array_like=True):
    """Its agent has begun to take it out."""

    thing: str
    fence: int


class ReleasePermit(msgspec.Struct, tag="over", array_like=True):
    """The place is free again: what it took out is back, or it was never used."""

    thing: str
    fence: int


class ExpirePermit(msgspec.Struct, tag="lapse", array_like=True):
    """Nobody may begin under it any more, and whoever holds it has not said whether he did."""

    thing: str
    fence: int


class FinishTask(msgspec.Struct, tag="ended", array_like=True):
    """What its agent told of an order's part that is over."""

    ident: str
    thing: str
    how: str
    why: str


class ExpireOrder(msgspec.Struct, tag="expire", array_like=True):
    """The time of an order is over."""

    ident: str


class ReserveGenerations(msgspec.Struct, tag="reserve", array_like=True):
    """An agent may number processes and changes of its things up to these."""

    host: str
    upto: dict[str, int]


class SetVoters(msgspec.Struct, tag="keepers", array_like=True):
    """Who should keep the record from now on."""

    names: list[str]
    operator: str


class AcquireLease(msgspec.Struct, tag="hold", array_like=True):
    """A lease on a name, for one that asks for it."""

    name: str
    holder: str
    lasts: int  # nanoseconds


class ReleaseLease(msgspec.Struct, tag="release", array_like=True):
    """It is given up, or its time is over."""

    name: str
    fence: int


Command = (
    SetTopology
    | SubmitOrder
    | HaltOrder
    | CancelOrder
    | GrantPermits
    | StartPermit
    | ReleasePermit
    | ExpirePermit
    | FinishTask
    | ExpireOrder
    | ReserveGenerations
    | SetVoters
    | AcquireLease
    | ReleaseLease
)
_commands = msgspec.msgpack.Decoder(Command)


def encode(command: Command) -> bytes:
    return msgspec.msgpack.encode(command)


def decode(content: bytes) -> Command:
    return _commands.decode(content)
