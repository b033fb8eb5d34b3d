"""The leader's part of disruption permits: whom to believe, what to grant, what has expired. Free of I/O.

A target is unavailable while it has a permit, while its agent says that it does not serve, and while its
agent is silent. So a new leader grants nothing on a site before its agents have reported, and a host that
vanishes counts with all of its targets.

A permit may be started within `validity` of its grant, by the agent's own clock from when it sent its
heartbeat; it expires once that is over by any clock within the drift. The leader proposes; only what is
applied holds.
"""

from __future__ import annotations

from dataclasses import dataclass

from oakkeel.disruption import commands, heartbeats
from oakkeel.disruption.messages import Heartbeat, HeartbeatResponse
from oakkeel.disruption.queries import PERMIT_REASON
from oakkeel.disruption.state import DisruptionOrder, Rejection, TaskState
from oakkeel.disruption.state_machine import PermitStateMachine
from oakkeel.disruption.topology import Topology, UnavailableTargets
from oakkeel.units import MS, SECOND

NOT_SERVING, UNKNOWN, PROPOSED = "does not serve", "not known", "to be granted"  # why a target is unavailable
MAX_GRANTS = 64  # in one tick
SCAN_INTERVAL = 50 * MS  # between looks at what time alone brings about


@dataclass(slots=True, frozen=True)
class PermitTimeouts:
    """Timeouts of permits, in nanoseconds."""

    validity: int = 3 * SECOND  # a permit may be started
    drift: float = 0.04
    agent_silence: int = 2 * SECOND  # after it the targets of an agent count as unavailable

    def upper_bound(self, time: int) -> int:
        """Return how long to wait by our clock until a time is over by any other."""
        return int(time * (1 + self.drift) / (1 - self.drift))

    @property
    def expiry(self) -> int:
        """After how long a permit that was not started expires."""
        return self.upper_bound(self.validity)


@dataclass(slots=True, eq=False)
class AgentSession:
    """What one agent reported last."""

    incarnation: int
    sequence: int
    last_heartbeat_at: int
    serving: dict[str, bool]  # by target
    in_flight: dict[str, str]  # by target that drains
    echoed_at: int  # it was alive after we had sent it that time; 0: it has no response of ours yet


