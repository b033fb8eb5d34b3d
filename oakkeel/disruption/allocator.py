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
from oakkeel.disruption.state_machine import OPEN_STATES, PERMIT_REASON, DisruptionOrder, PermitStateMachine, Rejection
from oakkeel.disruption.topology import Topology, UnavailableTargets

MS = 1_000_000
SECOND = 1000 * MS
TOLD, UNHEARD, ASKED = "does not serve", "not known", "to be granted"
MAX_GRANTS = 64  # in one turn
SCAN = 50 * MS  # between looks at what time alone brings about


@dataclass(slots=True, frozen=True)
class PermitTimeouts:
    """Nanoseconds."""

    good: int = 3 * SECOND  # a place may be begun
    drift: float = 0.04
    silent: int = 2 * SECOND  # an agent is not heard: its things count as out

    def beyond(self, time: int) -> int:
        """So long by our clock, that a time is over by any other."""
        return int(time * (1 + self.drift) / (1 - self.drift))

    @property
    def lapse(self) -> int:
        return self.beyond(self.good)


@dataclass(slots=True, eq=False)
class AgentSession:
    """The last of one agent."""

    life: int
    count: int
    at: int
    told: dict[str, bool]  # by thing: whether it serves
    owes: dict[str, str]  # by thing that leaves
    echo: int  # it was alive after we had told it that time; 0: it has not heard us yet


