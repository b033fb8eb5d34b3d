"""Model of policy changes for z3: no request is decided under an earlier version once the change is in force.

The rate of a clock is between 1 - drift and 1 + drift. An agent sends a heartbeat, and a leader responds with
the earlier version. The agent counts the lease on it, passes it to a node, and the node decides under it
while the lease lasts. The leader commits the change after its response, waits, and reports the change as in
force.
"""

from __future__ import annotations

from enum import Enum

import z3

from oakkeel.models.clocks import measured


class LeaseRule(Enum):
    """When the lease on an earlier version ends."""

    FROM_SENT = "counted from when the heartbeat was sent"
    FROM_RECEIVED = "counted from when the response was received"
    NO_END = "when the node learns of another version"
    WALL_CLOCK = "at a time of a clock that may be set back"


def old_after_in_force(
    lease: float, wait: float, drift: float, rule: LeaseRule = LeaseRule.FROM_SENT
) -> bool:
    """Whether a node can use the earlier version after the change was reported as in force.

    `lease` and the `wait` of the leader are in seconds.
    """
    sent, answered, received, decided, reported, used = z3.Reals(
        "sent answered received decided reported used"
    )
    solver = z3.Solver()
    solver.add(
        sent >= 0,
        sent <= answered,
        answered <= received,
        answered <= decided,
        decided <= reported,
        received <= used,
        used >= reported,
    )
    solver.add(measured(solver, "waited", decided, reported, drift) >= wait)
    since = received if rule is LeaseRule.FROM_RECEIVED else sent
    if rule in (LeaseRule.FROM_SENT, LeaseRule.FROM_RECEIVED):
        solver.add(measured(solver, "counted", since, used, drift) < lease)
    elif rule is LeaseRule.WALL_CLOCK:
        back = z3.Real("back")
        solver.add(back >= 0, measured(solver, "counted", since, used, drift) - back < lease)
    return bool(solver.check() == z3.sat)


def withdrawn_and_used(order_rules: set[str]) -> bool:
    """Whether a version can be reported as withdrawn under which a node decided.

    Every sequence of steps is explored. The rules: a node learns only of decided versions ("decided first"),
    and a decided version can't be withdrawn ("decided stays").
    """
    pending = [("proposed", False, False)]  # state, a node uses it, reported as withdrawn
    seen = set()
    while pending:
        state = pending.pop()
        if state in seen:
            continue
        seen.add(state)
        name, used, withdrawn = state
        if used and withdrawn:
            return True
        if name == "proposed":
            pending += [("decided", used, withdrawn), ("withdrawn", used, True)]
        if name == "decided" and "decided stays" not in order_rules:
            pending.append(("withdrawn", used, True))
        if name == "decided" or "decided first" not in order_rules:
            pending.append((name, True, withdrawn))
    return False
