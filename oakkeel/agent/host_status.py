"""The status of a host, its instances and their orders, with the age of each observation."""

from __future__ import annotations

import time

from oakkeel.agent import messages
from oakkeel.agent.instances import Goal, HostTaskState, Instance, Order, Phase, Task
from oakkeel.agent.supervisor import Supervisor
from oakkeel.settings.types import HostSettings

UNKNOWN_AGE = -1


def host_status(
    now: int,
    host: HostSettings,
    supervisor: Supervisor,
    started_at: int,
    notes: list[str],
    pids: dict[Instance, int],
) -> messages.HostStatus:
    """The state of a host and its instances; `pids` has the pids of running processes."""
    return messages.HostStatus(
        host=host.name,
        site=host.site,
        uptime=now - started_at,
        unix_time=time.time_ns(),
        max_unavailable=host.max_unavailable,
        unavailable=supervisor.unavailable[host.site],
        notes=notes,
        instances=[
            _instance_status(now, instance, pids.get(instance, 0)) for instance in supervisor.instances
        ],
    )


def _instance_status(now: int, instance: Instance, pid: int) -> messages.InstanceStatus:
    is_waiting_for_start = instance.phase in (Phase.STOPPED, Phase.FAILING) and instance.goal is Goal.UP
    return messages.InstanceStatus(
        name=instance.name,
        phase=instance.phase.value,
        phase_age=now - instance.phase_since,
        goal=instance.goal.value,
        generation=instance.generation,
        changed_at=instance.changed_at,
        changed_by=instance.changed_by,
        pid=pid,
        report_age=now - instance.last_report_at if instance.report else UNKNOWN_AGE,
        report=instance.report,
        order=_open_order(now, instance.task) if instance.task else None,
        recent_crashes=len(instance.crash_times),
        restarts_exhausted=instance.restarts_exhausted,
        starts_in=max(0, instance.start_not_before - now) if is_waiting_for_start else 0,
        why=instance.why,
    )


def _open_order(now: int, task: Task) -> messages.OpenOrder:
    return messages.OpenOrder(
        order_id=task.order.order_id,
        operator=task.order.operator,
        verb=task.order.verb.value,
        state=task.state.value,
        age=now - task.state_since,
    )


def order_status(now: int, order: Order) -> messages.OrderStatus:
    """An order with its tasks, and a refused task for each instance that this host does not have."""
    tasks = [
        messages.TaskStatus(task.instance.name, task.state.value, max(0, now - task.state_since), task.why)
        for task in order.tasks
    ]
    listed_names = {task.instance for task in tasks}
    tasks += [
        messages.TaskStatus(name, HostTaskState.REFUSED.value, 0, "this host has no such instance")
        for name, _ in order.requested_instances
        if name not in listed_names
    ]
    return messages.OrderStatus(order.order_id, order.operator, order.verb.value, order.accepted_at, tasks)
