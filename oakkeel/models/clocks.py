"""Clocks in models for z3, whose rate is between 1 - drift and 1 + drift of the true rate."""

from __future__ import annotations

import z3


def measured_duration(
    solver: z3.Solver, name: str, since: z3.ArithRef, until: z3.ArithRef, drift: float
) -> z3.ArithRef:
    """Return the duration that a clock measures between two instants, as a z3 variable called `name`."""
    duration = z3.Real(name)
    solver.add(duration >= (until - since) * (1 - drift), duration <= (until - since) * (1 + drift))
    return duration
