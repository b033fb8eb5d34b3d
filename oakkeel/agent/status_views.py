"""What the agent tells of its instances, its orders and the record, each fact with its age."""

from __future__ import annotations

import time

from oakkeel.agent import messages
from oakkeel.agent.instances import Goal, Instance, Phase
from oakkeel.agent.orders import Order
from oakkeel.agent.raft_runtime import RaftRuntime
from oakkeel.agent.status_reporter import StatusReporter
from oakkeel.agent.supervisor import Supervisor
from oakkeel.disruption.state import DisruptionOrder as Agreed
from oakkeel.raft.leader import NEVER
from oakkeel.raft.proposals import NotLeaderError
from oakkeel.rollout.controller import RolloutController
from oakkeel.rollout.state_machine import LEASE, RolloutStateMachine
from oakkeel.settings.types import HostSettings


def host_status(
    now: int,
    host: HostSettings,
    supervision: Supervisor,
    started: int,
    notes: list[str],
    pids: dict[Instance, int],
) -> messages.HostStatus:
    """The state of a host and its instances."""
    return messages.HostStatus(
        host.name,
        host.site,
        now - started,
        time.time_ns(),
        host.max_unavailable,
        supervision.unavailable[host.site],
        notes,
        [_instance_status(now, each, pids.get(each, 0)) for each in supervision.instances],
    )


def _instance_status(now: int, instance: Instance, pid: int) -> messages.InstanceStatus:
    task, on = instance.task, None
    if task is not None:
        on = messages.OpenOrder(
            task.order.order_id,
            task.order.operator,
            task.order.verb.value,
            task.state.value,
            now - task.state_since,
        )
    waits = instance.phase in (Phase.STOPPED, Phase.FAILING) and instance.goal is Goal.UP
    return messages.InstanceStatus(
        instance.name,
        instance.phase.value,
        now - instance.phase_since,
        instance.goal.value,
        instance.generation,
        instance.changed_at,
        instance.changed_by,
        pid,
        now - instance.last_report_at if instance.report else -1,
        instance.report,
        on,
        len(instance.crashes),
        instance.restarts_exhausted,
        max(0, instance.start_not_before - now) if waits else 0,
        instance.why,
    )


def order_status(now: int, order: Order) -> messages.OrderStatus:
    """An order with its tasks, also those of instances that are not here."""
    tasks = [
        messages.TaskStatus(task.instance.name, task.state.value, max(0, now - task.state_since), task.why)
        for task in order.tasks
    ]
    here = {task.instance for task in tasks}
    tasks += [
        messages.TaskStatus(name, "refused", 0, "no such instance here")
        for name, _ in order.requested
        if name not in here
    ]
    return messages.OrderStatus(order.order_id, order.operator, order.verb.value, order.accepted_at, tasks)


# The record.


def raft_status(
    now: int, host: str, raft: RaftRuntime | None, status_reporter: StatusReporter | None
) -> messages.RaftStatus:
    """The state of the replica here, or of none."""
    heard = (
        now - status_reporter.last_response_at if status_reporter and status_reporter.last_response_at else -1
    )
    if raft is None or raft.control_plane is None:
        why = (
            raft.storage_error
            if raft
            else status_reporter.why
            if status_reporter
            else "this fleet has no keepers"
        )
        return messages.RaftStatus(
            host,
            "none",
            0,
            "",
            0,
            status_reporter.leader if status_reporter and heard >= 0 else "",
            False,
            0,
            0,
            0,
            heard,
            [],
            why,
        )
    replica = raft.control_plane.replica
    peers = replica.leader_state.peers if replica.leader_state else {}
    members = []
    for each in replica.members:
        peer = peers.get(each.incarnation)
        mine = each.incarnation == replica.incarnation
        behind = 0 if mine else replica.log.last_index - peer.match_index if peer else -1
        age = (
            0
            if mine
            else now - peer.acknowledged_sent_at
            if peer and peer.acknowledged_sent_at > -NEVER
            else -1
        )
        members.append(messages.MemberStatus(each.name, each.incarnation, each.is_voter, behind, age))
    return messages.RaftStatus(
        host,
        replica.role.value,
        now - replica.role_since,
        replica.durable.epoch,
        replica.term,
        replica.leader,
        replica.holds_lease(now),
        replica.commit_index,
        replica.log.last_index,
        replica.elections_won,
        heard,
        members,
        replica.stale_reason or (status_reporter.why if status_reporter else ""),
    )


