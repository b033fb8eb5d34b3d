"""Can an exchange be decided under an earlier version after the change was told as in force? By z3.

True time is t; a clock shows between 1 - drift and 1 + drift of it. An agent asks, a leader answers with the
earlier version, the agent counts its lease from when it asked (or from when the answer came) and hands it on,
and a node decides while it lasts. The leader decides after it answered, and waits.
"""

from __future__ import annotations

import z3


def old_after_in_force(lease: float, wait: float, drift: float, rule: str = "sent") -> bool:
    """`rule`: the lease counts from when the poll was sent, or from when the answer came; "none": a node goes
    on until it hears of another; "wall": it ends at a time of a clock that may be set back."""
    sent, answered, came, decided, told, exchange = z3.Reals("sent answered came decided told exchange")
    solver = z3.Solver()
    solver.add(
        sent >= 0,
        sent <= answered,
        answered <= came,
        answered <= decided,
        decided <= told,
        came <= exchange,
        exchange >= told,
    )

    def shown(name: str, since: z3.ArithRef, until: z3.ArithRef) -> z3.ArithRef:
        """What a clock may show to have passed between two moments."""
        passed = z3.Real(name)
        solver.add(passed >= (until - since) * (1 - drift), passed <= (until - since) * (1 + drift))
        return passed

    solver.add(shown("waited", decided, told) >= wait)
    since = came if rule == "came" else sent
    if rule in ("sent", "came"):
        solver.add(shown("counted", since, exchange) < lease)
    elif rule == "wall":
        back = z3.Real("back")
        solver.add(back >= 0, shown("counted", since, exchange) - back < lease)
    return bool(solver.check() == z3.sat)


def not_made_and_used(order_rules: set[str]) -> bool:
    """Whether some order of moves has a version told as not made under which a node decided. Every order is
    looked at: a node is told only of what is decided ("decided first"), and what is decided can't be
    withdrawn ("decided stays")."""
    ahead = [("proposed", False, False)]  # state, a node goes by it, told as not made
    seen = set()
    while ahead:
        state = ahead.pop()
        if state in seen:
            continue
        seen.add(state)
        name, used, not_made = state
        if used and not_made:
            return True
        if name == "proposed":
            ahead += [("decided", used, not_made), ("withdrawn", used, True)]
        if name == "decided" and "decided stays" not in order_rules:
            ahead.append(("withdrawn", used, True))
        if name == "decided" or "decided first" not in order_rules:
            ahead.append((name, True, not_made))
    return False
