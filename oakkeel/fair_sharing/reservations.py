"""Room promised to those who were denied, in fixed memory: so much work in each step of the time ahead.

What is booked in a step never exceeds the room that it had when it was booked; a promise that is over or
taken back frees its place. How much room a step has, and who gets which, is decided elsewhere.
"""

from __future__ import annotations

from dataclasses import dataclass

EACH, NOTES = 4, 64  # open promises of one sender; with times told that have no room behind them
MORE_NOTES = 4  # times as many of these as there may be promises


@dataclass(slots=True, eq=False)
class Reservation:
    """One sender may come at `at` and go ahead. Nanoseconds."""

    key: int
    at: int
    work: float  # 0: no room is kept
    early: int = 0  # how often it came before its time


class Reservations:
    def __init__(self, step: int, steps: int, most: int) -> None:
        """`steps` of `step` nanoseconds ahead can be booked, with `most` promises open at one time."""
        self.step, self.steps, self.most = step, steps, most
        self.marks, self.booked = [-1] * steps, [0.0] * steps
        self.open: dict[int, list[Reservation]] = {}  # by sender, each list with the soonest first
        self.notes = self.count = self.made = self.kept = self.broken = self.lapsed = 0

    def due(self, now: int, key: int, early: int, late: int) -> Reservation | None:
        """The sender's promise whose time it is, give or take; those whose time is over are dropped.

        The nearest, as others of the sender may never be come for: their exchange was given up.
        """
        found = None
        for promise in list(self.open.get(key, ())):
            if now > promise.at + late:
                self.lapsed += promise.work > 0
                self.end(promise, None)
            elif now < promise.at - early:
                break
            elif found is None or abs(promise.at - now) <= abs(found.at - now):
                found = promise
        return found

    def ahead(self, key: int) -> Reservation | None:
        """The sender's last promise that has room behind it."""
        return next((each for each in reversed(self.open.get(key, ())) if each.work), None)

    def book(self, now: int, not_before: int, key: int, work: float, room: float) -> Reservation | None:
        """The first step with room for that work from then on; None where there is none, or no place."""
        if self.count >= self.most:
            self._drop_lapsed(now)
        if self.count >= self.most or sum(each.work > 0 for each in self.open.get(key, ())) >= EACH:
            return None
        first = max(now // self.step + 1, -(-not_before // self.step))
        for mark in range(first, now // self.step + self.steps):
            place = mark % self.steps
            if self.marks[place] != mark:
                self.marks[place], self.booked[place] = mark, 0.0
            # One that is larger than a whole step gets a step of its own.
            if self.booked[place] + work <= room or not self.booked[place]:
                self.made += 1
                promise = Reservation(key, mark * self.step, work)
                self.restore(promise)
                return promise
        return None

    def note(self, at: int, key: int) -> None:
        """A time told with no room behind it, so that coming then is not taken for coming early."""
        if self.notes < MORE_NOTES * self.most and len(self.open.get(key, ())) < NOTES:
            self.restore(Reservation(key, at, 0.0))

    def all_known(self, key: int) -> bool:
        """Whether every time told to the sender is still here: else one that comes early can't be told."""
        return len(self.open.get(key, ())) < NOTES

    def put_off(self, now: int, promise: Reservation, not_before: int, room: float) -> None:
        """Move a promise to a later step, if one has room; else it stays."""
        self.end(promise, None)
        later = self.book(now, not_before, promise.key, promise.work, room)
        if later is None:
            return self.restore(promise)
        later.early = promise.early + 1
        self.made -= 1  # it is the same one

    def restore(self, promise: Reservation) -> None:
        """Take its room, whatever else is booked there: it was told."""
        mark = promise.at // self.step
        place = mark % self.steps
        if self.marks[place] != mark:
            self.marks[place], self.booked[place] = mark, 0.0
        self.booked[place] += promise.work
        promises = self.open.setdefault(promise.key, [])
        promises.append(promise)
        promises.sort(key=lambda each: each.at)
        self.count += promise.work > 0
        self.notes += not promise.work

    def end(self, promise: Reservation, kept: bool | None) -> None:
        """Its sender came in time, and went ahead or not; None: it is given up, and its room free again."""
        promises = self.open[promise.key]
        promises.remove(promise)
        self.count -= promise.work > 0
        self.notes -= not promise.work
        if not promises:
            del self.open[promise.key]
        if kept is None:
            mark = promise.at // self.step
            if self.marks[mark % self.steps] == mark:
                self.booked[mark % self.steps] = max(0.0, self.booked[mark % self.steps] - promise.work)
            return
        self.kept += kept
        self.broken += not kept

    def _drop_lapsed(self, now: int) -> None:
        """Those whose sender did not come, long after their time."""
        for promises in list(self.open.values()):
            for promise in list(promises):
                if promise.at < now - self.steps * self.step:
                    self.lapsed += promise.work > 0
                    self.end(promise, None)
