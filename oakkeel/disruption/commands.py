"""The replicated commands: each changes the permit state machine alike on every replica.

They are written as arrays: fields may be renamed, never reordered. Times are in nanoseconds.
"""

from __future__ import annotations

import msgspec

from oakkeel.disruption.topology import Topology

MAX_TARGETS = 1000  # of one order, or in one command


class SetTopology(msgspec.Struct, tag="lay", array_like=True):
    """Set what there is and what may be unavailable, from the settings of the leader's host."""

    topology: Topology


class SubmitOrder(msgspec.Struct, tag="order", array_like=True):
    """Submit an operator's order for targets, each with the generation that it is made for."""

    order_id: str
    operator: str
    verb: str
    created_at: int  # nanoseconds since 1970, for people
    timeout: int  # nanoseconds
    atomic: bool  # all targets or none
    targets: list[tuple[str, int]]


class HaltOrder(msgspec.Struct, tag="halt", array_like=True):
    """Take out nothing further by an order."""

    order_id: str
    operator: str


class CancelOrder(msgspec.Struct, tag="cancel", array_like=True):
    """Halt an order, and bring back what it has taken out."""

    order_id: str
    operator: str


class GrantPermits(msgspec.Struct, tag="grant", array_like=True):
    """Grant permits for targets of an order, all or none."""

    order_id: str
    targets: list[str]
    only_while_down: bool = False  # to be started only while no process of them is there


class StartPermit(msgspec.Struct, tag="began", array_like=True):
    """Record that its agent has started to take a target out."""

    target: str
    fencing_token: int


class ReleasePermit(msgspec.Struct, tag="over", array_like=True):
    """Free a permit: what it took out is back, or it was never used."""

    target: str
    fencing_token: int


class ExpirePermit(msgspec.Struct, tag="lapse", array_like=True):
    """Let nobody start a permit any more whose holder has not said whether it was started."""

    target: str
    fencing_token: int


class FinishTask(msgspec.Struct, tag="ended", array_like=True):
    """End a task of an order as its agent reported."""

    order_id: str
    target: str
    state: str
    reason: str


class ExpireOrder(msgspec.Struct, tag="expire", array_like=True):
    """End an order whose time is over."""

    order_id: str


class ReserveGenerations(msgspec.Struct, tag="reserve", array_like=True):
    """Let an agent number processes and changes of its targets up to these limits."""

    host: str
    limits: dict[str, int]


class SetVoters(msgspec.Struct, tag="keepers", array_like=True):
    """Set the hosts that shall be voters."""

    voters: list[str]
    operator: str


class AcquireLease(msgspec.Struct, tag="hold", array_like=True):
    """Acquire or renew a lease on a name."""

    name: str
    holder: str
    duration: int  # nanoseconds


class ReleaseLease(msgspec.Struct, tag="release", array_like=True):
    """Free a lease that was given up or has expired."""

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
    """Return a command as it is replicated; `CommandRegistry.decode` reads it."""
    return msgspec.msgpack.encode(command)
