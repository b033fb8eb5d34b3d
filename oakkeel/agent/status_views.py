"""Status of the instances, orders and control plane of an agent, with the age of what was observed."""

from __future__ import annotations

import time

from oakkeel.agent import messages
from oakkeel.agent.instances import Goal, Instance, Order, Phase
from oakkeel.agent.raft_runtime import RaftRuntime
from oakkeel.agent.status_reporter import StatusReporter
from oakkeel.agent.supervisor import Supervisor
from oakkeel.disruption.allocator import PermitAllocator
from oakkeel.disruption.control_plane import ControlPlaneReplica
from oakkeel.disruption.state import DisruptionOrder
from oakkeel.errors import OakkeelError
from oakkeel.raft.leader_state import NEVER
from oakkeel.raft.messages import Member
from oakkeel.raft.proposals import NotLeaderError
from oakkeel.raft.replica import Replica
from oakkeel.rollout.controller import RolloutController
from oakkeel.rollout.state_machine import LEASE, Release, RolloutStateMachine
from oakkeel.settings.types import HostSettings

UNKNOWN_AGE = -1
MAX_LISTED_ORDERS = 50
MAX_LISTED_RELEASES = 5


class UnexpectedControlPlaneError(OakkeelError):
    """The replica runs without releases, which an agent never starts: a defect."""


def host_status(
    now: int,
    host: HostSettings,
    supervisor: Supervisor,
    started_at: int,
    notes: list[str],
    pids: dict[Instance, int],
) -> messages.HostStatus:
    """The state of a host and its instances."""
    return messages.HostStatus(
        host.name,
        host.site,
        now - started_at,
        time.time_ns(),
        host.max_unavailable,
        supervisor.unavailable[host.site],
        notes,
        [_instance_status(now, instance, pids.get(instance, 0)) for instance in supervisor.instances],
    )


def _instance_status(now: int, instance: Instance, pid: int) -> messages.InstanceStatus:
    task = instance.task
    open_order = None
    if task is not None:
        open_order = messages.OpenOrder(
            task.order.order_id,
            task.order.operator,
            task.order.verb.value,
            task.state.value,
            now - task.state_since,
        )
    waits_for_start = instance.phase in (Phase.STOPPED, Phase.FAILING) and instance.goal is Goal.UP
    return messages.InstanceStatus(
        instance.name,
        instance.phase.value,
        now - instance.phase_since,
        instance.goal.value,
        instance.generation,
        instance.changed_at,
        instance.changed_by,
        pid,
        now - instance.last_report_at if instance.report else UNKNOWN_AGE,
        instance.report,
        open_order,
        len(instance.crashes),
        instance.restarts_exhausted,
        max(0, instance.start_not_before - now) if waits_for_start else 0,
        instance.why,
    )


def order_status(now: int, order: Order) -> messages.OrderStatus:
    """An order with its tasks, and a refused one for each instance that this host does not have."""
    tasks = [
        messages.TaskStatus(task.instance.name, task.state.value, max(0, now - task.state_since), task.why)
        for task in order.tasks
    ]
    known = {task.instance for task in tasks}
    tasks += [
        messages.TaskStatus(name, "refused", 0, "this host has no such instance")
        for name, _ in order.requested
        if name not in known
    ]
    return messages.OrderStatus(order.order_id, order.operator, order.verb.value, order.accepted_at, tasks)


# The control plane.


def raft_status(
    now: int, host: str, raft: RaftRuntime | None, status_reporter: StatusReporter | None
) -> messages.RaftStatus:
    """The state of the replica on this host, or of none."""
    contact_age = UNKNOWN_AGE
    if status_reporter and status_reporter.last_response_at:
        contact_age = now - status_reporter.last_response_at
    if raft is None or raft.control_plane is None:
        return _status_without_replica(host, raft, status_reporter, contact_age)
    replica = raft.control_plane.replica
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
        contact_age,
        [_member_status(now, replica, member) for member in replica.members],
        replica.stale_reason or (status_reporter.why if status_reporter else ""),
    )


def _status_without_replica(
    host: str, raft: RaftRuntime | None, status_reporter: StatusReporter | None, contact_age: int
) -> messages.RaftStatus:
    """The last known leader, and why no replica runs on this host."""
    if raft:
        why = raft.storage_error
    else:
        why = status_reporter.why if status_reporter else "this fleet has no control plane"
    leader = status_reporter.leader if status_reporter and contact_age >= 0 else ""
    return messages.RaftStatus(host, "none", 0, "", 0, leader, False, 0, 0, 0, contact_age, [], why)


