"""Applies the leader's heartbeat responses on one host and builds its heartbeats. Free of I/O.

The status reporter calls the `Reconciler` for each heartbeat and response; `Agent.run_cycle` does not.
The `Reconciler` connects `PermitHolder`, which knows disruption permits, with `OrderRegistry` and
`Supervisor`, which know instances.
"""

from __future__ import annotations

from oakkeel.agent.downstream_services import DownstreamServices
from oakkeel.agent.instances import Goal, HostTaskState, Instance, Order, Phase, Task, Verb
from oakkeel.agent.order_rules import OrderRejectedError, OrderSubmission
from oakkeel.agent.orders import OrderRegistry
from oakkeel.agent.supervisor import Supervisor
from oakkeel.agent.target_status import in_flight_summary, instance_status, service_status
from oakkeel.disruption.holder import PermitHolder
from oakkeel.disruption.messages import AssignedOrder, Heartbeat, HeartbeatResponse, TaskResult
from oakkeel.disruption.state import OPEN_FLEET_TASK_STATES
from oakkeel.rollout.assignments import VersionAssignments
from oakkeel.rollout.messages import TargetStatus

DEFAULT_GENERATION_BLOCK = 64  # generations that an agent reserves at once for an instance
# Recorded as the operator when this agent cancels an order that has ended in the control plane.
CONTROL_PLANE = "the control plane"
# States of task results on the wire.
RESULT_STATES = {
    HostTaskState.DONE: "done",
    HostTaskState.FAILED: "failed",
    HostTaskState.REFUSED: "refused",
    HostTaskState.CANCELLED: "cancelled",
    HostTaskState.SUPERSEDED: "failed",
    HostTaskState.EXPIRED: "expired",
}
STARTED_STATE = "out"  # of a started task, on the wire
TAKE_OUT_VERBS = (Verb.DRAIN.value, Verb.STOP.value)


