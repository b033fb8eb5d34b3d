"""The commands that follow from an agent's heartbeat, and the leader's response to it. Free of I/O."""

from __future__ import annotations

from oakkeel.disruption import commands
from oakkeel.disruption.expiry import ExpiryClock
from oakkeel.disruption.messages import (
    AssignedOrder,
    AssignedTask,
    GrantedPermit,
    Heartbeat,
    HeartbeatResponse,
    TargetReport,
)
from oakkeel.disruption.state import ControlPlaneState, DisruptionOrder, Permit
from oakkeel.disruption.state_machine import PermitStateMachine

MAX_REASON_LENGTH = 200  # characters


def report_commands(
    state: ControlPlaneState, host_by_target: dict[str, str], heartbeat: Heartbeat
) -> list[commands.Command]:
    """Return the commands that update the replicated state by an agent's report.

    `host_by_target` names the host of each target: an agent reports for the targets of its own host only.
    """
    to_propose: list[commands.Command] = []
    for report in heartbeat.targets:
        permit = state.permits.get(report.name)
        if permit is not None and host_by_target.get(report.name) == heartbeat.host:
            to_propose += _permit_commands(permit, report, heartbeat.last_index)
    for result in heartbeat.task_results:
        order = state.orders.get(result.order_id)
        if order and result.target in order.tasks and order.tasks[result.target].is_open:
            reason = result.reason[:MAX_REASON_LENGTH]
            to_propose.append(commands.FinishTask(result.order_id, result.target, result.state, reason))
    limits = {
        target: limit
        for target, limit in heartbeat.generation_limits.items()
        if host_by_target.get(target) == heartbeat.host and limit > state.generations.get(target, 0)
    }
    if limits:
        to_propose.append(commands.ReserveGenerations(heartbeat.host, limits))
    return to_propose


def _permit_commands(permit: Permit, report: TargetReport, last_index: int) -> list[commands.Command]:
    to_propose: list[commands.Command] = []
    token = permit.fencing_token
    is_started = report.started_token == token
    if is_started and not permit.started:
        to_propose.append(commands.StartPermit(report.name, token))
    is_back_in_service = is_started and report.restored and report.serving
    # An agent that knows of the expiry can no longer start the permit.
    was_never_started = not is_started and 0 < permit.expired_index <= last_index
    if is_back_in_service or report.unused_token == token or was_never_started:
        to_propose.append(commands.ReleasePermit(report.name, token))
    return to_propose


class ResponseBuilder:
    """Builds the leader's responses to heartbeats."""

    def __init__(self, state_machine: PermitStateMachine, clock: ExpiryClock, nonce: int) -> None:
        """`nonce` distinguishes the timestamps of this leader from the timestamps of other leaders."""
        self.state_machine = state_machine
        self.clock = clock
        self.nonce = nonce
        self.orders_by_host: dict[str, list[str]] = {}  # IDs of the orders that concern a host

    def build(self, now: int, epoch: str, host: str) -> HeartbeatResponse:
        """Return the permits and orders of a host. To be called only while the leader's lease holds."""
        state = self.state_machine.state
        targets = state.topology.hosts.get(host, ())
        return HeartbeatResponse(
            epoch,
            self.state_machine.index,
            [self._granted_permit(now, permit) for name in targets if (permit := state.permits.get(name))],
            self._assigned_orders(now, host, targets),
            {target: state.generations[target] for target in targets if target in state.generations},
            timestamp=(self.nonce, now),
        )

    def _granted_permit(self, now: int, permit: Permit) -> GrantedPermit:
        order = self.state_machine.state.orders.get(permit.order_id)
        valid_for_ns = self.clock.remaining_validity(now, permit)
        must_not_start = order is None or order.halted_by or permit.expired_index
        return GrantedPermit(
            permit.target,
            permit.order_id,
            permit.fencing_token,
            permit.started,
            0 if must_not_start else valid_for_ns,
            permit.only_while_down,
        )

    def _assigned_orders(self, now: int, host: str, targets: tuple[str, ...]) -> list[AssignedOrder]:
        state = self.state_machine.state
        host_order_ids = self.orders_by_host.get(host, [])
        assigned_orders = []
        for order_id in list(host_order_ids):
            order = state.orders.get(order_id)
            if order is None or not _concerns(state, order, targets):
                host_order_ids.remove(order_id)  # an order that has ended on a host is never resumed there
                continue
            assigned_orders.append(_assigned_order(order, targets, self.clock.remaining_time(now, order)))
        return assigned_orders


def _concerns(state: ControlPlaneState, order: DisruptionOrder, targets: tuple[str, ...]) -> bool:
    """Whether an order has an open task or a permit for one of the targets."""
    for target in targets:
        task = order.tasks.get(target)
        permit = state.permits.get(target)
        if task and (task.is_open or (permit and permit.order_id == order.id)):
            return True
    return False


def _assigned_order(order: DisruptionOrder, targets: tuple[str, ...], remaining_ns: int) -> AssignedOrder:
    tasks = [
        AssignedTask(target, task.generation, task.state)
        for target in targets
        if (task := order.tasks.get(target))
    ]
    return AssignedOrder(
        order.id,
        order.operator,
        order.verb,
        order.created_at,
        remaining_ns,
        order.halted_by,
        order.cancelled_by,
        tasks,
    )
