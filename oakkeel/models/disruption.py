"""Can a place be begun after it was given to another? Two clocks that go at different speeds, by z3.

True time is t. A clock's speed lies between 1 - drift and 1 + drift, so what it shows to have passed lies
between those times the true time: all is linear, and z3 decides it for every real number.
"""

from __future__ import annotations

import z3


def begun_after_lapse(good: float, lapse: float, drift: float, from_when: str = "sent") -> bool:
    """Whether an agent can begin under a place after the leader has let it lapse.

    The agent counts `good`, less what the leader says has passed of it, `from_when` its poll was sent, or
    from when the answer came; the leader lets it lapse after `lapse`. Each by its own clock.
    """
    granted, sent, answered, came, begun, lapsed = z3.Reals("granted sent answered came begun lapsed")
    solver = z3.Solver()
    solver.add(
        granted >= 0,
        sent <= answered,
        granted <= answered,
        answered <= came,
        came <= begun,
        granted <= lapsed,
    )

    def passed(name: str, since: z3.ArithRef, until: z3.ArithRef) -> z3.ArithRef:
        """What a clock may show between two moments."""
        shown = z3.Real(name)
        solver.add(shown >= (until - since) * (1 - drift), shown <= (until - since) * (1 + drift))
        return shown

    gone = passed("gone", granted, answered)  # by the leader
    left = z3.If(gone >= good, 0, good - gone)
    counted = passed("counted", sent if from_when == "sent" else came, begun)  # by the agent
    solver.add(left > 0, counted < left)
    # The leader's clock has gone on from `gone` at the same speed or another within the bound.
    rest = passed("rest", answered, lapsed)
    solver.add(lapsed >= answered, gone + rest >= lapse)
    solver.add(begun >= lapsed)
    return bool(solver.check() == z3.sat)


def two_hold_a_lease(lease: float, least: float, drift: float) -> bool:
    """Whether a leader can be sure to lead after another was elected by those who heard it last."""
    sent, heard, elected, sure = z3.Reals("sent heard elected sure")
    solver = z3.Solver()
    solver.add(sent >= 0, sent <= heard, heard <= elected, sure >= elected)
    by_leader, by_follower = z3.Reals("by_leader by_follower")
    solver.add(
        by_leader >= (sure - sent) * (1 - drift),
        by_leader <= (sure - sent) * (1 + drift),
        by_follower >= (elected - heard) * (1 - drift),
        by_follower <= (elected - heard) * (1 + drift),
    )
    solver.add(by_leader < lease, by_follower >= least)
    return bool(solver.check() == z3.sat)
