"""Capacity reservations for flows that were rejected, in fixed memory: so much work in each step ahead.

What is booked in a step never exceeds the room that it had when it was booked; a reservation that expires or
is given up frees its room. How much room a step has, and who gets which, is decided elsewhere.
"""

from __future__ import annotations

from dataclasses import dataclass

EACH, ALL_TIMES = 4, 64  # reservations of one flow; with retry times that have no room behind them
UNBACKED_FACTOR = 4  # times as many of these as there may be reservations


@dataclass(slots=True, eq=False)
class Reservation:
    """One flow may come at `due_at` (nanoseconds) and go ahead."""

    key: int
    due_at: int
    work: float  # 0: no room is reserved
    early_attempts: int = 0  # how often it came before its time


class Reservations:
    """The reservations of all flows, and the room that they take in each step of the time ahead."""

    def __init__(self, step: int, steps: int, max_open: int) -> None:
        """Let `steps` of `step` nanoseconds ahead be booked, with `max_open` reservations at one time."""
        self.step, self.steps, self.max_open = step, steps, max_open
        self.step_numbers, self.booked = [-1] * steps, [0.0] * steps
        self.open: dict[int, list[Reservation]] = {}  # by flow, each list with the soonest first
        self.open_count = self.unbacked = 0
        self.booked_count = self.kept_count = self.broken_count = self.expired_count = 0  # since the start

    def due(self, now: int, key: int, early: int, late: int) -> Reservation | None:
        """Return the reservation of the flow whose time it is, give or take; drop those whose time is over.

        The nearest, as others of the flow may never be used: their client gave up.
        """
        found = None
        for reservation in list(self.open.get(key, ())):
            if now > reservation.due_at + late:
                self.expired_count += reservation.work > 0
                self.end(reservation, None)
            elif now < reservation.due_at - early:
                break
            elif found is None or abs(reservation.due_at - now) <= abs(found.due_at - now):
                found = reservation
        return found

    def last_booked(self, key: int) -> Reservation | None:
        """Return the last reservation of the flow that has room behind it."""
        return next((each for each in reversed(self.open.get(key, ())) if each.work), None)

    def book(self, now: int, not_before: int, key: int, work: float, room: float) -> Reservation | None:
        """Book the first step from then on with room for that work; None where there is none."""
        if self.open_count >= self.max_open:
            self._drop_expired(now)
        if self.open_count >= self.max_open or sum(each.work > 0 for each in self.open.get(key, ())) >= EACH:
            return None
        first = max(now // self.step + 1, -(-not_before // self.step))
        for step_number in range(first, now // self.step + self.steps):
            slot = step_number % self.steps
            if self.step_numbers[slot] != step_number:
                self.step_numbers[slot], self.booked[slot] = step_number, 0.0
            # One that is larger than a whole step gets a step of its own.
            if self.booked[slot] + work <= room or not self.booked[slot]:
                self.booked_count += 1
                reservation = Reservation(key, step_number * self.step, work)
                self.restore(reservation)
                return reservation
        return None

    def record_unbacked(self, at: int, key: int) -> None:
        """Record a retry time with no room behind it, so that coming then is not taken for coming early."""
        if self.unbacked < UNBACKED_FACTOR * self.max_open and len(self.open.get(key, ())) < ALL_TIMES:
            self.restore(Reservation(key, at, 0.0))

    def remembers_all(self, key: int) -> bool:
        """Tell whether every retry time of the flow is still here: else coming early can't be known."""
        return len(self.open.get(key, ())) < ALL_TIMES

    def postpone(self, now: int, reservation: Reservation, not_before: int, room: float) -> None:
        """Move a reservation to a later step, if one has room; else it stays."""
        self.end(reservation, None)
        later = self.book(now, not_before, reservation.key, reservation.work, room)
        if later is None:
            self.restore(reservation)
            return
        later.early_attempts = reservation.early_attempts + 1
        self.booked_count -= 1  # it is the same one

    def restore(self, reservation: Reservation) -> None:
        """Take its room, whatever else is booked there: a client was told its time."""
        step_number = reservation.due_at // self.step
        slot = step_number % self.steps
        if self.step_numbers[slot] != step_number:
            self.step_numbers[slot], self.booked[slot] = step_number, 0.0
        self.booked[slot] += reservation.work
        reservations = self.open.setdefault(reservation.key, [])
        reservations.append(reservation)
        reservations.sort(key=lambda each: each.due_at)
        self.open_count += reservation.work > 0
        self.unbacked += not reservation.work

    def end(self, reservation: Reservation, admitted: bool | None) -> None:
        """End one whose flow came in time and went ahead or not; None gives it up and frees its room."""
        reservations = self.open[reservation.key]
        reservations.remove(reservation)
        self.open_count -= reservation.work > 0
        self.unbacked -= not reservation.work
        if not reservations:
            del self.open[reservation.key]
        if admitted is None:
            step_number = reservation.due_at // self.step
            if self.step_numbers[step_number % self.steps] == step_number:
                self.booked[step_number % self.steps] = max(
                    0.0, self.booked[step_number % self.steps] - reservation.work
                )
            return
        self.kept_count += admitted
        self.broken_count += not admitted

    def _drop_expired(self, now: int) -> None:
        """Drop those whose flow did not come, long after their time."""
        for reservations in list(self.open.values()):
            for reservation in list(reservations):
                if reservation.due_at < now - self.steps * self.step:
                    self.expired_count += reservation.work > 0
                    self.end(reservation, None)
