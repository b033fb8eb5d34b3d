"""Can a permit be used after it was granted to another? Two clocks that run at different speeds, by z3.

True time is t. A clock's speed lies between 1 - drift and 1 + drift, so the time that it shows to have passed
lies between those multiples of the true time: all is linear, and z3 decides it for every real number.
"""

from __future__ import annotations

import z3


def started_after_expiry(validity: float, expiry: float, drift: float, from_when: str = "sent") -> bool:
    """Return whether an agent can start under a permit after the leader has let it expire.

    The agent counts `validity`, less what the leader reports as passed of it, from when its heartbeat was
    sent or (`from_when` "came") from when the response arrived; the leader lets the permit expire after
    `expiry`. Both count by their own clock.
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

    def passed(name: str, since: z3.ArithRef, until: z3.ArithRef) -> z3.ArithRef:
        """Return what a clock may show between two moments."""
        shown = z3.Real(name)
        solver.add(shown >= (until - since) * (1 - drift), shown <= (until - since) * (1 + drift))
        return shown

    elapsed = passed("elapsed", granted, answered)  # by the leader
    remaining = z3.If(elapsed >= validity, 0, validity - elapsed)
    counted = passed("counted", sent if from_when == "sent" else received, started)  # by the agent
    solver.add(remaining > 0, counted < remaining)
    # The leader's clock runs on from `elapsed` at the same speed or another within the drift.
    rest = passed("rest", answered, expired)
    solver.add(expired >= answered, elapsed + rest >= expiry)
    solver.add(started >= expired)
    return bool(solver.check() == z3.sat)


def two_hold_a_lease(lease: float, election_timeout: float, drift: float) -> bool:
    """Return whether a leader can hold its lease after its voters have elected another leader."""
    sent, received, elected, holding = z3.Reals("sent received elected holding")
    solver = z3.Solver()
    solver.add(sent >= 0, sent <= received, received <= elected, holding >= elected)
    by_leader, by_follower = z3.Reals("by_leader by_follower")
    solver.add(
        by_leader >= (holding - sent) * (1 - drift),
        by_leader <= (holding - sent) * (1 + drift),
        by_follower >= (elected - received) * (1 - drift),
        by_follower <= (elected - received) * (1 + drift),
    )
    solver.add(by_leader < lease, by_follower >= election_timeout)
    return bool(solver.check() == z3.sat)
