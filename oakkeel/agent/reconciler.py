"""Applies the leader's responses on one host and builds its heartbeats. Free of I/O.

It stands between `PermitHolder`, which knows permits, and `OrderRegistry` and `Supervisor`, which know
instances.
"""

from __future__ import annotations

from oakkeel.agent.downstream_services import DownstreamServices
from oakkeel.agent.instances import Goal, Instance, Phase
from oakkeel.agent.orders import Order, OrderRegistry, OrderRejectedError, TaskState, Verb
from oakkeel.agent.supervisor import Supervisor
from oakkeel.control.messages import NodeStatus
from oakkeel.disruption.holder import PermitHolder
from oakkeel.disruption.messages import AssignedOrder, Heartbeat, HeartbeatResponse, TaskResult
from oakkeel.rollout.assignments import VersionAssignments
from oakkeel.rollout.gates import Samples
from oakkeel.rollout.messages import TargetStatus
from oakkeel.rollout.sequential import Sums

HOW = {
    TaskState.DONE: "done",
    TaskState.FAILED: "failed",
    TaskState.REFUSED: "refused",
    TaskState.CANCELLED: "cancelled",
    TaskState.SUPERSEDED: "failed",
    TaskState.EXPIRED: "expired",
}
OPEN = ("waiting", "granted", "out")


