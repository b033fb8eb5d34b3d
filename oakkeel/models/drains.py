"""Model of drains for z3: every drain ends with the instance stopped or serving.

The model combines the state tables of node and agent. z3 searches for a rank of each state that decreases
with every step, except steps of an operator or a crash. If such a rank exists, every run ends. A state that
is not final and has no step is reported as stuck.
"""

from __future__ import annotations

from collections.abc import Iterable

from oakkeel.models.ranking import has_rank, reachable

# The phase of the instance (serving, draining, stopped, starting), the state of its node (serves; grace:
# drains and still accepts requests; emptying: drains and accepts none; gone), and whether an operator's
# cancel is pending (none, pending).
State = tuple[str, str, str]
FINAL_STATES = {("serving", "serves", "none"), ("stopped", "gone", "none")}


def next_states(state: State, omitted: Iterable[str] = ()) -> list[State]:
    """Return the possible next states without an action of an operator or a crash.

    `omitted` names the rules that a variant of the model omits; "restart": a stopped instance is started
    again after a cancel.
    """
    phase, node, cancel = state
    omitted_rules = set(omitted)
    states = []
    if phase == "draining" and cancel == "none" and node == "serves":
        states.append((phase, "grace", cancel))  # the node is asked to drain
    if phase == "draining" and cancel == "pending" and node in ("grace", "emptying"):
        states.append((phase, "serves", cancel))  # the node is asked to cancel the drain
    if node == "grace" and not (phase == "draining" and cancel == "pending"):
        states.append((phase, "emptying", cancel))
    if node == "emptying" and not (phase == "draining" and cancel == "pending"):
        states.append((phase, "gone", cancel))
    if node in ("grace", "emptying") and phase == "draining" and cancel == "pending":
        states.append((phase, "gone", cancel))  # the node ended before the cancel arrived
    if phase == "draining" and node == "gone":
        states.append(("stopped", node, cancel))
    if phase == "draining" and cancel == "pending" and node == "serves":
        states.append(("serving", node, "none"))
    if phase == "stopped" and cancel == "pending" and "restart" not in omitted_rules:
        states.append(("starting", node, cancel))
    if phase == "starting" and node == "gone":
        states.append(("serving", "serves", "none"))
    return states


def reachable_states(omitted: Iterable[str] = ()) -> set[State]:
    """Return the states reachable from a drain that has just started, with a cancel at any time."""

    def successors(state: State) -> list[State]:
        phase, node, cancel = state
        states = next_states(state, omitted)
        if phase in ("draining", "stopped") and cancel == "none":
            states.append((phase, node, "pending"))
        return states

    return reachable(("draining", "serves", "none"), successors)


def stuck_states(omitted: Iterable[str] = ()) -> list[State]:
    """Return the states that are not final and have no step."""
    return sorted(
        state
        for state in reachable_states(omitted)
        if state not in FINAL_STATES and not next_states(state, omitted)
    )


def always_ends(omitted: Iterable[str] = ()) -> bool:
    """Whether a rank exists that decreases with every step until a drain reaches a final state."""
    return has_rank(
        reachable_states(omitted), lambda state: [] if state in FINAL_STATES else next_states(state, omitted)
    )
