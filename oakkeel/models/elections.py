"""Can two keepers lead in one term, or an agreed entry be lost? Every run of a few steps, by z3.

Three keepers, each with a log of entries known by their terms. A step is an election with the votes of some,
a leader's entry, its copy to one other, or its being agreed. The variants leave out one rule each and must be
found wanting, or the model would prove nothing.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import combinations

import z3

REPLICAS, LENGTH = 3, 2
QUORUMS = [set(each) for size in (2, 3) for each in combinations(range(REPLICAS), size)]


class State:
    """One moment: terms, who was voted for, logs, who leads, what was ever agreed."""

    def __init__(self, name: str) -> None:
        def ints(what: str, count: int) -> list:
            return [z3.Int(f"{name}.{what}{number}") for number in range(count)]

        self.term, self.voted = ints("term", REPLICAS), ints("voted", REPLICAS)  # -1: nobody
        self.log = [ints(f"log{replica}.", LENGTH) for replica in range(REPLICAS)]  # 0: no entry
        self.leads = ints("leads", REPLICAS)  # the term that it leads; 0: none
        self.agreed = ints("agreed", LENGTH)  # the term of the entry agreed there; 0: none

    def all(self) -> list:
        return [
            *self.term,
            *self.voted,
            *(each for log in self.log for each in log),
            *self.leads,
            *self.agreed,
        ]


def same(before: list, after: list, but: Iterable[int] = ()) -> list:
    return [after[place] == before[place] for place in range(len(before)) if place not in set(but)]


def last_term(log: list):
    return z3.If(log[1] > 0, log[1], log[0])


def length(log: list):
    return z3.If(log[1] > 0, 2, z3.If(log[0] > 0, 1, 0))


def elected(a: State, b: State, who: int, voters: set[int], rules: set[str]):
    """One election: some vote for one in a later term than any of them is in."""
    term = b.leads[who]
    wants = [term > a.term[who], term <= 4]
    for voter in voters:
        current = z3.Or(
            last_term(a.log[who]) > last_term(a.log[voter]),
            z3.And(
                last_term(a.log[who]) == last_term(a.log[voter]), length(a.log[who]) >= length(a.log[voter])
            ),
        )
        free = z3.Or(term > a.term[voter], z3.And(term == a.term[voter], a.voted[voter] == -1))
        if "one vote" in rules:
            wants.append(free)
        else:
            wants.append(term >= a.term[voter])
        if "current log" in rules:
            wants.append(current)
        wants += [b.term[voter] == term, b.voted[voter] == who]
    return z3.And(
        *wants,
        *same(a.voted, b.voted, voters),
        *same(a.term, b.term, voters),
        *same(a.leads, b.leads, [who]),
        *(each for replica in range(REPLICAS) for each in same(a.log[replica], b.log[replica])),
        *same(a.agreed, b.agreed),
    )


def forgot(a: State, b: State, who: int):
    """One loses the file with its vote, and stays the same to all others."""
    return z3.And(
        b.voted[who] == -1,
        *same(a.voted, b.voted, [who]),
        *same(a.term, b.term),
        *same(a.leads, b.leads),
        *same(a.agreed, b.agreed),
        *(each for replica in range(REPLICAS) for each in same(a.log[replica], b.log[replica])),
    )


def appended(a: State, b: State, who: int):
    place = length(a.log[who])
    log = [z3.If(place == index, a.leads[who], a.log[who][index]) for index in range(LENGTH)]
    return z3.And(
        a.leads[who] > 0,
        a.leads[who] == a.term[who],
        place < LENGTH,
        *[b.log[who][index] == log[index] for index in range(LENGTH)],
        *(
            each
            for replica in range(REPLICAS)
            if replica != who
            for each in same(a.log[replica], b.log[replica])
        ),
        *same(a.term, b.term),
        *same(a.voted, b.voted),
        *same(a.leads, b.leads),
        *same(a.agreed, b.agreed),
    )


def copied(a: State, b: State, who: int, to: int):
    """A follower takes the leader's whole log, which is what appends come to in the end."""
    return z3.And(
        a.leads[who] > 0,
        a.leads[who] == a.term[who],
        a.term[to] <= a.leads[who],
        *[b.log[to][index] == a.log[who][index] for index in range(LENGTH)],
        *(
            each
            for replica in range(REPLICAS)
            if replica != to
            for each in same(a.log[replica], b.log[replica])
        ),
        b.term[to] == a.leads[who],
        b.voted[to] == z3.If(a.term[to] == a.leads[who], a.voted[to], -1),
        b.leads[to] == 0,
        *same(a.term, b.term, [to]),
        *same(a.voted, b.voted, [to]),
        *same(a.leads, b.leads, [to]),
        *same(a.agreed, b.agreed),
    )


