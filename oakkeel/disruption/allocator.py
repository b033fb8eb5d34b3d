"""The leader's part of disruption permits: sessions of agents, grants and expiry. Free of I/O.

A target is unavailable while it has a permit, while its agent reports that it is not serving, and while its
agent is silent. So a new leader grants nothing on a site before the agents there have reported, and all
targets of a host that fails count as unavailable.

A permit may be started within its validity, which the agent counts by its own clock from the time at which
it sent its heartbeat. The permit expires once the validity has ended by every clock whose drift is within
the bound. The leader only proposes commands, which take effect once they are committed.
"""

from __future__ import annotations

import msgspec

from oakkeel.disruption import commands, heartbeats
from oakkeel.disruption.expiry import ExpiryClock
from oakkeel.disruption.grants import GrantPlanner
from oakkeel.disruption.messages import Heartbeat, HeartbeatResponse
from oakkeel.disruption.sessions import AgentSession, is_outdated, new_session
from oakkeel.disruption.state import DisruptionOrder, FleetTaskState, Rejection
from oakkeel.disruption.state_machine import PermitStateMachine
from oakkeel.disruption.timeouts import PermitTimeouts
from oakkeel.disruption.topology import (
    NOT_SERVING_REASON,
    PERMIT_REASON,
    PROPOSED_REASON,
    UNKNOWN_REASON,
    Topology,
    UnavailableTargets,
)
from oakkeel.units import MS

SCAN_INTERVAL_NS = 50 * MS  # between two checks for silent agents, expired permits, leases and orders


