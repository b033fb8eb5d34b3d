"""How the commands for permits change the replicated state: one function for each command."""

from __future__ import annotations

from oakkeel.disruption import commands
from oakkeel.disruption.queries import PERMIT_REASON, ControlPlaneView
from oakkeel.disruption.state import DisruptionOrder, DisruptionTask, Permit, Rejection, TaskState


def grant_permits(view: ControlPlaneView, index: int, command: commands.GrantPermits) -> int | Rejection:
    """Grant permits for targets of an order, all or none. The index is their fencing token."""
    state, order = view.state, view.state.orders.get(command.order_id)
    if order is None or order.halted_by:
        return Rejection("no such order, or it is halted")
    for target in command.targets:
        task = order.tasks.get(target)
        if task is None or task.state != TaskState.WAITING:
            return Rejection(f"{target} does not wait for a place")
        if conflict := view.permit_conflict(target, order.id):
            return Rejection(conflict)
    if violation := view.unavailable.find_violation(command.targets):
        return Rejection(violation)
    for target in command.targets:
        before = state.permits.get(target)
        state.permits[target] = Permit(
            target,
            order.id,
            index,
            only_while_down=command.only_while_down,
            previous_order_id=before.order_id if before and before.started else "",
        )
        view.unavailable.add(target, PERMIT_REASON)
        order.tasks[target].move(TaskState.GRANTED, "")
    return index


def start_permit(view: ControlPlaneView, index: int, command: commands.StartPermit) -> int | Rejection:
    """Record that an agent has started to take its target out."""
    permit = view.find_permit(command.target, command.fencing_token)
    if permit is None:
        return Rejection("no such place")
    permit.started, permit.expired_index = True, 0
    _move_task(view, permit, TaskState.OUT, "")
    return index


def release_permit(view: ControlPlaneView, index: int, command: commands.ReleasePermit) -> int | Rejection:
    """Free a permit that is not used any more, or never was."""
    permit = view.find_permit(command.target, command.fencing_token)
    if permit is None:
        return Rejection("no such place")
    order = view.state.orders.get(permit.order_id)
    task = order.tasks[permit.target] if order else None
    if order and task and task.open:
        if permit.started:
            _end_started(order, task)
        elif order.halted_by:
            state = TaskState.CANCELLED if order.cancelled_by else TaskState.HALTED
            task.move(state, f"by {order.halted_by}")
        else:
            task.move(TaskState.WAITING, "its place was given back")
    if permit.previous_order_id and not permit.started:  # what an earlier order took out is out as before
        view.state.permits[permit.target] = Permit(permit.target, permit.previous_order_id, index, True)
    else:
        del view.state.permits[permit.target]
        view.unavailable.remove(permit.target, PERMIT_REASON)
    return index


def _end_started(order: DisruptionOrder, task: DisruptionTask) -> None:
    """End a task whose target was taken out and serves again."""
    if order.returns_targets:
        task.move(TaskState.CANCELLED, f"by {order.cancelled_by}")
    elif order.verb == "restart":
        task.move(TaskState.DONE, "")
    else:
        task.move(TaskState.FAILED, "it was started again")


def expire_permit(view: ControlPlaneView, index: int, command: commands.ExpirePermit) -> int | Rejection:
    """Let nobody start a permit any more; it counts until its agent has said whether it was started."""
    permit = view.find_permit(command.target, command.fencing_token)
    if permit is None or permit.started or permit.expired_index:
        return Rejection("no such place, or it was begun")
    order = view.state.orders.get(permit.order_id)
    state = TaskState.HALTED if order and order.halted_by else TaskState.WAITING
    _move_task(view, permit, state, "its agent was not heard in time")
    permit.expired_index = index
    return index


def _move_task(view: ControlPlaneView, permit: Permit, state: TaskState, reason: str) -> None:
    order = view.state.orders.get(permit.order_id)
    if order and order.tasks[permit.target].open:
        order.tasks[permit.target].move(state, reason)
