"""The replicated state of disruption permits, orders, generations and leases, as a snapshot holds it.

The structs are encoded as arrays: fields may be renamed, but never reordered. Times are in nanoseconds. A
fencing token is the index of the command that granted a permit or lease: it only increases, under every
leader.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from oakkeel.disruption.topology import Topology
from oakkeel.errors import InvalidTransitionError


class FleetTaskState(StrEnum):
    """The state of one target of an order. The values are stored."""

    WAITING = "waiting"  # for a permit
    GRANTED = "granted"
    OUT = "out"  # its agent has started the permit
    DONE = "done"
    FAILED = "failed"
    REFUSED = "refused"
    HALTED = "halted"
    CANCELLED = "cancelled"
    EXPIRED = "expired"


OPEN_FLEET_TASK_STATES = (FleetTaskState.WAITING, FleetTaskState.GRANTED, FleetTaskState.OUT)
FINAL_STATES = frozenset(FleetTaskState) - frozenset(OPEN_FLEET_TASK_STATES)
TRANSITIONS: dict[FleetTaskState, frozenset[FleetTaskState]] = {
    FleetTaskState.WAITING: FINAL_STATES | {FleetTaskState.GRANTED, FleetTaskState.OUT},
    FleetTaskState.GRANTED: FINAL_STATES | {FleetTaskState.OUT, FleetTaskState.WAITING},
    FleetTaskState.OUT: FINAL_STATES,
    **{state: frozenset() for state in FINAL_STATES},
}


TIMEOUT_OPERATOR = "its time"  # stored as `halted_by` of an order that its timeout has halted


class DisruptionTask(msgspec.Struct, array_like=True):
    """One target of an order. Only `move` changes its state."""

    generation: int  # the generation of the target that the order applies to
    state: FleetTaskState = FleetTaskState.WAITING
    reason: str = ""

    @property
    def is_open(self) -> bool:
        """Whether the task has not ended."""
        return self.state in OPEN_FLEET_TASK_STATES

    def move(self, state: FleetTaskState, reason: str) -> None:
        """Change the state. Raises InvalidTransitionError."""
        if state == self.state:
            return
        if state not in TRANSITIONS[self.state]:
            raise InvalidTransitionError("a task", self.state, state)
        self.state = state
        self.reason = reason


class DisruptionOrder(msgspec.Struct, array_like=True):
    """An operator's order for a set of targets."""

    id: str
    operator: str
    verb: str
    created_at: int  # Unix time in nanoseconds, shown to operators
    timeout: int
    atomic: bool  # take out all targets or none
    index: int  # of the command that submitted the order
    tasks: dict[str, DisruptionTask]
    halted_by: str = ""
    cancelled_by: str = ""

    @property
    def is_open(self) -> bool:
        """Whether a task of the order has not ended."""
        return any(task.state in OPEN_FLEET_TASK_STATES for task in self.tasks.values())

    @property
    def returns_targets(self) -> bool:
        """Whether the order was cancelled, so that the targets that it has taken out return to service.

        The targets of a restart return in any case.
        """
        return bool(self.cancelled_by) and self.verb != "restart"

    def end_waiting(self, state: FleetTaskState, reason: str) -> None:
        """End the tasks that wait for a permit."""
        for task in self.tasks.values():
            if task.state == FleetTaskState.WAITING:
                task.move(state, reason)


class Permit(msgspec.Struct, array_like=True):
    """The right to take one target out of service, within the budgets."""

    target: str
    order_id: str
    fencing_token: int
    started: bool = False  # the agent has reported that it takes the target out of service
    # The permit may not be started from this index on. The target counts as unavailable until the agent has
    # reported whether it had started the permit.
    expired_index: int = 0
    only_while_down: bool = False  # the permit may be started only while the target has no process
    # The order that had taken the target out before: the target stays out if this permit is not used.
    previous_order_id: str = ""


class Lease(msgspec.Struct, array_like=True):
    """A name that one holder has exclusively."""

    holder: str
    fencing_token: int
    duration: int


class ControlPlaneState(msgspec.Struct, array_like=True):
    """The replicated state, as a snapshot holds it."""

    topology: Topology = Topology()
    orders: dict[str, DisruptionOrder] = {}
    permits: dict[str, Permit] = {}  # by target
    generations: dict[str, int] = {}  # by target: highest reserved generation
    leases: dict[str, Lease] = {}
    voters: list[str] = []


class Rejection(msgspec.Struct):
    """The result of a command that was rejected and changed nothing."""

    reason: str
