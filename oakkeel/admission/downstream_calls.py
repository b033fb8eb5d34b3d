"""Downstream calls: the time that each may take, the quota of the node, and what follows a failed call."""

from __future__ import annotations

from enum import Enum, auto

from oakkeel.admission.circuit_breaker import CircuitBreaker
from oakkeel.admission.sliding_window import WINDOW_STEPS, SlidingWindow
from oakkeel.admission.types import DownstreamKind, NodeLimits, Outcome, Request, RequestState
from oakkeel.units import MS

MAX_QUOTA_RATIO = 0.8  # of the quota, as a mean over its window
MAX_QUOTA_IN_FLIGHT_RATIO = 0.5  # of the quota, at one time
MIN_CALLS_IN_FLIGHT = 1.0
MAX_CALL_TIME_RATIO = 0.25  # of the latency objective
MIN_CALLS_PER_BUDGET = 2  # one call may not use the whole budget of a window
MIN_OPTIONAL_CALL_TIME_NS = MS
MAX_OPTIONAL_CALL_WAIT_RATIO = 0.15  # of the latency objective, for a call that may be skipped
MAX_CALL_ATTEMPTS = 3

LINK_FAILURES = frozenset({Outcome.CONNECT_FAILED, Outcome.RESET})  # the downstream may have capacity
NO_LASTING_EFFECT = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NEVER_STARTED})


class FailedCallStep(Enum):
    """What follows a failed call."""

    RETRY = auto()
    SKIP = auto()
    FAIL = auto()


def step_after_failed_call(request: Request, outcome: Outcome) -> FailedCallStep:
    """Return what follows a failed call: a retry only where nothing may take effect twice.

    An optional call is retried only if its link failed: a downstream that is full gets no second call.
    """
    request_class = request.request_class
    is_optional = request_class.is_call_optional
    may_repeat = outcome in NO_LASTING_EFFECT or not request_class.at_most_once
    has_attempts = request.failed_calls < MAX_CALL_ATTEMPTS
    if has_attempts and may_repeat and (outcome in LINK_FAILURES or not is_optional):
        return FailedCallStep.RETRY
    return FailedCallStep.SKIP if is_optional else FailedCallStep.FAIL


def max_optional_call_wait(request: Request) -> float:
    """Return for how many nanoseconds an optional call may wait to be placed before it is skipped."""
    return MAX_OPTIONAL_CALL_WAIT_RATIO * request.request_class.latency_objective


def latest_call_end(now: int, request: Request, service_time: float) -> int:
    """Return until when a call may take; an optional one leaves time to end without it."""
    if request.request_class.is_call_optional:
        return max(now + MIN_OPTIONAL_CALL_TIME_NS, request.deadline - int(service_time))
    return request.deadline


def max_call_time(request: Request, budget: float) -> int:
    """Return how many nanoseconds a call may take; `budget` is the time of all calls within a window."""
    objective = request.request_class.latency_objective
    return int(min(objective * MAX_CALL_TIME_RATIO, budget / MIN_CALLS_PER_BUDGET))


def max_calls_in_flight(quota: float) -> float:
    """Return how many calls may be in flight, so that calls that linger stay within the quota as well."""
    return max(MIN_CALLS_IN_FLIGHT, quota * MAX_QUOTA_IN_FLIGHT_RATIO)


class DownstreamCalls:
    """Decides whether a call may be placed now, and books the downstream time that it takes."""

    def __init__(self, limits: NodeLimits) -> None:
        """Start with the breaker closed and the quota unused."""
        self.limits = limits
        self.breaker = CircuitBreaker()
        self.spent = SlidingWindow(limits.downstream_window // (WINDOW_STEPS - 1) + 1)
        self.committed = 0  # booked for calls in flight

    def reserve(self, now: int, request: Request, in_flight: int, service_time: float) -> int | None:
        """Return until when a call may take, or None while the breaker or the quota forbids it."""
        if not self.breaker.allows_call(now):
            return None
        until = latest_call_end(now, request, service_time)
        limits = self.limits
        if limits.downstream is DownstreamKind.SHARED and limits.downstream_quota:
            budget = limits.downstream_quota * limits.downstream_window * MAX_QUOTA_RATIO
            until = min(until, now + max_call_time(request, budget))
            booking = until - now + limits.call_linger
            if in_flight + 1 > max_calls_in_flight(limits.downstream_quota):
                return None
            if self.spent.total(now) + self.committed + booking > budget:
                return None
            request.committed_call_time = booking
            self.committed += booking
        self.breaker.call_placed(now)
        return until

    def release(self, now: int, request: Request, linger: int) -> None:
        """Book the time that a call took downstream, and how long it may linger there."""
        if request.state is RequestState.CALLING:
            self.committed -= request.committed_call_time
            request.committed_call_time = 0
            self.spent.add(now, now - request.state_since + linger)
