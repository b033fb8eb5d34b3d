"""Proof of termination by a rank: every run ends if a rank of 0 or more decreases with every step."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import TypeVar

import z3

ModelState = TypeVar("ModelState", bound=tuple[object, ...])


def reachable(start: ModelState, successors: Callable[[ModelState], Iterable[ModelState]]) -> set[ModelState]:
    """Return all states that can be reached from `start`, including `start`."""
    visited: set[ModelState] = set()
    to_visit = [start]
    while to_visit:
        state = to_visit.pop()
        if state not in visited:
            visited.add(state)
            to_visit += successors(state)
    return visited


def has_rank(states: Iterable[ModelState], successors: Callable[[ModelState], Iterable[ModelState]]) -> bool:
    """Whether z3 finds a rank, 0 or more for each state, that decreases with every step."""
    rank = {state: z3.Int("/".join(map(str, state))) for state in states}
    solver = z3.Solver()
    solver.add(*[value >= 0 for value in rank.values()])
    for state in rank:
        solver.add(*[rank[after] < rank[state] for after in successors(state)])
    return bool(solver.check() == z3.sat)
