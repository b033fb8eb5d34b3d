"""The downstream services that an agent probes, and the disruption permits on them. Free of I/O.

An agent neither stops nor starts a service. A permit allows the operator to take the service down. The permit
ends once the service was down and is up again, or once its order is cancelled while the service is up.
"""

from __future__ import annotations

from oakkeel.disruption.holder import PermitHolder
from oakkeel.disruption.messages import TaskResult

MIN_FAILED_PROBES = 2  # in a row, before a service counts as down


class DownstreamServices:
    """The downstream services on one host, by their probes and their permits."""

    def __init__(self, permit_holder: PermitHolder, names: tuple[str, ...]) -> None:
        """Each service counts as down until a probe has reached it."""
        self.permit_holder = permit_holder
        self.is_up = dict.fromkeys(names, False)  # by service
        self.failed_probe_counts = dict.fromkeys(names, 0)  # by service: failed probes in a row
        # By service: the fencing token of the permit under which the service was last down.
        self.tokens_of_down_services: dict[str, int] = {}

    def observe(self, name: str, is_up: bool) -> None:
        """Record the result of a probe; a service is down after `MIN_FAILED_PROBES` failures in a row."""
        self.failed_probe_counts[name] = 0 if is_up else self.failed_probe_counts[name] + 1
        if is_up or self.failed_probe_counts[name] >= MIN_FAILED_PROBES:
            self.is_up[name] = is_up

    def advance(self, now: int) -> None:
        """Start the permits that may be started, and record for each one whether its service is restored."""
        for name, is_up in self.is_up.items():
            permit = self.permit_holder.permits.get(name)
            if permit is None:
                continue
            order = self.permit_holder.orders.get(permit.order_id)
            if not permit.started and self.permit_holder.may_start(now, name, permit.order_id, is_up):
                self.permit_holder.start(now, name)
            if permit.started and not is_up:
                self.tokens_of_down_services[name] = permit.fencing_token
            was_down = self.tokens_of_down_services.get(name) == permit.fencing_token
            is_cancelled = order is None or bool(order.cancelled_by)
            if permit.started and is_up and (was_down or is_cancelled):
                self.permit_holder.mark_restored(name)
            else:
                self.permit_holder.mark_unavailable(name)

    def task_results(self) -> list[TaskResult]:
        """Results of orders on services: a task is done once its service is down."""
        return [
            TaskResult(order.id, task.target, "done", "")
            for order in self.permit_holder.orders.values()
            for task in order.tasks
            if task.state == "out"  # the task is started
            and task.target in self.is_up
            and not self.is_up[task.target]
            and (permit := self.permit_holder.permits.get(task.target))
            and permit.order_id == order.id
        ]
