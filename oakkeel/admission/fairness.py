"""Fair sharing: decides which requests exceed the share of their flow, and when a rejected client may retry.

The shares are weighted max-min shares of service time. The capacity is the service time of the requests that
may run at one time, so a slower node admits fewer requests. `oakkeel.fair_sharing` has the data structures.
"""

from __future__ import annotations

from collections.abc import Callable

from oakkeel.admission.types import FairSharingRules, Request, RequestState, ShareStatus
from oakkeel.fair_sharing.heavy_hitters import Flow
from oakkeel.fair_sharing.max_min import MaxMinShares, MissingFlowError
from oakkeel.fair_sharing.reservations import Reservation, ReservationEnd, Reservations
from oakkeel.units import MS, SECOND

ALLOCATION_INTERVAL_NS = 200 * MS
MAX_ALLOCATED_RATIO = 0.95  # work of all flows together, as a share of the capacity of the node
MAX_BURST_NS = 500 * MS  # work that a flow may use at once, as time at its allowed rate
MAX_RESERVED_RATIO = 0.5  # work of reservations, as a share of the capacity of the node
RESERVATION_STEP_NS = 50 * MS
MAX_RESERVATION_STEPS = 200  # number of future steps that can be booked
MAX_EARLY_NS = 25 * MS  # before the reserved time; an earlier request can't use the reservation
MAX_LATE_NS = SECOND  # after the reserved time; a later request can't use the reservation
MAX_POSTPONEMENTS = 8  # for one reservation whose client keeps retrying early
MAX_POSTPONEMENT_NS = SECOND  # for one early retry
MAX_FLOW_RETRY_RATIO = 0.2  # work of the retries of a flow, as a share of all its work
MIN_ALLOWED_RATE = 1.0  # nanoseconds of service time a second; avoids a division by zero


def time_for_work(work: float, allowed_rate: float) -> int:
    """Return the nanoseconds that `work` (nanoseconds of service time) takes at `allowed_rate`."""
    return int(work / max(MIN_ALLOWED_RATE, allowed_rate) * SECOND)