def agreed(a: State, b: State, who: int, index: int, quorum: set[int], rules: set[str]):
    kept = [
        z3.And(a.log[replica][index] == a.log[who][index], a.term[replica] == a.leads[who])
        for replica in quorum
    ]
    own = [a.log[who][index] == a.leads[who]] if "own term" in rules else [a.log[who][index] > 0]
    return z3.And(
        a.leads[who] > 0,
        a.leads[who] == a.term[who],
        *kept,
        *own,
        *[
            b.agreed[place]
            == (
                z3.If(a.agreed[place] == 0, a.log[who][place], a.agreed[place])
                if place <= index
                else a.agreed[place]
            )
            for place in range(LENGTH)
        ],
        *same(a.term, b.term),
        *same(a.voted, b.voted),
        *same(a.leads, b.leads),
        *(each for replica in range(REPLICAS) for each in same(a.log[replica], b.log[replica])),
    )


RULES = {"one vote", "current log", "own term"}


def steps_of(a: State, b: State, rules: set[str]):
    everyone = range(REPLICAS)
    return z3.Or(
        *[elected(a, b, who, voters, rules) for who in everyone for voters in QUORUMS if who in voters],
        *([forgot(a, b, who) for who in everyone] if "forgets" in rules else []),
        *[appended(a, b, who) for who in everyone],
        *[copied(a, b, who, to) for who in everyone for to in everyone if to != who],
        *[
            agreed(a, b, who, index, quorum, rules)
            for who in everyone
            for index in range(LENGTH)
            for quorum in QUORUMS
            if who in quorum
        ],
    )


def runs(count: int, rules: set[str]) -> tuple[z3.Solver, list[State]]:
    solver = z3.Solver()
    states = [State(f"s{number}") for number in range(count + 1)]
    first = states[0]
    solver.add(
        *[each == 0 for each in (*first.term, *first.leads, *first.agreed)],
        *[each == -1 for each in first.voted],
        *[each == 0 for log in first.log for each in log],
    )
    for a, b in zip(states, states[1:], strict=False):
        solver.add(steps_of(a, b, rules))
    return solver, states


def two_leaders(count: int, rules: set[str]) -> bool:
    """Whether some run of so many steps has two leaders in one term."""
    solver, states = runs(count, rules)
    solver.add(
        z3.Or(
            *[
                z3.And(a.leads[one] > 0, a.leads[one] == b.leads[other])
                for number, a in enumerate(states)
                for b in states[number:]
                for one in range(REPLICAS)
                for other in range(REPLICAS)
                if one != other
            ]
        )
    )
    return solver.check() == z3.sat


def agreed_is_lost(count: int, rules: set[str]) -> bool:
    """Whether some run ends with a leader that lacks what was agreed before its term, or has it otherwise."""
    solver, states = runs(count, rules)
    end = states[-1]
    lacks = [
        z3.And(
            end.leads[who] > 0,
            end.leads[who] == end.term[who],
            end.agreed[index] > 0,
            end.log[who][index] != end.agreed[index],
            end.leads[who] > end.agreed[index],
        )
        for who in range(REPLICAS)
        for index in range(LENGTH)
    ]
    solver.add(z3.Or(*lacks))
    return solver.check() == z3.sat
