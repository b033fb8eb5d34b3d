"""What follows from an agent's heartbeat, and what it is answered. Free of I/O."""

from __future__ import annotations

from typing import TYPE_CHECKING

from oakkeel.disruption import commands
from oakkeel.disruption.messages import (
    AssignedOrder,
    GrantedPermit,
    Heartbeat,
    HeartbeatResponse,
    TargetReport,
)
from oakkeel.disruption.state import ControlPlaneState, DisruptionOrder, Permit

if TYPE_CHECKING:
    from oakkeel.disruption.allocator import PermitAllocator

MAX_REASON_LENGTH = 200  # characters


def commands_of(
    state: ControlPlaneState, host_of: dict[str, str], heartbeat: Heartbeat
) -> list[commands.Command]:
    """Return the commands that bring the replicated state up to what an agent reports."""
    wanted: list[commands.Command] = []
    for report in heartbeat.targets:
        permit = state.permits.get(report.name)
        if permit is not None and host_of.get(report.name) == heartbeat.host:
            wanted += _permit_commands(permit, report, heartbeat.last_index)
    for result in heartbeat.task_results:
        order = state.orders.get(result.order_id)
        if order and result.target in order.tasks and order.tasks[result.target].open:
            reason = result.reason[:MAX_REASON_LENGTH]
            wanted.append(commands.FinishTask(result.order_id, result.target, result.state, reason))
    limits = {
        target: limit
        for target, limit in heartbeat.generation_limits.items()
        if host_of.get(target) == heartbeat.host and limit > state.generations.get(target, 0)
    }
    if limits:
        wanted.append(commands.ReserveGenerations(heartbeat.host, limits))
    return wanted


def _permit_commands(permit: Permit, report: TargetReport, last_index: int) -> list[commands.Command]:
    wanted: list[commands.Command] = []
    token = permit.fencing_token
    started = report.started_token == token
    if started and not permit.started:
        wanted.append(commands.StartPermit(report.name, token))
    is_back = started and report.restored and report.serving
    never_started = not started and 0 < permit.expired_index <= last_index  # it knew of the expiry
    if is_back or report.unused_token == token or never_started:
        wanted.append(commands.ReleasePermit(report.name, token))
    return wanted


def build_response(allocator: PermitAllocator, now: int, epoch: str, host: str) -> HeartbeatResponse:
    """Return what concerns a host. To be called only while the leader's lease holds."""
    state = allocator.state_machine.state
    targets = allocator.topology.hosts.get(host, ())
    return HeartbeatResponse(
        epoch,
        allocator.state_machine.index,
        [_granted(allocator, now, permit) for name in targets if (permit := state.permits.get(name))],
        _assigned_orders(allocator, now, host, targets),
        {target: state.generations[target] for target in targets if target in state.generations},
        timestamp=(allocator.nonce, now),
    )


def _granted(allocator: PermitAllocator, now: int, permit: Permit) -> GrantedPermit:
    order = allocator.state_machine.state.orders.get(permit.order_id)
    granted_at = allocator.granted_at.setdefault(permit.fencing_token, now)
    remaining = granted_at + allocator.timeouts.validity - now
    must_not_start = order is None or order.halted_by or permit.expired_index
    return GrantedPermit(
        permit.target,
        permit.order_id,
        permit.fencing_token,
        permit.started,
        0 if must_not_start else max(0, remaining),
        permit.only_while_down,
    )


def _assigned_orders(
    allocator: PermitAllocator, now: int, host: str, targets: tuple[str, ...]
) -> list[AssignedOrder]:
    state, known = allocator.state_machine.state, allocator.orders_by_host.get(host, [])
    assigned = []
    for order_id in list(known):
        order = state.orders.get(order_id)
        if order is None or not _concerns(state, order, targets):
            known.remove(order_id)  # what has ended on a host stays so
            continue
        remaining = allocator.order_submitted_at.get(order_id, now) + order.timeout - now
        assigned.append(_assigned_order(order, targets, max(0, remaining)))
    return assigned


def _concerns(state: ControlPlaneState, order: DisruptionOrder, targets: tuple[str, ...]) -> bool:
    """Return whether an order has an open task or a permit among some targets."""
    for target in targets:
        task, permit = order.tasks.get(target), state.permits.get(target)
        if task and (task.open or (permit and permit.order_id == order.id)):
            return True
    return False


def _assigned_order(order: DisruptionOrder, targets: tuple[str, ...], remaining: int) -> AssignedOrder:
    tasks: list[tuple[str, int, str]] = [
        (target, task.generation, task.state) for target in targets if (task := order.tasks.get(target))
    ]
    return AssignedOrder(
        order.id,
        order.operator,
        order.verb,
        order.created_at,
        remaining,
        order.halted_by,
        order.cancelled_by,
        tasks,
    )