class FairSharing:
    """Decides the share status and the Retry-After of requests by the shares of their flows."""

    def __init__(self, rules: FairSharingRules, marks_retries: bool, random: Callable[[], float]) -> None:
        """Start with no flow counted; `random` returns a random number from 0 to 1."""
        self.marks_retries = marks_retries
        self.random = random
        self.shares = MaxMinShares(len(rules.levels), rules.max_flows, rules.half_life, rules.weights)
        self.reservations = Reservations(RESERVATION_STEP_NS, MAX_RESERVATION_STEPS, rules.max_reservations)
        self.reservable_work = 0.0  # maximum work of reservations in one step
        self.allocated_at = 0  # time of the last allocation

    def arrive(self, now: int, request: Request, work: float, capacity: float) -> None:
        """Count a request for its flows, and set its share status.

        `work` is the expected service time of the request in nanoseconds, `capacity` is the run limit of the
        node.
        """
        self._allocate(now, capacity)
        may_use_reservation = request.retry_attempt or not self.marks_retries
        key = request.flow_keys[-1][0]
        reservation = (
            self.reservations.find_due(now, key, MAX_EARLY_NS, MAX_LATE_NS) if may_use_reservation else None
        )
        request.reservation = reservation
        request.expected_work = work
        new_work = 0.0 if reservation else work  # the work of a reservation was counted at the rejection
        flow = self.shares.count(now, request.flow_keys, new_work, request.retry_attempt)
        request.flow = flow
        request.share_status = self._share_status(now, request, flow, may_use_reservation)
        if request.share_status is ShareStatus.WITHIN_SHARE:  # the overload stage may still reject it
            self._charge(now, request, flow)

    def _allocate(self, now: int, capacity: float) -> None:
        """Update the allowed rate of each flow, once in an interval."""
        if now - self.allocated_at >= ALLOCATION_INTERVAL_NS:
            self.allocated_at = now
            self.reservable_work = capacity * MAX_RESERVED_RATIO * RESERVATION_STEP_NS
            self.shares.allocate(now, capacity * MAX_ALLOCATED_RATIO * SECOND)

    def _share_status(self, now: int, request: Request, flow: Flow, may_use_reservation: bool) -> ShareStatus:
        """Return the share status of a request; a client must gain nothing by retrying early."""
        reservation = request.reservation
        if reservation and reservation.work:
            return ShareStatus.RESERVED
        if reservation:  # it has no capacity, so the request counts as any other
            self.reservations.end(reservation, ReservationEnd.RELEASED)
            request.reservation = None
        elif may_use_reservation and (last_reservation := self.reservations.last_backed(flow.key)):
            self._postpone(now, last_reservation, request, flow)
            return ShareStatus.EXCEEDED
        return ShareStatus.EXCEEDED if self._exceeds_share(now, request, flow) else ShareStatus.WITHIN_SHARE

    def _postpone(self, now: int, last_reservation: Reservation, request: Request, flow: Flow) -> None:
        """Postpone the reservation of a client that retried early by the time that its work takes."""
        if last_reservation.early_attempts < MAX_POSTPONEMENTS and self.reservations.records_all(flow.key):
            work_time = min(MAX_POSTPONEMENT_NS, time_for_work(request.expected_work, flow.allowed_rate))
            not_before = last_reservation.due_at + max(RESERVATION_STEP_NS, work_time)
            self.reservations.postpone(now, last_reservation, not_before, self.reservable_work)

    def _exceeds_share(self, now: int, request: Request, flow: Flow) -> bool:
        """Return whether the flow has used its share or its retries.

        A flow that is not certainly heavier than the flows outside the table of heavy hitters is admitted
        with the probability `unknown_share`.
        """
        is_heavy_hitter = self.shares.is_heavy_hitter(now, flow)
        if flow.is_limited:
            exceeds_share = flow.theoretical_arrival_time > now + MAX_BURST_NS
        else:
            unknown_share = self.shares.unknown_flow_share(flow)
            exceeds_share = unknown_share < 1 and not is_heavy_hitter and self.random() > unknown_share
        exceeds_retries = (
            request.retry_attempt and is_heavy_hitter and flow.retries > MAX_FLOW_RETRY_RATIO * flow.count
        )
        return exceeds_share or exceeds_retries

    def _charge(self, now: int, request: Request, flow: Flow) -> None:
        """Count the expected work against the allowed rate of its flow."""
        if flow.is_limited:
            work_time = time_for_work(request.expected_work, flow.allowed_rate)
            flow.theoretical_arrival_time = max(flow.theoretical_arrival_time, now) + work_time

    def record_admission(self, request: Request) -> None:
        """Count the reservation that an admitted request used as kept."""
        if request.reservation:
            self.reservations.end(request.reservation, ReservationEnd.HONORED)

    def reserve_retry(self, now: int, request: Request, max_retry_after: int) -> int:
        """Reserve capacity for a rejected client, and return the nanoseconds until it may retry.

        If no capacity is left, the client may retry after `max_retry_after`. That time is recorded, so that a
        retry then does not count as early. A client that retried early gets no second reservation.
        """
        flow = request.flow
        if flow is None:
            raise MissingFlowError("a request has no flow: fair sharing has not counted its arrival")
        has_exceeded_share = request.share_status is ShareStatus.EXCEEDED
        if request.reservation and request.state is RequestState.READ:
            self.reservations.end(request.reservation, ReservationEnd.BROKEN)
        if has_exceeded_share and not flow.is_limited:
            return max_retry_after  # one of many flows whose share is too small for a reservation
        new_reservation = None
        if not has_exceeded_share or not request.retry_attempt:
            not_before = max(now, flow.theoretical_arrival_time - MAX_BURST_NS if flow.is_limited else now)
            work = request.expected_work
            new_reservation = self.reservations.reserve(now, not_before, flow.key, work, self.reservable_work)
        if new_reservation and new_reservation.due_at - now <= max_retry_after:
            self._charge(now, request, flow)
            return new_reservation.due_at - now
        if new_reservation:  # clients do not wait that long, so the reservation is not announced
            self.reservations.end(new_reservation, ReservationEnd.RELEASED)
        self.reservations.record_unbacked(now + max_retry_after, flow.key)
        return max_retry_after
