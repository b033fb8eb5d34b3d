"""Fair sharing: whose request is over its fair share, and when a rejected client may come back.

Weighted max-min shares of service time, of which there is as much as may run: a slower node allows less.
The measures are in `oakkeel.fair_sharing`.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from oakkeel.admission.types import FairSharingRules, Request, RequestState
from oakkeel.admission.types import ShareStatus as Status
from oakkeel.fair_sharing.max_min import MaxMinShares
from oakkeel.fair_sharing.reservations import ReservationEnd, Reservations
from oakkeel.units import MS, SECOND

EVERY = 200 * MS  # between looks at the shares
ROOM = 0.95  # of what the node can do, for all together
BURST = 500 * MS  # of its share, that a flow may have at once
RESERVED_ROOM = 0.5  # of what the node can do, for reservations
STEP, STEPS = 50 * MS, 200  # of time ahead that can be booked
EARLY, LATE = 25 * MS, SECOND  # from the time of a reservation, and still as told
EARLY_MOST = 8  # times that coming early postpones a reservation
RETRY_SHARE = 0.2  # of the work of a flow, for its retries


class FairSharing:
    """Decides the standing of requests and the times of retries by the shares of their flows."""

    def __init__(self, rules: FairSharingRules, marks_retries: bool, chance: Callable[[], float]) -> None:
        """Start with no flow known."""
        self.marks_retries, self.random = marks_retries, chance
        self.shares = MaxMinShares(len(rules.levels), rules.max_flows, rules.half_life, rules.weights)
        self.reservations = Reservations(STEP, STEPS, rules.max_reservations)
        self.room, self.allocated_at = 0.0, 0  # for reservations in one step; when shares were set

    def arrive(self, now: int, request: Request, work: float, capacity: float) -> None:
        """Count a request with its flows, and set whether it is over its share, within it, or reserved."""
        if now - self.allocated_at >= EVERY:
            self.allocated_at, self.room = now, capacity * RESERVED_ROOM * STEP
            self.shares.allocate(now, capacity * ROOM * SECOND)
        key, is_retry = request.flow_keys[-1][0], request.retry_attempt or not self.marks_retries
        booked = request.reservation = self.reservations.due(now, key, EARLY, LATE) if is_retry else None
        request.expected_work, asked = work, 0.0 if booked else work  # it comes as told: nothing new
        flow = request.flow = self.shares.count(now, request.flow_keys, asked, request.retry_attempt)
        if booked and booked.work:
            request.share_status = Status.RESERVED
            return
        if booked:  # told a time, and no room: it is judged as any other
            self.reservations.end(booked, ReservationEnd.RELEASED)
            request.reservation = None
        elif is_retry and (ahead := self.reservations.last_booked(key)):
            request.share_status = Status.EXCEEDED  # to try early gains nothing, and waits longer
            if ahead.early_attempts < EARLY_MOST and self.reservations.remembers_all(key):
                own_time = min(SECOND, int(work / max(1.0, flow.allowed_rate) * SECOND))
                self.reservations.postpone(now, ahead, ahead.due_at + max(STEP, own_time), self.room)
            return
        known = self.shares.is_known(now, flow)
        if flow.allowed_rate < inf:
            exceeded = flow.free_at > now + BURST
        else:
            unknown_share = self.shares.share_of_unknown(flow)
            exceeded = unknown_share < 1 and not known and self.random() > unknown_share
        retries_exceeded = request.retry_attempt and known and flow.retries > RETRY_SHARE * flow.count
        request.share_status = Status.EXCEEDED if exceeded or retries_exceeded else Status.WITHIN_SHARE
        if request.share_status is Status.WITHIN_SHARE:  # though its overload stage may still reject it
            self._charge(now, request)

    def _charge(self, now: int, request: Request) -> None:
        if request.flow.allowed_rate < inf:
            took = int(request.expected_work / max(1.0, request.flow.allowed_rate) * SECOND)
            request.flow.free_at = max(request.flow.free_at, now) + took

    def retry_after(self, now: int, request: Request, max_retry_after: int) -> int:
        """Return how long a rejected client should stay away: until room of its own, if that is known."""
        flow, known = request.flow, request.flow.allowed_rate < inf
        if request.reservation and request.state is RequestState.READ:
            self.reservations.end(request.reservation, ReservationEnd.BROKEN)  # the room was not enough
        if request.share_status is Status.EXCEEDED and not known:
            return max_retry_after  # one of many who share too little to promise them any
        own_time = flow.free_at - BURST if known else now
        booked, first = None, max(now, own_time)
        if request.share_status is not Status.EXCEEDED or not request.retry_attempt:  # it was not early
            booked = self.reservations.book(now, first, flow.key, request.expected_work, self.room)
        if booked and booked.due_at - now <= max_retry_after:
            self._charge(now, request)
            return booked.due_at - now
        if booked:  # longer than clients take: not made, so not broken
            self.reservations.end(booked, ReservationEnd.RELEASED)
        self.reservations.record_unbacked(now + max_retry_after, flow.key)
        return max_retry_after
