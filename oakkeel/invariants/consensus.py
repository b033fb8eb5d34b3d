"""Whether the promises of the record and of places hold, by what was seen of keepers, agents and processes.

The promises, each in a sentence:

1. No two keepers ever lead in one term.
2. What one keeper takes for agreed at an index, every other takes for agreed there, and it never changes.
3. An order that was answered as taken is in the record at the index that was told.
4. No more things of a group are taken out at one time than its bound, and one that serves is taken out only
   while those that had been away by themselves for long enough to be known count as well.
5. Nothing is taken out without a place that the record granted, and no process is told to leave under an
   older fence than one before it.
6. No generation of an instance is ever used twice.
7. Once nothing of a halted order waits for a place or has one that is not used, nothing leaves by it.

It is told what happened with the true time, and knows nothing of why.
"""

from __future__ import annotations

from typing import Any

import msgspec

SECOND = 1_000_000_000


class ConsensusAudit:
    def __init__(self, groups: dict[str, tuple[int, list[str]]], known_after: int, most: int = 100) -> None:
        """`groups`: bound and things by name; `known_after`: nanoseconds after which one that is away by
        itself must be counted by whoever uses a place."""
        self.groups, self.known_after, self.most = groups, known_after, most
        self.breaches: list[str] = []
        self.leaders: dict[int, str] = {}
        self.agreed: dict[int, bytes] = {}
        self.promised: list[tuple[str, int]] = []
        self.taken: dict[str, int] = {}  # by thing that an order has taken out: fence
        self.away: dict[str, int] = {}  # by thing that is away by itself: since when
        self.fences: dict[str, int] = {}
        self.generations: dict[str, int] = {}
        self.halted: set[str] = set()
        self.granted: dict[str, set[int]] = {}  # fences by thing, as the record has them
        self.most_out: dict[str, int] = dict.fromkeys(groups, 0)

    def led(self, now: int, term: int, who: str) -> None:
        other = self.leaders.setdefault(term, who)
        if other != who:
            self._breach(now, f"1: {other} and {who} both lead in term {term}")

    def applied(self, now: int, who: str, index: int, content: bytes) -> None:
        known = self.agreed.setdefault(index, content)
        if known != content:
            self._breach(now, f"2: {who} takes another command for agreed at {index}")
        told: Any = msgspec.msgpack.decode(content)
        if told[0] == "grant":
            for thing in told[2]:
                self.granted.setdefault(thing, set()).add(index)

    def answered(self, ident: str, index: int) -> None:
        self.promised.append((ident, index))

    def halt_holds(self, ident: str) -> None:
        """By what is agreed, nothing can leave by that order any more."""
        self.halted.add(ident)

    def left(self, now: int, thing: str, fence: int, ident: str = "") -> None:
        """A process is told to leave by an order."""
        if ident in self.halted and self.fences.get(thing) != fence:
            self._breach(now, f"7: {thing} leaves by {ident}, which is halted")
        if fence not in self.granted.get(thing, ()):
            self._breach(now, f"5: {thing} leaves under {fence}, which the record never granted to it")
        if fence < self.fences.get(thing, 0):
            self._breach(now, f"5: {thing} leaves under {fence} after {self.fences[thing]}")
        first = thing not in self.taken
        self.fences[thing] = self.taken[thing] = fence
        served = self.away.pop(thing, None) is None
        if not first:
            return
        for name, (bound, things) in self.groups.items():
            if thing not in things:
                continue
            taken = [each for each in things if each in self.taken]
            known = [
                each
                for each in things
                if each not in self.taken and now - self.away.get(each, now) > self.known_after
            ]
            self.most_out[name] = max(self.most_out[name], len(taken))
            if len(taken) > bound:
                self._breach(now, f"4: {name}: {', '.join(taken)} are taken out, bound {bound}")
            elif served and len(taken) + len(known) > bound:
                self._breach(
                    now,
                    f"4: {name}: {', '.join(taken)} are taken out while {', '.join(known)} are"
                    f" known to be away, bound {bound}",
                )

    def serves(self, now: int, thing: str) -> None:
        self.taken.pop(thing, None)
        self.away.pop(thing, None)

    def gone(self, now: int, thing: str) -> None:
        """It does not serve, by itself."""
        if thing not in self.taken:
            self.away.setdefault(thing, now)

    def started(self, now: int, thing: str, generation: int) -> None:
        if generation <= self.generations.get(thing, 0):
            self._breach(now, f"6: {thing} starts as generation {generation} after {self.generations[thing]}")
        self.generations[thing] = max(generation, self.generations.get(thing, 0))

    def end(self, now: int) -> list[str]:
        for ident, index in self.promised:
            content = self.agreed.get(index)
            if content is None or msgspec.msgpack.decode(content)[1] != ident:
                self._breach(now, f"3: order {ident} was answered at {index} and is not there")
        return self.breaches

    def _breach(self, now: int, text: str) -> None:
        if len(self.breaches) < self.most:
            self.breaches.append(f"{now / SECOND:.3f} s: promise {text}")
