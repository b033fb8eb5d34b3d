"""Tracks one order over many agents until its result. Free of I/O.

Each instance has one outcome, although responses of its agent may be late, duplicated, reordered or missing.
The last status that an agent reported counts; an outcome that no agent reported is unknown, and never counts
as done.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from oakkeel.agent import messages
from oakkeel.errors import InvalidTransitionError
from oakkeel.fleet.selection import targets_by_host
from oakkeel.fleet.view import InstanceRow


class TaskStage(Enum):
    """The progress of an order for one instance, as known to its sender. Only `OrderTracker` changes it."""

    NOT_SENT = "not ordered"  # no agent reported the generation of the instance, which an order must name
    SENT = "sent"
    REJECTED = "refused"
    UNKNOWN = "not known"  # no response: the agent may have accepted the order
    OPEN = "open"
    DONE = "done"
    ENDED = "ended"  # without success


TRANSITIONS: dict[TaskStage, set[TaskStage]] = {
    TaskStage.NOT_SENT: set(),
    TaskStage.SENT: {
        TaskStage.REJECTED,
        TaskStage.UNKNOWN,
        TaskStage.OPEN,
        TaskStage.DONE,
        TaskStage.ENDED,
    },
    TaskStage.UNKNOWN: {TaskStage.OPEN, TaskStage.DONE, TaskStage.ENDED, TaskStage.REJECTED},
    TaskStage.OPEN: {TaskStage.DONE, TaskStage.ENDED},
    TaskStage.REJECTED: set(),
    TaskStage.DONE: set(),
    TaskStage.ENDED: set(),
}
STAGE_BY_STATE = {
    "refused": TaskStage.REJECTED,
    "waiting": TaskStage.OPEN,
    "acting": TaskStage.OPEN,
    "done": TaskStage.DONE,
}


class Result(Enum):
    """The result of an order for all its instances."""

    DONE = "done"
    SOME_FAILED = "some failed"
    SOME_SILENT = "some agent did not answer"


@dataclass(slots=True, frozen=True)
class OrderSpec:
    """An operator's order."""

    order_id: str
    verb: str
    lifetime: int  # nanoseconds, after which an open task has failed
    supersede: bool = False  # end open orders of other operators on the same instances


@dataclass(slots=True)
class TrackedTask:
    """The order's task for one instance."""

    instance: str
    host: str
    stage: TaskStage
    state: str  # as its agent reported it; without a report, the text of the stage
    age: int = 0  # nanoseconds in that state, at the time of the report
    why: str = ""


class OrderTracker:
    """Tracks one order over the agents of the selected instances."""

    def __init__(self, order: OrderSpec, selected: Sequence[InstanceRow]) -> None:
        """Track an order for the instances of these rows."""
        self.order = order
        self.targets_by_host = targets_by_host(selected)
        self.tasks = {row.name: TrackedTask(row.name, row.host, TaskStage.SENT, "sent") for row in selected}
        self.silent_hosts: set[str] = set()  # their agents did not answer the order, or an earlier request
        for row in selected:
            if row.status is None:
                self.silent_hosts.add(row.host)
                task = self.tasks[row.name]
                task.stage = TaskStage.NOT_SENT
                task.state = "not ordered"
                task.why = "its agent did not answer"

    def requests(self) -> dict[str, messages.Request]:
        """Return the order to send to each host."""
        order = self.order
        return {
            host: messages.OrderRequest(order.order_id, order.verb, targets, order.lifetime, order.supersede)
            for host, targets in self.targets_by_host.items()
        }

    def record_response(self, host: str, response: messages.Response) -> None:
        """Record the response of an agent to the order, or to a later request for its list of orders."""
        if isinstance(response, messages.OrderStatus):
            self._apply_order(host, response)
        elif isinstance(response, messages.OrderList):
            for order in response.orders:
                self._apply_order(host, order)
        elif isinstance(response, messages.ErrorResponse):
            for task in self._tasks_of(host):
                if task.stage in (TaskStage.SENT, TaskStage.UNKNOWN):
                    self._move(task, TaskStage.REJECTED, "refused", why=response.why)

    def record_no_response(self, host: str, why: str) -> None:
        """Record that an agent did not answer the order, which it may have accepted."""
        self.silent_hosts.add(host)
        for task in self._tasks_of(host):
            if task.stage is TaskStage.SENT:
                self._move(task, TaskStage.UNKNOWN, "not known", why=why)

    def hosts_to_poll(self) -> list[str]:
        """Return the hosts with a task that is open or unknown."""
        return sorted(
            {
                task.host
                for task in self.tasks.values()
                if task.stage in (TaskStage.OPEN, TaskStage.UNKNOWN) and task.host in self.targets_by_host
            }
        )

    @property
    def is_finished(self) -> bool:
        """Whether no task is open, so that a sender need not wait longer."""
        return all(task.stage is not TaskStage.OPEN for task in self.tasks.values())

    @property
    def closed_task_count(self) -> int:
        """The number of tasks that are neither open nor waiting for the response to the order."""
        return sum(task.stage not in (TaskStage.OPEN, TaskStage.SENT) for task in self.tasks.values())

    def result(self, wait_for_end: bool) -> Result:
        """Return the result; unless the sender waits for its end, an open task counts as done."""
        unresolved = (TaskStage.NOT_SENT, TaskStage.UNKNOWN, TaskStage.SENT)
        if any(task.stage in unresolved for task in self.tasks.values()):
            return Result.SOME_SILENT
        successful = {TaskStage.DONE} if wait_for_end else {TaskStage.DONE, TaskStage.OPEN}
        return (
            Result.DONE
            if all(task.stage in successful for task in self.tasks.values())
            else Result.SOME_FAILED
        )

    def _tasks_of(self, host: str) -> list[TrackedTask]:
        return [task for task in self.tasks.values() if task.host == host]

    def _apply_order(self, host: str, order: messages.OrderStatus) -> None:
        if order.order_id != self.order.order_id:
            return
        for status in order.tasks:
            task = self.tasks.get(status.instance)
            if task is None or task.host != host:
                continue  # the task belongs to the agent of another host
            stage = STAGE_BY_STATE.get(status.state, TaskStage.ENDED)
            if stage is task.stage or stage in TRANSITIONS[task.stage]:  # else the response is outdated
                self._move(task, stage, status.state, status.age, status.why)

    def _move(self, task: TrackedTask, stage: TaskStage, state: str, age: int = 0, why: str = "") -> None:
        if stage is not task.stage and stage not in TRANSITIONS[task.stage]:
            raise InvalidTransitionError(task.instance, task.stage.value, stage.value)
        task.stage = stage
        task.state = state
        task.age = age
        task.why = why or task.why
