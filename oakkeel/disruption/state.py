"""The replicated state of disruption permits, orders, generations and leases, as a snapshot holds it.

The structs are written as arrays: fields may be renamed, never reordered. Times are in nanoseconds. A fencing
token is the index of the command that granted a permit or lease: it only rises, whoever leads.
"""

from __future__ import annotations

from enum import StrEnum

import msgspec

from oakkeel.disruption.topology import Topology
from oakkeel.errors import OakkeelError


class TaskState(StrEnum):
    """The state of one target of an order."""

    WAITING = "waiting"  # for a permit
    GRANTED = "granted"
    OUT = "out"  # started by its agent
    DONE = "done"
    FAILED = "failed"
    REFUSED = "refused"
    HALTED = "halted"
    CANCELLED = "cancelled"
    EXPIRED = "expired"


OPEN_STATES = (TaskState.WAITING, TaskState.GRANTED, TaskState.OUT)
FINAL_STATES = frozenset(TaskState) - frozenset(OPEN_STATES)
TRANSITIONS: dict[TaskState, frozenset[TaskState]] = {
    TaskState.WAITING: FINAL_STATES | {TaskState.GRANTED, TaskState.OUT},
    TaskState.GRANTED: FINAL_STATES | {TaskState.OUT, TaskState.WAITING},
    TaskState.OUT: FINAL_STATES,
    **{state: frozenset() for state in FINAL_STATES},
}


class TransitionError(OakkeelError, RuntimeError):
    """A state was to be changed in a way that its state machine does not know."""


class DisruptionTask(msgspec.Struct, array_like=True):
    """What an order means for one target. `move` alone changes its state."""

    generation: int
    state: TaskState = TaskState.WAITING
    reason: str = ""

    @property
    def open(self) -> bool:
        """Whether it has not come to its end."""
        return self.state in OPEN_STATES

    def move(self, state: TaskState, reason: str) -> None:
        """Change the state. Raises TransitionError where that is no transition."""
        if state == self.state:
            return
        if state not in TRANSITIONS[self.state]:
            raise TransitionError(f"{self.state} to {state}")
        self.state, self.reason = state, reason


class DisruptionOrder(msgspec.Struct, array_like=True):
    """An operator's order for a set of targets."""

    id: str
    operator: str
    verb: str
    created_at: int  # nanoseconds since 1970, for people
    timeout: int
    atomic: bool  # all targets or none
    index: int  # of the command that submitted it
    tasks: dict[str, DisruptionTask]
    halted_by: str = ""
    cancelled_by: str = ""

    @property
    def open(self) -> bool:
        """Whether any of its tasks has not come to its end."""
        return any(task.state in OPEN_STATES for task in self.tasks.values())

    @property
    def returns_targets(self) -> bool:
        """Whether it was cancelled, so that what it took out comes back.

        A restart has no other way back than to come up.
        """
        return bool(self.cancelled_by) and self.verb != "restart"

    def end_waiting(self, state: TaskState, reason: str) -> None:
        """End the tasks that wait for a permit."""
        for task in self.tasks.values():
            if task.state == TaskState.WAITING:
                task.move(state, reason)


class Permit(msgspec.Struct, array_like=True):
    """Leave to take one target out of service."""

    target: str
    order_id: str
    fencing_token: int
    started: bool = False  # its agent has reported that it takes the target out
    # From this index on nobody may start it. It still counts until its agent has said whether it was started.
    expired_index: int = 0
    only_while_down: bool = False  # it may be started only while no process of the target is there
    # The order that had taken the target out before: the target stays out if this permit is not used.
    previous_order_id: str = ""


class Lease(msgspec.Struct, array_like=True):
    """A name that one holder has for itself."""

    holder: str
    fencing_token: int
    duration: int


class ControlPlaneState(msgspec.Struct, array_like=True):
    """All of the replicated state, as a snapshot holds it."""

    topology: Topology = Topology()
    orders: dict[str, DisruptionOrder] = {}
    permits: dict[str, Permit] = {}  # by target
    generations: dict[str, int] = {}  # by target: numbers up to there are reserved
    leases: dict[str, Lease] = {}
    voters: list[str] = []


class Rejection(msgspec.Struct):
    """The result of a command that changed nothing."""

    reason: str
