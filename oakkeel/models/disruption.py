"""Models of permit expiry and of the leader's lease for z3, with clocks that run at different rates.

The rate of a clock is between 1 - drift and 1 + drift, so a duration that it measures is between those
multiples of the true duration. All conditions are linear, and z3 decides them for all real numbers.
"""

from __future__ import annotations

from enum import Enum

import z3

from oakkeel.models.clocks import measured


class CountedFrom(Enum):
    """The event from which an agent counts the validity of a permit."""

    SENT = "its heartbeat was sent"
    RECEIVED = "the response was received"


def started_after_expiry(
    validity: float, expiry: float, drift: float, counted_from: CountedFrom = CountedFrom.SENT
) -> bool:
    """Whether an agent can start a permit after the leader has expired it.

    The agent counts what the leader reports as left of `validity`, from the event `counted_from`. The leader
    expires the permit after `expiry`. Both count in seconds by their own clock.
    """
    granted, sent, answered, received, started, expired = z3.Reals(
        "granted sent answered received started expired"
    )
    solver = z3.Solver()
    solver.add(
        granted >= 0,
        sent <= answered,
        granted <= answered,
        answered <= received,
        received <= started,
        granted <= expired,
    )
    elapsed = measured(solver, "elapsed", granted, answered, drift)  # by the leader
    remaining = z3.If(elapsed >= validity, 0, validity - elapsed)
    since = sent if counted_from is CountedFrom.SENT else received
    counted = measured(solver, "counted", since, started, drift)  # by the agent
    solver.add(remaining > 0, counted < remaining)
    # After `elapsed` the rate of the leader's clock may change within the drift.
    rest = measured(solver, "rest", answered, expired, drift)
    solver.add(expired >= answered, elapsed + rest >= expiry)
    solver.add(started >= expired)
    return bool(solver.check() == z3.sat)


def two_hold_a_lease(lease: float, election_timeout: float, drift: float) -> bool:
    """Whether a leader can hold its lease after its voters have elected another leader."""
    sent, received, elected, holding = z3.Reals("sent received elected holding")
    solver = z3.Solver()
    solver.add(sent >= 0, sent <= received, received <= elected, holding >= elected)
    by_leader = measured(solver, "by_leader", sent, holding, drift)
    by_follower = measured(solver, "by_follower", received, elected, drift)
    solver.add(by_leader < lease, by_follower >= election_timeout)
    return bool(solver.check() == z3.sat)
