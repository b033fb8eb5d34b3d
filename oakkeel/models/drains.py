"""Model of drains for z3: every drain ends with the instance stopped or serving.

It combines the state tables of node and agent. z3 searches for a rank of each state that decreases with every
step, except steps of an operator or a crash. If there is one, every run ends. A state that is not final and
has no step is reported as stuck.
"""

from __future__ import annotations

from collections.abc import Iterable

from oakkeel.models.ranking import has_rank, reachable

# The phase of the instance (serving, draining, stopped, starting), the state of its node (serves, grace,
# emptying, gone), and whether a cancel is pending (none, stands).
State = tuple[str, str, str]
ENDS = {("serving", "serves", "none"), ("stopped", "gone", "none")}


def steps(state: State, omitted: Iterable[str] = ()) -> list[State]:
    """Return the states that can follow without an operator or a crash.

    `omitted` names the rules that a variant omits.
    """
    phase, node, cancel = state
    omitted_rules = set(omitted)
    found = []
    if phase == "draining" and cancel == "none" and node == "serves":
        found.append((phase, "grace", cancel))  # asked to drain
    if phase == "draining" and cancel == "stands" and node in ("grace", "emptying"):
        found.append((phase, "serves", cancel))  # asked to cancel the drain
    if node == "grace" and not (phase == "draining" and cancel == "stands"):
        found.append((phase, "emptying", cancel))
    if node == "emptying" and not (phase == "draining" and cancel == "stands"):
        found.append((phase, "gone", cancel))
    if node in ("grace", "emptying") and phase == "draining" and cancel == "stands":
        found.append((phase, "gone", cancel))  # it had ended before the cancel arrived
    if phase == "draining" and node == "gone":
        found.append(("stopped", node, cancel))
    if phase == "draining" and cancel == "stands" and node == "serves":
        found.append(("serving", node, "none"))
    if phase == "stopped" and cancel == "stands" and "restart" not in omitted_rules:
        found.append(("starting", node, cancel))
    if phase == "starting" and node == "gone":
        found.append(("serving", "serves", "none"))
    return found


def reached(omitted: Iterable[str] = ()) -> set[State]:
    """Return the states reached from a drain that has just started, with a cancel at any time."""

    def successors(state: State) -> list[State]:
        phase, node, cancel = state
        found = steps(state, omitted)
        if phase in ("draining", "stopped") and cancel == "none":
            found.append((phase, node, "stands"))
        return found

    return reachable(("draining", "serves", "none"), successors)


def stuck(omitted: Iterable[str] = ()) -> list[State]:
    """Return the states that are not final and have no step."""
    return sorted(state for state in reached(omitted) if state not in ENDS and not steps(state, omitted))


def always_ends(omitted: Iterable[str] = ()) -> bool:
    """Whether there is a rank that decreases with every step, up to the first end of a drain."""
    return has_rank(reached(omitted), lambda state: [] if state in ENDS else steps(state, omitted))
