"""Models of permit expiry and of the leader's lease for z3, with clocks that run at different rates.

The rate of a clock is between 1 - drift and 1 + drift, and so is the ratio of a measured duration to the true
duration. All conditions are linear, and z3 decides them for all real numbers.
"""

from __future__ import annotations

from enum import Enum

import z3

from oakkeel.models.clocks import measured_duration


class CountedFrom(Enum):
    """The event from which an agent counts the validity of a permit."""

    SENT = "its heartbeat was sent"
    RECEIVED = "the response was received"


def can_start_after_expiry(
    validity: float, expiry: float, drift: float, counted_from: CountedFrom = CountedFrom.SENT
) -> bool:
    """Whether an agent can start the drain that a permit allows after the leader has expired the permit.

    The leader reports the remaining part of `validity`, and the agent counts it down from the event
    `counted_from`. The leader expires the permit after `expiry`. Both are in seconds, and leader and agent
    each measure by their own clock.
    """
    granted_at, sent_at, answered_at, received_at, started_at, expired_at = z3.Reals(
        "granted sent answered received started expired"
    )
    solver = z3.Solver()
    solver.add(
        granted_at >= 0,
        sent_at <= answered_at,
        granted_at <= answered_at,
        answered_at <= received_at,
        received_at <= started_at,
        granted_at <= expired_at,
    )
    elapsed = measured_duration(solver, "elapsed", granted_at, answered_at, drift)  # by the leader
    remaining_validity = z3.If(elapsed >= validity, 0, validity - elapsed)
    since = sent_at if counted_from is CountedFrom.SENT else received_at
    agent_elapsed = measured_duration(solver, "counted", since, started_at, drift)  # by the agent
    solver.add(remaining_validity > 0, agent_elapsed < remaining_validity)
    # After `elapsed` the rate of the leader's clock may change within the drift.
    until_expiry = measured_duration(solver, "rest", answered_at, expired_at, drift)
    solver.add(expired_at >= answered_at, elapsed + until_expiry >= expiry)
    solver.add(started_at >= expired_at)
    return bool(solver.check() == z3.sat)


def can_two_leaders_hold_lease(lease: float, election_timeout: float, drift: float) -> bool:
    """Whether a leader can hold its lease after its voters have elected another leader."""
    sent_at, received_at, elected_at, lease_held_at = z3.Reals("sent received elected holding")
    solver = z3.Solver()
    solver.add(sent_at >= 0, sent_at <= received_at, received_at <= elected_at, lease_held_at >= elected_at)
    by_leader = measured_duration(solver, "by_leader", sent_at, lease_held_at, drift)
    by_follower = measured_duration(solver, "by_follower", received_at, elected_at, drift)
    solver.add(by_leader < lease, by_follower >= election_timeout)
    return bool(solver.check() == z3.sat)
