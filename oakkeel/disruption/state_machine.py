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


class DisruptionTask(msgspec.Struct, array_like=True):
    """What an order means for one thing. `PermitStateMachine._move` alone changes its state."""

    generation: int
    state: str = "waiting"
    reason: str = ""


# Of a part. waiting: for a place; out: begun.
OPEN_STATES = ("waiting", "granted", "out")
FINAL_STATES = {"done", "failed", "refused", "halted", "cancelled", "expired"}
TRANSITIONS = {
    "waiting": {"granted", "out"} | FINAL_STATES,
    "granted": {"out", "waiting"} | FINAL_STATES,
    "out": FINAL_STATES,
    **{state: set() for state in FINAL_STATES},
}


class DisruptionOrder(msgspec.Struct, array_like=True):
    id: str
    operator: str
    verb: str
    created_at: int
    timeout: int
    atomic: bool
    index: int
    tasks: dict[str, DisruptionTask]
    halted_by: str = ""  # by whom
    cancelled_by: str = ""

    @property
    def open(self) -> bool:
        return any(part.state in OPEN_STATES for part in self.tasks.values())


class Permit(msgspec.Struct, array_like=True):
    target: str
    order_id: str  # of the order that it was granted to
    fencing_token: int
    started: bool = False  # begun, as far as was told
    expired_index: int = (
        0  # index from which nobody may begin under it; it counts until its agent has said whether
    )
    only_while_down: bool = False  # it may be begun only while no process of the thing is there
    previous_order_id: str = (
        ""  # the order whose place had taken it out before: it stays out if this one is not used
    )


class Lease(msgspec.Struct, array_like=True):
    holder: str
    fencing_token: int
    duration: int


class ControlPlaneState(msgspec.Struct, array_like=True):
    """All of it, as a snapshot holds it."""

    topology: Topology = Topology()
    orders: dict[str, DisruptionOrder] = {}
    permits: dict[str, Permit] = {}
    generations: dict[str, int] = {}
    leases: dict[str, Lease] = {}
    voters: list[str] = []


class Rejection(msgspec.Struct):
    """Nothing came of the command."""

    reason: str


_snapshot_decoder = msgspec.msgpack.Decoder(ControlPlaneState)


