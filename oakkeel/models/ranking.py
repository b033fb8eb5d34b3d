"""Termination by a rank: if a number decreases with every step, every run of a model ends."""

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
    """Whether z3 finds a rank, 0 or more for each state, that decreases with every step."""
    rank = {state: z3.Int("/".join(map(str, state))) for state in states}
    solver = z3.Solver()
    solver.add(*[value >= 0 for value in rank.values()])
    for state in rank:
        solver.add(*[rank[after] < rank[state] for after in successors(state)])
    return bool(solver.check() == z3.sat)
