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
    return messages.HostStatus(
        host.name,
        host.site,
        now - started,
        time.time_ns(),
        host.max_unavailable,
        supervision.out[host.site],
        notes,
        [_instance_status(now, each, pids.get(each, 0)) for each in supervision.instances],
    )


def _instance_status(now: int, instance: Instance, pid: int) -> messages.InstanceStatus:
    part, on = instance.part, None
    if part is not None:
        on = messages.OpenOrder(
            part.order.ident, part.order.operator, part.order.verb.value, part.state.value, now - part.since
        )
    waits = instance.phase in (Phase.STOPPED, Phase.FAILING) and instance.goal is Goal.UP
    return messages.InstanceStatus(
        instance.name,
        instance.phase.value,
        now - instance.since,
        instance.goal.value,
        instance.generation,
        instance.changed,
        instance.changed_by,
        pid,
        now - instance.heard if instance.report else -1,
        instance.report,
        on,
        len(instance.deaths),
        instance.resting,
        max(0, instance.start_at - now) if waits else 0,
        instance.why,
    )


def order_status(now: int, order: Order) -> messages.OrderStatus:
    parts = [
        messages.TaskStatus(part.instance.name, part.state.value, max(0, now - part.since), part.why)
        for part in order.parts
    ]
    here = {part.instance for part in parts}
    parts += [
        messages.TaskStatus(name, "refused", 0, "no such instance here")
        for name, _ in order.asked
        if name not in here
    ]
    return messages.OrderStatus(order.ident, order.operator, order.verb.value, order.taken, parts)


# The record.


def raft_status(
    now: int, host: str, raft: RaftRuntime | None, status_reporter: StatusReporter | None
) -> messages.RaftStatus:
    heard = now - status_reporter.heard_at if status_reporter and status_reporter.heard_at else -1
    if raft is None or raft.control_plane is None:
        why = raft.fault if raft else status_reporter.why if status_reporter else "this fleet has no keepers"
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
    places, hosts, owes = {}, {}, {}
    if raft.control_plane:
        places = raft.control_plane.state_machine.state.permits
        hosts = {thing: host for host, things in raft.layout.hosts.items() for thing in things}
        if raft.control_plane.allocator:
            owes = {
                thing: told
                for host in raft.control_plane.allocator.sessions.values()
                for thing, told in host.in_flight.items()
            }
    parts = []
    for thing, part in order.tasks.items():
        place = places.get(thing)
        fence = place.fencing_token if place and place.order_id == order.id else 0
        parts.append(
            messages.FleetTaskStatus(
                thing, hosts.get(thing, ""), part.state, part.reason, fence, owes.get(thing, "")
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
        parts,
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
        told = fleet_order_status(raft, held.orders[ident])
        return messages.FleetStatus(control_plane.state_machine.index, [], [], [told])
    hosts = control_plane.allocator.host_of
    things = []
    for thing, reasons in sorted(out.reasons.items()):
        place = held.permits.get(thing)
        things.append(
            messages.UnavailableTarget(
                thing,
                hosts.get(thing, ""),
                sorted(reasons),
                place.fencing_token if place else 0,
                place.order_id if place else "",
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
        things,
        [fleet_order_status(raft, each) for each in reversed(latest)],
    )


def release_status(now: int, raft: RaftRuntime, ident: str) -> messages.Response:
    """Raises NotLeading, as `state_told` does."""
    control_plane = raft.control_plane
    if control_plane is None or control_plane.allocator is None or not control_plane.replica.holds_lease(now):
        raise NotLeaderError(
            control_plane.replica.leader if control_plane and not control_plane.replica.leader_state else ""
        )
    book, driver = control_plane.state_machine, control_plane.extension
    assert isinstance(book, RolloutStateMachine) and isinstance(driver, RolloutController)
    releases = book.state.releases
    release = releases.get(ident) if ident else book.open_release or next(reversed(releases.values()), None)
    if release is None:
        return messages.ErrorResponse(f"there is no release {ident}" if ident else "there was no release yet")
    order = book.state.orders.get(release.order_id)
    lease = book.state.leases.get(LEASE)
    parts = []
    for thing, part in release.targets.items():
        seen = driver.observations.targets.get(thing)
        why = (
            order.tasks[thing].reason
            if order and thing in order.tasks and thing in release.in_progress
            else ""
        )
        parts.append(
            messages.ReleaseTargetStatus(
                thing,
                control_plane.allocator.host_of.get(thing, ""),
                part.state,
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
        "" if release.is_finished else driver.why,
        lease.holder.partition(".")[0] if lease else "",
        parts,
        others,
    )