def _member_status(now: int, replica: Replica, member: Member) -> messages.MemberStatus:
    """The lag of a member, and the age of its last acknowledgement; -1: not known to this replica."""
    peer = replica.leader_state.peers.get(member.incarnation) if replica.leader_state else None
    lag = UNKNOWN_AGE
    age = UNKNOWN_AGE
    if member.incarnation == replica.incarnation:
        lag = 0
        age = 0
    elif peer:
        lag = replica.log.last_index - peer.match_index
        if peer.acknowledged_sent_at > -NEVER:
            age = now - peer.acknowledged_sent_at
    return messages.MemberStatus(member.name, member.incarnation, member.is_voter, lag, age)


def fleet_order_status(raft: RaftRuntime, order: DisruptionOrder) -> messages.FleetOrderStatus:
    """A fleet order with the permits of its targets."""
    control_plane = raft.control_plane
    permits = control_plane.state_machine.state.permits if control_plane else {}
    hosts_of = raft.topology.hosts.items() if control_plane else ()
    hosts = {target: host for host, targets in hosts_of for target in targets}
    sessions = control_plane.allocator.sessions if control_plane and control_plane.allocator else {}
    in_flight = {
        target: summary for session in sessions.values() for target, summary in session.in_flight.items()
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


def _require_leader(now: int, raft: RaftRuntime) -> tuple[ControlPlaneReplica, PermitAllocator]:
    """The control plane of this leader. Raises NotLeaderError: only a leader with a lease knows the state."""
    control_plane = raft.control_plane
    if control_plane is None or control_plane.allocator is None or not control_plane.replica.holds_lease(now):
        raise NotLeaderError(
            control_plane.replica.leader if control_plane and not control_plane.replica.leader_state else ""
        )
    return control_plane, control_plane.allocator


def fleet_status(now: int, raft: RaftRuntime, order_id: str) -> messages.Response:
    """What is unavailable, with budgets and the latest orders; or one order. Raises NotLeaderError."""
    control_plane, allocator = _require_leader(now, raft)
    index = control_plane.state_machine.index
    state = control_plane.state_machine.state
    if order_id:
        if order_id not in state.orders:
            return messages.ErrorResponse(f"there is no order {order_id}")
        return messages.FleetStatus(index, [], [], [fleet_order_status(raft, state.orders[order_id])])
    targets = []
    for target, reasons in sorted(allocator.unavailable.reasons.items()):
        permit = state.permits.get(target)
        targets.append(
            messages.UnavailableTarget(
                target,
                allocator.host_of.get(target, ""),
                sorted(reasons),
                permit.fencing_token if permit else 0,
                permit.order_id if permit else "",
            )
        )
    groups = [
        messages.BudgetUsage(name, allocator.unavailable.counts[name], group.max_unavailable)
        for name, group in allocator.unavailable.groups.items()
    ]
    latest = list(state.orders.values())[-MAX_LISTED_ORDERS:]
    return messages.FleetStatus(
        index, groups, targets, [fleet_order_status(raft, order) for order in reversed(latest)]
    )


def release_status(now: int, raft: RaftRuntime, release_id: str) -> messages.Response:
    """One release, or the open or latest one. Raises NotLeaderError, as `fleet_status` does."""
    control_plane, allocator = _require_leader(now, raft)
    state_machine = control_plane.state_machine
    controller = control_plane.extension
    if not isinstance(state_machine, RolloutStateMachine) or not isinstance(controller, RolloutController):
        raise UnexpectedControlPlaneError("the replica of this agent runs without releases")
    releases = state_machine.state.releases
    if release_id:
        release = releases.get(release_id)
    else:
        release = state_machine.open_release or next(reversed(releases.values()), None)
    if release is None:
        return messages.ErrorResponse(
            f"there is no release {release_id}" if release_id else "no release was started yet"
        )
    lease = state_machine.state.leases.get(LEASE)
    others = [(other.ident, other.state) for other in releases.values() if other is not release]
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
        _release_targets(now, release, state_machine.state.orders, controller, allocator),
        others[-MAX_LISTED_RELEASES:],
    )


def _release_targets(
    now: int,
    release: Release,
    orders: dict[str, DisruptionOrder],
    controller: RolloutController,
    allocator: PermitAllocator,
) -> list[messages.ReleaseTargetStatus]:
    """The targets of a release with what was observed of them last."""
    order = orders.get(release.order_id)
    targets = []
    for target, task in release.targets.items():
        observed = controller.observations.targets.get(target)
        is_waiting = order and target in order.tasks and target in release.in_progress
        targets.append(
            messages.ReleaseTargetStatus(
                target,
                allocator.host_of.get(target, ""),
                task.state,
                observed.version if observed else "",
                observed.phase if observed else "unknown",
                now - observed.observed_at if observed else UNKNOWN_AGE,
                order.tasks[target].reason if order and is_waiting else "",
            )
        )
    return targets
