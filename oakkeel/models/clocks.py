"""Clocks in models for z3: the rate of each is between 1 - drift and 1 + drift of the true time."""

from __future__ import annotations

import z3


def measured(
    solver: z3.Solver, name: str, since: z3.ArithRef, until: z3.ArithRef, drift: float
) -> z3.ArithRef:
    """Return the duration between two instants that some clock measures; `name` is that of the variable."""
    duration = z3.Real(name)
    solver.add(duration >= (until - since) * (1 - drift), duration <= (until - since) * (1 + drift))
    return duration
