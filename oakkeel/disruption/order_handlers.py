"""How the commands for orders change the replicated state: one function for each command."""

from __future__ import annotations

from oakkeel.disruption import commands
from oakkeel.disruption.queries import ControlPlaneView
from oakkeel.disruption.state import FINAL_STATES, DisruptionOrder, DisruptionTask, Rejection, TaskState

MAX_OPEN_ORDERS, MAX_ORDERS = 256, 1024
MAX_ID_LENGTH = 64
VERBS = ("drain", "stop", "restart")


def submit_order(
    view: ControlPlaneView, index: int, command: commands.SubmitOrder
) -> DisruptionOrder | Rejection:
    """Take an order on; the same order twice is one."""
    if known := view.state.orders.get(command.order_id):
        same = _is_same(known, command)
        return known if same else Rejection(f"that id is of another order, by {known.operator}")
    if rejection := _check(view, command):
        return rejection
    tasks = {target: DisruptionTask(generation) for target, generation in command.targets}
    for target, task in tasks.items():
        if conflict := _conflict(view, command.verb, target):
            task.move(TaskState.REFUSED, conflict)
    if command.atomic and any(task.state == TaskState.REFUSED for task in tasks.values()):
        for task in tasks.values():
            task.move(TaskState.REFUSED, "not all of it can be taken")
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
    if order.open:
        view.state.orders[order.id] = order
        _forget_ended_orders(view)
    return order


def _is_same(known: DisruptionOrder, command: commands.SubmitOrder) -> bool:
    generations = {target: task.generation for target, task in known.tasks.items()}
    return (known.operator, known.verb, generations) == (
        command.operator,
        command.verb,
        dict(command.targets),
    )


def _check(view: ControlPlaneView, command: commands.SubmitOrder) -> Rejection | None:
    """Return why an order can't be taken on at all."""
    targets = {target for target, _ in command.targets}
    valid_id = 0 < len(command.order_id) <= MAX_ID_LENGTH
    if not valid_id or not targets or len(targets) != len(command.targets):
        return Rejection("no id, nothing named, or something twice")
    if command.verb not in VERBS or len(targets) > commands.MAX_TARGETS:
        return Rejection("no such order, or too much at once")
    if unknown := sorted(targets - view.known_targets()):
        return Rejection(f"there is no {unknown[0]}")
    if sum(order.open for order in view.state.orders.values()) >= MAX_OPEN_ORDERS:
        return Rejection(f"{MAX_OPEN_ORDERS} orders are open already")
    return None


def _conflict(view: ControlPlaneView, verb: str, target: str) -> str:
    """Return why a target can't be part of a new order; empty where it can."""
    if other := view.find_open_order(target):
        return f"{other.operator}'s {other.verb} {other.id} stands"
    permit = view.state.permits.get(target)
    if permit and verb != "restart" and not view.is_returning(permit):
        return f"it is out already, by {permit.order_id}"
    return ""


def _forget_ended_orders(view: ControlPlaneView) -> None:
    """Drop the oldest orders that have ended and hold no permit, down to the most that are kept."""
    orders = view.state.orders
    with_permit = {permit.order_id for permit in view.state.permits.values()}
    for order_id, order in list(orders.items()):
        if len(orders) <= MAX_ORDERS:
            break
        if not order.open and order_id not in with_permit:
            del orders[order_id]


def halt_order(
    view: ControlPlaneView, index: int, command: commands.HaltOrder
) -> DisruptionOrder | Rejection:
    """Take out nothing further by an order."""
    order = view.state.orders.get(command.order_id)
    if order is None:
        return Rejection("no such order")
    order.halted_by = order.halted_by or command.operator
    order.end_waiting(TaskState.HALTED, f"by {command.operator}")
    return order


def cancel_order(
    view: ControlPlaneView, index: int, command: commands.CancelOrder
) -> DisruptionOrder | Rejection:
    """Halt an order and bring back what it has taken out."""
    order = view.state.orders.get(command.order_id)
    if order is None:
        return Rejection("no such order")
    order.cancelled_by = order.cancelled_by or command.operator
    order.halted_by = order.halted_by or command.operator
    order.end_waiting(TaskState.CANCELLED, f"by {command.operator}")
    return order


def expire_order(view: ControlPlaneView, index: int, command: commands.ExpireOrder) -> int | Rejection:
    """End what still waits of an order whose time is over."""
    order = view.state.orders.get(command.order_id)
    if order is None:
        return Rejection("no such order")
    order.halted_by = order.halted_by or "its time"
    order.end_waiting(TaskState.EXPIRED, "no room in its time")
    return index


def finish_task(view: ControlPlaneView, index: int, command: commands.FinishTask) -> int | Rejection:
    """End a task as its agent has reported; an atomic order ends with its first refusal."""
    order = view.state.orders.get(command.order_id)
    task = order.tasks.get(command.target) if order else None
    if order is None or task is None or not task.open or command.state not in FINAL_STATES:
        return Rejection("nothing of that is open")
    task.move(TaskState(command.state), command.reason)
    used = any(other.state in (TaskState.OUT, TaskState.DONE) for other in order.tasks.values())
    if task.state == TaskState.REFUSED and order.atomic and not used:
        order.halted_by = order.halted_by or order.operator
        reason = f"not all of it can be taken: {command.target} {command.reason}"
        order.end_waiting(TaskState.REFUSED, reason)
    return index
