"""Downstream calls: their circuit breaker, their quota, and the time that each may take."""

from __future__ import annotations

from oakkeel.admission.sliding_window import WINDOW_BUCKETS, SlidingWindow
from oakkeel.admission.types import DownstreamKind, NodeLimits, Request, RequestState
from oakkeel.units import MS, SECOND

QUOTA_ROOM = 0.8  # of the downstream quota, as a mean
QUOTA_CALLS = 0.5  # of the quota, in flight at one time; never less than one
CALL_TIME = 0.25  # of the latency objective, for one call
BREAK_AFTER, PROBE_EVERY = 5, SECOND  # failures in a row that stop all calls, until a half-open probe


class DownstreamCalls:
    """Decides whether a call may be placed now, and books the downstream time that it takes."""

    def __init__(self, limits: NodeLimits) -> None:
        """Start with the breaker closed and the quota untouched."""
        self.limits = limits
        self.spent = SlidingWindow(limits.downstream_window // (WINDOW_BUCKETS - 1) + 1)
        self.committed = self.failed_in_row = self.next_probe_at = 0

    def reserve(self, now: int, request: Request, in_flight: int, service_time: float) -> int | None:
        """Return until when a call may take, or None where the breaker or the quota leave no room."""
        if self.failed_in_row >= BREAK_AFTER and now < self.next_probe_at:
            return None
        limits, until = self.limits, request.deadline
        if request.request_class.degraded_weight:  # leave time to end without the call
            until = max(now + MS, until - int(service_time))
        if limits.downstream is DownstreamKind.SHARED and limits.downstream_quota:
            budget = limits.downstream_quota * limits.downstream_window * QUOTA_ROOM
            most = min(request.request_class.latency_objective * CALL_TIME, budget / 2)
            until = min(until, now + int(most))
            commit = until - now + limits.call_linger
            if in_flight + 1 > max(1.0, limits.downstream_quota * QUOTA_CALLS):
                return None
            if self.spent.total(now)[0] + self.committed + commit > budget:
                return None
            request.committed_call_time = commit
            self.committed += commit
        self.next_probe_at = now + PROBE_EVERY
        return until

    def release(self, now: int, request: Request, linger: int) -> None:
        """Book the time that a call has taken downstream, with what it may linger there."""
        if request.state is RequestState.CALLING:
            self.committed -= request.committed_call_time
            request.committed_call_time = 0
            self.spent.add(now, now - request.state_since + linger)
