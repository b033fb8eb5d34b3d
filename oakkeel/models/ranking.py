"""Termination by a rank: if every step makes a number smaller, no run of a model goes on for ever."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TypeVar

import z3

ModelState = TypeVar("ModelState", bound=tuple[object, ...])


def reachable(start: ModelState, successors: Callable[[ModelState], Iterable[ModelState]]) -> set[ModelState]:
    """Return all states that can be reached from `start`, itself included."""
    found: set[ModelState] = set()
    pending = [start]
    while pending:
        state = pending.pop()
        if state not in found:
            found.add(state)
            pending += successors(state)
    return found


def has_rank(states: Iterable[ModelState], successors: Callable[[ModelState], Iterable[ModelState]]) -> bool:
    """Return whether z3 finds a rank, 0 or more for each state, that every step makes smaller."""
    rank = {state: z3.Int("/".join(map(str, state))) for state in states}
    solver = z3.Solver()
    solver.add(*[value >= 0 for value in rank.values()])
    for state in rank:
        solver.add(*[rank[after] < rank[state] for after in successors(state)])
    return bool(solver.check() == z3.sat)
