"""Does every drain end in stopped or serving? The tables of states of node and agent put together, by z3.

z3 is asked for a rank of each state that every step but those of an operator or a crash makes smaller. If
there is one, no run can go on for ever; if a state other than the ends has no step, it is named.
"""

from __future__ import annotations

from collections.abc import Iterable

import z3

# An instance as its agent sees it, what its node does, and whether a cancel stands.
# serving, draining, stopped, starting; serves, grace, emptying, gone; none, stands
State = tuple[str, str, str]
ENDS = {("serving", "serves", "none"), ("stopped", "gone", "none")}


def steps(state: State, rules: Iterable[str] = ()) -> list[State]:
    """What can follow with no operator and no crash. `rules` names what a variant leaves out."""
    phase, node, cancel = state
    left_out, found = set(rules), []
    if phase == "draining" and cancel == "none" and node == "serves":
        found.append((phase, "grace", cancel))  # told to leave
    if phase == "draining" and cancel == "stands" and node in ("grace", "emptying"):
        found.append((phase, "serves", cancel))  # told to stay
    if node == "grace" and not (phase == "draining" and cancel == "stands"):
        found.append((phase, "emptying", cancel))
    if node == "emptying" and not (phase == "draining" and cancel == "stands"):
        found.append((phase, "gone", cancel))
    if node in ("grace", "emptying") and phase == "draining" and cancel == "stands":
        found.append((phase, "gone", cancel))  # it had ended before the word came
    if phase == "draining" and node == "gone":
        found.append(("stopped", node, cancel))
    if phase == "draining" and cancel == "stands" and node == "serves":
        found.append(("serving", node, "none"))
    if phase == "stopped" and cancel == "stands" and "start anew" not in left_out:
        found.append(("starting", node, cancel))
    if phase == "starting" and node == "gone":
        found.append(("serving", "serves", "none"))
    return found


def reached(rules: Iterable[str] = ()) -> set[State]:
    """From a drain that has just begun, a cancel at any moment included."""
    found: set[State] = set()
    ahead: list[State] = [("draining", "serves", "none")]
    while ahead:
        state = ahead.pop()
        if state in found:
            continue
        found.add(state)
        ahead += steps(state, rules)
        if state[0] in ("draining", "stopped") and state[2] == "none":
            ahead.append((state[0], state[1], "stands"))
    return found


def stuck(rules: Iterable[str] = ()) -> list[State]:
    """States that are no end and that nothing leads on from."""
    return sorted(state for state in reached(rules) if state not in ENDS and not steps(state, rules))


def always_ends(rules: Iterable[str] = ()) -> bool:
    """Whether there is a rank that every step makes smaller."""
    states = reached(rules)
    rank = {state: z3.Int("/".join(state)) for state in states}
    solver = z3.Solver()
    solver.add(*[each >= 0 for each in rank.values()])
    for state in states - ENDS:
        solver.add(*[rank[after] < rank[state] for after in steps(state, rules)])
    return bool(solver.check() == z3.sat)
