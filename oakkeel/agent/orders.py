"""Operators' orders on the instances of one host: which are taken, when they act, how they end. Free of I/O.

An order has an id chosen by its sender: sent twice, it is taken once. For each instance it names the
generation that it was made for: of two made for the same one, the first holds, and the other is told whose
stands. What an order changes must be kept before its answer is sent or its steps are carried out: `changed`
tells what.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from oakkeel.agent.instances import Goal, Instance, Phase
from oakkeel.agent.supervisor import Action, Step, Supervisor
from oakkeel.disruption.holder import PermitHolder

SECOND = 1_000_000_000


class Verb(Enum):
    START = "start"
    STOP = "stop"  # drained, and killed where its drain time is not enough
    DRAIN = "drain"  # the same, but never killed
    RESTART = "restart"


class TaskState(Enum):
    """Where an order is with one instance; `OrderRegistry._move` alone moves it on."""

    REFUSED = "refused"
    WAITING = "waiting"  # for room among those that are out
    ACTING = "acting"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    SUPERSEDED = "superseded"
    EXPIRED = "expired"


OPEN_STATES = (TaskState.WAITING, TaskState.ACTING)
FINAL_STATES = frozenset(TaskState) - set(OPEN_STATES) - {TaskState.REFUSED}
TRANSITIONS = {
    TaskState.WAITING: {TaskState.ACTING} | FINAL_STATES,
    TaskState.ACTING: FINAL_STATES - {TaskState.EXPIRED},
    **{state: frozenset() for state in FINAL_STATES},
    TaskState.REFUSED: frozenset(),
}


@dataclass(slots=True, eq=False)
class Task:
    """What one order means for one instance."""

    order: Order
    instance: Instance
    generation: int  # that it was made for
    state: TaskState = TaskState.WAITING
    since: int = 0
    why: str = ""
    sent: bool = False  # its process was told to leave
    replaces: int = 0  # the generation of the process that a restart is to end
    before: tuple | None = None  # what it changed when it was taken, until that is kept

    @property
    def open(self) -> bool:
        return self.state in OPEN_STATES


@dataclass(slots=True, eq=False)
class Order:
    """One order of one operator. Times are monotonic nanoseconds, `taken` Unix ones, for people."""

    ident: str
    operator: str
    verb: Verb
    taken: int
    expires: int
    asked: tuple[tuple[str, int], ...]  # instance and generation, as they came
    parts: list[Task] = field(default_factory=list)

    @property
    def open(self) -> bool:
        return any(part.open for part in self.parts)


class OrderRejectedError(ValueError):
    """The order as a whole is not taken; the text says why."""


class OrderRegistry:
    """The open orders of a host and the last of those that ended."""

    def __init__(
        self,
        supervision: Supervisor,
        unix: Callable[[], int],
        most_open: int = 256,
        most: int = 2048,
        permit_holder: PermitHolder | None = None,
    ) -> None:
        """`holding`: the places of a fleet with keepers, without which nothing is taken out."""
        self.supervision, self.unix, self.most_open, self.most = supervision, unix, most_open, most
        self.permit_holder = permit_holder
        self.named = {each.name: each for each in supervision.instances}
        self.orders: dict[str, Order] = {}  # the oldest first
        self.executor: list[Task] = []  # open parts, in the order in which they were taken
        self.changed: set[Order] = set()  # since they were last kept
        self.dropped: list[str] = []  # ids of those that need no longer be kept

    # What operators do.

    def take(
        self,
        now: int,
        ident: str,
        operator: str,
        verb: Verb,
        asked: tuple[tuple[str, int], ...],
        lasts: int,
        supersede: bool = False,
    ) -> Order:
        """Take an order, as far as it can be: each part is open or says why it is refused.

        Raises OrderRefused where it can't be read as one. The same order again is the same object again.
        """
        if known := self.orders.get(ident):
            if (known.operator, known.verb, known.asked) != (operator, verb, asked):
                raise OrderRejectedError(f"that id is of another order, by {known.operator}")
            return known
        if not ident or len(ident) > 64 or not asked or len(asked) > len(self.named):
            raise OrderRejectedError("no id, no instances, or more than there are")
        if len({name for name, _ in asked}) < len(asked):
            raise OrderRejectedError("an instance is named twice")
        if sum(order.open for order in self.orders.values()) >= self.most_open:
            raise OrderRejectedError(f"{self.most_open} orders are open already")
        order = Order(ident, operator, verb, self.unix(), now + max(SECOND, lasts), asked)
        for name, generation in asked:
            instance = self.named.get(name)
            if instance is None:
                continue  # the answer names what was taken, and so what was not
            part = Task(order, instance, generation, since=now)
            order.parts.append(part)
            if why := self._against(part, supersede):
                part.state, part.why = TaskState.REFUSED, why
                continue
            standing = instance.part
            part.before = (
                instance.generation,
                instance.changed,
                instance.changed_by,
                standing,
                standing and (standing.state, standing.since, standing.why),
            )
            if standing is not None:
                self._move(now, standing, TaskState.SUPERSEDED, f"by {operator}, {verb.value}")
            instance.part, instance.dirty = part, True
            instance.generation += 1
            instance.changed, instance.changed_by = order.taken, f"{operator}: {verb.value}"
            self.executor.append(part)
        if not order.open:
            return order  # nothing came of it: it need not be known again
        self.orders[ident] = order
        self.changed.add(order)
        self._forget()
        return order

    def kept(self, order: Order) -> None:
        """It is on disk: from now on it holds."""
        for part in order.parts:
            part.before = None

    def undo(self, order: Order) -> None:
        """It could not be kept: nothing of it ever was."""
        for part in order.parts:
            if part.before is None:
                continue
            instance = part.instance
            instance.generation, instance.changed, instance.changed_by, standing, was = part.before
            instance.part = standing
            if standing is not None:
                standing.state, standing.since, standing.why = was
            self.executor.remove(part)
        self.orders.pop(order.ident, None)
        self.changed.discard(order)

    def _against(self, part: Task, supersede: bool) -> str:
        """Why an order does not hold for an instance; empty where it does."""
        instance, standing = part.instance, part.instance.part
        if part.generation != instance.generation:
            whose = (
                f"{standing.order.operator}'s {standing.order.verb.value} stands"
                if standing
                else (f"changed by {instance.changed_by or 'nobody'}")
            )
            return (
                f"{whose} since {_clock(instance.changed)}; it is generation {instance.generation},"
                f" not {part.generation}"
            )
        if instance.generation >= instance.limit:
            return "no generation is left for it until the record is heard"
        if standing is not None and not supersede:
            return (
                f"{standing.order.operator}'s {standing.order.verb.value} stands since"
                f" {_clock(standing.order.taken)}"
            )
        return ""

    def cancel(self, now: int, ident: str, operator: str) -> Order:
        """End what has not begun; what has goes on, and says so. Raises OrderRefused for an unknown id."""
        order = self.orders.get(ident)
        if order is None:
            raise OrderRejectedError("no such order")
        for part in order.parts:
            if part.state is TaskState.WAITING:
                self._move(now, part, TaskState.CANCELLED, f"by {operator}")
            elif part.state is TaskState.ACTING:
                part.why = f"begun before {operator} cancelled it"
                self.changed.add(order)
        return order

    # What becomes of them.

    def advance(self, now: int) -> None:
        """Begin what has room, end what is over. The steps come from `Supervisor.tick`."""
        for part in list(self.executor):
            if part.state is TaskState.WAITING:
                if now >= part.order.expires:
                    self._move(now, part, TaskState.EXPIRED, "no room in its time")
                elif part.order.verb is Verb.START or self._room(now, part):
                    self._begin(now, part)
            if part.state is TaskState.ACTING:
                self._look(now, part)
        # Those superseded leave here too, not when that is decided: it may have to be undone.
        self.executor = [part for part in self.executor if part.open]

    def _room(self, now: int, part: Task) -> bool:
        """Whether it may be taken out: by the host's own part of its site, or by a place of the record."""
        if self.permit_holder is None:
            return self.supervision.room(part.instance)
        return self.permit_holder.may_start(now, part.instance.name, part.order.ident, part.instance.alive)

    def call_back(self, now: int, order: Order, operator: str) -> None:
        """Cancel it for good: what it has taken out comes back, also what has ended by then."""
        for part in order.parts:
            took = part.state in (TaskState.ACTING, TaskState.DONE)
            if part.state in OPEN_STATES:
                self._move(now, part, TaskState.CANCELLED, f"by {operator}")
            if (
                took
                and order.verb in (Verb.DRAIN, Verb.STOP)
                and part.instance.goal is Goal.DOWN
                and part.instance.part is None
            ):
                self.supervision.want_back(now, part.instance)

    def _begin(self, now: int, part: Task) -> None:
        instance, supervision = part.instance, self.supervision
        if self.permit_holder and part.order.verb is not Verb.START:
            self.permit_holder.start(now, instance.name)
        part.replaces = instance.born
        self._move(now, part, TaskState.ACTING)
        if part.order.verb is Verb.START:
            if not instance.alive or instance.phase is Phase.DRAINING:
                supervision.want_up(now, instance)
            instance.goal = Goal.UP
        elif part.order.verb is Verb.RESTART:
            supervision.want_anew(now, instance)
        else:
            supervision.want_down(now, instance, part.order.verb is Verb.STOP, self.permit_holder is not None)

    def hold_back(self, now: int, steps: list[Step]) -> list[Step]:
        """Of steps that are to be carried out, those that may be by now.

        A place is begun in time and kept on disk, and then its process is told. Where the disk was full or
        the agent was killed between, that comes late: others may have died meanwhile, of whom the place does
        not know.
        """
        may = []
        for step in steps:
            part, instance = step.instance.part, step.instance
            if (
                self.permit_holder is None
                or step.act not in (Action.LEAVE, Action.TERM)
                or part is None
                or part.sent
                or part.state is not TaskState.ACTING
                or part.order.verb is Verb.START
            ):
                may.append(step)
                continue
            told = getattr(instance.report, "state", "")
            if told == "draining" or self.permit_holder.may_notify(now, instance.name, part.order.ident):
                part.sent = True
                may.append(step)
            elif told:
                self._move(now, part, TaskState.CANCELLED, "its place was over before it was used")
                self.supervision.stays(now, instance, told)
            else:
                instance.left_at = 0  # until it has said whether it was told before
        return may

    def _look(self, now: int, part: Task) -> None:
        """Whether it is over with its instance."""
        instance, verb = part.instance, part.order.verb
        up = instance.phase in (Phase.COLD, Phase.SERVING)
        if verb in (Verb.STOP, Verb.DRAIN):
            over = instance.phase is Phase.STOPPED
        elif verb is Verb.START:
            over = up
        else:
            over = up and instance.born != part.replaces
        if over:
            self._move(now, part, TaskState.DONE)
        elif instance.resting:
            self._move(now, part, TaskState.FAILED, f"it keeps ending: {instance.why}")
        elif now >= part.order.expires:
            self._move(now, part, TaskState.FAILED, f"still {instance.phase.value} when its time was over")

    def expire_all(self, now: int, why: str) -> None:
        """The host was started anew: no order made for what ran on it before holds."""
        for part in self.executor:
            self._move(now, part, TaskState.FAILED, why)
        self.executor.clear()

    def restore(self, orders: list[Order]) -> None:
        """Take up what was kept, the oldest first."""
        for order in orders:
            self.orders[order.ident] = order
            for part in order.parts:
                if part.open:
                    part.instance.part = part
                    self.executor.append(part)

    def _move(self, now: int, part: Task, state: TaskState, why: str = "") -> None:
        """The one place where the state of a part changes."""
        if state not in TRANSITIONS[part.state]:
            raise RuntimeError(f"order {part.order.ident}: {part.state.value} to {state.value}")
        part.state, part.since, part.why = state, now, why or part.why
        self.changed.add(part.order)
        if not part.open and part.instance.part is part:
            part.instance.part, part.instance.dirty = None, True

    def _forget(self) -> None:
        """The oldest that ended make room: their ids come with a generation that is long over."""
        for ident, order in list(self.orders.items()):
            if len(self.orders) <= self.most:
                break
            if not order.open:
                del self.orders[ident]
                self.changed.discard(order)
                self.dropped.append(ident)


def _clock(unix: int) -> str:
    """A time of day for people, UTC."""
    seconds = unix // SECOND % 86400
    return f"{seconds // 3600:02}:{seconds // 60 % 60:02}:{seconds % 60:02} UTC"
