"""Application of the commands for permits to the replicated state: one function for each command.

The reasons of tasks are part of the replicated state: all versions of the program must write the same texts.
"""

from __future__ import annotations

from oakkeel.disruption import commands
from oakkeel.disruption.queries import ControlPlaneView
from oakkeel.disruption.state import DisruptionOrder, DisruptionTask, FleetTaskState, Permit, Rejection
from oakkeel.disruption.topology import PERMIT_REASON

# Stored and printed reasons of tasks.
RETURNED_REASON = "its place was given back"  # the permit was released unused: the task waits again
RESTORED_REASON = "it was started again"
AGENT_SILENT_REASON = "its agent was not heard in time"


def grant_permits(view: ControlPlaneView, index: int, command: commands.GrantPermits) -> int | Rejection:
    """Grant permits for targets of an order, all or none. The index is their fencing token.

    The budgets are checked again, as commands that were committed since the proposal may have used them.
    """
    state = view.state
    order = state.orders.get(command.order_id)
    if order is None or order.halted_by:
        return Rejection(f"order {command.order_id} does not exist or is halted")
    for target in command.targets:
        task = order.tasks.get(target)
        if task is None or task.state != FleetTaskState.WAITING:
            return Rejection(f"{target} does not wait for a permit")
        if conflict := view.find_conflict(target, order.id):
            return Rejection(f"{target} has a permit of order {conflict.order_id}")
    if violation := view.unavailable.find_violation(command.targets):
        return Rejection(str(violation))
    for target in command.targets:
        previous_permit = state.permits.get(target)
        state.permits[target] = Permit(
            target,
            order.id,
            index,
            only_while_down=command.only_while_down,
            previous_order_id=previous_permit.order_id if previous_permit and previous_permit.started else "",
        )
        view.unavailable.add(target, PERMIT_REASON)
        order.tasks[target].move(FleetTaskState.GRANTED, "")
    return index


def start_permit(view: ControlPlaneView, index: int, command: commands.StartPermit) -> int | Rejection:
    """Record that an agent has started a permit, and so takes the target out of service."""
    permit = view.find_permit(command.target, command.fencing_token)
    if permit is None:
        return Rejection(f"{command.target} has no permit {command.fencing_token}")
    permit.started = True
    permit.expired_index = 0
    _move_task(view, permit, FleetTaskState.OUT, "")
    return index


def release_permit(view: ControlPlaneView, index: int, command: commands.ReleasePermit) -> int | Rejection:
    """Delete a permit whose target is back in service, or that will not be used."""
    permit = view.find_permit(command.target, command.fencing_token)
    if permit is None:
        return Rejection(f"{command.target} has no permit {command.fencing_token}")
    order = view.state.orders.get(permit.order_id)
    task = order.tasks[permit.target] if order else None
    if order and task and task.is_open:
        if permit.started:
            _end_started_task(order, task)
        elif order.halted_by:
            state = FleetTaskState.CANCELLED if order.cancelled_by else FleetTaskState.HALTED
            task.move(state, f"by {order.halted_by}")
        else:
            task.move(FleetTaskState.WAITING, RETURNED_REASON)
    if permit.previous_order_id and not permit.started:  # the target stays out by the earlier order
        view.state.permits[permit.target] = Permit(permit.target, permit.previous_order_id, index, True)
    else:
        del view.state.permits[permit.target]
        view.unavailable.remove(permit.target, PERMIT_REASON)
    return index


def _end_started_task(order: DisruptionOrder, task: DisruptionTask) -> None:
    """End a task whose target was taken out and is back in service."""
    if order.returns_targets:
        task.move(FleetTaskState.CANCELLED, f"by {order.cancelled_by}")
    elif order.verb == "restart":
        task.move(FleetTaskState.DONE, "")
    else:
        task.move(FleetTaskState.FAILED, RESTORED_REASON)


def expire_permit(view: ControlPlaneView, index: int, command: commands.ExpirePermit) -> int | Rejection:
    """Expire a permit, which may not be started any more.

    The target counts as unavailable until its agent has reported whether it had started the permit before.
    """
    permit = view.find_permit(command.target, command.fencing_token)
    if permit is None or permit.started or permit.expired_index:
        return Rejection(f"{command.target} has no permit {command.fencing_token} that can expire")
    order = view.state.orders.get(permit.order_id)
    state = FleetTaskState.HALTED if order and order.halted_by else FleetTaskState.WAITING
    _move_task(view, permit, state, AGENT_SILENT_REASON)
    permit.expired_index = index
    return index


def _move_task(view: ControlPlaneView, permit: Permit, state: FleetTaskState, reason: str) -> None:
    order = view.state.orders.get(permit.order_id)
    if order and order.tasks[permit.target].is_open:
        order.tasks[permit.target].move(state, reason)
