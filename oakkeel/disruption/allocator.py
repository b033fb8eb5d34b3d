"""What the leader does for places: whom to believe, what to grant, what has lapsed. Free of I/O.

A thing is out while it has a place, while its agent says that it does not serve, and while its agent is
silent. So a new leader grants nothing on a site before its agents have told it how things are, and a host
that vanishes counts whole.

A place may be begun within `good` of its grant, by the agent's own clock from when it asked; it lapses once
that is over by any clock within the drift. The leader proposes; what is applied is what holds.
"""

from __future__ import annotations

from dataclasses import dataclass

from oakkeel.disruption import commands
from oakkeel.disruption.messages import AssignedOrder, GrantedPermit, Heartbeat, HeartbeatResponse
from oakkeel.disruption.queries import PERMIT_REASON
from oakkeel.disruption.state import OPEN_STATES, DisruptionOrder, Rejection
from oakkeel.disruption.state_machine import PermitStateMachine
from oakkeel.disruption.topology import Topology, UnavailableTargets

MS = 1_000_000
SECOND = 1000 * MS
TOLD, UNHEARD, ASKED = "does not serve", "not known", "to be granted"
MAX_GRANTS = 64  # in one turn
SCAN = 50 * MS  # between looks at what time alone brings about


@dataclass(slots=True, frozen=True)
class PermitTimeouts:
    """Nanoseconds."""

    validity: int = 3 * SECOND  # a place may be begun
    drift: float = 0.04
    agent_silence: int = 2 * SECOND  # an agent is not heard: its things count as out

    def upper_bound(self, time: int) -> int:
        """So long by our clock, that a time is over by any other."""
        return int(time * (1 + self.drift) / (1 - self.drift))

    @property
    def expiry(self) -> int:
        return self.upper_bound(self.validity)


@dataclass(slots=True, eq=False)
class AgentSession:
    """The last of one agent."""

    incarnation: int
    sequence: int
    last_heartbeat_at: int
    serving: dict[str, bool]  # by thing: whether it serves
    in_flight: dict[str, str]  # by thing that leaves
    echoed_at: int  # it was alive after we had told it that time; 0: it has not heard us yet


