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
from typing import Any

from oakkeel.agent.instances import Goal, Instance, Phase
from oakkeel.agent.supervisor import Action, Step, Supervisor
from oakkeel.disruption.holder import PermitHolder
from oakkeel.errors import OakkeelError
from oakkeel.units import SECOND


class Verb(Enum):
    """What an order asks for; the values are wire and stored forms."""

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
    state_since: int = 0
    why: str = ""
    drain_sent: bool = False  # its process was told to leave
    replaces_generation: int = 0  # the generation of the process that a restart is to end
    previous: tuple[Any, ...] | None = None  # what it changed when it was taken, until that is kept

    @property
    def is_open(self) -> bool:
        """Whether it is waiting or acting."""
        return self.state in OPEN_STATES


@dataclass(slots=True, eq=False)
class Order:
    """One order of one operator. Times are monotonic nanoseconds, `taken` Unix ones, for people."""

    order_id: str
    operator: str
    verb: Verb
    accepted_at: int
    expires_at: int
    requested: tuple[tuple[str, int], ...]  # instance and generation, as they came
    tasks: list[Task] = field(default_factory=list)

    @property
    def is_open(self) -> bool:
        """Whether any of its tasks is open."""
        return any(task.is_open for task in self.tasks)


class OrderRejectedError(OakkeelError, ValueError):
    """The order as a whole is not accepted; the text says why."""