class PermitAllocator:
    """A leader's state of agents and permits, discarded when it steps down. Returns commands to propose."""

    def __init__(
        self, now: int, state_machine: PermitStateMachine, timeouts: PermitTimeouts, nonce: int = 1
    ) -> None:
        """`nonce` distinguishes the timestamps of this leader from the timestamps of other leaders."""
        self.state_machine = state_machine
        self.timeouts = timeouts
        self.nonce = nonce
        self.sessions: dict[str, AgentSession] = {}  # by host
        self.clock = ExpiryClock(timeouts)
        self.planner = GrantPlanner(state_machine)
        self.responses = heartbeats.ResponseBuilder(state_machine, self.clock, nonce)
        self.pending: set[bytes] = set()  # encoded commands that were proposed and are not applied yet
        self.must_plan = True  # agents, permits or orders changed since the last plan of grants
        self.next_scan_at = now
        self._set_topology(now)

    def _set_topology(self, now: int) -> None:
        state = self.state_machine.state
        self.topology: Topology = state.topology
        self.unavailable = UnavailableTargets(state.topology)
        self.host_by_target = {
            target: host for host, targets in state.topology.hosts.items() for target in targets
        }
        for target in self.host_by_target:
            self.unavailable.add(target, UNKNOWN_REASON)
        for target in state.permits:
            self.unavailable.add(target, PERMIT_REASON)
        for host, session in self.sessions.items():
            self._update_availability(host, session)
        self.responses.orders_by_host.clear()
        self.planner.reset(self.unavailable)
        for order in state.orders.values():
            self._track_order(now, order)

    def _track_order(self, now: int, order: DisruptionOrder) -> None:
        """Track an order if it is open or has permits."""
        has_permit = any(permit.order_id == order.id for permit in self.state_machine.state.permits.values())
        if order.is_open:
            self.clock.order_submitted_at.setdefault(order.id, now)
        if order.is_open or has_permit:
            for host in sorted(
                {self.host_by_target[target] for target in order.tasks if target in self.host_by_target}
            ):
                self.responses.orders_by_host.setdefault(host, []).append(order.id)
        for target, task in order.tasks.items():
            if task.state == FleetTaskState.WAITING:
                self.planner.enqueue(order.id, target)

    def receive_heartbeat(self, now: int, heartbeat: Heartbeat) -> list[commands.Command]:
        """Record an agent's heartbeat, unless a later heartbeat of the agent was already received."""
        latest_session = self.sessions.get(heartbeat.host)
        session = new_session(now, heartbeat, self.nonce)
        if latest_session and is_outdated(session, latest_session):
            return []
        self.sessions[heartbeat.host] = session
        if (
            latest_session is None
            or latest_session.serving != session.serving
            or self._is_silent(now, latest_session)
        ):
            self._update_availability(heartbeat.host, session)
        return self._deduplicate(
            heartbeats.report_commands(self.state_machine.state, self.host_by_target, heartbeat)
        )

    def _is_silent(self, now: int, session: AgentSession) -> bool:
        """Whether an agent's last heartbeat is so old that its targets count as unavailable."""
        return now - session.last_heartbeat_at > self.timeouts.max_agent_silence_ns

    def _update_availability(self, host: str, session: AgentSession) -> None:
        for target in self.topology.hosts.get(host, ()):
            serving = session.serving.get(target)
            self.unavailable.set(target, UNKNOWN_REASON, serving is None)
            self.unavailable.set(target, NOT_SERVING_REASON, serving is False)
        self.must_plan = True

    def handle_applied(self, now: int, index: int, command: commands.Command, result: object) -> None:
        """Update the leader's state after a command was applied, whichever leader had proposed it."""
        self._clear_pending(command)
        if isinstance(result, Rejection):
            return
        state = self.state_machine.state
        if isinstance(command, commands.SetTopology):
            self._set_topology(now)
            return
        if isinstance(command, commands.AcquireLease):
            self.clock.lease_renewed_at[command.name] = now
        if isinstance(result, DisruptionOrder) and result.index == index and result.id in state.orders:
            self._track_order(now, result)
        for target in _targets_of(command):
            permit = state.permits.get(target)
            self.unavailable.set(target, PERMIT_REASON, permit is not None)
            if permit is not None:
                self.clock.granted_at.setdefault(permit.fencing_token, now)
            if not isinstance(command, commands.GrantPermits):
                self._enqueue_waiting(target)
        self.must_plan = True

    def _enqueue_waiting(self, target: str) -> None:
        """Enqueue a target for the orders that wait for it, after its permit was released or has expired."""
        orders = self.state_machine.state.orders
        for order_id in self.clock.order_submitted_at:
            task = orders[order_id].tasks.get(target) if order_id in orders else None
            if task and task.state == FleetTaskState.WAITING:
                self.planner.enqueue(order_id, target)

    def handle_lost_command(self, command: msgspec.Struct) -> None:
        """Forget a command that could not be proposed or will never be committed."""
        self._clear_pending(command)
        self.must_plan = True

    def _clear_pending(self, command: msgspec.Struct) -> None:
        self.pending.discard(commands.encode(command))
        if isinstance(command, commands.GrantPermits):
            for target in command.targets:
                self.unavailable.remove(target, PROPOSED_REASON)

    def tick(self, now: int) -> list[commands.Command]:
        """Return the commands that expire permits, leases and orders, and the grants within the budgets."""
        to_propose: list[commands.Command] = []
        if now >= self.next_scan_at:
            self.next_scan_at = now + SCAN_INTERVAL_NS
            self._mark_silent_agents(now)
            for order_id in self.clock.forget_ended_orders(self.state_machine.state):
                self.planner.drop_order(order_id)
            to_propose += self.clock.expiry_commands(now, self.state_machine.state)
        if self.must_plan:
            self.must_plan = False
            to_propose += self.planner.plan()
        return self._deduplicate(to_propose)

    def _mark_silent_agents(self, now: int) -> None:
        """Count the targets of silent agents as unavailable."""
        for host, session in self.sessions.items():
            if self._is_silent(now, session) and session.serving:
                session.serving = {}
                self._update_availability(host, session)

    def _deduplicate(self, to_propose: list[commands.Command]) -> list[commands.Command]:
        """Return the commands that are not pending yet: heartbeats repeat a report until it is committed."""
        not_pending = []
        for command in to_propose:
            content = commands.encode(command)
            if content not in self.pending:
                self.pending.add(content)
                not_pending.append(command)
        return not_pending

    def respond(self, now: int, epoch: str, host: str) -> HeartbeatResponse:
        """Return the permits and orders of a host. To be called only while the leader's lease holds."""
        return self.responses.build(now, epoch, host)


def _targets_of(command: commands.Command) -> list[str]:
    if isinstance(command, commands.GrantPermits):
        return command.targets
    if isinstance(command, commands.StartPermit | commands.ReleasePermit | commands.ExpirePermit):
        return [command.target]
    return []
