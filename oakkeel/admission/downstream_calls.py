"""Downstream calls: the time limit of each, the quota of the node, and the step after a failed call."""

from __future__ import annotations

from enum import Enum, auto

from oakkeel.admission.circuit_breaker import CircuitBreaker
from oakkeel.admission.sliding_window import WINDOW_STEPS, SlidingWindow
from oakkeel.admission.types import DownstreamKind, NodeLimits, Outcome, Request, RequestState
from oakkeel.units import MS

MAX_QUOTA_RATIO = 0.8  # mean of the calls in flight within the window, as a share of the quota
MAX_QUOTA_IN_FLIGHT_RATIO = 0.5  # calls in flight at one time, as a share of the quota
MIN_CALLS_IN_FLIGHT = 1.0  # lower bound of the limit on calls in flight
MAX_CALL_TIME_RATIO = 0.25  # duration of one call, as a share of the latency objective
MIN_CALLS_PER_BUDGET = 2  # no single call may use the whole budget of a window
MIN_OPTIONAL_CALL_TIME_NS = MS  # minimum time to the latest end of an optional call
MAX_OPTIONAL_CALL_WAIT_RATIO = 0.15  # wait before an optional call is skipped, as a share of the objective
MAX_CALL_ATTEMPTS = 3

# The link failed, so the downstream service may have capacity.
LINK_FAILURES = frozenset({Outcome.CONNECT_FAILED, Outcome.RESET})
OUTCOMES_WITHOUT_EFFECT = frozenset({Outcome.REJECTED, Outcome.CONNECT_FAILED, Outcome.NEVER_STARTED})


class FailedCallStep(Enum):
    """The step of a request after its downstream call failed."""

    RETRY = auto()
    SKIP = auto()
    FAIL = auto()


class UncertainReplyStep(Enum):
    """The step of a run that may not have received the reply of its call."""

    SKIP = auto()  # continue without the reply, if the run still waits for it
    REJECT = auto()  # stop the run, and let the client retry at once
    WAIT = auto()  # until the run continues or its deadline passes


def step_after_uncertain_reply(request: Request) -> UncertainReplyStep:
    """Return the step after a reply that may be lost: the reply can't be given again.

    The run may have received it and may wait for its next call, which would get the reply of the earlier one.
    To skip a call is safe, as it names the call. An at-most-once run is left alone: stopped, it could not be
    retried.
    """
    if request.request_class.is_call_optional:
        return UncertainReplyStep.SKIP
    return UncertainReplyStep.WAIT if request.request_class.at_most_once else UncertainReplyStep.REJECT


def step_after_failed_call(request: Request, outcome: Outcome) -> FailedCallStep:
    """Return the step after a failed call: a retry only where no call may take effect twice.

    An optional call is retried only if its link failed: a full downstream service gets no second call.
    """
    request_class = request.request_class
    is_optional = request_class.is_call_optional
    may_repeat = outcome in OUTCOMES_WITHOUT_EFFECT or not request_class.at_most_once
    has_attempts = request.failed_calls < MAX_CALL_ATTEMPTS
    if has_attempts and may_repeat and (outcome in LINK_FAILURES or not is_optional):
        return FailedCallStep.RETRY
    return FailedCallStep.SKIP if is_optional else FailedCallStep.FAIL


def max_optional_call_wait(request: Request) -> float:
    """Return the nanoseconds that an optional call may wait to be placed before it is skipped."""
    return MAX_OPTIONAL_CALL_WAIT_RATIO * request.request_class.latency_objective


def latest_call_end(now: int, request: Request, service_time: float) -> int:
    """Return the time by which a call must end; after an optional call the run must have time to complete."""
    if request.request_class.is_call_optional:
        return max(now + MIN_OPTIONAL_CALL_TIME_NS, request.deadline - int(service_time))
    return request.deadline


def max_call_time(request: Request, budget: float) -> int:
    """Return the maximum duration of a call; `budget` is the time for all calls of a window (nanoseconds)."""
    objective = request.request_class.latency_objective
    return int(min(objective * MAX_CALL_TIME_RATIO, budget / MIN_CALLS_PER_BUDGET))


def max_calls_in_flight(quota: float) -> float:
    """Return the limit on calls in flight, low enough that lingering calls stay within the quota as well."""
    return max(MIN_CALLS_IN_FLIGHT, quota * MAX_QUOTA_IN_FLIGHT_RATIO)


class DownstreamCalls:
    """Decides whether a call may be placed now, and books its downstream time."""

    def __init__(self, limits: NodeLimits) -> None:
        """Start with the breaker closed and the quota unused."""
        self.limits = limits
        self.breaker = CircuitBreaker()
        # Downstream time of the calls that ended.
        self.spent_time = SlidingWindow(limits.downstream_window // (WINDOW_STEPS - 1) + 1)
        self.committed_time = 0  # downstream time booked for calls in flight

    def reserve(self, now: int, request: Request, in_flight: int, service_time: float) -> int | None:
        """Book a call and return its latest end; None if the breaker or the quota forbids the call."""
        if not self.breaker.allows_call(now):
            return None
        call_end = latest_call_end(now, request, service_time)
        limits = self.limits
        if limits.downstream is DownstreamKind.SHARED and limits.downstream_quota:
            budget = limits.downstream_quota * limits.downstream_window * MAX_QUOTA_RATIO
            call_end = min(call_end, now + max_call_time(request, budget))
            booking = call_end - now + limits.call_linger
            if in_flight + 1 > max_calls_in_flight(limits.downstream_quota):
                return None
            if self.spent_time.total(now) + self.committed_time + booking > budget:
                return None
            request.committed_call_time = booking
            self.committed_time += booking
        self.breaker.call_placed(now)
        return call_end

    def release(self, now: int, request: Request, linger: int) -> None:
        """Replace the booking of a call by the time that it took and may linger downstream."""
        if request.state is RequestState.CALLING:
            self.committed_time -= request.committed_call_time
            request.committed_call_time = 0
            self.spent_time.add(now, now - request.state_since + linger)
