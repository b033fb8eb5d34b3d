"""The rules for orders on instances: rejections, and the outcomes of tasks. Free of I/O and state."""

from __future__ import annotations

import time
from dataclasses import dataclass

from oakkeel.agent.instances import HostTaskState, Phase, Task, Verb
from oakkeel.errors import OakkeelError
from oakkeel.units import SECOND

MAX_ORDER_ID_LENGTH = 64  # characters
MIN_ORDER_LIFETIME_NS = SECOND


class OrderRejectedError(OakkeelError, ValueError):
    """An order is rejected for all of its instances; the message has the reason."""


@dataclass(slots=True, frozen=True)
class OrderSubmission:
    """An order as sent by an operator."""

    order_id: str
    operator: str
    verb: Verb
    requested_instances: tuple[tuple[str, int], ...]  # instances and the generations that the operator saw
    lifetime_ns: int  # from the acceptance of the order
    supersede: bool = False  # replace the open orders of the instances


@dataclass(slots=True, frozen=True)
class TaskOutcome:
    """The final state of a task, with the reason for the operator."""

    state: HostTaskState
    why: str = ""


def check_submission(submission: OrderSubmission, instance_count: int) -> None:
    """Raise OrderRejectedError if an order is malformed."""
    order_id = submission.order_id
    requested_instances = submission.requested_instances
    if not order_id or len(order_id) > MAX_ORDER_ID_LENGTH:
        raise OrderRejectedError(f"an order needs an id of 1 to {MAX_ORDER_ID_LENGTH} characters")
    if not requested_instances or len(requested_instances) > instance_count:
        raise OrderRejectedError(f"an order names 1 to {instance_count} instances of this host")
    if len({name for name, _ in requested_instances}) < len(requested_instances):
        raise OrderRejectedError("the order names an instance twice")


def rejection_reason(task: Task, supersede: bool) -> str:
    """The reason an order is rejected for an instance; empty if it is accepted.

    An order is made for the generation that its operator saw, so that of two concurrent orders the first
    wins.
    """
    instance = task.instance
    open_task = instance.task
    if task.generation != instance.generation:
        if open_task:
            cause = f"{open_task.order.operator}'s {open_task.order.verb.value} is open"
        else:
            cause = f"changed by {instance.changed_by or 'nobody'}"
        return (
            f"{cause} since {_time_of_day(instance.changed_at)}; the instance has generation"
            f" {instance.generation}, the order is for {task.generation}"
        )
    if instance.generation >= instance.generation_limit:
        return "no reserved generation is left; send it again once the agent reaches the leader"
    if open_task is not None and not supersede:
        return (
            f"{open_task.order.operator}'s {open_task.order.verb.value} is open since"
            f" {_time_of_day(open_task.order.accepted_at)}"
        )
    return ""


def task_outcome(now: int, task: Task) -> TaskOutcome | None:
    """The outcome of an acting task that has ended; None if the task continues.

    A task fails once its instance has no restart left or its order has expired, as the task might otherwise
    never end.
    """
    instance = task.instance
    if _is_complete(task):
        return TaskOutcome(HostTaskState.DONE)
    if instance.restarts_exhausted:
        return TaskOutcome(HostTaskState.FAILED, f"the restart budget is spent: {instance.why}")
    if now >= task.order.expires_at:
        return TaskOutcome(
            HostTaskState.FAILED, f"the order expired while the instance was {instance.phase.value}"
        )
    return None


def _is_complete(task: Task) -> bool:
    """Whether the instance has reached the state that the order requests."""
    instance = task.instance
    verb = task.order.verb
    if verb in (Verb.STOP, Verb.DRAIN):
        return instance.phase is Phase.STOPPED
    is_up = instance.phase in (Phase.COLD, Phase.SERVING)
    if verb is Verb.START:
        return is_up
    return is_up and instance.process_generation != task.replaced_generation


def needs_permit_to_drain(task: Task) -> bool:
    """Whether the next drain of a task needs a valid permit: only the first drain of a task does."""
    return (
        not task.is_drain_sent
        and task.state is HostTaskState.IN_PROGRESS
        and task.order.verb is not Verb.START
    )


def has_taken_out_of_service(task: Task) -> bool:
    """Whether a task has taken its instance out of service."""
    return task.state in (HostTaskState.IN_PROGRESS, HostTaskState.DONE) and task.order.verb in (
        Verb.DRAIN,
        Verb.STOP,
    )


def _time_of_day(unix_ns: int) -> str:
    """Format a wall-clock time for display."""
    return time.strftime("%H:%M:%S UTC", time.gmtime(unix_ns // SECOND))