class PermitAllocator:
    """Made when a leader begins, and dropped when it ends. Calls return commands to propose."""

    def __init__(
        self, now: int, state_machine: PermitStateMachine, timeouts: PermitTimeouts, nonce: int = 1
    ) -> None:
        """`nonce` tells our timestamps from those of other leaders."""
        self.state_machine, self.timeouts, self.nonce = state_machine, timeouts, nonce
        self.sessions: dict[str, AgentSession] = {}
        self.granted_at: dict[int, int] = {}  # by token; or when we began
        self.lease_renewed_at: dict[str, int] = {}  # when leases were taken or renewed, by name
        self.order_submitted_at: dict[str, int] = {}  # the same of orders that are open
        self.orders_by_host: dict[str, list[str]] = {}  # by host: orders that concern it
        self.waiting: dict[str, dict[tuple[str, ...], dict[str, None]]] = {}  # targets, by order and groups
        self.pending: set[bytes] = set()  # proposed and not applied yet
        self.dirty = True  # something changed since grants were last looked for
        self.next_scan_at = now  # when to look next at what time alone brings about
        self._set_topology(now)

    def _set_topology(self, now: int) -> None:
        state = self.state_machine.state
        self.topology: Topology = state.topology
        self.unavailable = UnavailableTargets(state.topology)
        self.host_of = {target: host for host, targets in state.topology.hosts.items() for target in targets}
        for target in self.host_of:
            self.unavailable.add(target, UNKNOWN)
        for target in state.permits:
            self.unavailable.add(target, PERMIT_REASON)
        for name, host in self.sessions.items():
            self._update_availability(name, host)
        self.orders_by_host.clear()
        self.waiting.clear()
        for order in state.orders.values():
            self._track_order(now, order)

    def _track_order(self, now: int, order: DisruptionOrder) -> None:
        """Track an order that may want permits, or has some."""
        permitted = {
            permit.target
            for permit in self.state_machine.state.permits.values()
            if permit.order_id == order.id
        }
        if order.open:
            self.order_submitted_at.setdefault(order.id, now)
        if order.open or permitted:
            for host in sorted({self.host_of[target] for target in order.tasks if target in self.host_of}):
                self.orders_by_host.setdefault(host, []).append(order.id)
        for target, task in order.tasks.items():
            if task.state == TaskState.WAITING:
                self._enqueue(order.id, target)

    def _enqueue(self, order_id: str, target: str) -> None:
        groups = tuple(self.unavailable.groups_of.get(target, ())) + self.topology.dependents.get(target, ())
        self.waiting.setdefault(order_id, {}).setdefault(groups, {})[target] = None

    def receive_heartbeat(self, now: int, heartbeat: Heartbeat) -> list[commands.Command]:
        """Take in an agent's report; one that was overtaken by a later one changes nothing.

        One of another incarnation is believed once it shows to have been alive after the one that we know:
        a report of an agent that was killed may come late, and must not pass for one of the next.
        """
        known = self.sessions.get(heartbeat.host)
        nonce, echoed_at = heartbeat.echoed_timestamp
        session = AgentSession(
            heartbeat.incarnation,
            heartbeat.sequence,
            now,
            {report.name: report.serving for report in heartbeat.targets},
            {report.name: report.in_flight for report in heartbeat.targets if report.in_flight},
            echoed_at if nonce == self.nonce else 0,
        )
        if known and _is_overtaken(known, session):
            return []
        self.sessions[heartbeat.host] = session
        if (
            known is None
            or known.serving != session.serving
            or now - known.last_heartbeat_at > self.timeouts.agent_silence
        ):
            self._update_availability(heartbeat.host, session)
        return self._deduplicate(heartbeats.commands_of(self.state_machine.state, self.host_of, heartbeat))

    def _update_availability(self, name: str, host: AgentSession) -> None:
        for target in self.topology.hosts.get(name, ()):
            serving = host.serving.get(target)
            self.unavailable.set(target, UNKNOWN, serving is None)
            self.unavailable.set(target, NOT_SERVING, serving is False)
        self.dirty = True

    def applied(self, now: int, index: int, command: commands.Command, result: object) -> None:
        """Follow a command that was applied, whoever proposed it."""
        self._clear_pending(command)
        if isinstance(result, Rejection):
            return
        state = self.state_machine.state
        if isinstance(command, commands.SetTopology):
            self._set_topology(now)
            return
        if isinstance(command, commands.AcquireLease):
            self.lease_renewed_at[command.name] = now
        if isinstance(result, DisruptionOrder) and result.index == index and result.id in state.orders:
            self._track_order(now, result)
        for target in _targets_of(command):
            permit = state.permits.get(target)
            self.unavailable.set(target, PERMIT_REASON, permit is not None)
            if permit is not None:
                self.granted_at.setdefault(permit.fencing_token, now)
            if not isinstance(command, commands.GrantPermits):
                for order_id in self.order_submitted_at:  # a permit was given back or has expired
                    task = state.orders[order_id].tasks.get(target) if order_id in state.orders else None
                    if task and task.state == TaskState.WAITING:
                        self._enqueue(order_id, target)
        self.dirty = True

    def lost(self, command: commands.Command) -> None:
        """Forget a command that could not be proposed, or will never be committed."""
        self._clear_pending(command)
        self.dirty = True

    def _clear_pending(self, command: commands.Command) -> None:
        self.pending.discard(commands.encode(command))
        if isinstance(command, commands.GrantPermits):
            for target in command.targets:
                self.unavailable.remove(target, PROPOSED)

    def tick(self, now: int) -> list[commands.Command]:
        """Return what to expire, and what to grant within the budgets."""
        wanted: list[commands.Command] = []
        if now >= self.next_scan_at:
            self.next_scan_at = now + SCAN_INTERVAL
            wanted += self._expire(now)
        if self.dirty:
            self.dirty = False
            wanted += self._grants()
        return self._deduplicate(wanted)

    def _expire(self, now: int) -> list[commands.Command]:
        """Return what time alone brings about."""
        state = self.state_machine.state
        wanted: list[commands.Command] = []
        for name, host in self.sessions.items():
            if now - host.last_heartbeat_at > self.timeouts.agent_silence and host.serving:
                host.serving = {}
                self._update_availability(name, host)
        for permit in state.permits.values():
            since = self.granted_at.setdefault(permit.fencing_token, now)
            if not permit.started and not permit.expired_index and now - since > self.timeouts.expiry:
                wanted.append(commands.ExpirePermit(permit.target, permit.fencing_token))
        if len(self.granted_at) > 2 * len(state.permits) + 64:
            tokens = {permit.fencing_token for permit in state.permits.values()}
            self.granted_at = {token: at for token, at in self.granted_at.items() if token in tokens}
        for name, lease in state.leases.items():  # a new leader gives each its whole time anew
            if now - self.lease_renewed_at.setdefault(name, now) > self.timeouts.upper_bound(lease.duration):
                wanted.append(commands.ReleaseLease(name, lease.fencing_token))
        for order_id, since in list(self.order_submitted_at.items()):
            order = state.orders.get(order_id)
            if order is None or not order.open:
                del self.order_submitted_at[order_id]
                self.waiting.pop(order_id, None)
            elif not order.halted_by and now - since > order.timeout:
                wanted.append(commands.ExpireOrder(order_id))
        return wanted

    def _grants(self) -> list[commands.Command]:
        """Grant in the order in which orders came.

        Targets of the same budget groups find room alike: where one finds none, only those of them that are
        unavailable already can be granted.
        """
        wanted: list[commands.Command] = []
        for order_id, groups in self.waiting.items():
            order = self.state_machine.state.orders.get(order_id)
            if order is None or order.halted_by:
                continue
            if order.atomic and not any(task.state != TaskState.WAITING for task in order.tasks.values()):
                targets = [target for target in order.tasks if self._may_grant(target, order_id)]
                if len(targets) == len(order.tasks) and not self._find_violation(targets):
                    wanted += self._grant(order, targets)
                continue
            for alike in groups.values():
                full = False
                for target in list(alike):
                    if len(wanted) >= MAX_GRANTS:
                        return wanted
                    if order.tasks[target].state != TaskState.WAITING:
                        del alike[target]
                    elif (full and target not in self.unavailable.reasons) or not self._may_grant(
                        target, order_id
                    ):
                        continue
                    elif self._find_violation([target]):
                        full = True
                        if not self.unavailable.reasons.keys() & alike.keys():
                            break
                    else:
                        wanted += self._grant(order, [target])
        return wanted

    def _find_violation(self, targets: list[str]) -> str:
        """Return which budget forbids it; what is unavailable already needs room for its permit alone."""
        by_permits = self.state_machine.unavailable
        return self.unavailable.find_violation(targets) or by_permits.find_violation(targets)

    def _may_grant(self, target: str, order_id: str) -> bool:
        """Return whether its agent is there to use a permit, and no other order has one."""
        reasons = self.unavailable.reasons.get(target, ())
        return (
            UNKNOWN not in reasons
            and PROPOSED not in reasons
            and not self.state_machine.permit_conflict(target, order_id)
        )

    def _grant(self, order: DisruptionOrder, targets: list[str]) -> list[commands.Command]:
        # What is unavailable already takes no room. Where there is none, it must not have come up by then.
        down = any(
            self.unavailable.counts[name] > self.unavailable.groups[name].max_unavailable
            for target in targets
            for name in self.unavailable.groups_of.get(target, ())
        )
        for target in targets:
            self.unavailable.add(target, PROPOSED)
        return [commands.GrantPermits(order.id, targets, down)]

    def _deduplicate(self, wanted: list[commands.Command]) -> list[commands.Command]:
        """Return each once: the next report says the same as long as it is not committed."""
        new = []
        for command in wanted:
            content = commands.encode(command)
            if content not in self.pending:
                self.pending.add(content)
                new.append(command)
        return new

    def respond(self, now: int, epoch: str, host: str) -> HeartbeatResponse:
        """Return what concerns a host. To be called only while the leader's lease holds."""
        return heartbeats.build_response(self, now, epoch, host)


def _is_overtaken(known: AgentSession, session: AgentSession) -> bool:
    """Return whether a later report than this one was taken in."""
    if session.incarnation != known.incarnation:
        return session.echoed_at <= known.echoed_at
    return session.sequence < known.sequence


def _targets_of(command: commands.Command) -> list[str]:
    if isinstance(command, commands.GrantPermits):
        return command.targets
    if isinstance(command, commands.StartPermit | commands.ReleasePermit | commands.ExpirePermit):
        return [command.target]
    return []
