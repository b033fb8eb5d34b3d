"""Capacity reservations for flows that were rejected, in fixed memory: an amount of work in each step ahead.

What is booked in a step never exceeds the capacity that it had when it was booked; a reservation that expires
or is released frees its capacity. How much capacity a step has, and who gets which, is decided elsewhere.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

MAX_BACKED_PER_FLOW = 4  # reservations of one flow that have capacity
MAX_RECORDED_PER_FLOW = 64  # reservations of one flow, those without capacity included
MAX_UNBACKED_RATIO = 4  # reservations without capacity, to the maximum with it
NO_STEP = -1


@dataclass(slots=True, eq=False)
class Reservation:
    """A flow may retry at `due_at` (nanoseconds) and be admitted."""

    key: int
    due_at: int
    work: float  # 0: no capacity is reserved
    early_attempts: int = 0  # times that the flow retried before `due_at`


class ReservationEnd(Enum):
    """How a reservation ends."""

    KEPT = "kept"  # its flow came in time and was admitted
    BROKEN = "broken"  # its flow came in time and was rejected
    # Neither: it expired, was moved, has no capacity or was not announced. Its capacity is free for others.
    RELEASED = "released"


class Reservations:
    """The reservations of all flows, and the capacity that they take in each step of the time ahead."""

    def __init__(self, step: int, steps: int, max_open: int) -> None:
        """Let `steps` of `step` nanoseconds ahead be booked, with `max_open` reservations at one time."""
        self.step = step
        self.steps = steps
        self.max_open = max_open
        self.step_numbers = [NO_STEP] * steps  # which step each slot holds
        self.booked = [0.0] * steps  # work, by slot
        self.open: dict[int, list[Reservation]] = {}  # by flow, each list with the soonest first
        self.open_count = 0  # with capacity
        self.unbacked_count = 0  # without
        # Since the start.
        self.booked_count = 0
        self.kept_count = 0
        self.broken_count = 0
        self.expired_count = 0  # with capacity, whose flow did not come in time

    def find_due(self, now: int, key: int, early: int, late: int) -> Reservation | None:
        """Return the flow's reservation that a retry at `now` uses; drop those that have expired.

        A retry may come `early` nanoseconds before the reserved time and `late` after it. Of several
        reservations it uses the nearest, as the clients of the others may have given up.
        """
        nearest = None
        for reservation in list(self.open.get(key, ())):
            if now > reservation.due_at + late:
                self._expire(reservation)
            elif now < reservation.due_at - early:
                break
            elif nearest is None or abs(reservation.due_at - now) <= abs(nearest.due_at - now):
                nearest = reservation
        return nearest

    def last_backed(self, key: int) -> Reservation | None:
        """Return the last reservation of the flow that has capacity."""
        return next((each for each in reversed(self.open.get(key, ())) if each.work), None)

    def book(self, now: int, not_before: int, key: int, work: float, capacity: float) -> Reservation | None:
        """Reserve the first step from `not_before` on with capacity for the work; None if there is none.

        `capacity` is the work that all reservations of one step may have together. The bounds on open
        reservations keep the memory fixed, and one flow from booking the capacity of the others.
        """
        if self.open_count >= self.max_open:
            self._drop_expired(now)
        if self.open_count >= self.max_open or self._backed_count(key) >= MAX_BACKED_PER_FLOW:
            return None
        current_step = now // self.step
        first_step = max(current_step + 1, -(-not_before // self.step))
        for step_number in range(first_step, current_step + self.steps):
            booked = self.booked[self._slot(step_number)]
            # Work that exceeds the capacity of any step gets an empty step of its own.
            if booked + work <= capacity or not booked:
                self.booked_count += 1
                reservation = Reservation(key, step_number * self.step, work)
                self._add(reservation)
                return reservation
        return None

    def record_unbacked(self, at: int, key: int) -> None:
        """Record a retry time without capacity, so that a retry at that time does not count as early."""
        has_room = self.unbacked_count < MAX_UNBACKED_RATIO * self.max_open
        if has_room and self.records_all(key):
            self._add(Reservation(key, at, 0.0))

    def records_all(self, key: int) -> bool:
        """Return whether every retry time of the flow is recorded: otherwise a retry may only seem early."""
        return len(self.open.get(key, ())) < MAX_RECORDED_PER_FLOW

    def postpone(self, now: int, reservation: Reservation, not_before: int, capacity: float) -> None:
        """Move a reservation to a later step, as its flow came early; it stays if no step has capacity."""
        self.end(reservation, ReservationEnd.RELEASED)
        later = self.book(now, not_before, reservation.key, reservation.work, capacity)
        if later is None:
            self._add(reservation)
            return
        later.early_attempts = reservation.early_attempts + 1
        self.booked_count -= 1  # moved, not made

    def restore(self, reservation: Reservation) -> None:
        """Add a reservation of a snapshot regardless of other bookings: its client knows the time already."""
        self._add(reservation)

    def _add(self, reservation: Reservation) -> None:
        self.booked[self._slot(reservation.due_at // self.step)] += reservation.work
        reservations = self.open.setdefault(reservation.key, [])
        reservations.append(reservation)
        reservations.sort(key=lambda each: each.due_at)
        self.open_count += reservation.work > 0
        self.unbacked_count += not reservation.work

    def end(self, reservation: Reservation, end: ReservationEnd) -> None:
        """Remove a reservation and count how it ended."""
        reservations = self.open[reservation.key]
        reservations.remove(reservation)
        self.open_count -= reservation.work > 0
        self.unbacked_count -= not reservation.work
        if not reservations:
            del self.open[reservation.key]
        if end is ReservationEnd.RELEASED:
            self._free_capacity(reservation)
        elif end is ReservationEnd.KEPT:
            self.kept_count += 1
        else:
            self.broken_count += 1

    def _slot(self, step_number: int) -> int:
        """Return the slot of a step ahead; one that held an earlier step is emptied."""
        slot = step_number % self.steps
        if self.step_numbers[slot] != step_number:
            self.step_numbers[slot] = step_number
            self.booked[slot] = 0.0
        return slot

    def _backed_count(self, key: int) -> int:
        return sum(each.work > 0 for each in self.open.get(key, ()))

    def _free_capacity(self, reservation: Reservation) -> None:
        step_number = reservation.due_at // self.step
        slot = step_number % self.steps
        if self.step_numbers[slot] == step_number:
            self.booked[slot] = max(0.0, self.booked[slot] - reservation.work)

    def _expire(self, reservation: Reservation) -> None:
        self.expired_count += reservation.work > 0
        self.end(reservation, ReservationEnd.RELEASED)

    def _drop_expired(self, now: int) -> None:
        """Drop the reservations that are overdue by the whole time that can be booked ahead."""
        for reservations in list(self.open.values()):
            for reservation in list(reservations):
                if reservation.due_at < now - self.steps * self.step:
                    self._expire(reservation)
