"""The orders on the instances of one host: accepting, starting, ending and cancelling them. Free of I/O.

The sender of an order chooses its ID, so that an order that is sent twice is accepted once. For each
instance, the order names the generation that the operator saw (see `order_rules`). Changes by an order must
be stored before its response is sent or its steps are executed; `changed_orders` and
`deleted_order_ids` list the orders to write.
"""

from __future__ import annotations

from collections.abc import Callable

from oakkeel.agent.instances import (
    OPEN_HOST_TASK_STATES,
    TASK_TRANSITIONS,
    Goal,
    HostTaskState,
    Instance,
    InstanceSnapshot,
    Order,
    Phase,
    Task,
    TaskSnapshot,
    Verb,
)
from oakkeel.agent.order_rules import (
    MIN_ORDER_LIFETIME_NS,
    OrderRejectedError,
    OrderSubmission,
    check_submission,
    has_taken_out_of_service,
    needs_permit_to_drain,
    rejection_reason,
    task_outcome,
)
from oakkeel.agent.supervision_rules import Action
from oakkeel.agent.supervisor import Step, Supervisor
from oakkeel.disruption.holder import PermitHolder
from oakkeel.errors import InvalidTransitionError

MAX_OPEN_ORDERS = 256
MAX_ORDERS = 2048  # stored orders, open and ended


