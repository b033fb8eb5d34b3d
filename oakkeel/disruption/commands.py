"""The replicated commands of the permit state machine.

They are encoded as arrays: fields may be renamed, but never reordered. The tags are stored in the log. Times
are in nanoseconds.
"""

from __future__ import annotations

import msgspec

from oakkeel.disruption.topology import Topology

MAX_TARGETS = 1000  # of one order


class SetTopology(msgspec.Struct, tag="lay", array_like=True):
    """Set the targets and budgets, by the settings of the leader's host."""

    topology: Topology


class SubmitOrder(msgspec.Struct, tag="order", array_like=True):
    """Submit an operator's order for targets, each with the generation that it applies to."""

    order_id: str
    operator: str
    verb: str  # drain, stop or restart
    created_at: int  # Unix time in nanoseconds, shown to operators
    timeout: int  # nanoseconds
    atomic: bool  # take out all targets or none
    targets: list[tuple[str, int]]  # name and generation of each target


class HaltOrder(msgspec.Struct, tag="halt", array_like=True):
    """Halt an order: no further target of the order is taken out of service."""

    order_id: str
    operator: str


class CancelOrder(msgspec.Struct, tag="cancel", array_like=True):
    """Halt an order, and return the targets that it has taken out to service."""

    order_id: str
    operator: str


class GrantPermits(msgspec.Struct, tag="grant", array_like=True):
    """Grant permits for targets of an order, all or none."""

    order_id: str
    targets: list[str]
    only_while_down: bool = False  # the permits may be started only while the targets have no process


class StartPermit(msgspec.Struct, tag="began", array_like=True):
    """Record that an agent has started a permit, and so takes the target out of service."""

    target: str
    fencing_token: int


class ReleasePermit(msgspec.Struct, tag="over", array_like=True):
    """Delete a permit whose target is back in service, or that will not be used."""

    target: str
    fencing_token: int


class ExpirePermit(msgspec.Struct, tag="lapse", array_like=True):
    """Expire a permit whose start the agent has not reported."""

    target: str
    fencing_token: int


class FinishTask(msgspec.Struct, tag="ended", array_like=True):
    """End a task of an order, as its agent has reported."""

    order_id: str
    target: str
    state: str  # a final `FleetTaskState`
    reason: str


class ExpireOrder(msgspec.Struct, tag="expire", array_like=True):
    """Expire the waiting tasks of an order after its timeout."""

    order_id: str


class ReserveGenerations(msgspec.Struct, tag="reserve", array_like=True):
    """Reserve the generations of an agent's targets up to a limit for each target."""

    host: str
    limits: dict[str, int]  # by target


class SetVoters(msgspec.Struct, tag="keepers", array_like=True):
    """Set the hosts that should be voters."""

    voters: list[str]
    operator: str


class AcquireLease(msgspec.Struct, tag="hold", array_like=True):
    """Acquire or renew a lease on a name."""

    name: str
    holder: str
    duration: int  # nanoseconds


class ReleaseLease(msgspec.Struct, tag="release", array_like=True):
    """Delete a lease that its holder released or that has expired."""

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


def encode(command: msgspec.Struct) -> bytes:
    """Encode a command; `CommandRegistry.decode` reads it."""
    return msgspec.msgpack.encode(command)
