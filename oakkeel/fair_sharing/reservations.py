"""Capacity reservations for rejected flows, in fixed memory: the work booked in each future step.

The work booked in a step never exceeds the capacity given at the time of booking, unless a single reservation
is larger than that capacity. A reservation that expires or is released frees its capacity.
`oakkeel.admission.fairness` decides on the capacity of a step and on the flows that get a reservation.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

MAX_BACKED_PER_FLOW = 4  # reservations with capacity, of one flow
MAX_RECORDED_PER_FLOW = 64  # reservations of one flow, including those without capacity
MAX_UNBACKED_RATIO = 4  # maximum of reservations without capacity, divided by the maximum with capacity
NO_STEP = -1  # number of a slot that has held no step yet


@dataclass(slots=True, eq=False)
class Reservation:
    """The time `due_at` at which a flow may retry and be admitted."""

    key: int  # key of the flow
    due_at: int
    work: float  # nanoseconds of service time; 0: no capacity is reserved
    early_attempts: int = 0  # number of retries of the flow before `due_at`


class ReservationEnd(Enum):
    """The ways in which a reservation ends."""

    HONORED = "kept"  # the flow retried in time and was admitted
    BROKEN = "broken"  # the flow retried in time and was rejected
    # The reservation expired, was moved, has no capacity or was not announced; its capacity is free.
    RELEASED = "released"


class Reservations:
    """The reservations of all flows, and the work booked in each future step."""

    def __init__(self, step: int, steps: int, max_open: int) -> None:
        """Allow bookings in `steps` steps of `step` nanoseconds, with at most `max_open` reservations."""
        self.step = step
        self.steps = steps
        self.max_open = max_open
        self.step_numbers = [NO_STEP] * steps  # the number of the step in each slot
        self.booked = [0.0] * steps  # work, by slot
        self.by_flow: dict[int, list[Reservation]] = {}  # open reservations, the soonest first
        self.open_count = 0  # open reservations with capacity
        self.unbacked_count = 0  # open reservations without capacity
        # Totals since the start.
        self.booked_count = 0
        self.honored_count = 0
        self.broken_count = 0
        self.expired_count = 0  # reservations with capacity that expired without a retry in time

    def find_due(self, now: int, key: int, max_early: int, max_late: int) -> Reservation | None:
        """Return the reservation that a retry of the flow at `now` uses; drop expired reservations.

        A retry may come up to `max_early` nanoseconds before the reserved time and up to `max_late` after
        it. Of several reservations the retry uses the nearest: the clients of the others may have given up.
        """
        nearest = None
        for reservation in list(self.by_flow.get(key, ())):
            if now > reservation.due_at + max_late:
                self._expire(reservation)
            elif now < reservation.due_at - max_early:
                break
            elif nearest is None or abs(reservation.due_at - now) <= abs(nearest.due_at - now):
                nearest = reservation
        return nearest

    def last_backed(self, key: int) -> Reservation | None:
        """Return the last reservation of the flow that has capacity."""
        return next(
            (reservation for reservation in reversed(self.by_flow.get(key, ())) if reservation.work), None
        )

    def reserve(
        self, now: int, not_before: int, key: int, work: float, capacity: float
    ) -> Reservation | None:
        """Reserve the first step from `not_before` on with capacity for the work; None without such a step.

        `capacity` is the limit on the work that is booked in one step. The bounds on open reservations limit
        the memory, and keep one flow from booking the capacity of other flows.
        """
        if self.open_count >= self.max_open:
            self._drop_expired(now)
        if self.open_count >= self.max_open or self._backed_count(key) >= MAX_BACKED_PER_FLOW:
            return None
        current_step = now // self.step
        first_step = max(current_step + 1, -(-not_before // self.step))
        for step_number in range(first_step, current_step + self.steps):
            booked = self.booked[self._slot(step_number)]
            # Work above the capacity of a whole step gets an empty step.
            if booked + work <= capacity or not booked:
                self.booked_count += 1
                reservation = Reservation(key, step_number * self.step, work)
                self._add(reservation)
                return reservation
        return None

    def record_unbacked(self, due_at: int, key: int) -> None:
        """Record a retry time without capacity, so that a retry at `due_at` does not count as early."""
        has_room = self.unbacked_count < MAX_UNBACKED_RATIO * self.max_open
        if has_room and self.records_all(key):
            self._add(Reservation(key, due_at, 0.0))

    def records_all(self, key: int) -> bool:
        """Return whether all retry times of the flow are recorded; if not, a retry may only seem early."""
        return len(self.by_flow.get(key, ())) < MAX_RECORDED_PER_FLOW

    def postpone(self, now: int, reservation: Reservation, not_before: int, capacity: float) -> None:
        """Move a reservation whose flow retried early to a later step, or keep it if no step has capacity."""
        self.end(reservation, ReservationEnd.RELEASED)
        new_reservation = self.reserve(now, not_before, reservation.key, reservation.work, capacity)
        if new_reservation is None:
            self._add(reservation)
            return
        new_reservation.early_attempts = reservation.early_attempts + 1
        self.booked_count -= 1  # the reservation was moved, not added

    def restore(self, reservation: Reservation) -> None:
        """Add a reservation of a snapshot regardless of capacity: its client already knows the time."""
        self._add(reservation)

    def _add(self, reservation: Reservation) -> None:
        self.booked[self._slot(reservation.due_at // self.step)] += reservation.work
        reservations = self.by_flow.setdefault(reservation.key, [])
        reservations.append(reservation)
        reservations.sort(key=lambda reservation: reservation.due_at)
        self.open_count += reservation.work > 0
        self.unbacked_count += not reservation.work

    def end(self, reservation: Reservation, end: ReservationEnd) -> None:
        """Remove a reservation and count the way in which it ended."""
        reservations = self.by_flow[reservation.key]
        reservations.remove(reservation)
        self.open_count -= reservation.work > 0
        self.unbacked_count -= not reservation.work
        if not reservations:
            del self.by_flow[reservation.key]
        if end is ReservationEnd.RELEASED:
            self._free_capacity(reservation)
        elif end is ReservationEnd.HONORED:
            self.honored_count += 1
        else:
            self.broken_count += 1

    def _slot(self, step_number: int) -> int:
        """Return the slot of a step; a slot that held an earlier step is cleared first."""
        slot = step_number % self.steps
        if self.step_numbers[slot] != step_number:
            self.step_numbers[slot] = step_number
            self.booked[slot] = 0.0
        return slot

    def _backed_count(self, key: int) -> int:
        return sum(reservation.work > 0 for reservation in self.by_flow.get(key, ()))

    def _free_capacity(self, reservation: Reservation) -> None:
        step_number = reservation.due_at // self.step
        slot = step_number % self.steps
        if self.step_numbers[slot] == step_number:
            self.booked[slot] = max(0.0, self.booked[slot] - reservation.work)

    def _expire(self, reservation: Reservation) -> None:
        self.expired_count += reservation.work > 0
        self.end(reservation, ReservationEnd.RELEASED)

    def _drop_expired(self, now: int) -> None:
        """Drop the reservations that are overdue by more than the time that can be booked ahead."""
        for reservations in list(self.by_flow.values()):
            for reservation in list(reservations):
                if reservation.due_at < now - self.steps * self.step:
                    self._expire(reservation)