def fleet_order_status(raft: RaftRuntime, order: Agreed) -> messages.FleetOrderStatus:
    """A fleet order with the permits of its targets."""
    permits, hosts, in_flight = {}, {}, {}
    if raft.control_plane:
        permits = raft.control_plane.state_machine.state.permits
        hosts = {target: host for host, targets in raft.topology.hosts.items() for target in targets}
        if raft.control_plane.allocator:
            in_flight = {
                target: order_status_message
                for host in raft.control_plane.allocator.sessions.values()
                for target, order_status_message in host.in_flight.items()
            }
    tasks = []
    for target, task in order.tasks.items():
        permit = permits.get(target)
        fence = permit.fencing_token if permit and permit.order_id == order.id else 0
        tasks.append(
            messages.FleetTaskStatus(
                target, hosts.get(target, ""), task.state, task.reason, fence, in_flight.get(target, "")
            )
        )
    return messages.FleetOrderStatus(
        order.id,
        order.operator,
        order.verb,
        order.created_at,
        order.atomic,
        order.halted_by,
        order.cancelled_by,
        tasks,
    )


def fleet_status(now: int, raft: RaftRuntime, ident: str) -> messages.Response:
    """Raises NotLeading: only a leader whose lease holds knows what is so by now."""
    control_plane = raft.control_plane
    if control_plane is None or control_plane.allocator is None or not control_plane.replica.holds_lease(now):
        raise NotLeaderError(
            control_plane.replica.leader if control_plane and not control_plane.replica.leader_state else ""
        )
    held, out = control_plane.state_machine.state, control_plane.allocator.unavailable
    if ident:
        if ident not in held.orders:
            return messages.ErrorResponse(f"there is no order {ident}")
        order_status_message = fleet_order_status(raft, held.orders[ident])
        return messages.FleetStatus(control_plane.state_machine.index, [], [], [order_status_message])
    hosts = control_plane.allocator.host_of
    targets = []
    for target, reasons in sorted(out.reasons.items()):
        permit = held.permits.get(target)
        targets.append(
            messages.UnavailableTarget(
                target,
                hosts.get(target, ""),
                sorted(reasons),
                permit.fencing_token if permit else 0,
                permit.order_id if permit else "",
            )
        )
    groups = [
        messages.BudgetUsage(name, out.counts[name], group.max_unavailable)
        for name, group in out.groups.items()
    ]
    latest = list(held.orders.values())[-50:]
    return messages.FleetStatus(
        control_plane.state_machine.index,
        groups,
        targets,
        [fleet_order_status(raft, each) for each in reversed(latest)],
    )


def release_status(now: int, raft: RaftRuntime, ident: str) -> messages.Response:
    """Raises NotLeading, as `state_told` does."""
    control_plane = raft.control_plane
    if control_plane is None or control_plane.allocator is None or not control_plane.replica.holds_lease(now):
        raise NotLeaderError(
            control_plane.replica.leader if control_plane and not control_plane.replica.leader_state else ""
        )
    state_machine, controller = control_plane.state_machine, control_plane.extension
    assert isinstance(state_machine, RolloutStateMachine) and isinstance(controller, RolloutController)
    releases = state_machine.state.releases
    release = (
        releases.get(ident)
        if ident
        else state_machine.open_release or next(reversed(releases.values()), None)
    )
    if release is None:
        return messages.ErrorResponse(f"there is no release {ident}" if ident else "there was no release yet")
    order = state_machine.state.orders.get(release.order_id)
    lease = state_machine.state.leases.get(LEASE)
    tasks = []
    for target, task in release.targets.items():
        seen = controller.observations.targets.get(target)
        why = (
            order.tasks[target].reason
            if order and target in order.tasks and target in release.in_progress
            else ""
        )
        tasks.append(
            messages.ReleaseTargetStatus(
                target,
                control_plane.allocator.host_of.get(target, ""),
                task.state,
                seen.version if seen else "",
                seen.phase if seen else "unknown",
                now - seen.observed_at if seen else -1,
                why,
            )
        )
    others = [(each.ident, each.state) for each in releases.values() if each is not release][-5:]
    return messages.ReleaseStatus(
        release.ident,
        release.operator,
        release.unix,
        release.state,
        release.spec,
        release.step,
        release.batch,
        release.why,
        release.summary,
        "" if release.is_finished else controller.why,
        lease.holder.partition(".")[0] if lease else "",
        tasks,
        others,
    )