class Reconciler:
    """Applies the leader's responses to orders and instances, and reports results."""

    def __init__(
        self,
        supervisor: Supervisor,
        orders: OrderRegistry,
        permit_holder: PermitHolder,
        generation_block: int = 64,
        services: tuple[str, ...] = (),
    ) -> None:
        """Limit each instance to the generations that were reserved for it before."""
        self.supervisor, self.orders, self.permit_holder, self.generation_block = (
            supervisor,
            orders,
            permit_holder,
            generation_block,
        )
        self.services = DownstreamServices(permit_holder, services)
        self.assignments = VersionAssignments(services)
        self.state_lost = False  # our own file was: nothing begins before the record was heard
        for instance in supervisor.instances:
            instance.generation_limit = permit_holder.generations.get(instance.name, 0)
        self.rejections: dict[tuple[str, str], str] = {}  # by order and thing: why it was not taken here

    def state_file_lost(self) -> None:
        """No generation, order or goal is known: what the record says stands in for them."""
        self.state_lost = True

    # What is told.

    def build_heartbeat(self, now: int) -> Heartbeat:
        """The next heartbeat: states, results and generations to reserve."""
        self.services.advance(now)
        up, reserve = dict(self.services.up), {}
        for instance in self.supervisor.instances:
            up[instance.name] = instance.phase is Phase.SERVING
            self._update_permit(instance)
            if (
                not self.state_lost
                and instance.generation + self.generation_block // 2
                > self.permit_holder.generations.get(instance.name, 0)
            ):
                reserve[instance.name] = instance.generation + self.generation_block
        in_flight = {
            each.name: summary for each in self.supervisor.instances if (summary := _in_flight_summary(each))
        }
        heartbeat = self.permit_holder.heartbeat(now, up, self._task_results(), reserve, in_flight)
        if self.assignments.active:
            heartbeat.extension = self.assignments.encode_report(self._target_statuses(now))
        return heartbeat

    def _target_statuses(self, now: int) -> list[TargetStatus]:
        """For whoever drives a release: what runs here, and how it does."""
        runs = [
            TargetStatus(name, "", 0, "serving" if up else "stopped", 0)
            for name, up in self.services.up.items()
        ]
        for each in self.supervisor.instances:
            report = each.report
            run = TargetStatus(
                each.name,
                each.running_version,
                each.generation,
                each.phase.value,
                now - each.last_report_at if report is not None else -1,
                each.restarts_exhausted,
                each.crash_count,
            )
            if isinstance(report, NodeStatus):
                run.load = report.load
                if self.assignments.collect_samples and len(report.earned_weight) == 3:
                    run.samples = Samples(
                        Sums(*report.earned_weight),
                        report.rejected,
                        report.failed,
                        report.resident_kb,
                        {group: Sums(*sums) for group, sums in report.latencies.items() if len(sums) == 3},
                    )
            runs.append(run)
        return runs

    def _update_permit(self, instance: Instance) -> None:
        """Whether what was taken out under a place is over."""
        permit = self.permit_holder.permits.get(instance.name)
        if permit is None or not permit.started:
            return
        acts = instance.task is not None and instance.task.state is TaskState.ACTING
        if instance.phase is Phase.SERVING and instance.goal is Goal.UP and not acts:
            self.permit_holder.mark_restored(instance.name)
        else:
            self.permit_holder.mark_unavailable(instance.name)

    def _task_results(self) -> list[TaskResult]:
        """What the record takes for open and is over here."""
        results = self.services.results()
        for order in self.permit_holder.orders.values():
            known = self.orders.orders.get(order.id)
            here = {task.instance.name: task for task in known.tasks} if known else {}
            for target, _, state in order.tasks:
                task = here.get(target)
                if state not in OPEN or target in self.services.up:
                    continue
                if task is not None and not task.is_open:
                    results.append(TaskResult(order.id, target, HOW[task.state], task.why))
                elif why := self.rejections.get((order.id, target)):
                    results.append(TaskResult(order.id, target, "refused", why))
                elif self._completed_before_loss(order, target):
                    results.append(TaskResult(order.id, target, "done", ""))
                elif task is None and state == "out" and (order.halted_by or order.remaining <= 0):
                    # Else it would stand for ever: nobody here knows that it was ever begun.
                    results.append(
                        TaskResult(order.id, target, "failed", "its agent lost its file meanwhile")
                    )
        return results

    def _completed_before_loss(self, order: AssignedOrder, target: str) -> bool:
        """It was carried out here, and our file with it was lost before that was told."""
        permit, instance = self.permit_holder.permits.get(target), self.orders.instances.get(target)
        return bool(
            permit
            and permit.started
            and permit.order_id == order.id
            and order.verb in ("drain", "stop")
            and instance
            and instance.phase is Phase.STOPPED
            and instance.goal is Goal.DOWN
        )

    # What is heard.

    def apply_response(self, now: int, sent_at: int, answer: HeartbeatResponse) -> list[Order]:
        """Take what the record says. Returns the orders that are new here, to be kept."""
        first, reserved = not self.permit_holder.synchronized, dict(self.permit_holder.generations)
        if not self.permit_holder.receive_response(now, sent_at, answer):
            return []
        self.assignments.handle_response(answer.extension)
        if self.state_lost:
            self._recover_state(now)
        elif first:
            self._skip_used_generations(reserved)
        self.services.advance(now)
        for instance in self.supervisor.instances:
            if instance.name in self.permit_holder.generations:
                instance.generation_limit = self.permit_holder.generations[instance.name]
        taken = []
        for assigned in answer.orders:
            order = self.orders.orders.get(assigned.id)
            if order is None and not assigned.halted_by:
                order = self._submit_order(now, assigned)
                if order is not None:
                    taken.append(order)
            if order is not None and assigned.cancelled_by:
                self.orders.revert(now, order, assigned.cancelled_by)
            elif (
                order is not None
                and assigned.halted_by
                and any(task.state is TaskState.WAITING for task in order.tasks)
            ):
                self.orders.cancel(now, order.order_id, assigned.halted_by)
        current = {assigned.id for assigned in answer.orders}
        for order in [
            task.order
            for task in self.orders.open_tasks
            if task.state is TaskState.WAITING
            and task.order.verb is not Verb.START
            and task.order.order_id not in current
        ]:
            self.orders.cancel(now, order.order_id, "the record")  # it is over there, and must not stand here
        self.rejections = {key: why for key, why in self.rejections.items() if key[0] in current}
        return taken

    def _recover_state(self, now: int) -> None:
        """Our own file is gone: go on after all that may have been used, and leave out what is out."""
        self._skip_used_generations({})
        for instance in self.supervisor.instances:
            permit = self.permit_holder.permits.get(instance.name)
            order = self.permit_holder.orders.get(permit.order_id) if permit else None
            if (
                permit
                and permit.started
                and order
                and order.verb in ("drain", "stop")
                and not order.cancelled_by
            ):
                self.supervisor.order_stop(now, instance, order.verb == "stop", True)
        self.state_lost = False

    def _skip_used_generations(self, reserved: dict[str, int]) -> None:
        """Where the record has given out more generations than our file knows of, any of them may be used."""
        for instance in self.supervisor.instances:
            reserved_to = self.permit_holder.generations.get(instance.name, 0)
            if reserved_to > reserved.get(instance.name, 0):
                instance.generation, instance.dirty = max(instance.generation, reserved_to), True

    def _submit_order(self, now: int, assigned: AssignedOrder) -> Order | None:
        asked = tuple(
            (target, generation)
            for target, generation, state in assigned.tasks
            if state in OPEN
            and (assigned.id, target) not in self.rejections
            and target in self.orders.instances
        )
        if not asked or any(
            self.orders.instances[target].generation >= self.orders.instances[target].generation_limit
            for target, _ in asked
        ):
            return None  # until it may number what it does
        try:
            order = self.orders.submit(
                now, assigned.id, assigned.operator, Verb(assigned.verb), asked, assigned.remaining
            )
        except (OrderRejectedError, ValueError) as error:
            for target, _ in asked:
                self.rejections[assigned.id, target] = str(error)
            return None
        if not order.is_open:
            for task in order.tasks:
                self.rejections[assigned.id, task.instance.name] = task.why
            return None
        return order


def _in_flight_summary(instance: Instance) -> str:
    """What a node that leaves has yet to answer, by its own last report."""
    report = instance.report
    if instance.phase is not Phase.DRAINING or not getattr(report, "owes", 0):
        return ""
    groups = ", ".join(f"{count} {group}" for group, count in sorted(report.owes_by.items()))
    return (
        f"{report.owes}: {report.hold} held, {report.runs} running, {report.calls} at calls"
        f" on {report.connections} connections" + (f"; {groups}" if groups else "")
    )[:200]
