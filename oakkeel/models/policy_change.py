"""Can a request be decided under an earlier version after the change was reported as in force? By z3.

True time is t; a clock shows between 1 - drift and 1 + drift of it. An agent sends a heartbeat, a leader
responds with the earlier version, the agent counts its lease from when it sent the heartbeat (or from when
the response arrived) and passes it on, and a node decides while it lasts. The leader commits the change
after it responded, and waits.
"""

from __future__ import annotations

import z3


def old_after_in_force(lease: float, wait: float, drift: float, rule: str = "sent") -> bool:
    """Return whether a node can use the earlier version after the change was reported as in force.

    `rule` says how the lease ends: it counts from when the heartbeat was "sent" or the response "came";
    "none": a node uses it until it learns of another version; "wall": at a time of a clock that may be set
    back.
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

    def shown(name: str, since: z3.ArithRef, until: z3.ArithRef) -> z3.ArithRef:
        """Return what a clock may show to have passed between two moments."""
        passed = z3.Real(name)
        solver.add(passed >= (until - since) * (1 - drift), passed <= (until - since) * (1 + drift))
        return passed

    solver.add(shown("waited", decided, reported) >= wait)
    since = received if rule == "came" else sent
    if rule in ("sent", "came"):
        solver.add(shown("counted", since, used) < lease)
    elif rule == "wall":
        back = z3.Real("back")
        solver.add(back >= 0, shown("counted", since, used) - back < lease)
    return bool(solver.check() == z3.sat)


def withdrawn_and_used(order_rules: set[str]) -> bool:
    """Return whether some sequence of moves reports a version as withdrawn under which a node decided.

    Every sequence is explored. The rules: a node learns only of what is decided ("decided first"), and what
    is decided can't be withdrawn ("decided stays").
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
