"""What is put to the record: each command changes the ledger alike on every keeper."""

from __future__ import annotations

import msgspec

from oakkeel.disruption.topology import Topology

MAX_TARGETS = 1000  # of one order, or in one command


class SetTopology(msgspec.Struct, tag="lay", array_like=True):
    """What there is and what may be out, from the settings of the leader's host."""

    topology: Topology


class SubmitOrder(msgspec.Struct, tag="order", array_like=True):
    """An operator's order for things, each with the generation that it is made for."""

    order_id: str
    operator: str
    verb: str
    created_at: int  # when it was made, nanoseconds, for people
    timeout: int  # nanoseconds
    atomic: bool  # all of it or nothing
    targets: list[tuple[str, int]]


class HaltOrder(msgspec.Struct, tag="halt", array_like=True):
    """Nothing further leaves by that order."""

    order_id: str
    operator: str


class CancelOrder(msgspec.Struct, tag="cancel", array_like=True):
    """Halt it, and what it has taken out comes back."""

    order_id: str
    operator: str


class GrantPermits(msgspec.Struct, tag="grant", array_like=True):
    """Places for things of an order, all or none."""

    order_id: str
    targets: list[str]
    only_while_down: bool = False  # to be used only while no process of them is there


class StartPermit(msgspec.Struct, tag="began", array_like=True):
    """Its agent has begun to take it out."""

    target: str
    fencing_token: int


class ReleasePermit(msgspec.Struct, tag="over", array_like=True):
    """The place is free again: what it took out is back, or it was never used."""

    target: str
    fencing_token: int


class ExpirePermit(msgspec.Struct, tag="lapse", array_like=True):
    """Nobody may begin under it any more, and whoever holds it has not said whether he did."""

    target: str
    fencing_token: int


class FinishTask(msgspec.Struct, tag="ended", array_like=True):
    """What its agent told of an order's part that is over."""

    order_id: str
    target: str
    state: str
    reason: str


class ExpireOrder(msgspec.Struct, tag="expire", array_like=True):
    """The time of an order is over."""

    order_id: str


class ReserveGenerations(msgspec.Struct, tag="reserve", array_like=True):
    """An agent may number processes and changes of its things up to these."""

    host: str
    limits: dict[str, int]


class SetVoters(msgspec.Struct, tag="keepers", array_like=True):
    """Who should keep the record from now on."""

    voters: list[str]
    operator: str


class AcquireLease(msgspec.Struct, tag="hold", array_like=True):
    """A lease on a name, for one that asks for it."""

    name: str
    holder: str
    duration: int  # nanoseconds


class ReleaseLease(msgspec.Struct, tag="release", array_like=True):
    """It is given up, or its time is over."""

    name: str
    fencing_token: int


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


def encode(command: Command) -> bytes:
    return msgspec.msgpack.encode(command)
