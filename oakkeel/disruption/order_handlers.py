"""Application of the commands for orders to the replicated state: one function for each command.

The reasons of tasks are part of the replicated state: all versions of the program must write the same texts.
"""

from __future__ import annotations

from oakkeel.disruption import commands
from oakkeel.disruption.queries import ControlPlaneView
from oakkeel.disruption.state import (
    FINAL_STATES,
    TIMEOUT_OPERATOR,
    DisruptionOrder,
    DisruptionTask,
    FleetTaskState,
    Rejection,
)

MAX_OPEN_ORDERS = 256
MAX_ORDERS = 1024  # open and ended orders
MAX_ID_LENGTH = 64
# Stored and printed reasons of tasks.
NOT_ATOMIC_REASON = "not all of it can be taken"  # another target of an atomic order was refused
TIMEOUT_REASON = "no room in its time"  # the order timed out before its budgets had room
VERBS = ("drain", "stop", "restart")


def submit_order(
    view: ControlPlaneView, index: int, command: commands.SubmitOrder
) -> DisruptionOrder | Rejection:
    """Accept an order. A repeated submission has no effect and returns the first order."""
    if existing := view.state.orders.get(command.order_id):
        if _is_repeated(existing, command):
            return existing
        return Rejection(f"order {existing.id} exists already and differs; {existing.operator} submitted it")
    if rejection := _find_error(view, command):
        return rejection
    tasks = {target: DisruptionTask(generation) for target, generation in command.targets}
    for target, task in tasks.items():
        if refusal_reason := _find_refusal_reason(view, command.verb, target):
            task.move(FleetTaskState.REFUSED, refusal_reason)
    if command.atomic and any(task.state == FleetTaskState.REFUSED for task in tasks.values()):
        for task in tasks.values():
            task.move(FleetTaskState.REFUSED, NOT_ATOMIC_REASON)
    order = DisruptionOrder(
        command.order_id,
        command.operator,
        command.verb,
        command.created_at,
        command.timeout,
        command.atomic,
        index,
        tasks,
    )
    if order.is_open:
        view.state.orders[order.id] = order
        _forget_ended_orders(view)
    return order


def _is_repeated(existing: DisruptionOrder, command: commands.SubmitOrder) -> bool:
    """Whether a command submits an existing order again.

    Generations may differ: the order itself gives its targets new ones, which its operator reads before
    sending it again.
    """
    targets = {target for target, _ in command.targets}
    return (existing.operator, existing.verb, set(existing.tasks)) == (
        command.operator,
        command.verb,
        targets,
    )


def _find_error(view: ControlPlaneView, command: commands.SubmitOrder) -> Rejection | None:
    """Return why an order can't be accepted; None if it can."""
    targets = {target for target, _ in command.targets}
    if not 0 < len(command.order_id) <= MAX_ID_LENGTH:
        return Rejection(f"the order's ID must have 1 to {MAX_ID_LENGTH} characters")
    if not targets or len(targets) != len(command.targets):
        return Rejection("an order needs one or more targets, each named once")
    if command.verb not in VERBS:
        return Rejection(f"unknown verb {command.verb!r}; use one of {', '.join(VERBS)}")
    if len(targets) > commands.MAX_TARGETS:
        return Rejection(f"the order has {len(targets)} targets; {commands.MAX_TARGETS} are allowed")
    if unknown := sorted(targets - view.known_targets()):
        return Rejection(f"unknown target {unknown[0]}")
    if sum(order.is_open for order in view.state.orders.values()) >= MAX_OPEN_ORDERS:
        return Rejection(f"{MAX_OPEN_ORDERS} orders are already open: wait until one has ended")
    return None


def _find_refusal_reason(view: ControlPlaneView, verb: str, target: str) -> str:
    """Return why a target can't be part of a new order; empty if it can. The text is stored with the task."""
    if open_order := view.find_open_order(target):
        return f"{open_order.operator}'s {open_order.verb} {open_order.id} stands"
    permit = view.state.permits.get(target)
    if permit and verb != "restart" and not view.is_returning(permit):
        return f"it is out already, by {permit.order_id}"
    return ""


def _forget_ended_orders(view: ControlPlaneView) -> None:
    """Delete the oldest orders that have ended and have no permit, down to `MAX_ORDERS` orders."""
    orders = view.state.orders
    order_ids_with_permit = {permit.order_id for permit in view.state.permits.values()}
    for order_id, order in list(orders.items()):
        if len(orders) <= MAX_ORDERS:
            break
        if not order.is_open and order_id not in order_ids_with_permit:
            del orders[order_id]


def halt_order(
    view: ControlPlaneView, index: int, command: commands.HaltOrder
) -> DisruptionOrder | Rejection:
    """Halt an order: no further target of the order is taken out of service."""
    order = view.state.orders.get(command.order_id)
    if order is None:
        return Rejection(f"unknown order {command.order_id}")
    order.halted_by = order.halted_by or command.operator
    order.end_waiting(FleetTaskState.HALTED, f"by {command.operator}")
    return order


def cancel_order(
    view: ControlPlaneView, index: int, command: commands.CancelOrder
) -> DisruptionOrder | Rejection:
    """Halt an order, and return the targets that it has taken out to service."""
    order = view.state.orders.get(command.order_id)
    if order is None:
        return Rejection(f"unknown order {command.order_id}")
    order.cancelled_by = order.cancelled_by or command.operator
    order.halted_by = order.halted_by or command.operator
    order.end_waiting(FleetTaskState.CANCELLED, f"by {command.operator}")
    return order


def expire_order(view: ControlPlaneView, index: int, command: commands.ExpireOrder) -> int | Rejection:
    """Expire the waiting tasks of an order after its timeout."""
    order = view.state.orders.get(command.order_id)
    if order is None:
        return Rejection(f"unknown order {command.order_id}")
    order.halted_by = order.halted_by or TIMEOUT_OPERATOR
    order.end_waiting(FleetTaskState.EXPIRED, TIMEOUT_REASON)
    return index


def finish_task(view: ControlPlaneView, index: int, command: commands.FinishTask) -> int | Rejection:
    """End a task as its agent has reported.

    A refusal ends an atomic order of which no target has been taken out.
    """
    order = view.state.orders.get(command.order_id)
    task = order.tasks.get(command.target) if order else None
    if order is None or task is None or not task.is_open or command.state not in FINAL_STATES:
        return Rejection(f"order {command.order_id} has no open task for {command.target} to end")
    task.move(FleetTaskState(command.state), command.reason)
    has_taken_targets = any(
        other.state in (FleetTaskState.OUT, FleetTaskState.DONE) for other in order.tasks.values()
    )
    if task.state == FleetTaskState.REFUSED and order.atomic and not has_taken_targets:
        order.halted_by = order.halted_by or order.operator
        reason = f"{NOT_ATOMIC_REASON}: {command.target} {command.reason}"
        order.end_waiting(FleetTaskState.REFUSED, reason)
    return index