class PermitStateMachine:
    """A machine for `record.keeper`. `applied` is told of each command with its index and result."""

    def __init__(self, applied: Callable[[int, commands.Command, object], None] | None = None) -> None:
        self.on_applied = applied
        self.restore(b"")

    # As the keeper needs it.

    def apply(self, index: int, content: bytes) -> object:
        try:
            command = self.decode_command(content)
        except msgspec.MsgspecError as error:  # by a version that knows more: the same no everywhere
            return Rejection(f"no command of this version: {error}")
        result = self.HANDLERS[type(command)](self, index, command)
        self.index = index
        if self.on_applied:
            self.on_applied(index, command, result)
        return result

    def snapshot(self) -> bytes:
        return msgspec.msgpack.encode(self.state)

    def restore(self, content: bytes) -> None:
        self.state = self.decode_snapshot(content)
        self.index = 0
        self._count()

    def desired_voters(self) -> tuple[str, ...]:
        return tuple(self.state.voters)

    # What a machine with more in it does in its own way.

    def decode_command(self, content: bytes) -> Any:
        return commands.decode(content)

    def decode_snapshot(self, content: bytes) -> ControlPlaneState:
        return _snapshot_decoder.decode(content) if content else ControlPlaneState()

    # Reckoning.

    def _count(self) -> None:
        """What is out by places alone: no grant may pass a bound even if nothing else were known."""
        self.unavailable = UnavailableTargets(self.state.topology)
        for thing in self.state.permits:
            self.unavailable.add(thing, PERMIT_REASON)

    # Commands.

    def _lay(self, index: int, command: commands.SetTopology) -> object:
        self.state.topology = command.topology
        self._count()
        return None

    def _order(self, index: int, command: commands.SubmitOrder) -> object:
        held = self.state
        if known := held.orders.get(command.order_id):
            asked = {name: part.generation for name, part in known.tasks.items()}
            same = (known.operator, known.verb, asked) == (
                command.operator,
                command.verb,
                dict(command.targets),
            )
            return known if same else Rejection(f"that id is of another order, by {known.operator}")
        things = dict(command.targets)
        known_things = {thing for here in held.topology.hosts.values() for thing in here}
        if (
            not command.order_id
            or len(command.order_id) > 64
            or not things
            or len(things) != len(command.targets)
        ):
            return Rejection("no id, nothing named, or something twice")
        if command.verb not in VERBS or len(things) > commands.MAX_TARGETS:
            return Rejection("no such order, or too much at once")
        if unknown := sorted(set(things) - known_things):
            return Rejection(f"there is no {unknown[0]}")
        if sum(order.open for order in held.orders.values()) >= MAX_OPEN_ORDERS:
            return Rejection(f"{MAX_OPEN_ORDERS} orders are open already")
        parts = {}
        for thing, generation in things.items():
            parts[thing] = part = DisruptionTask(generation)
            other = next(
                (
                    each
                    for each in held.orders.values()
                    if thing in each.tasks and each.tasks[thing].state in OPEN_STATES
                ),
                None,
            )
            if other:
                part.state, part.reason = "refused", f"{other.operator}'s {other.verb} {other.id} stands"
            elif (place := held.permits.get(thing)) and not (
                command.verb == "restart" or self._comes_back(place)
            ):
                part.state, part.reason = "refused", f"it is out already, by {place.order_id}"
        if command.atomic and any(part.state == "refused" for part in parts.values()):
            for part in parts.values():
                if part.state != "refused":
                    part.state, part.reason = "refused", "not all of it can be taken"
        order = DisruptionOrder(
            command.order_id,
            command.operator,
            command.verb,
            command.created_at,
            command.timeout,
            command.atomic,
            index,
            parts,
        )
        if order.open:
            held.orders[order.id] = order
            self._forget()
        return order

    def _forget(self) -> None:
        orders = self.state.orders
        placed = {place.order_id for place in self.state.permits.values()}
        for ident, order in list(orders.items()):
            if len(orders) <= MAX_ORDERS:
                break
            if not order.open and ident not in placed:
                del orders[ident]

    def _halt(self, index: int, command: commands.HaltOrder) -> object:
        order = self.state.orders.get(command.order_id)
        if order is None:
            return Rejection("no such order")
        order.halted_by = order.halted_by or command.operator
        self._end_waiting(order, "halted", f"by {command.operator}")
        return order

    def _cancel(self, index: int, command: commands.CancelOrder) -> object:
        order = self.state.orders.get(command.order_id)
        if order is None:
            return Rejection("no such order")
        order.cancelled_by = order.cancelled_by or command.operator
        order.halted_by = order.halted_by or command.operator
        self._end_waiting(order, "cancelled", f"by {command.operator}")
        return order

    def _end_waiting(self, order: DisruptionOrder, state: str, why: str) -> None:
        for part in order.tasks.values():
            if part.state == "waiting":
                self._move(part, state, why)

    def _grant(self, index: int, command: commands.GrantPermits) -> object:
        held, order = self.state, self.state.orders.get(command.order_id)
        if order is None or order.halted_by:
            return Rejection("no such order, or it is halted")
        for thing in command.targets:
            part = order.tasks.get(thing)
            if part is None or part.state != "waiting":
                return Rejection(f"{thing} does not wait for a place")
            if why := self.permit_conflict(thing, order.id):
                return Rejection(why)
        if why := self.unavailable.find_violation(command.targets):
            return Rejection(why)
        for thing in command.targets:
            before = held.permits.get(thing)
            held.permits[thing] = Permit(
                thing,
                order.id,
                index,
                only_while_down=command.only_while_down,
                previous_order_id=before.order_id if before and before.started else "",
            )
            self.unavailable.add(thing, PERMIT_REASON)
            self._move(order.tasks[thing], "granted", "")
        return index

    def permit_conflict(self, thing: str, ident: str) -> str:
        """Why an order can't have a place on it by now; empty where it can, as one on what is out already."""
        place = self.state.permits.get(thing)
        if place and (place.order_id == ident or not place.started or self._comes_back(place)):
            return f"{thing} has a place by {place.order_id}"
        return ""

    def _comes_back(self, place: Permit) -> bool:
        """What a cancelled drain took out. A restart has no other way back than to come up."""
        order = self.state.orders.get(place.order_id)
        return bool(order and order.cancelled_by and order.verb != "restart")

    def _place(self, thing: str, fence: int) -> Permit | None:
        place = self.state.permits.get(thing)
        return place if place and place.fencing_token == fence else None

    def _began(self, index: int, command: commands.StartPermit) -> object:
        if place := self._place(command.target, command.fencing_token):
            place.started, place.expired_index = True, 0
            self._move_placed(place, "out", "")
            return index
        return Rejection("no such place")

    def _over(self, index: int, command: commands.ReleasePermit) -> object:
        place = self._place(command.target, command.fencing_token)
        if place is None:
            return Rejection("no such place")
        order = self.state.orders.get(place.order_id)
        part = order.tasks[place.target] if order else None
        if order and part and part.state in OPEN_STATES:
            if place.started:
                back = order.cancelled_by and order.verb != "restart"
                self._move(
                    part,
                    "cancelled" if back else "done" if order.verb == "restart" else "failed",
                    f"by {order.cancelled_by}"
                    if back
                    else ""
                    if order.verb == "restart"
                    else "it was started again",
                )
            elif order.halted_by:
                self._move(part, "cancelled" if order.cancelled_by else "halted", f"by {order.halted_by}")
            else:
                self._move(part, "waiting", "its place was given back")
        if place.previous_order_id and not place.started:  # what an earlier order took out is out as before
            self.state.permits[place.target] = Permit(place.target, place.previous_order_id, index, True)
        else:
            self._free(place)
        return index

    def _lapse(self, index: int, command: commands.ExpirePermit) -> object:
        place = self._place(command.target, command.fencing_token)
        if place is None or place.started or place.expired_index:
            return Rejection("no such place, or it was begun")
        order = self.state.orders.get(place.order_id)
        halted = order and order.halted_by
        self._move_placed(place, "halted" if halted else "waiting", "its agent was not heard in time")
        place.expired_index = index
        return index

    def _free(self, place: Permit) -> None:
        del self.state.permits[place.target]
        self.unavailable.remove(place.target, PERMIT_REASON)

    def _ended(self, index: int, command: commands.FinishTask) -> object:
        order = self.state.orders.get(command.order_id)
        part = order.tasks.get(command.target) if order else None
        if (
            order is None
            or part is None
            or part.state not in OPEN_STATES
            or command.state not in FINAL_STATES
        ):
            return Rejection("nothing of that is open")
        self._move(part, command.state, command.reason)
        if (
            command.state == "refused"
            and order.atomic
            and not any(each.state in ("out", "done") for each in order.tasks.values())
        ):
            order.halted_by = order.halted_by or order.operator
            self._end_waiting(
                order, "refused", f"not all of it can be taken: {command.target} {command.reason}"
            )
        return index

    def _expire(self, index: int, command: commands.ExpireOrder) -> object:
        if order := self.state.orders.get(command.order_id):
            order.halted_by = order.halted_by or "its time"
            self._end_waiting(order, "expired", "no room in its time")
            return index
        return Rejection("no such order")

    def _reserve(self, index: int, command: commands.ReserveGenerations) -> object:
        """Only up: what was once reserved may have been used."""
        generations = self.state.generations
        for thing, upto in command.limits.items():
            generations[thing] = max(upto, generations.get(thing, 0))
        return index

    def _keepers(self, index: int, command: commands.SetVoters) -> object:
        if not command.voters or len(set(command.voters)) != len(command.voters) or len(command.voters) > 9:
            return Rejection("one to nine keepers, each once")
        self.state.voters = list(command.voters)
        return index

    def _hold(self, index: int, command: commands.AcquireLease) -> object:
        lease = self.state.leases.get(command.name)
        if lease and lease.holder != command.holder:
            return Rejection(f"{lease.holder} holds it")
        if lease:  # renewed: what was done under its fence goes on
            lease.duration = command.duration
            return lease.fencing_token
        if len(self.state.leases) >= MAX_OPEN_ORDERS:
            return Rejection("too many leases")
        self.state.leases[command.name] = Lease(command.holder, index, command.duration)
        return index

    def _release(self, index: int, command: commands.ReleaseLease) -> object:
        lease = self.state.leases.get(command.name)
        if lease is None or lease.fencing_token != command.fencing_token:
            return Rejection("no such lease")
        del self.state.leases[command.name]
        return index

    # States.

    def _move_placed(self, place: Permit, state: str, why: str) -> None:
        order = self.state.orders.get(place.order_id)
        if order and order.tasks[place.target].state in OPEN_STATES:
            self._move(order.tasks[place.target], state, why)

    def _move(self, part: DisruptionTask, state: str, why: str) -> None:
        """The one place where the state of a part changes."""
        if state == part.state:
            return
        if state not in TRANSITIONS[part.state]:
            raise RuntimeError(f"{part.state} to {state}")
        part.state, part.reason = state, why

    HANDLERS: ClassVar[dict[type, Callable[[Any, int, Any], object]]] = {
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