class Reconciler:
    """Applies the leader's responses to orders and instances, and reports results."""

    def __init__(
        self,
        supervisor: Supervisor,
        orders: OrderRegistry,
        permit_holder: PermitHolder,
        generation_block_size: int = DEFAULT_GENERATION_BLOCK,
        services: tuple[str, ...] = (),
    ) -> None:
        """Limit instances to their generations, which are reserved `generation_block_size` at a time."""
        self.supervisor = supervisor
        self.orders = orders
        self.permit_holder = permit_holder
        self.generation_block_size = generation_block_size
        self.services = DownstreamServices(permit_holder, services)
        self.assignments = VersionAssignments(services)
        # Whether the state file is new: no instance starts before a response arrives.
        self.is_state_lost = False
        for instance in supervisor.instances:
            instance.generation_limit = permit_holder.generations.get(instance.name, 0)
        self.rejections: dict[tuple[str, str], str] = {}  # reasons by order and target

    def recover_from_leader(self) -> None:
        """Recover generations, orders and goals from the next response, as the state file is new."""
        self.is_state_lost = True

    # Heartbeats.

    def build_heartbeat(self, now: int) -> Heartbeat:
        """Build the next heartbeat: states of targets, results of tasks and generations to reserve."""
        self.services.advance(now)
        is_serving = dict(self.services.is_up)
        generation_limits: dict[str, int] = {}
        for instance in self.supervisor.instances:
            is_serving[instance.name] = instance.phase is Phase.SERVING
            self._update_permit(instance)
            if self._needs_generations(instance):
                generation_limits[instance.name] = instance.generation + self.generation_block_size
        in_flight = {
            each.name: summary for each in self.supervisor.instances if (summary := in_flight_summary(each))
        }
        heartbeat = self.permit_holder.build_heartbeat(
            now, is_serving, self._task_results(), generation_limits, in_flight
        )
        if self.assignments.leader_supports_releases:
            heartbeat.extension = self.assignments.encode_report(self._target_statuses(now))
        return heartbeat

    def _needs_generations(self, instance: Instance) -> bool:
        """Whether less than half a block of reserved generations is left for an instance."""
        reserved_generation = self.permit_holder.generations.get(instance.name, 0)
        return (
            not self.is_state_lost
            and instance.generation + self.generation_block_size // 2 > reserved_generation
        )

    def _target_statuses(self, now: int) -> list[TargetStatus]:
        """The versions and performance of this host's targets, for the rollout controller."""
        collect_samples = self.assignments.collect_samples
        statuses = [service_status(name, is_up) for name, is_up in self.services.is_up.items()]
        statuses += [instance_status(now, each, collect_samples) for each in self.supervisor.instances]
        return statuses

    def _update_permit(self, instance: Instance) -> None:
        """Record whether the target of a started permit serves again, so that the permit can be released."""
        permit = self.permit_holder.permits.get(instance.name)
        if permit is None or not permit.started:
            return
        has_task_in_progress = instance.task is not None and instance.task.state is HostTaskState.IN_PROGRESS
        if instance.phase is Phase.SERVING and instance.goal is Goal.UP and not has_task_in_progress:
            self.permit_holder.mark_restored(instance.name)
        else:
            self.permit_holder.mark_unavailable(instance.name)

    def _task_results(self) -> list[TaskResult]:
        """The results of tasks that are open in the control plane and have ended on this host."""
        task_results = self.services.task_results()
        for order in self.permit_holder.orders.values():
            registered_order = self.orders.orders.get(order.id)
            tasks = {task.instance.name: task for task in registered_order.tasks} if registered_order else {}
            for assigned_task in order.tasks:
                target = assigned_task.target
                if assigned_task.state not in OPEN_FLEET_TASK_STATES or target in self.services.is_up:
                    continue
                if result := self._task_result(order, target, assigned_task.state, tasks.get(target)):
                    task_results.append(result)
        return task_results

    def _task_result(
        self, order: AssignedOrder, target: str, state: str, task: Task | None
    ) -> TaskResult | None:
        """The result of a task that is open in the control plane; None if it has not ended on this host."""
        if task is not None and not task.is_open:
            return TaskResult(order.id, target, RESULT_STATES[task.state], task.why)
        if why := self.rejections.get((order.id, target)):
            return TaskResult(order.id, target, "refused", why)
        if self._completed_before_loss(order, target):
            return TaskResult(order.id, target, "done", "")
        has_order_ended = bool(order.halted_by) or order.remaining <= 0
        if task is None and state == STARTED_STATE and has_order_ended:
            # The task would stay open for ever: this agent no longer knows that it was started.
            return TaskResult(order.id, target, "failed", "the agent lost its state file after the start")
        return None

    def _completed_before_loss(self, order: AssignedOrder, target: str) -> bool:
        """Whether a task was completed here, and the state file was lost before its result was reported."""
        permit = self.permit_holder.permits.get(target)
        instance = self.orders.instances.get(target)
        return bool(
            permit
            and permit.started
            and permit.order_id == order.id
            and order.verb in TAKE_OUT_VERBS
            and instance
            and instance.phase is Phase.STOPPED
            and instance.goal is Goal.DOWN
        )

    # Responses.

    def apply_response(self, now: int, sent_at: int, response: HeartbeatResponse) -> list[Order]:
        """Apply the response to a heartbeat that was sent at `sent_at`. Returns newly accepted orders."""
        is_first_response = not self.permit_holder.is_synchronized
        stored_generation_limits = dict(self.permit_holder.generations)
        if not self.permit_holder.receive_response(now, sent_at, response):
            return []
        self.assignments.handle_response(response.extension)
        if self.is_state_lost:
            self._recover_state(now)
        elif is_first_response:
            self._skip_used_generations(stored_generation_limits)
        self.services.advance(now)
        for instance in self.supervisor.instances:
            if instance.name in self.permit_holder.generations:
                instance.generation_limit = self.permit_holder.generations[instance.name]
        accepted_orders = self._apply_orders(now, response.orders)
        open_order_ids = {assigned_order.id for assigned_order in response.orders}
        self._cancel_orders_that_ended(now, open_order_ids)
        self.rejections = {key: why for key, why in self.rejections.items() if key[0] in open_order_ids}
        return accepted_orders

    def _apply_orders(self, now: int, assigned_orders: list[AssignedOrder]) -> list[Order]:
        """Accept, halt or cancel the orders of a response. Returns newly accepted orders."""
        accepted_orders = []
        for assigned_order in assigned_orders:
            order = self.orders.orders.get(assigned_order.id)
            if order is None and not assigned_order.halted_by:
                order = self._submit_order(now, assigned_order)
                if order is not None:
                    accepted_orders.append(order)
            if order is None:
                continue
            if assigned_order.cancelled_by:
                self.orders.revert(now, order, assigned_order.cancelled_by)
            elif assigned_order.halted_by and any(
                task.state is HostTaskState.WAITING for task in order.tasks
            ):
                self.orders.cancel(now, order.order_id, assigned_order.halted_by)
        return accepted_orders

    def _cancel_orders_that_ended(self, now: int, open_order_ids: set[str]) -> None:
        """Cancel waiting tasks of orders that have ended in the control plane, so that they do not start."""
        ended_orders = [
            task.order
            for task in self.orders.open_tasks
            if task.state is HostTaskState.WAITING
            and task.order.verb is not Verb.START
            and task.order.order_id not in open_order_ids
        ]
        for order in ended_orders:
            self.orders.cancel(now, order.order_id, CONTROL_PLANE)

    def _recover_state(self, now: int) -> None:
        """Skip used generations, and stop the instances that an order stopped before the state was lost."""
        self._skip_used_generations({})
        for instance in self.supervisor.instances:
            permit = self.permit_holder.permits.get(instance.name)
            order = self.permit_holder.orders.get(permit.order_id) if permit else None
            if (
                permit
                and permit.started
                and order
                and order.verb in TAKE_OUT_VERBS
                and not order.cancelled_by
            ):
                kill = order.verb == Verb.STOP.value
                self.supervisor.order_stop(now, instance, kill, cancellable=True)
        self.is_state_lost = False

    def _skip_used_generations(self, stored_generation_limits: dict[str, int]) -> None:
        """Skip the generations reserved beyond the stored limits, as any of them may have been used."""
        for instance in self.supervisor.instances:
            reserved_generation = self.permit_holder.generations.get(instance.name, 0)
            if reserved_generation > stored_generation_limits.get(instance.name, 0):
                instance.generation = max(instance.generation, reserved_generation)
                instance.is_changed = True

    def _submit_order(self, now: int, assigned_order: AssignedOrder) -> Order | None:
        """Submit an assigned order; None if the order is refused, or a reserved generation is missing."""
        requested_instances = self._open_requests(assigned_order)
        if not requested_instances or not self._have_generation_left(requested_instances):
            return None
        try:
            submission = OrderSubmission(
                assigned_order.id,
                assigned_order.operator,
                Verb(assigned_order.verb),
                requested_instances,
                assigned_order.remaining,
            )
            order = self.orders.submit(now, submission)
        except (OrderRejectedError, ValueError) as error:
            for target, _ in requested_instances:
                self.rejections[assigned_order.id, target] = str(error)
            return None
        if not order.is_open:
            for task in order.tasks:
                self.rejections[assigned_order.id, task.instance.name] = task.why
            return None
        return order

    def _open_requests(self, assigned_order: AssignedOrder) -> tuple[tuple[str, int], ...]:
        """The open tasks of an order for instances of this host: names and generations."""
        return tuple(
            (task.target, task.generation)
            for task in assigned_order.tasks
            if task.state in OPEN_FLEET_TASK_STATES
            and (assigned_order.id, task.target) not in self.rejections
            and task.target in self.orders.instances
        )

    def _have_generation_left(self, requested_instances: tuple[tuple[str, int], ...]) -> bool:
        """Whether each instance has a reserved generation left, as accepting an order uses a generation."""
        instances = [self.orders.instances[target] for target, _ in requested_instances]
        return all(instance.generation < instance.generation_limit for instance in instances)