class PermitAllocator:
    """Made when a leader begins, and thrown away when it ends. Calls return commands to propose."""

    def __init__(self, now: int, ledger: PermitStateMachine, terms: PermitTimeouts, nonce: int = 1) -> None:
        """`nonce` tells our stamps from those of other leaders."""
        self.ledger, self.terms, self.nonce = ledger, terms, nonce
        self.hosts: dict[str, AgentSession] = {}
        self.granted: dict[int, int] = {}  # when places were granted, or when we began, by fence
        self.leases_at: dict[str, int] = {}  # when leases were taken or renewed, by name
        self.orders_at: dict[str, int] = {}  # the same of orders that are open
        self.orders_of: dict[str, list[str]] = {}  # by host: orders that concern it
        self.waiting: dict[str, dict[tuple[str, ...], dict[str, None]]] = {}  # things, by order and groups
        self.asked: set[bytes] = set()  # proposed and not applied yet
        self.moved = True  # something changed since grants were last looked for
        self.scan_at = now  # when to look next at what time alone brings about
        self._lay(now)

    def _lay(self, now: int) -> None:
        held = self.ledger.held
        self.layout: Topology = held.layout
        self.out = UnavailableTargets(held.layout)
        self.host_of = {thing: host for host, things in held.layout.hosts.items() for thing in things}
        for thing in self.host_of:
            self.out.put(thing, UNHEARD)
        for thing in held.places:
            self.out.put(thing, PERMIT_REASON)
        for name, host in self.hosts.items():
            self._believe(name, host)
        self.orders_of.clear()
        self.waiting.clear()
        for order in held.orders.values():
            self._know(now, order)

    def _know(self, now: int, order: DisruptionOrder) -> None:
        """An order that may want places, or has some."""
        placed = {place.thing for place in self.ledger.held.places.values() if place.ident == order.ident}
        if order.open:
            self.orders_at.setdefault(order.ident, now)
        if order.open or placed:
            for host in sorted({self.host_of[thing] for thing in order.parts if thing in self.host_of}):
                self.orders_of.setdefault(host, []).append(order.ident)
        for thing, part in order.parts.items():
            if part.state == "waiting":
                self._wait(order.ident, thing)

    def _wait(self, ident: str, thing: str) -> None:
        groups = tuple(self.out.of.get(thing, ())) + self.layout.hanging.get(thing, ())
        self.waiting.setdefault(ident, {}).setdefault(groups, {})[thing] = None

    # What happens.

    def heard(self, now: int, poll: Heartbeat) -> list[commands.Command]:
        """An agent's report; one that was overtaken by a later one changes nothing.

        One of another life is believed once it shows to have been alive after the one that we know of: a
        report of an agent that was killed may come late, and must not stand in for those of the next.
        """
        known, echo = self.hosts.get(poll.host), poll.echo[1] if poll.echo[0] == self.nonce else 0
        if known and (echo <= known.echo if poll.life != known.life else poll.count < known.count):
            return []
        told = {each.name: each.up for each in poll.things}
        self.hosts[poll.host] = host = AgentSession(
            poll.life,
            poll.count,
            now,
            told,
            {each.name: each.owes for each in poll.things if each.owes},
            echo,
        )
        if known is None or known.told != told or now - known.at > self.terms.silent:
            self._believe(poll.host, host)
        wanted: list[commands.Command] = []
        held = self.ledger.held
        for each in poll.things:
            place = held.places.get(each.name)
            if place is None or self.host_of.get(each.name) != poll.host:
                continue
            began = each.begun == place.fence
            if began and not place.out:
                wanted.append(commands.StartPermit(each.name, place.fence))
            if (
                (began and each.back and each.up)
                or each.given == place.fence
                or (not began and (0 < place.lapsed <= poll.heard))
            ):
                wanted.append(commands.ReleasePermit(each.name, place.fence))
        for part in poll.ended:
            order = held.orders.get(part.ident)
            if order and part.thing in order.parts and order.parts[part.thing].state in OPEN_STATES:
                wanted.append(commands.FinishTask(part.ident, part.thing, part.how, part.why[:200]))
        upto = {
            thing: number
            for thing, number in poll.reserve.items()
            if self.host_of.get(thing) == poll.host and number > held.generations.get(thing, 0)
        }
        if upto:
            wanted.append(commands.ReserveGenerations(poll.host, upto))
        return self._propose(wanted)

    def _believe(self, name: str, host: AgentSession) -> None:
        for thing in self.layout.hosts.get(name, ()):
            told = host.told.get(thing)
            self.out.set(thing, UNHEARD, told is None)
            self.out.set(thing, TOLD, told is False)
        self.moved = True

    def applied(self, now: int, index: int, command: commands.Command, result: object) -> None:
        """Something was agreed, whoever proposed it."""
        self._settled(command)
        if isinstance(result, Rejection):
            return None
        held = self.ledger.held
        if isinstance(command, commands.SetTopology):
            return self._lay(now)
        if isinstance(command, commands.AcquireLease):
            self.leases_at[command.name] = now
        if isinstance(result, DisruptionOrder) and result.index == index and result.ident in held.orders:
            self._know(now, result)
        for thing in _targets_of(command):
            place = held.places.get(thing)
            self.out.set(thing, PERMIT_REASON, place is not None)
            if place is not None:
                self.granted.setdefault(place.fence, now)
            if not isinstance(command, commands.GrantPermits):
                for ident in self.orders_at:  # a place that was given back or has lapsed
                    part = held.orders[ident].parts.get(thing) if ident in held.orders else None
                    if part and part.state == "waiting":
                        self._wait(ident, thing)
        self.moved = True

    def lost(self, command: commands.Command) -> None:
        """It could not be proposed, or will never be agreed."""
        self._settled(command)
        self.moved = True

    def _settled(self, command: commands.Command) -> None:
        self.asked.discard(commands.encode(command))
        if isinstance(command, commands.GrantPermits):
            for thing in command.things:
                self.out.take(thing, ASKED)

    def tick(self, now: int) -> list[commands.Command]:
        """What has lapsed or expired, and what there is room for."""
        wanted: list[commands.Command] = []
        if now >= self.scan_at:
            self.scan_at = now + SCAN
            wanted += self._scan(now)
        if self.moved:
            self.moved = False
            wanted += self._grants()
        return self._propose(wanted)

    def _scan(self, now: int) -> list[commands.Command]:
        """What time alone brings about."""
        held = self.ledger.held
        wanted: list[commands.Command] = []
        for name, host in self.hosts.items():
            if now - host.at > self.terms.silent and host.told:
                host.told = {}
                self._believe(name, host)
        for place in held.places.values():
            since = self.granted.setdefault(place.fence, now)
            if not place.out and not place.lapsed and now - since > self.terms.lapse:
                wanted.append(commands.ExpirePermit(place.thing, place.fence))
        if len(self.granted) > 2 * len(held.places) + 64:
            fences = {place.fence for place in held.places.values()}
            self.granted = {fence: at for fence, at in self.granted.items() if fence in fences}
        for name, lease in held.leases.items():  # a new leader gives each its whole time anew
            if now - self.leases_at.setdefault(name, now) > self.terms.beyond(lease.lasts):
                wanted.append(commands.ReleaseLease(name, lease.fence))
        for ident, since in list(self.orders_at.items()):
            order = held.orders.get(ident)
            if order is None or not order.open:
                del self.orders_at[ident]
                self.waiting.pop(ident, None)
            elif not order.halted and now - since > order.lasts:
                wanted.append(commands.ExpireOrder(ident))
        return wanted

    def _grants(self) -> list[commands.Command]:
        """In the order in which orders came. Things of the same groups find room alike: where one finds none,
        only those of them that are out already can be taken."""
        wanted: list[commands.Command] = []
        for ident, kinds in self.waiting.items():
            order = self.ledger.held.orders.get(ident)
            if order is None or order.halted:
                continue
            if order.whole and not any(part.state != "waiting" for part in order.parts.values()):
                things = [thing for thing in order.parts if self._may(thing, ident)]
                if len(things) == len(order.parts) and not self._against(things):
                    wanted += self._grant(order, things)
                continue
            for things_alike in kinds.values():
                full = False
                for thing in list(things_alike):
                    if len(wanted) >= MAX_GRANTS:
                        return wanted
                    if order.parts[thing].state != "waiting":
                        del things_alike[thing]
                    elif (full and thing not in self.out.reasons) or not self._may(thing, ident):
                        continue
                    elif self._against([thing]):
                        full = True
                        if not self.out.reasons.keys() & things_alike.keys():
                            break
                    else:
                        wanted += self._grant(order, [thing])
        return wanted

    def _against(self, things: list[str]) -> str:
        """What is out already by itself needs no room for that, but its place does."""
        return self.out.against(things) or self.ledger.out.against(things)

    def _may(self, thing: str, ident: str) -> bool:
        """Its agent is there to use a place, and no other stands in the way."""
        reasons = self.out.reasons.get(thing, ())
        return UNHEARD not in reasons and ASKED not in reasons and not self.ledger.taken(thing, ident)

    def _grant(self, order: DisruptionOrder, things: list[str]) -> list[commands.Command]:
        # What is out by itself takes no room. Where there is none, it must not have come up when it is used.
        down = any(
            self.out.counts[name] > self.out.groups[name].bound
            for thing in things
            for name in self.out.of.get(thing, ())
        )
        for thing in things:
            self.out.put(thing, ASKED)
        return [commands.GrantPermits(order.ident, things, down)]

    def _propose(self, wanted: list[commands.Command]) -> list[commands.Command]:
        """Once each: the next report says the same as long as it is not agreed."""
        news = []
        for command in wanted:
            content = commands.encode(command)
            if content not in self.asked:
                self.asked.add(content)
                news.append(command)
        return news

    # What agents and people are told.

    def answer(self, now: int, epoch: str, host: str) -> HeartbeatResponse:
        """To be asked for only while the leader's lease holds."""
        held, here = self.ledger.held, self.layout.hosts.get(host, ())
        places, orders = [], []
        for thing in here:
            if place := held.places.get(thing):
                order = held.orders.get(place.ident)
                left = self.granted.setdefault(place.fence, now) + self.terms.good - now
                halted = order is None or order.halted
                places.append(
                    GrantedPermit(
                        thing,
                        place.ident,
                        place.fence,
                        place.out,
                        0 if halted or place.lapsed else max(0, left),
                        place.down,
                    )
                )
        known = self.orders_of.get(host, [])
        for ident in list(known):
            order = held.orders.get(ident)
            parts = (
                [
                    (thing, order.parts[thing].generation, order.parts[thing].state)
                    for thing in here
                    if thing in order.parts
                ]
                if order
                else []
            )
            placed = any(thing in held.places and held.places[thing].ident == ident for thing, _, _ in parts)
            if order is None or (not placed and not any(state in OPEN_STATES for _, _, state in parts)):
                known.remove(ident)  # what is over here stays so
                continue
            left = self.orders_at.get(ident, now) + order.lasts - now
            orders.append(
                AssignedOrder(
                    ident,
                    order.operator,
                    order.verb,
                    order.unix,
                    max(0, left),
                    order.halted,
                    order.cancelled,
                    parts,
                )
            )
        return HeartbeatResponse(
            epoch,
            self.ledger.index,
            places,
            orders,
            {thing: held.generations[thing] for thing in here if thing in held.generations},
            stamp=(self.nonce, now),
        )


def _targets_of(command: commands.Command) -> list[str]:
    if isinstance(command, commands.GrantPermits):
        return command.things
    if isinstance(command, commands.StartPermit | commands.ReleasePermit | commands.ExpirePermit):
        return [command.thing]
    return []
