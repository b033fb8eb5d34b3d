"""Model of policy changes for z3: no request is decided under an earlier version once the change is in force.

The rate of a clock is between 1 - drift and 1 + drift. An agent sends a heartbeat, and a leader responds with
the earlier version. The agent counts down the lease on that version and passes the version to a node, which
decides requests under it while the lease lasts. After its response, the leader commits the change, waits, and
reports the change as in force.
"""

from __future__ import annotations

from enum import Enum

import z3

from oakkeel.models.clocks import measured_duration


class LeaseRule(Enum):
    """The rule by which the lease on an earlier version ends."""

    FROM_SENT = "counted from when the heartbeat was sent"
    FROM_RECEIVED = "counted from when the response was received"
    NO_END = "when the node learns of another version"
    WALL_CLOCK = "at a time of a clock that may be set back"


def can_use_old_version_after_change(
    lease: float, wait: float, drift: float, rule: LeaseRule = LeaseRule.FROM_SENT
) -> bool:
    """Whether a node can use the earlier version after the change was reported as in force.

    `lease`: validity of the lease; `wait`: time from the commit of the change until the leader reports it as
    in force; both in seconds.
    """
    sent_at, answered_at, received_at, decided_at, reported_at, used_at = z3.Reals(
        "sent answered received decided reported used"
    )
    solver = z3.Solver()
    solver.add(
        sent_at >= 0,
        sent_at <= answered_at,
        answered_at <= received_at,
        answered_at <= decided_at,
        decided_at <= reported_at,
        received_at <= used_at,
        used_at >= reported_at,
    )
    solver.add(measured_duration(solver, "waited", decided_at, reported_at, drift) >= wait)
    since = received_at if rule is LeaseRule.FROM_RECEIVED else sent_at
    if rule in (LeaseRule.FROM_SENT, LeaseRule.FROM_RECEIVED):
        solver.add(measured_duration(solver, "counted", since, used_at, drift) < lease)
    elif rule is LeaseRule.WALL_CLOCK:
        set_back = z3.Real("back")
        solver.add(
            set_back >= 0, measured_duration(solver, "counted", since, used_at, drift) - set_back < lease
        )
    return bool(solver.check() == z3.sat)


def can_withdraw_used_version(order_rules: set[str]) -> bool:
    """Whether a version under which a node decided can be reported as withdrawn.

    The model explores every sequence of steps. `order_rules` names the rules that apply: a node learns only
    of decided versions ("decided first"), and a decided version can't be withdrawn ("decided stays").
    """
    # state of the version, whether a node uses the version, whether the version is reported as withdrawn
    to_visit = [("proposed", False, False)]
    visited = set()
    while to_visit:
        state = to_visit.pop()
        if state in visited:
            continue
        visited.add(state)
        name, is_used, is_withdrawn = state
        if is_used and is_withdrawn:
            return True
        if name == "proposed":
            to_visit += [("decided", is_used, is_withdrawn), ("withdrawn", is_used, True)]
        if name == "decided" and "decided stays" not in order_rules:
            to_visit.append(("withdrawn", is_used, True))
        if name == "decided" or "decided first" not in order_rules:
            to_visit.append((name, True, is_withdrawn))
    return False
