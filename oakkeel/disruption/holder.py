"""The part of an agent: what it may begin, under which place, and what it tells of it. Free of I/O.

A place is good from when it was asked about, by the agent's own clock: whatever delayed the answer is taken
off. A fence that is lower than one that was seen is never obeyed.
"""

from __future__ import annotations

from dataclasses import dataclass

from oakkeel.disruption.messages import AssignedOrder, Heartbeat, HeartbeatResponse, TargetReport, TaskResult


@dataclass(slots=True, eq=False)
class HeldPermit:
    """A place that this agent knows of."""

    thing: str
    ident: str
    fence: int
    until: int  # it may be begun before then, by the agent's monotonic clock
    begun: bool = False
    back: bool = False  # what was taken out serves again
    given: bool = False  # it will not be begun
    fresh_until: int = 0  # nobody is told to leave by it for the first time after that
    down: bool = False  # it may be begun only while no process of it is there


class PermitHolder:
    """`changed` names the things whose fence or place is to be kept on disk before anything is done by it."""

    def __init__(self, host: str, things: tuple[str, ...], life: int) -> None:
        self.host, self.things, self.life = host, things, life
        self.epoch = ""
        self.count = self.heard = 0
        self.stamp = (0, 0)
        self.told = False  # an answer was taken since the start
        self.places: dict[str, HeldPermit] = {}
        self.floors: dict[str, int] = {}  # by thing: the highest fence that was seen
        self.generations: dict[str, int] = {}  # may be used up to there
        self.orders: dict[str, AssignedOrder] = {}  # that concern this host and are open, or hold a place
        self.changed: set[str] = set()
        self.why = ""  # the last answer was not taken

    def restore(
        self, epoch: str, rows: list[tuple[str, int, str, bool]], generations: dict[str, int]
    ) -> None:
        """What was kept: thing, fence, order, and whether it was begun; generations that may be used."""
        self.epoch, self.generations = epoch, dict(generations)
        for thing, fence, ident, begun in rows:
            self.floors[thing] = fence
            if begun:
                self.places[thing] = HeldPermit(thing, ident, fence, 0, True)

    def poll(
        self,
        now: int,
        up: dict[str, bool],
        ended: list[TaskResult],
        reserve: dict[str, int],
        owes: dict[str, str] | None = None,
    ) -> Heartbeat:
        self.count += 1
        things = []
        for thing in self.things:
            held = self.places.get(thing)
            told = TargetReport(thing, up.get(thing, False), owes=(owes or {}).get(thing, ""))
            if held:
                told.begun = held.fence if held.begun else 0
                told.back, told.given = held.back, held.fence if held.given else 0
            things.append(told)
        wanted = {
            thing: number for thing, number in reserve.items() if number > self.generations.get(thing, 0)
        }
        return Heartbeat(self.host, self.life, self.count, self.heard, things, ended, wanted, b"", self.stamp)

    def answered(self, now: int, sent_at: int, answer: HeartbeatResponse) -> bool:
        """Whether it holds: one of another record, or older than one that was taken, does not."""
        self.stamp = answer.stamp  # whatever comes of it: by that the leader knows that we are alive
        if self.epoch and answer.epoch != self.epoch:
            self.why = f"record {answer.epoch} answers in place of {self.epoch}"
            return False
        if answer.index < self.heard:
            self.why = "an older state than was told before"
            return False
        self.epoch, self.heard, self.told, self.why = answer.epoch, answer.index, True, ""
        self.changed |= {
            thing for thing, upto in answer.generations.items() if self.generations.get(thing) != upto
        }
        self.generations.update(answer.generations)
        self.orders = {order.ident: order for order in answer.orders}
        told = {place.thing: place for place in answer.places if place.thing in self.things}
        for thing in [
            thing
            for thing, held in self.places.items()
            if thing not in told or told[thing].fence > held.fence
        ]:
            del self.places[thing]  # it is over, or lapsed: nothing may be begun by it
            self.changed.add(thing)
        for thing, place in told.items():
            if place.fence < self.floors.get(thing, 0):
                continue  # an older one than was seen
            held = self.places.get(thing)
            if held is None:
                held = self.places[thing] = HeldPermit(thing, place.ident, place.fence, 0, place.out)
                self.floors[thing] = place.fence
                self.changed.add(thing)
            order = self.orders.get(place.ident)
            held.down = place.down
            held.until = 0 if place.out else sent_at + place.good_for
            held.fresh_until = max(held.fresh_until, held.until)
            if order is None or order.halted:
                held.until = 0
                held.given = not held.begun
        return True

    def may_begin(self, now: int, thing: str, ident: str, runs: bool = True) -> bool:
        """`runs`: a process of it is there, for all that is known."""
        held = self.places.get(thing)
        return bool(
            held
            and held.ident == ident
            and not held.given
            and (held.begun or (now < held.until and not (held.down and runs)))
        )

    def fresh(self, now: int, thing: str, ident: str) -> bool:
        """It was begun, and there is still time to tell the thing so."""
        held = self.places.get(thing)
        return bool(held and held.begun and held.ident == ident and now < held.fresh_until)

    def begin(self, now: int, thing: str) -> None:
        """From now on it counts as begun, whatever becomes of it: to be kept before it is done."""
        held = self.places[thing]
        if not held.begun:
            held.begun = True
            self.changed.add(thing)

    def is_back(self, thing: str) -> None:
        """What was taken out under it serves, and no order means it any more."""
        held = self.places.get(thing)
        if held and held.begun:
            held.back = True

    def is_out(self, thing: str) -> None:
        """It left again before the record knew that it was back."""
        if held := self.places.get(thing):
            held.back = False