class OrderRegistry:
    """The open orders of a host and the latest ended orders."""

    def __init__(
        self, supervisor: Supervisor, unix_time: Callable[[], int], permit_holder: PermitHolder | None = None
    ) -> None:
        """`permit_holder` has the permits of the control plane; None: the fleet has no control plane."""
        self.supervisor = supervisor
        self.unix_time = unix_time
        self.permit_holder = permit_holder
        self.max_orders = MAX_ORDERS
        self.instances = {instance.name: instance for instance in supervisor.instances}
        self.orders: dict[str, Order] = {}  # oldest first
        self.open_tasks: list[Task] = []  # in the order in which they were accepted
        self.changed_orders: set[Order] = set()  # orders to store
        self.deleted_order_ids: list[str] = []  # IDs of orders to delete from the store

    # Commands of operators.

    def submit(self, now: int, submission: OrderSubmission) -> Order:
        """Accept an order; each of its tasks is open, or refused with a reason.

        Returns the registered order if it is submitted again. Raises OrderRejectedError if the order is
        malformed, if its ID belongs to another order, or if too many orders are open.
        """
        if registered_order := self.orders.get(submission.order_id):
            return _check_duplicate(registered_order, submission)
        check_submission(submission, len(self.instances))
        if sum(order.is_open for order in self.orders.values()) >= MAX_OPEN_ORDERS:
            raise OrderRejectedError(
                f"{MAX_OPEN_ORDERS} orders are open, which is the maximum; cancel some, or wait"
            )
        order = Order(
            submission.order_id,
            submission.operator,
            submission.verb,
            self.unix_time(),
            now + max(MIN_ORDER_LIFETIME_NS, submission.lifetime_ns),
            submission.requested_instances,
        )
        for name, generation in submission.requested_instances:
            if instance := self.instances.get(name):  # the response reports unknown instances as refused
                self._add_task(now, order, instance, generation, submission.supersede)
        if not order.is_open:
            return order  # refused for all instances: the order is not registered
        self.orders[order.order_id] = order
        self.changed_orders.add(order)
        self._delete_oldest()
        return order

    def _add_task(self, now: int, order: Order, instance: Instance, generation: int, supersede: bool) -> None:
        """Add a new order's task for an instance: open, or refused with the reason."""
        task = Task(order, instance, generation, state_since=now)
        order.tasks.append(task)
        if why := rejection_reason(task, supersede):
            task.state = HostTaskState.REFUSED
            task.why = why
            return
        task.undo_snapshot = _snapshot_instance(instance)
        changed_by = f"{order.operator}: {order.verb.value}"
        if instance.task is not None:
            why = f"by {order.operator}, {order.verb.value}"
            self._transition(now, instance.task, HostTaskState.SUPERSEDED, why)
        instance.task = task
        instance.is_changed = True
        instance.generation += 1
        instance.changed_at = order.accepted_at
        instance.changed_by = changed_by
        self.open_tasks.append(task)

    def confirm(self, order: Order) -> None:
        """Record that an order is stored: it can no longer be undone."""
        for task in order.tasks:
            task.undo_snapshot = None

    def undo(self, order: Order) -> None:
        """Remove an order that could not be stored, and revert its changes."""
        for task in order.tasks:
            if task.undo_snapshot is None:
                continue
            _restore_instance(task.instance, task.undo_snapshot)
            self.open_tasks.remove(task)
        self.orders.pop(order.order_id, None)
        self.changed_orders.discard(order)

    def cancel(self, now: int, order_id: str, operator: str) -> Order:
        """Cancel the waiting tasks; started tasks continue. Raises OrderRejectedError for an unknown ID."""
        order = self.orders.get(order_id)
        if order is None:
            raise OrderRejectedError("no such order")
        for task in order.tasks:
            if task.state is HostTaskState.WAITING:
                self._transition(now, task, HostTaskState.CANCELLED, f"by {operator}")
            elif task.state is HostTaskState.IN_PROGRESS:
                task.why = f"started before {operator} cancelled the order"
                self.changed_orders.add(order)
        return order

    def revert(self, now: int, order: Order, operator: str) -> None:
        """Cancel an order with its started tasks, and restore the instances that it has drained."""
        for task in order.tasks:
            is_taken_out = has_taken_out_of_service(task)
            if task.state in OPEN_HOST_TASK_STATES:
                self._transition(now, task, HostTaskState.CANCELLED, f"by {operator}")
            if is_taken_out and task.instance.goal is Goal.DOWN and task.instance.task is None:
                self.supervisor.cancel_stop(now, task.instance)

    # Progress.

    def advance(self, now: int) -> None:
        """Start and end the tasks that are due; `Supervisor.tick` then returns the steps."""
        for task in list(self.open_tasks):
            if task.state is HostTaskState.WAITING:
                if now >= task.order.expires_at:
                    why = "the order expired before the disruption budget allowed it"
                    self._transition(now, task, HostTaskState.EXPIRED, why)
                elif task.order.verb is Verb.START or self._may_take_out(now, task):
                    self._start_task(now, task)
            if task.state is HostTaskState.IN_PROGRESS and (outcome := task_outcome(now, task)):
                self._transition(now, task, outcome.state, outcome.why)
        # Superseded tasks are removed only here, as `undo` may open them again.
        self.open_tasks = [task for task in self.open_tasks if task.is_open]

    def _may_take_out(self, now: int, task: Task) -> bool:
        """Whether the host's part of the disruption budget, or a permit of the fleet, lets the task start."""
        if self.permit_holder is None:
            return self.supervisor.has_capacity(task.instance)
        return self.permit_holder.may_start(
            now, task.instance.name, task.order.order_id, task.instance.has_process
        )

    def _start_task(self, now: int, task: Task) -> None:
        instance = task.instance
        verb = task.order.verb
        if self.permit_holder and verb is not Verb.START:
            self.permit_holder.start(now, instance.name)
        task.replaced_generation = instance.process_generation
        self._transition(now, task, HostTaskState.IN_PROGRESS)
        if verb is Verb.START:
            if not instance.has_process or instance.phase is Phase.DRAINING:
                self.supervisor.order_start(now, instance)
            instance.goal = Goal.UP
        elif verb is Verb.RESTART:
            self.supervisor.order_restart(now, instance)
        else:
            has_control_plane = self.permit_holder is not None
            self.supervisor.order_stop(now, instance, verb is Verb.STOP, cancellable=has_control_plane)

    def permitted_steps(self, now: int, steps: list[Step]) -> list[Step]:
        """Return the steps that may be executed now.

        A permit is stored as started before the drain is sent. A full disk, or a restart of the agent, can
        delay the drain. After the permit's notification deadline the drain is not sent at all: other targets
        may have failed since the grant.
        """
        holder = self.permit_holder
        if holder is None:
            return steps
        return [step for step in steps if self._is_permitted(now, step, holder)]

    def _is_permitted(self, now: int, step: Step, holder: PermitHolder) -> bool:
        """Whether a step may be executed; a drain after the notification deadline is reverted."""
        instance = step.instance
        task = instance.task
        is_drain = step.action in (Action.DRAIN, Action.TERM)
        if not is_drain or task is None or not needs_permit_to_drain(task):
            return True
        reported_state = instance.report.state if instance.report else ""
        if reported_state == "draining" or holder.may_notify(now, instance.name, task.order.order_id):
            task.is_drain_sent = True
            return True
        if reported_state:
            why = "its disruption permit expired before the drain was sent"
            self._transition(now, task, HostTaskState.CANCELLED, why)
            self.supervisor.revert_unsent_drain(now, instance, reported_state)
        else:
            instance.drain_sent_at = 0  # the drain is decided again once the process has reported its state
        return False

    def fail_open_tasks(self, now: int, why: str) -> None:
        """End all open tasks as failed: a reboot of the host has ended the processes of their instances."""
        for task in self.open_tasks:
            self._transition(now, task, HostTaskState.FAILED, why)
        self.open_tasks.clear()

    # State.

    def restore(self, orders: list[Order]) -> None:
        """Restore stored orders, oldest first."""
        for order in orders:
            self.orders[order.order_id] = order
            for task in order.tasks:
                if task.is_open:
                    task.instance.task = task
                    self.open_tasks.append(task)

    def _transition(self, now: int, task: Task, state: HostTaskState, why: str = "") -> None:
        """Change the state of a task; no other function changes it. Raises InvalidTransitionError."""
        if state not in TASK_TRANSITIONS[task.state]:
            raise InvalidTransitionError(f"order {task.order.order_id}", task.state.value, state.value)
        task.state = state
        task.state_since = now
        task.why = why or task.why
        self.changed_orders.add(task.order)
        if not task.is_open and task.instance.task is task:
            task.instance.task = None
            task.instance.is_changed = True

    def _delete_oldest(self) -> None:
        """Delete the oldest ended orders. Their duplicates are refused, as the generations are outdated."""
        for order_id, order in list(self.orders.items()):
            if len(self.orders) <= self.max_orders:
                break
            if not order.is_open:
                del self.orders[order_id]
                self.changed_orders.discard(order)
                self.deleted_order_ids.append(order_id)


