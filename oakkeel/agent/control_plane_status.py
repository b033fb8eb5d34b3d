"""The status of the control plane as this host knows it: replica, permits, orders and releases."""

from __future__ import annotations

from oakkeel.agent import messages
from oakkeel.agent.raft_runtime import RaftRuntime
from oakkeel.agent.status_reporter import StatusReporter
from oakkeel.disruption.allocator import PermitAllocator
from oakkeel.disruption.control_plane import ControlPlaneReplica
from oakkeel.disruption.state import DisruptionOrder
from oakkeel.errors import OakkeelError
from oakkeel.raft.leader_state import NEVER
from oakkeel.raft.messages import Member
from oakkeel.raft.proposals import NotLeaderError
from oakkeel.raft.replica import Replica
from oakkeel.rollout.controller import RolloutController
from oakkeel.rollout.release import Release
from oakkeel.rollout.state_machine import LEASE, RolloutStateMachine

UNKNOWN = -1  # an age or a lag that is not known
NO_ROLE = "none"
UNKNOWN_PHASE = "unknown"
MAX_LISTED_ORDERS = 50
MAX_LISTED_RELEASES = 5  # besides the requested release


class UnexpectedControlPlaneError(OakkeelError):
    """The replica runs without releases: a defect, as an agent starts each replica with releases."""


def raft_status(
    now: int, host: str, raft: RaftRuntime | None, status_reporter: StatusReporter | None
) -> messages.RaftStatus:
    """The state of the replica on this host, or a status without a replica."""
    contact_age = UNKNOWN
    if status_reporter and status_reporter.last_response_at:
        contact_age = now - status_reporter.last_response_at
    if raft is None or raft.control_plane is None:
        return _status_without_replica(host, raft, status_reporter, contact_age)
    replica = raft.control_plane.replica
    return messages.RaftStatus(
        host=host,
        role=replica.role.value,
        role_age=now - replica.role_since,
        epoch=replica.durable.epoch,
        term=replica.term,
        leader=replica.leader,
        is_leader=replica.holds_lease(now),
        committed=replica.commit_index,
        last_index=replica.log.last_index,
        elections=replica.elections_won,
        contact_age=contact_age,
        members=[_member_status(now, replica, member) for member in replica.members],
        why=replica.stale_reason or (status_reporter.why if status_reporter else ""),
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
    return messages.RaftStatus(
        host=host,
        role=NO_ROLE,
        role_age=0,
        epoch="",
        term=0,
        leader=leader,
        is_leader=False,
        committed=0,
        last_index=0,
        elections=0,
        contact_age=contact_age,
        members=[],
        why=why,
    )


def _member_status(now: int, replica: Replica, member: Member) -> messages.MemberStatus:
    """The lag of a member and the age of its last acknowledgement; -1 if this replica does not know them."""
    peer = replica.leader_state.peers.get(member.incarnation) if replica.leader_state else None
    lag = UNKNOWN
    age = UNKNOWN
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
    targets_by_host = raft.topology.hosts.items() if control_plane else ()
    host_by_target = {target: host for host, targets in targets_by_host for target in targets}
    sessions = control_plane.allocator.sessions if control_plane and control_plane.allocator else {}
    in_flight = {
        target: summary for session in sessions.values() for target, summary in session.in_flight.items()
    }
    tasks = []
    for target, task in order.tasks.items():
        permit = permits.get(target)
        fencing_token = permit.fencing_token if permit and permit.order_id == order.id else 0
        tasks.append(
            messages.FleetTaskStatus(
                target=target,
                host=host_by_target.get(target, ""),
                state=task.state,
                why=task.reason,
                fencing_token=fencing_token,
                in_flight=in_flight.get(target, ""),
            )
        )
    return messages.FleetOrderStatus(
        order_id=order.id,
        operator=order.operator,
        verb=order.verb,
        unix_time=order.created_at,
        atomic=order.atomic,
        halted=order.halted_by,
        cancelled=order.cancelled_by,
        tasks=tasks,
    )


def _require_leader(now: int, raft: RaftRuntime) -> tuple[ControlPlaneReplica, PermitAllocator]:
    """The control plane of this leader. Raises NotLeaderError: only a leader with a lease knows the state."""
    control_plane = raft.control_plane
    if control_plane is None:
        raise NotLeaderError("")
    replica = control_plane.replica
    if control_plane.allocator is None or not replica.holds_lease(now):
        raise NotLeaderError(
            replica.leader if not replica.leader_state else "", replica.lease_missing_reason()
        )
    return control_plane, control_plane.allocator


def fleet_status(now: int, raft: RaftRuntime, order_id: str) -> messages.Response:
    """The unavailable targets, budgets and latest orders, or one order. Raises NotLeaderError."""
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
                target=target,
                host=allocator.host_by_target.get(target, ""),
                reasons=sorted(reasons),
                fencing_token=permit.fencing_token if permit else 0,
                order_id=permit.order_id if permit else "",
            )
        )
    budgets = [
        messages.BudgetUsage(name, allocator.unavailable.counts[name], group.max_unavailable)
        for name, group in allocator.unavailable.groups.items()
    ]
    latest_orders = list(state.orders.values())[-MAX_LISTED_ORDERS:]
    return messages.FleetStatus(
        index, budgets, targets, [fleet_order_status(raft, order) for order in reversed(latest_orders)]
    )


def release_status(now: int, raft: RaftRuntime, release_id: str) -> messages.Response:
    """The release `release_id`; if empty, the open or the latest release. Raises NotLeaderError."""
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
    other_releases: list[tuple[str, str]] = [
        (other.ident, other.state) for other in releases.values() if other is not release
    ]
    return messages.ReleaseStatus(
        release_id=release.ident,
        operator=release.operator,
        unix_time=release.unix,
        state=release.state,
        version=release.spec,
        step=release.step,
        batch=release.batch,
        why=release.why,
        gate_summary=release.summary,
        waiting_for="" if release.is_finished else controller.why,
        controller=lease.holder.partition(".")[0] if lease else "",
        targets=_release_targets(now, release, state_machine.state.orders, controller, allocator),
        other_releases=other_releases[-MAX_LISTED_RELEASES:],
    )


def _release_targets(
    now: int,
    release: Release,
    orders: dict[str, DisruptionOrder],
    controller: RolloutController,
    allocator: PermitAllocator,
) -> list[messages.ReleaseTargetStatus]:
    """The targets of a release with the last observation of each."""
    order = orders.get(release.order_id)
    targets = []
    for target, task in release.targets.items():
        observation = controller.observations.targets.get(target)
        is_waiting = order and target in order.tasks and target in release.in_progress
        targets.append(
            messages.ReleaseTargetStatus(
                target=target,
                host=allocator.host_by_target.get(target, ""),
                state=task.state,
                running_version=observation.version if observation else "",
                phase=observation.phase if observation else UNKNOWN_PHASE,
                report_age=now - observation.observed_at if observation else UNKNOWN,
                why=order.tasks[target].reason if order and is_waiting else "",
            )
        )
    return targets
