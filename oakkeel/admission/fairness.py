"""Fair sharing: whose request exceeds its fair share, and when a rejected client may come back.

Weighted max-min shares of service time, of which there is as much as may run: a slower node allows less.
The measures are in `oakkeel.fair_sharing`.
"""

from __future__ import annotations

from collections.abc import Callable

from oakkeel.admission.types import FairSharingRules, Request, RequestState, ShareStatus
from oakkeel.fair_sharing.heavy_hitters import Flow
from oakkeel.fair_sharing.max_min import MaxMinShares, MissingFlowError
from oakkeel.fair_sharing.reservations import Reservation, ReservationEnd, Reservations
from oakkeel.units import MS, SECOND

ALLOCATION_INTERVAL_NS = 200 * MS
MAX_ALLOCATED_RATIO = 0.95  # of what the node can do, for all flows together
MAX_BURST_NS = 500 * MS  # of its allowed rate, that a flow may use at once
MAX_RESERVED_RATIO = 0.5  # of what the node can do, for reservations
RESERVATION_STEP_NS = 50 * MS
MAX_RESERVATION_STEPS = 200  # of time ahead that can be booked
MAX_EARLY_NS = 25 * MS  # before the time of a reservation, that a request still uses it
MAX_LATE_NS = SECOND  # after the time of a reservation, that a request still uses it
MAX_POSTPONEMENTS = 8  # of one reservation whose client keeps coming early
MAX_POSTPONEMENT_NS = SECOND
MAX_RETRY_RATIO = 0.2  # of the work of a flow, for its retries
MIN_ALLOWED_RATE = 1.0  # nanoseconds of service time a second; it bounds a division


def time_for_work(work: float, allowed_rate: float) -> int:
    """Return the nanoseconds in which a flow may use `work` (service time in nanoseconds) at its rate."""
    return int(work / max(MIN_ALLOWED_RATE, allowed_rate) * SECOND)


class FairSharing:
    """Decides the share status of requests, and Retry-After, by the shares of their flows."""

    def __init__(self, rules: FairSharingRules, marks_retries: bool, chance: Callable[[], float]) -> None:
        """Start with no flow known; `chance` draws from 0 to 1."""
        self.marks_retries = marks_retries
        self.chance = chance
        self.shares = MaxMinShares(len(rules.levels), rules.max_flows, rules.half_life, rules.weights)
        self.reservations = Reservations(RESERVATION_STEP_NS, MAX_RESERVATION_STEPS, rules.max_reservations)
        self.reservable_work = 0.0  # in one step
        self.allocated_at = 0

    def arrive(self, now: int, request: Request, work: float, capacity: float) -> None:
        """Count a request with its flows, and set its share status.

        `work` is its expected service time in nanoseconds, `capacity` how many requests may run at one time.
        """
        self._allocate(now, capacity)
        may_be_return = request.retry_attempt or not self.marks_retries
        key = request.flow_keys[-1][0]
        due = self.reservations.due(now, key, MAX_EARLY_NS, MAX_LATE_NS) if may_be_return else None
        request.reservation = due
        request.expected_work = work
        new_work = 0.0 if due else work  # work of a reservation was counted at the rejection
        flow = self.shares.count(now, request.flow_keys, new_work, request.retry_attempt)
        request.flow = flow
        request.share_status = self._share_status(now, request, flow, may_be_return)
        if request.share_status is ShareStatus.WITHIN_SHARE:  # its overload stage may still reject it
            self._charge(now, request, flow)

    def _allocate(self, now: int, capacity: float) -> None:
        """Update the allowed rate of each flow, once in an interval."""
        if now - self.allocated_at >= ALLOCATION_INTERVAL_NS:
            self.allocated_at = now
            self.reservable_work = capacity * MAX_RESERVED_RATIO * RESERVATION_STEP_NS
            self.shares.allocate(now, capacity * MAX_ALLOCATED_RATIO * SECOND)

    def _share_status(self, now: int, request: Request, flow: Flow, may_be_return: bool) -> ShareStatus:
        """Return how a request stands to the share of its flow; coming early must gain nothing."""
        due = request.reservation
        if due and due.work:
            return ShareStatus.RESERVED
        if due:  # it has no capacity: the request counts as any other
            self.reservations.end(due, ReservationEnd.RELEASED)
            request.reservation = None
        elif may_be_return and (ahead := self.reservations.last_booked(flow.key)):
            self._postpone(now, ahead, request, flow)
            return ShareStatus.EXCEEDED
        return ShareStatus.EXCEEDED if self._exceeds_share(now, request, flow) else ShareStatus.WITHIN_SHARE

    def _postpone(self, now: int, ahead: Reservation, request: Request, flow: Flow) -> None:
        """Postpone the reservation of a client that came early by the time that its work takes."""
        if ahead.early_attempts < MAX_POSTPONEMENTS and self.reservations.remembers_all(flow.key):
            own_time = min(MAX_POSTPONEMENT_NS, time_for_work(request.expected_work, flow.allowed_rate))
            not_before = ahead.due_at + max(RESERVATION_STEP_NS, own_time)
            self.reservations.postpone(now, ahead, not_before, self.reservable_work)

    def _exceeds_share(self, now: int, request: Request, flow: Flow) -> bool:
        """Return whether the flow has used its share or its retries; unknown flows keep theirs by chance."""
        is_known = self.shares.is_known(now, flow)
        if flow.is_limited:
            exceeds = flow.free_at > now + MAX_BURST_NS
        else:
            unknown_share = self.shares.share_of_unknown(flow)
            exceeds = unknown_share < 1 and not is_known and self.chance() > unknown_share
        exceeds_retries = request.retry_attempt and is_known and flow.retries > MAX_RETRY_RATIO * flow.count
        return exceeds or exceeds_retries

    def _charge(self, now: int, request: Request, flow: Flow) -> None:
        """Count the expected work against the allowed rate of its flow."""
        if flow.is_limited:
            own_time = time_for_work(request.expected_work, flow.allowed_rate)
            flow.free_at = max(flow.free_at, now) + own_time

    def admitted(self, request: Request) -> None:
        """Count a reservation as kept: the request that came by it is admitted."""
        if request.reservation:
            self.reservations.end(request.reservation, ReservationEnd.KEPT)

    def reserve_return(self, now: int, request: Request, max_retry_after: int) -> int:
        """Reserve capacity for a rejected client, and return the nanoseconds until it may retry.

        Without capacity that is `max_retry_after`, recorded so that a retry then does not count as early.

        A client that came early gets no second reservation.
        """
        flow = request.flow
        if flow is None:
            raise MissingFlowError("a request names no flow: fair sharing has not counted its arrival")
        exceeded = request.share_status is ShareStatus.EXCEEDED
        if request.reservation and request.state is RequestState.READ:
            self.reservations.end(request.reservation, ReservationEnd.BROKEN)
        if exceeded and not flow.is_limited:
            return max_retry_after  # one of many flows with too little share for a reservation
        booked = None
        if not exceeded or not request.retry_attempt:
            not_before = max(now, flow.free_at - MAX_BURST_NS if flow.is_limited else now)
            work = request.expected_work
            booked = self.reservations.book(now, not_before, flow.key, work, self.reservable_work)
        if booked and booked.due_at - now <= max_retry_after:
            self._charge(now, request, flow)
            return booked.due_at - now
        if booked:  # later than clients wait: it was not announced
            self.reservations.end(booked, ReservationEnd.RELEASED)
        self.reservations.record_unbacked(now + max_retry_after, flow.key)
        return max_retry_after