class PermitAllocator:
    """Made when a leader begins, and thrown away when it ends. Calls return commands to propose."""

    def __init__(self, now: int, ledger: PermitStateMachine, terms: PermitTimeouts, nonce: int = 1) -> None:
        """`nonce` tells our stamps from those of other leaders."""
        self.state_machine, self.timeouts, self.nonce = ledger, terms, nonce
        self.sessions: dict[str, AgentSession] = {}
        self.granted_at: dict[int, int] = {}  # when places were granted, or when we began, by fence
        self.lease_renewed_at: dict[str, int] = {}  # when leases were taken or renewed, by name
        self.order_submitted_at: dict[str, int] = {}  # the same of orders that are open
        self.orders_by_host: dict[str, list[str]] = {}  # by host: orders that concern it
        self.waiting: dict[str, dict[tuple[str, ...], dict[str, None]]] = {}  # things, by order and groups
        self.pending: set[bytes] = set()  # proposed and not applied yet
        self.dirty = True  # something changed since grants were last looked for
        self.next_scan_at = now  # when to look next at what time alone brings about
        self._lay(now)

    def _lay(self, now: int) -> None:
        held = self.state_machine.state
        self.topology: Topology = held.topology
        self.unavailable = UnavailableTargets(held.topology)
        self.host_of = {thing: host for host, things in held.topology.hosts.items() for thing in things}
        for thing in self.host_of:
            self.unavailable.add(thing, UNHEARD)
        for thing in held.permits:
            self.unavailable.add(thing, PERMIT_REASON)
        for name, host in self.sessions.items():
            self._believe(name, host)
        self.orders_by_host.clear()
        self.waiting.clear()
        for order in held.orders.values():
            self._know(now, order)

    def _know(self, now: int, order: DisruptionOrder) -> None:
        """An order that may want places, or has some."""
        placed = {
            place.target for place in self.state_machine.state.permits.values() if place.order_id == order.id
        }
        if order.open:
            self.order_submitted_at.setdefault(order.id, now)
        if order.open or placed:
            for host in sorted({self.host_of[thing] for thing in order.tasks if thing in self.host_of}):
                self.orders_by_host.setdefault(host, []).append(order.id)
        for thing, part in order.tasks.items():
            if part.state == "waiting":
                self._wait(order.id, thing)

    def _wait(self, ident: str, thing: str) -> None:
        groups = tuple(self.unavailable.groups_of.get(thing, ())) + self.topology.dependents.get(thing, ())
        self.waiting.setdefault(ident, {}).setdefault(groups, {})[thing] = None

    # What happens.

    def receive_heartbeat(self, now: int, poll: Heartbeat) -> list[commands.Command]:
        """An agent's report; one that was overtaken by a later one changes nothing.

        One of another life is believed once it shows to have been alive after the one that we know of: a
        report of an agent that was killed may come late, and must not stand in for those of the next.
        """
        known, echo = (
            self.sessions.get(poll.host),
            poll.echoed_timestamp[1] if poll.echoed_timestamp[0] == self.nonce else 0,
        )
        if known and (
            echo <= known.echoed_at
            if poll.incarnation != known.incarnation
            else poll.sequence < known.sequence
        ):
            return []
        told = {each.name: each.serving for each in poll.targets}
        self.sessions[poll.host] = host = AgentSession(
            poll.incarnation,
            poll.sequence,
            now,
            told,
            {each.name: each.in_flight for each in poll.targets if each.in_flight},
            echo,
        )
        if (
            known is None
            or known.serving != told
            or now - known.last_heartbeat_at > self.timeouts.agent_silence
        ):
            self._believe(poll.host, host)
        wanted: list[commands.Command] = []
        held = self.state_machine.state
        for each in poll.targets:
            place = held.permits.get(each.name)
            if place is None or self.host_of.get(each.name) != poll.host:
                continue
            began = each.started_token == place.fencing_token
            if began and not place.started:
                wanted.append(commands.StartPermit(each.name, place.fencing_token))
            if (
                (began and each.restored and each.serving)
                or each.unused_token == place.fencing_token
                or (not began and (0 < place.expired_index <= poll.last_index))
            ):
                wanted.append(commands.ReleasePermit(each.name, place.fencing_token))
        for part in poll.task_results:
            order = held.orders.get(part.order_id)
            if order and part.target in order.tasks and order.tasks[part.target].state in OPEN_STATES:
                wanted.append(commands.FinishTask(part.order_id, part.target, part.state, part.reason[:200]))
        upto = {
            thing: number
            for thing, number in poll.generation_limits.items()
            if self.host_of.get(thing) == poll.host and number > held.generations.get(thing, 0)
        }
        if upto:
            wanted.append(commands.ReserveGenerations(poll.host, upto))
        return self._propose(wanted)

    def _believe(self, name: str, host: AgentSession) -> None:
        for thing in self.topology.hosts.get(name, ()):
            told = host.serving.get(thing)
            self.unavailable.set(thing, UNHEARD, told is None)
            self.unavailable.set(thing, TOLD, told is False)
        self.dirty = True

    def applied(self, now: int, index: int, command: commands.Command, result: object) -> None:
        """Something was agreed, whoever proposed it."""
        self._settled(command)
        if isinstance(result, Rejection):
            return None
        held = self.state_machine.state
        if isinstance(command, commands.SetTopology):
            return self._lay(now)
        if isinstance(command, commands.AcquireLease):
            self.lease_renewed_at[command.name] = now
        if isinstance(result, DisruptionOrder) and result.index == index and result.id in held.orders:
            self._know(now, result)
        for thing in _targets_of(command):
            place = held.permits.get(thing)
            self.unavailable.set(thing, PERMIT_REASON, place is not None)
            if place is not None:
                self.granted_at.setdefault(place.fencing_token, now)
            if not isinstance(command, commands.GrantPermits):
                for ident in self.order_submitted_at:  # a place that was given back or has lapsed
                    part = held.orders[ident].tasks.get(thing) if ident in held.orders else None
                    if part and part.state == "waiting":
                        self._wait(ident, thing)
        self.dirty = True

    def lost(self, command: commands.Command) -> None:
        """It could not be proposed, or will never be agreed."""
        self._settled(command)
        self.dirty = True

    def _settled(self, command: commands.Command) -> None:
        self.pending.discard(commands.encode(command))
        if isinstance(command, commands.GrantPermits):
            for thing in command.targets:
                self.unavailable.remove(thing, ASKED)

    def tick(self, now: int) -> list[commands.Command]:
        """What has lapsed or expired, and what there is room for."""
        wanted: list[commands.Command] = []
        if now >= self.next_scan_at:
            self.next_scan_at = now + SCAN
            wanted += self._scan(now)
        if self.dirty:
            self.dirty = False
            wanted += self._grants()
        return self._propose(wanted)

    def _scan(self, now: int) -> list[commands.Command]:
        """What time alone brings about."""
        held = self.state_machine.state
        wanted: list[commands.Command] = []
        for name, host in self.sessions.items():
            if now - host.last_heartbeat_at > self.timeouts.agent_silence and host.serving:
                host.serving = {}
                self._believe(name, host)
        for place in held.permits.values():
            since = self.granted_at.setdefault(place.fencing_token, now)
            if not place.started and not place.expired_index and now - since > self.timeouts.expiry:
                wanted.append(commands.ExpirePermit(place.target, place.fencing_token))
        if len(self.granted_at) > 2 * len(held.permits) + 64:
            fences = {place.fencing_token for place in held.permits.values()}
            self.granted_at = {fence: at for fence, at in self.granted_at.items() if fence in fences}
        for name, lease in held.leases.items():  # a new leader gives each its whole time anew
            if now - self.lease_renewed_at.setdefault(name, now) > self.timeouts.upper_bound(lease.duration):
                wanted.append(commands.ReleaseLease(name, lease.fencing_token))
        for ident, since in list(self.order_submitted_at.items()):
            order = held.orders.get(ident)
            if order is None or not order.open:
                del self.order_submitted_at[ident]
                self.waiting.pop(ident, None)
            elif not order.halted_by and now - since > order.timeout:
                wanted.append(commands.ExpireOrder(ident))
        return wanted

    def _grants(self) -> list[commands.Command]:
        """In the order in which orders came. Things of the same groups find room alike: where one finds none,
        only those of them that are out already can be taken."""
        wanted: list[commands.Command] = []
        for ident, kinds in self.waiting.items():
            order = self.state_machine.state.orders.get(ident)
            if order is None or order.halted_by:
                continue
            if order.atomic and not any(part.state != "waiting" for part in order.tasks.values()):
                things = [thing for thing in order.tasks if self._may(thing, ident)]
                if len(things) == len(order.tasks) and not self._against(things):
                    wanted += self._grant(order, things)
                continue
            for things_alike in kinds.values():
                full = False
                for thing in list(things_alike):
                    if len(wanted) >= MAX_GRANTS:
                        return wanted
                    if order.tasks[thing].state != "waiting":
                        del things_alike[thing]
                    elif (full and thing not in self.unavailable.reasons) or not self._may(thing, ident):
                        continue
                    elif self._against([thing]):
                        full = True
                        if not self.unavailable.reasons.keys() & things_alike.keys():
                            break
                    else:
                        wanted += self._grant(order, [thing])
        return wanted

    def _against(self, things: list[str]) -> str:
        """What is out already by itself needs no room for that, but its place does."""
        return self.unavailable.find_violation(things) or self.state_machine.unavailable.find_violation(
            things
        )

    def _may(self, thing: str, ident: str) -> bool:
        """Its agent is there to use a place, and no other stands in the way."""
        reasons = self.unavailable.reasons.get(thing, ())
        return (
            UNHEARD not in reasons
            and ASKED not in reasons
            and not self.state_machine.permit_conflict(thing, ident)
        )

    def _grant(self, order: DisruptionOrder, things: list[str]) -> list[commands.Command]:
        # What is out by itself takes no room. Where there is none, it must not have come up when it is used.
        down = any(
            self.unavailable.counts[name] > self.unavailable.groups[name].max_unavailable
            for thing in things
            for name in self.unavailable.groups_of.get(thing, ())
        )
        for thing in things:
            self.unavailable.add(thing, ASKED)
        return [commands.GrantPermits(order.id, things, down)]

    def _propose(self, wanted: list[commands.Command]) -> list[commands.Command]:
        """Once each: the next report says the same as long as it is not agreed."""
        news = []
        for command in wanted:
            content = commands.encode(command)
            if content not in self.pending:
                self.pending.add(content)
                news.append(command)
        return news

    # What agents and people are told.

    def respond(self, now: int, epoch: str, host: str) -> HeartbeatResponse:
        """To be asked for only while the leader's lease holds."""
        held, here = self.state_machine.state, self.topology.hosts.get(host, ())
        places, orders = [], []
        for thing in here:
            if place := held.permits.get(thing):
                order = held.orders.get(place.order_id)
                left = self.granted_at.setdefault(place.fencing_token, now) + self.timeouts.validity - now
                halted = order is None or order.halted_by
                places.append(
                    GrantedPermit(
                        thing,
                        place.order_id,
                        place.fencing_token,
                        place.started,
                        0 if halted or place.expired_index else max(0, left),
                        place.only_while_down,
                    )
                )
        known = self.orders_by_host.get(host, [])
        for ident in list(known):
            order = held.orders.get(ident)
            parts: list[tuple[str, int, str]] = (
                [
                    (thing, order.tasks[thing].generation, order.tasks[thing].state)
                    for thing in here
                    if thing in order.tasks
                ]
                if order
                else []
            )
            placed = any(
                thing in held.permits and held.permits[thing].order_id == ident for thing, _, _ in parts
            )
            if order is None or (not placed and not any(state in OPEN_STATES for _, _, state in parts)):
                known.remove(ident)  # what is over here stays so
                continue
            left = self.order_submitted_at.get(ident, now) + order.timeout - now
            orders.append(
                AssignedOrder(
                    ident,
                    order.operator,
                    order.verb,
                    order.created_at,
                    max(0, left),
                    order.halted_by,
                    order.cancelled_by,
                    parts,
                )
            )
        return HeartbeatResponse(
            epoch,
            self.state_machine.index,
            places,
            orders,
            {thing: held.generations[thing] for thing in here if thing in held.generations},
            timestamp=(self.nonce, now),
        )


def _targets_of(command: commands.Command) -> list[str]:
    if isinstance(command, commands.GrantPermits):
        return command.targets
    if isinstance(command, commands.StartPermit | commands.ReleasePermit | commands.ExpirePermit):
        return [command.target]
    return []