def _check_duplicate(registered_order: Order, submission: OrderSubmission) -> Order:
    """Return the registered order with the same ID. Raises OrderRejectedError if the submission differs.

    Generations may differ: the order itself gives its instances new ones, which its operator reads before
    sending it again.
    """
    is_same_command = (
        registered_order.operator == submission.operator and registered_order.verb is submission.verb
    )
    if not is_same_command or _names(registered_order.requested_instances) != _names(
        submission.requested_instances
    ):
        raise OrderRejectedError(f"that id belongs to another order, by {registered_order.operator}")
    return registered_order


def _names(requested_instances: tuple[tuple[str, int], ...]) -> list[str]:
    return sorted(name for name, _ in requested_instances)


def _snapshot_instance(instance: Instance) -> InstanceSnapshot:
    """The fields of an instance that accepting an order changes, for `undo`."""
    task = instance.task
    return InstanceSnapshot(
        instance.generation,
        instance.changed_at,
        instance.changed_by,
        TaskSnapshot(task, task.state, task.state_since, task.why) if task else None,
    )


def _restore_instance(instance: Instance, snapshot: InstanceSnapshot) -> None:
    instance.generation = snapshot.generation
    instance.changed_at = snapshot.changed_at
    instance.changed_by = snapshot.changed_by
    superseded_task = snapshot.superseded_task
    instance.task = superseded_task.task if superseded_task else None
    if superseded_task:
        superseded_task.task.state = superseded_task.state
        superseded_task.task.state_since = superseded_task.state_since
        superseded_task.task.why = superseded_task.why
