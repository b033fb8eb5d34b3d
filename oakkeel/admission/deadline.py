"""Deadlines of answers, and whether a request can end before its deadline."""

from __future__ import annotations

from collections.abc import Sequence

from oakkeel.admission.concurrency import MAX_EXPANDED_RUNS_PER_CORE
from oakkeel.admission.types import Request
from oakkeel.units import MS

ANSWER_HEADROOM_NS = 20 * MS  # minimum time from an answer to the timeout of its client
STOP_HEADROOM_NS = 64 * MS  # minimum time from every answer to the stop of a drain
# Share of the expected service time that must fit before `useful_end`: service times vary.
MIN_SERVICE_TIME_RATIO = 0.7


def objective_end(now: int, request: Request) -> int:
    """Return the time until which an answer meets its objective, counted from the arrival at the machine."""
    return now + request.request_class.latency_objective - request.queueing_delay


def answer_deadline(now: int, request: Request, stop_at: int) -> int:
    """Return the latest time for an answer: before the client times out and before the stop of a drain.

    `stop_at` is 0 without a drain. Where a late answer has no weight, the deadline is at the latest the end
    of the objective.
    """
    request_class = request.request_class
    time_to_timeout = request.remaining_time or max(0, request_class.client_timeout - request.queueing_delay)
    client_deadline = now + time_to_timeout - ANSWER_HEADROOM_NS
    deadline = client_deadline if request_class.late_weight else min(client_deadline, request.objective_end)
    return min(deadline, latest_deadline(stop_at)) if stop_at else deadline


def latest_deadline(stop_at: int) -> int:
    """Return the latest deadline of any request of a node that stops at `stop_at`."""
    return stop_at - STOP_HEADROOM_NS


def useful_end(request: Request) -> int:
    """Return the time until which a run meets both its objective and its deadline."""
    return min(request.objective_end, request.deadline)


def can_end_in_time(now: int, request: Request, service_time: float) -> bool:
    """Return whether a request that starts now can end in time; a run that can't is wasted."""
    return now + MIN_SERVICE_TIME_RATIO * service_time <= useful_end(request)


def can_end_in_time_after_queue(
    now: int, request: Request, service_time: float, queue_wait_time: float
) -> bool:
    """Return whether a request can end in time if it first waits `queue_wait_time` in the queue."""
    needed_time = int(MIN_SERVICE_TIME_RATIO * (service_time + queue_wait_time))
    return now + needed_time <= useful_end(request)


def queue_wait_time(service_times: Sequence[float], waiting: int, cores: int) -> float:
    """Return the expected wait in nanoseconds behind `waiting` queued requests of mixed classes."""
    mean = sum(service_times) / len(service_times)
    return mean * waiting / (MAX_EXPANDED_RUNS_PER_CORE * cores)
