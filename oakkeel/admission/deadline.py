"""Deadlines: until when an answer has its whole weight, when it must leave, and what can end before."""

from __future__ import annotations

from collections.abc import Sequence

from oakkeel.admission.concurrency import MAX_EXPANDED_RUNS_PER_CORE
from oakkeel.admission.types import Request
from oakkeel.units import MS

ANSWER_HEADROOM_NS = 20 * MS  # an answer leaves this long before its deadline
STOP_HEADROOM_NS = 64 * MS  # every answer leaves this long before the stop of a drain
MIN_SERVICE_TIME_RATIO = 0.7  # of the expected service time, that must fit: sizes vary


def objective_end(now: int, request: Request) -> int:
    """Return until when an answer meets the latency objective; it counts from the arrival at the machine."""
    return now + request.request_class.latency_objective - request.queueing_delay


def answer_deadline(now: int, request: Request, stop_at: int) -> int:
    """Return when an answer must leave, so that its client or the stop (0: none) does not come first.

    It is the end of the objective where a late answer has no weight.
    """
    request_class = request.request_class
    remaining = request.remaining_time or max(0, request_class.client_timeout - request.queueing_delay)
    due = now + remaining - ANSWER_HEADROOM_NS
    deadline = due if request_class.late_weight else min(due, request.objective_end)
    return min(deadline, latest_deadline(stop_at)) if stop_at else deadline


def latest_deadline(stop_at: int) -> int:
    """Return the latest deadline of any request of a node that stops then."""
    return stop_at - STOP_HEADROOM_NS


def useful_end(request: Request) -> int:
    """Return until when a run has to end to be of use: the objective and the deadline are both met."""
    return min(request.objective_end, request.deadline)


def can_end_in_time(now: int, request: Request, service_time: float) -> bool:
    """Return whether a request that starts now can end in time; a run that can't is wasted."""
    return now + MIN_SERVICE_TIME_RATIO * service_time <= useful_end(request)


def can_end_in_time_after_queue(
    now: int, request: Request, service_time: float, queue_wait_time: float
) -> bool:
    """Return whether a request can end in time after its wait in the queue."""
    needed = int(MIN_SERVICE_TIME_RATIO * (service_time + queue_wait_time))
    return now + needed <= useful_end(request)


def queue_wait_time(service_times: Sequence[float], waiting: int, cores: int) -> float:
    """Return the expected wait in nanoseconds behind `waiting` queued requests of mixed classes."""
    mean = sum(service_times) / len(service_times)
    return mean * waiting / (MAX_EXPANDED_RUNS_PER_CORE * cores)