class OrderRegistry:
    """The open orders of a host and the last of those that ended."""

    def __init__(
        self,
        supervisor: Supervisor,
        unix_time: Callable[[], int],
        max_open: int = 256,
        max_orders: int = 2048,
        permit_holder: PermitHolder | None = None,
    ) -> None:
        """`holding`: the places of a fleet with keepers, without which nothing is taken out."""
        self.supervisor, self.unix_time, self.max_open, self.max_orders = (
            supervisor,
            unix_time,
            max_open,
            max_orders,
        )
        self.permit_holder = permit_holder
        self.instances = {each.name: each for each in supervisor.instances}
        self.orders: dict[str, Order] = {}  # the oldest first
        self.open_tasks: list[Task] = []  # open parts, in the order in which they were taken
        self.changed: set[Order] = set()  # since they were last kept
        self.deleted: list[str] = []  # ids of those that need no longer be kept

    # What operators do.

    def submit(
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

        Raises OrderRejectedError where it is malformed. The same order again is the same object again.
        """
        if known := self.orders.get(ident):
            if (known.operator, known.verb, known.requested) != (operator, verb, asked):
                raise OrderRejectedError(f"that id is of another order, by {known.operator}")
            return known
        self._check_submission(ident, asked)
        order = Order(ident, operator, verb, self.unix_time(), now + max(SECOND, lasts), asked)
        for name, generation in asked:
            if instance := self.instances.get(name):  # the response names the tasks, and so what has none
                self._add_task(now, order, instance, generation, supersede)
        if not order.is_open:
            return order  # nothing came of it: it need not be known again
        self.orders[ident] = order
        self.changed.add(order)
        self._delete_oldest()
        return order

    def _check_submission(self, ident: str, asked: tuple[tuple[str, int], ...]) -> None:
        """Raise OrderRejectedError where a new order is malformed or too many are open."""
        if not ident or len(ident) > 64 or not asked or len(asked) > len(self.instances):
            raise OrderRejectedError("no id, no instances, or more than there are")
        if len({name for name, _ in asked}) < len(asked):
            raise OrderRejectedError("an instance is named twice")
        if sum(order.is_open for order in self.orders.values()) >= self.max_open:
            raise OrderRejectedError(f"{self.max_open} orders are open already")

    def _add_task(self, now: int, order: Order, instance: Instance, generation: int, supersede: bool) -> None:
        """Add a new order's task for an instance: open, or refused with the reason."""
        task = Task(order, instance, generation, state_since=now)
        order.tasks.append(task)
        if why := self._rejection_reason(task, supersede):
            task.state, task.why = TaskState.REFUSED, why
            return
        current_task = instance.task
        task.previous = (
            instance.generation,
            instance.changed_at,
            instance.changed_by,
            current_task,
            current_task and (current_task.state, current_task.state_since, current_task.why),
        )
        changed_by = f"{order.operator}: {order.verb.value}"
        if current_task is not None:
            why = f"by {order.operator}, {order.verb.value}"
            self._transition(now, current_task, TaskState.SUPERSEDED, why)
        instance.task, instance.dirty = task, True
        instance.generation += 1
        instance.changed_at, instance.changed_by = order.accepted_at, changed_by
        self.open_tasks.append(task)

    def confirm(self, order: Order) -> None:
        """It is on disk: from now on it holds."""
        for task in order.tasks:
            task.previous = None

    def undo(self, order: Order) -> None:
        """It could not be kept: nothing of it ever was."""
        for task in order.tasks:
            if task.previous is None:
                continue
            instance = task.instance
            instance.generation, instance.changed_at, instance.changed_by, current_task, was = task.previous
            instance.task = current_task
            if current_task is not None:
                current_task.state, current_task.state_since, current_task.why = was
            self.open_tasks.remove(task)
        self.orders.pop(order.order_id, None)
        self.changed.discard(order)

    def _rejection_reason(self, task: Task, supersede: bool) -> str:
        """Why an order does not hold for an instance; empty where it does."""
        instance, current_task = task.instance, task.instance.task
        if task.generation != instance.generation:
            whose = (
                f"{current_task.order.operator}'s {current_task.order.verb.value} stands"
                if current_task
                else (f"changed by {instance.changed_by or 'nobody'}")
            )
            return (
                f"{whose} since {_clock(instance.changed_at)}; it is generation {instance.generation},"
                f" not {task.generation}"
            )
        if instance.generation >= instance.generation_limit:
            return "no generation is left for it until the record is heard"
        if current_task is not None and not supersede:
            return (
                f"{current_task.order.operator}'s {current_task.order.verb.value} stands since"
                f" {_clock(current_task.order.accepted_at)}"
            )
        return ""

    def cancel(self, now: int, ident: str, operator: str) -> Order:
        """Cancel tasks that wait; started ones go on. Raises OrderRejectedError for an unknown ID."""
        order = self.orders.get(ident)
        if order is None:
            raise OrderRejectedError("no such order")
        for task in order.tasks:
            if task.state is TaskState.WAITING:
                self._transition(now, task, TaskState.CANCELLED, f"by {operator}")
            elif task.state is TaskState.ACTING:
                task.why = f"begun before {operator} cancelled it"
                self.changed.add(order)
        return order

    # What becomes of them.

    def advance(self, now: int) -> None:
        """Begin what has room, end what is over. The steps come from `Supervisor.tick`."""
        for task in list(self.open_tasks):
            if task.state is TaskState.WAITING:
                if now >= task.order.expires_at:
                    self._transition(now, task, TaskState.EXPIRED, "no room in its time")
                elif task.order.verb is Verb.START or self._may_take_out(now, task):
                    self._start_task(now, task)
            if task.state is TaskState.ACTING:
                self._check_completion(now, task)
        # Those superseded leave here too, not when that is decided: it may have to be undone.
        self.open_tasks = [task for task in self.open_tasks if task.is_open]

    def _may_take_out(self, now: int, task: Task) -> bool:
        """Whether it may be taken out: by the host's own part of its site, or by a place of the record."""
        if self.permit_holder is None:
            return self.supervisor.has_capacity(task.instance)
        return self.permit_holder.may_start(now, task.instance.name, task.order.order_id, task.instance.alive)

    def revert(self, now: int, order: Order, operator: str) -> None:
        """Cancel it for good: what it has taken out comes back, also what has ended by then."""
        for task in order.tasks:
            took = task.state in (TaskState.ACTING, TaskState.DONE)
            if task.state in OPEN_STATES:
                self._transition(now, task, TaskState.CANCELLED, f"by {operator}")
            if (
                took
                and order.verb in (Verb.DRAIN, Verb.STOP)
                and task.instance.goal is Goal.DOWN
                and task.instance.task is None
            ):
                self.supervisor.cancel_stop(now, task.instance)

    def _start_task(self, now: int, task: Task) -> None:
        instance, supervision = task.instance, self.supervisor
        if self.permit_holder and task.order.verb is not Verb.START:
            self.permit_holder.start(now, instance.name)
        task.replaces_generation = instance.process_generation
        self._transition(now, task, TaskState.ACTING)
        if task.order.verb is Verb.START:
            if not instance.alive or instance.phase is Phase.DRAINING:
                supervision.order_start(now, instance)
            instance.goal = Goal.UP
        elif task.order.verb is Verb.RESTART:
            supervision.order_restart(now, instance)
        else:
            supervision.order_stop(
                now, instance, task.order.verb is Verb.STOP, self.permit_holder is not None
            )

    def permitted_steps(self, now: int, steps: list[Step]) -> list[Step]:
        """Of steps that are to be carried out, those that may be by now.

        A place is begun in time and kept on disk, and then its process is told. Where the disk was full or
        the agent was killed between, that comes late: others may have died meanwhile, of whom the place does
        not know.
        """
        may = []
        for step in steps:
            task, instance = step.instance.task, step.instance
            if (
                self.permit_holder is None
                or step.action not in (Action.DRAIN, Action.TERM)
                or task is None
                or task.drain_sent
                or task.state is not TaskState.ACTING
                or task.order.verb is Verb.START
            ):
                may.append(step)
                continue
            state = getattr(instance.report, "state", "")
            if state == "draining" or self.permit_holder.may_notify(now, instance.name, task.order.order_id):
                task.drain_sent = True
                may.append(step)
            elif state:
                self._transition(now, task, TaskState.CANCELLED, "its place was over before it was used")
                self.supervisor.revert_unsent_drain(now, instance, state)
            else:
                instance.drain_sent_at = 0  # until it has said whether it was told before
        return may

    def _check_completion(self, now: int, task: Task) -> None:
        """Whether it is over with its instance."""
        instance, verb = task.instance, task.order.verb
        up = instance.phase in (Phase.COLD, Phase.SERVING)
        if verb in (Verb.STOP, Verb.DRAIN):
            ended = instance.phase is Phase.STOPPED
        elif verb is Verb.START:
            ended = up
        else:
            ended = up and instance.process_generation != task.replaces_generation
        if ended:
            self._transition(now, task, TaskState.DONE)
        elif instance.restarts_exhausted:
            self._transition(now, task, TaskState.FAILED, f"it keeps ending: {instance.why}")
        elif now >= task.order.expires_at:
            self._transition(
                now, task, TaskState.FAILED, f"still {instance.phase.value} when its time was over"
            )

    def fail_all(self, now: int, why: str) -> None:
        """The host was started anew: no order made for what ran on it before holds."""
        for task in self.open_tasks:
            self._transition(now, task, TaskState.FAILED, why)
        self.open_tasks.clear()

    def restore(self, orders: list[Order]) -> None:
        """Take up what was kept, the oldest first."""
        for order in orders:
            self.orders[order.order_id] = order
            for task in order.tasks:
                if task.is_open:
                    task.instance.task = task
                    self.open_tasks.append(task)

    def _transition(self, now: int, task: Task, state: TaskState, why: str = "") -> None:
        """The one place where the state of a part changes."""
        if state not in TRANSITIONS[task.state]:
            raise RuntimeError(f"order {task.order.order_id}: {task.state.value} to {state.value}")
        task.state, task.state_since, task.why = state, now, why or task.why
        self.changed.add(task.order)
        if not task.is_open and task.instance.task is task:
            task.instance.task, task.instance.dirty = None, True

    def _delete_oldest(self) -> None:
        """The oldest that ended make room: their ids come with a generation that is long over."""
        for ident, order in list(self.orders.items()):
            if len(self.orders) <= self.max_orders:
                break
            if not order.is_open:
                del self.orders[ident]
                self.changed.discard(order)
                self.deleted.append(ident)


def _clock(unix: int) -> str:
    """A time of day for people, UTC."""
    seconds = unix // SECOND % 86400
    return f"{seconds // 3600:02}:{seconds // 60 % 60:02}:{seconds % 60:02} UTC"
