"""What is agreed of places, orders, generations and leases. The same on every keeper; free of I/O and time.

The fence of a place or lease is the index of the command that granted it: it only rises, whoever leads.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, ClassVar

import msgspec

from oakkeel.disruption import commands
from oakkeel.disruption.topology import Topology, UnavailableTargets

MAX_OPEN_ORDERS, MAX_ORDERS = 256, 1024
VERBS = ("drain", "stop", "restart")
PERMIT_REASON = "a place"  # why it is out


class Task(msgspec.Struct, array_like=True):
    """What an order means for one thing. `PermitStateMachine._move` alone changes its state."""

    generation: int
    state: str = "waiting"
    why: str = ""


# Of a part. waiting: for a place; out: begun.
OPEN_STATES = ("waiting", "granted", "out")
FINAL_STATES = {"done", "failed", "refused", "halted", "cancelled", "expired"}
TRANSITIONS = {
    "waiting": {"granted", "out"} | FINAL_STATES,
    "granted": {"out", "waiting"} | FINAL_STATES,
    "out": FINAL_STATES,
    **{state: set() for state in FINAL_STATES},
}


class Order(msgspec.Struct, array_like=True):
    ident: str
    operator: str
    verb: str
    unix: int
    lasts: int
    whole: bool
    index: int
    parts: dict[str, Task]
    halted: str = ""  # by whom
    cancelled: str = ""

    @property
    def open(self) -> bool:
        return any(part.state in OPEN_STATES for part in self.parts.values())


class Permit(msgspec.Struct, array_like=True):
    thing: str
    ident: str  # of the order that it was granted to
    fence: int
    out: bool = False  # begun, as far as was told
    lapsed: int = 0  # index from which nobody may begin under it; it counts until its agent has said whether
    down: bool = False  # it may be begun only while no process of the thing is there
    was: str = ""  # the order whose place had taken it out before: it stays out if this one is not used


class Lease(msgspec.Struct, array_like=True):
    holder: str
    fence: int
    lasts: int


class ControlPlaneState(msgspec.Struct, array_like=True):
    """All of it, as a snapshot holds it."""

    layout: Topology = Topology()
    orders: dict[str, Order] = {}
    places: dict[str, Permit] = {}
    generations: dict[str, int] = {}
    leases: dict[str, Lease] = {}
    keepers: list[str] = []


class Rejection(msgspec.Struct):
    """Nothing came of the command."""

    why: str


_snapshot_decoder = msgspec.msgpack.Decoder(ControlPlaneState)


class PermitStateMachine:
    """A machine for `record.keeper`. `applied` is told of each command with its index and result."""

    def __init__(self, applied: Callable[[int, commands.Command, object], None] | None = None) -> None:
        self.applied = applied
        self.restore(b"")

    # As the keeper needs it.

    def apply(self, index: int, content: bytes) -> object:
        try:
            command = self.read(content)
        except msgspec.MsgspecError as error:  # by a version that knows more: the same no everywhere
            return Rejection(f"no command of this version: {error}")
        result = self.ACTS[type(command)](self, index, command)
        self.index = index
        if self.applied:
            self.applied(index, command, result)
        return result

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode(self.held)

    def restore(self, content: bytes) -> None:
        self.held = self.taken_up(content)
        self.index = 0
        self._count()

    def desired_voters(self) -> tuple[str, ...]:
        return tuple(self.held.keepers)

    # What a machine with more in it does in its own way.

    def read(self, content: bytes) -> Any:
        return commands.decode(content)

    def taken_up(self, content: bytes) -> ControlPlaneState:
        return _snapshot_decoder.decode(content) if content else ControlPlaneState()

    # Reckoning.

    def _count(self) -> None:
        """What is out by places alone: no grant may pass a bound even if nothing else were known."""
        self.out = UnavailableTargets(self.held.layout)
        for thing in self.held.places:
            self.out.put(thing, PERMIT_REASON)

    # Commands.

    def _lay(self, index: int, command: commands.SetTopology) -> object:
        self.held.layout = command.layout
        self._count()
        return None

    def _order(self, index: int, command: commands.SubmitOrder) -> object:
        held = self.held
        if known := held.orders.get(command.ident):
            asked = {name: part.generation for name, part in known.parts.items()}
            same = (known.operator, known.verb, asked) == (
                command.operator,
                command.verb,
                dict(command.things),
            )
            return known if same else Rejection(f"that id is of another order, by {known.operator}")
        things = dict(command.things)
        known_things = {thing for here in held.layout.hosts.values() for thing in here}
        if not command.ident or len(command.ident) > 64 or not things or len(things) != len(command.things):
            return Rejection("no id, nothing named, or something twice")
        if command.verb not in VERBS or len(things) > commands.MAX_TARGETS:
            return Rejection("no such order, or too much at once")
        if unknown := sorted(set(things) - known_things):
            return Rejection(f"there is no {unknown[0]}")
        if sum(order.open for order in held.orders.values()) >= MAX_OPEN_ORDERS:
            return Rejection(f"{MAX_OPEN_ORDERS} orders are open already")
        parts = {}
        for thing, generation in things.items():
            parts[thing] = part = Task(generation)
            other = next(
                (
                    each
                    for each in held.orders.values()
                    if thing in each.parts and each.parts[thing].state in OPEN_STATES
                ),
                None,
            )
            if other:
                part.state, part.why = "refused", f"{other.operator}'s {other.verb} {other.ident} stands"
            elif (place := held.places.get(thing)) and not (
                command.verb == "restart" or self._comes_back(place)
            ):
                part.state, part.why = "refused", f"it is out already, by {place.ident}"
        if command.whole and any(part.state == "refused" for part in parts.values()):
            for part in parts.values():
                if part.state != "refused":
                    part.state, part.why = "refused", "not all of it can be taken"
        order = Order(
            command.ident,
            command.operator,
            command.verb,
            command.unix,
            command.lasts,
            command.whole,
            index,
            parts,
        )
        if order.open:
            held.orders[order.ident] = order
            self._forget()
        return order

    def _forget(self) -> None:
        orders = self.held.orders
        placed = {place.ident for place in self.held.places.values()}
        for ident, order in list(orders.items()):
            if len(orders) <= MAX_ORDERS:
                break
            if not order.open and ident not in placed:
                del orders[ident]

    def _halt(self, index: int, command: commands.HaltOrder) -> object:
        order = self.held.orders.get(command.ident)
        if order is None:
            return Rejection("no such order")
        order.halted = order.halted or command.operator
        self._end_waiting(order, "halted", f"by {command.operator}")
        return order

    def _cancel(self, index: int, command: commands.CancelOrder) -> object:
        order = self.held.orders.get(command.ident)
        if order is None:
            return Rejection("no such order")
        order.cancelled = order.cancelled or command.operator
        order.halted = order.halted or command.operator
        self._end_waiting(order, "cancelled", f"by {command.operator}")
        return order

    def _end_waiting(self, order: Order, state: str, why: str) -> None:
        for part in order.parts.values():
            if part.state == "waiting":
                self._move(part, state, why)

    def _grant(self, index: int, command: commands.GrantPermits) -> object:
        held, order = self.held, self.held.orders.get(command.ident)
        if order is None or order.halted:
            return Rejection("no such order, or it is halted")
        for thing in command.things:
            part = order.parts.get(thing)
            if part is None or part.state != "waiting":
                return Rejection(f"{thing} does not wait for a place")
            if why := self.taken(thing, order.ident):
                return Rejection(why)
        if why := self.out.against(command.things):
            return Rejection(why)
        for thing in command.things:
            before = held.places.get(thing)
            held.places[thing] = Permit(
                thing,
                order.ident,
                index,
                down=command.down,
                was=before.ident if before and before.out else "",
            )
            self.out.put(thing, PERMIT_REASON)
            self._move(order.parts[thing], "granted", "")
        return index

    def taken(self, thing: str, ident: str) -> str:
        """Why an order can't have a place on it by now; empty where it can, as one on what is out already."""
        place = self.held.places.get(thing)
        if place and (place.ident == ident or not place.out or self._comes_back(place)):
            return f"{thing} has a place by {place.ident}"
        return ""

    def _comes_back(self, place: Permit) -> bool:
        """What a cancelled drain took out. A restart has no other way back than to come up."""
        order = self.held.orders.get(place.ident)
        return bool(order and order.cancelled and order.verb != "restart")

    def _place(self, thing: str, fence: int) -> Permit | None:
        place = self.held.places.get(thing)
        return place if place and place.fence == fence else None

    def _began(self, index: int, command: commands.StartPermit) -> object:
        if place := self._place(command.thing, command.fence):
            place.out, place.lapsed = True, 0
            self._move_placed(place, "out", "")
            return index
        return Rejection("no such place")

    def _over(self, index: int, command: commands.ReleasePermit) -> object:
        place = self._place(command.thing, command.fence)
        if place is None:
            return Rejection("no such place")
        order = self.held.orders.get(place.ident)
        part = order.parts[place.thing] if order else None
        if order and part and part.state in OPEN_STATES:
            if place.out:
                back = order.cancelled and order.verb != "restart"
                self._move(
                    part,
                    "cancelled" if back else "done" if order.verb == "restart" else "failed",
                    f"by {order.cancelled}"
                    if back
                    else ""
                    if order.verb == "restart"
                    else "it was started again",
                )
            elif order.halted:
                self._move(part, "cancelled" if order.cancelled else "halted", f"by {order.halted}")
            else:
                self._move(part, "waiting", "its place was given back")
        if place.was and not place.out:  # what an earlier order took out is out as before
            self.held.places[place.thing] = Permit(place.thing, place.was, index, True)
        else:
            self._free(place)
        return index

    def _lapse(self, index: int, command: commands.ExpirePermit) -> object:
        place = self._place(command.thing, command.fence)
        if place is None or place.out or place.lapsed:
            return Rejection("no such place, or it was begun")
        order = self.held.orders.get(place.ident)
        halted = order and order.halted
        self._move_placed(place, "halted" if halted else "waiting", "its agent was not heard in time")
        place.lapsed = index
        return index

    def _free(self, place: Permit) -> None:
        del self.held.places[place.thing]
        self.out.take(place.thing, PERMIT_REASON)

    def _ended(self, index: int, command: commands.FinishTask) -> object:
        order = self.held.orders.get(command.ident)
        part = order.parts.get(command.thing) if order else None
        if order is None or part is None or part.state not in OPEN_STATES or command.how not in FINAL_STATES:
            return Rejection("nothing of that is open")
        self._move(part, command.how, command.why)
        if (
            command.how == "refused"
            and order.whole
            and not any(each.state in ("out", "done") for each in order.parts.values())
        ):
            order.halted = order.halted or order.operator
            self._end_waiting(order, "refused", f"not all of it can be taken: {command.thing} {command.why}")
        return index

    def _expire(self, index: int, command: commands.ExpireOrder) -> object:
        if order := self.held.orders.get(command.ident):
            order.halted = order.halted or "its time"
            self._end_waiting(order, "expired", "no room in its time")
            return index
        return Rejection("no such order")

    def _reserve(self, index: int, command: commands.ReserveGenerations) -> object:
        """Only up: what was once reserved may have been used."""
        generations = self.held.generations
        for thing, upto in command.upto.items():
            generations[thing] = max(upto, generations.get(thing, 0))
        return index

    def _keepers(self, index: int, command: commands.SetVoters) -> object:
        if not command.names or len(set(command.names)) != len(command.names) or len(command.names) > 9:
            return Rejection("one to nine keepers, each once")
        self.held.keepers = list(command.names)
        return index

    def _hold(self, index: int, command: commands.AcquireLease) -> object:
        lease = self.held.leases.get(command.name)
        if lease and lease.holder != command.holder:
            return Rejection(f"{lease.holder} holds it")
        if lease:  # renewed: what was done under its fence goes on
            lease.lasts = command.lasts
            return lease.fence
        if len(self.held.leases) >= MAX_OPEN_ORDERS:
            return Rejection("too many leases")
        self.held.leases[command.name] = Lease(command.holder, index, command.lasts)
        return index

    def _release(self, index: int, command: commands.ReleaseLease) -> object:
        lease = self.held.leases.get(command.name)
        if lease is None or lease.fence != command.fence:
            return Rejection("no such lease")
        del self.held.leases[command.name]
        return index

    # States.

    def _move_placed(self, place: Permit, state: str, why: str) -> None:
        order = self.held.orders.get(place.ident)
        if order and order.parts[place.thing].state in OPEN_STATES:
            self._move(order.parts[place.thing], state, why)

    def _move(self, part: Task, state: str, why: str) -> None:
        """The one place where the state of a part changes."""
        if state == part.state:
            return
        if state not in TRANSITIONS[part.state]:
            raise RuntimeError(f"{part.state} to {state}")
        part.state, part.why = state, why

    ACTS: ClassVar[dict[type, Callable[[Any, int, Any], object]]] = {
        commands.SetTopology: _lay,
        commands.SubmitOrder: _order,
        commands.HaltOrder: _halt,
        commands.CancelOrder: _cancel,
        commands.GrantPermits: _grant,
        commands.StartPermit: _began,
        commands.ReleasePermit: _over,
        commands.ExpirePermit: _lapse,
        commands.FinishTask: _ended,
        commands.ExpireOrder: _expire,
        commands.ReserveGenerations: _reserve,
        commands.SetVoters: _keepers,
        commands.AcquireLease: _hold,
        commands.ReleaseLease: _release,
    }
