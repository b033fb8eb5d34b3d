"""Model of releases for z3: every release ends, and steps of two controllers are never both applied.

Two targets are released. z3 searches for a rank that decreases with every step of a controller. If such a
rank exists, every release ends unless an operator acts. Operators may act at any time; their actions are not
ranked.
"""

from __future__ import annotations

from collections.abc import Iterable

import z3

from oakkeel.models.ranking import has_rank, reachable

MAX_ATTEMPTS = 2  # per target; the sum over both targets is limited
MAX_STEPS = 5  # applied steps up to which interleavings are explored
# Name of the state, whether the release rolls back, the number of the target that is out of service (0:
# none), the versions of targets 1 and 2, and the number of attempts to update a target.
State = tuple[str, bool, int, str, str, int]
OPERATOR_TRANSITIONS = {
    ("running", "paused"),
    ("paused", "running"),
    ("running", "halted"),
    ("paused", "halted"),
    ("halted", "running"),
    ("halted", "undoing"),
    ("undoing", "halted"),
    ("running", "undoing"),
    ("paused", "undoing"),
    ("halted", "left"),
    ("preparing", "left"),
}
FINAL_OR_SUSPENDED_STATES = ("done", "undone", "left", "halted", "paused")


def controller_steps(state: State, omitted: Iterable[str] = ()) -> list[State]:
    """Return the states after one step of the controller alone; "attempts" in `omitted`: no attempt limit."""
    name, rolls_back, target_out, first, second, attempts = state
    states: list[State] = []
    if name == "preparing":
        return [
            ("running", rolls_back, target_out, first, second, attempts),
            ("left", rolls_back, target_out, first, second, attempts),
        ]
    if target_out:  # the batch may end with either version, whichever version is intended
        for version in ("new", "old"):
            states.append(
                (
                    name,
                    rolls_back,
                    0,
                    version if target_out == 1 else first,
                    version if target_out == 2 else second,
                    attempts,
                )
            )
        if name in ("running", "undoing"):  # the batch failed, or a gate rejected the new version
            states.append(("halted", rolls_back, target_out, first, second, attempts))
            if name == "running":
                states.append(("undoing", True, target_out, first, second, 0))
        return states
    if name not in ("running", "undoing"):
        return []
    intended_version = "old" if rolls_back else "new"
    outdated = [target for target, version in ((1, first), (2, second)) if version != intended_version]
    if not outdated:
        states.append(("undone" if rolls_back else "done", rolls_back, 0, first, second, attempts))
    elif attempts < MAX_ATTEMPTS * 2 or "attempts" in omitted:
        increment = 0 if "attempts" in omitted else 1
        states += [(name, rolls_back, target, first, second, attempts + increment) for target in outdated]
    else:
        states.append(("halted", rolls_back, 0, first, second, attempts))
    if name == "running":
        states.append(("halted", rolls_back, 0, first, second, attempts))
    return states


def operator_steps(state: State) -> list[State]:
    """Return the states that an operator can reach by one action."""
    name, rolls_back, target_out, first_version, second_version, attempts = state
    states = []
    for before, after in sorted(OPERATOR_TRANSITIONS):
        if before == name and not (after == "running" and rolls_back):
            next_attempts = attempts if (before, after) == ("running", "paused") else 0
            states.append(
                (
                    after,
                    rolls_back or after == "undoing",
                    target_out,
                    first_version,
                    second_version,
                    next_attempts,
                )
            )
    return states


def reachable_states(omitted: Iterable[str] = ()) -> set[State]:
    """Return all states that can be reached by steps of a controller and actions of operators."""
    start: State = ("preparing", False, 0, "old", "old", 0)
    return reachable(start, lambda state: [*controller_steps(state, omitted), *operator_steps(state)])


TRANSITIONS = OPERATOR_TRANSITIONS | {
    (state[0], after[0])
    for state in reachable_states()
    for after in controller_steps(state)
    if state[0] != after[0]
}


def stuck_states() -> list[State]:
    """Return the states that are not final and have no step."""
    return sorted(
        state
        for state in reachable_states()
        if not controller_steps(state) and state[0] not in FINAL_OR_SUSPENDED_STATES
    )


def always_ends(omitted: Iterable[str] = ()) -> bool:
    """Whether a rank exists that decreases with every step of a controller."""
    return has_rank(reachable_states(omitted), lambda state: controller_steps(state, omitted))


Variables = dict[str, z3.ArithRef]
# The state machine's latest fencing token and step, and for each of controllers 0 and 1: the fencing token of
# its lease, the step that it saw last, and step (0: none) and fencing token of its proposal in flight.
VARIABLES = (
    "fence",
    "step",
    "fence0",
    "fence1",
    "seen_step0",
    "seen_step1",
    "proposed_step0",
    "proposed_step1",
    "proposal_fence0",
    "proposal_fence1",
)


def can_apply_invalid_step(transition_count: int, rules: set[str]) -> bool:
    """Whether a step can be applied twice, or under an earlier lease, within a number of transitions.

    A controller knows the fencing token of its lease and the step that it saw last. Its proposal may stay in
    flight for any time and may be applied repeatedly. `rules` names the checks of the state machine: "fence",
    the proposal has the latest fencing token; "step", the proposal has the next step.
    """
    solver = z3.Solver()
    states = [
        {name: z3.Int(f"{name}.{number}") for name in VARIABLES} for number in range(transition_count + 1)
    ]
    is_violated = [z3.Bool(f"bad.{number}") for number in range(transition_count + 1)]
    solver.add(
        *[value == (1 if name in ("fence", "fence0") else 0) for name, value in states[0].items()],
        z3.Not(is_violated[0]),
    )
    for number in range(transition_count):
        before = states[number]
        after = states[number + 1]
        transitions = [
            transition
            for controller in "01"
            for transition in (
                _lease_transfer(before, after, controller, is_violated[number], is_violated[number + 1]),
                _step_proposal(before, after, controller, is_violated[number], is_violated[number + 1]),
                _step_application(
                    before, after, controller, rules, is_violated[number], is_violated[number + 1]
                ),
            )
        ]
        solver.add(z3.Or(*transitions))
    solver.add(is_violated[transition_count])
    return bool(solver.check() == z3.sat)


def _unchanged(before: Variables, after: Variables, *changed: str) -> list[z3.BoolRef]:
    return [after[name] == before[name] for name in VARIABLES if name not in changed]


def _lease_transfer(
    before: Variables,
    after: Variables,
    controller: str,
    is_violated: z3.BoolRef,
    is_violated_after: z3.BoolRef,
) -> z3.BoolRef:
    return z3.And(
        after["fence"] == before["fence"] + 1,
        after["fence" + controller] == before["fence"] + 1,
        after["seen_step" + controller] == before["step"],
        *_unchanged(before, after, "fence", "fence" + controller, "seen_step" + controller),
        is_violated_after == is_violated,
    )


def _step_proposal(
    before: Variables,
    after: Variables,
    controller: str,
    is_violated: z3.BoolRef,
    is_violated_after: z3.BoolRef,
) -> z3.BoolRef:
    return z3.And(
        before["fence" + controller] > 0,
        after["proposed_step" + controller] == before["seen_step" + controller] + 1,
        after["proposal_fence" + controller] == before["fence" + controller],
        *_unchanged(before, after, "proposed_step" + controller, "proposal_fence" + controller),
        is_violated_after == is_violated,
    )


def _step_application(
    before: Variables,
    after: Variables,
    controller: str,
    rules: set[str],
    is_violated: z3.BoolRef,
    is_violated_after: z3.BoolRef,
) -> z3.BoolRef:
    proposed_step = before["proposed_step" + controller]
    fence = before["proposal_fence" + controller]
    conditions = [proposed_step > 0]
    if "fence" in rules:
        conditions.append(fence == before["fence"])
    if "step" in rules:
        conditions.append(proposed_step == before["step"] + 1)
    is_invalid = z3.Or(fence != before["fence"], proposed_step <= before["step"])
    step = z3.If(proposed_step > before["step"], proposed_step, before["step"])
    return z3.And(
        *conditions,
        after["step"] == step,
        *_unchanged(before, after, "step"),
        is_violated_after == z3.Or(is_violated, is_invalid),
    )


# The step, the step that each controller saw last, the proposal (step, target) of each controller in flight,
# the target of the open batch (-1: none), and the targets that are out of service.
Proposal = tuple[int, int] | tuple[()]
Interleaving = tuple[int, tuple[int, int], tuple[Proposal, Proposal], int, frozenset[int]]


def max_targets_out(bound: int, rules: set[str]) -> int:
    """Return how many of three targets can be out of service at one time, over all runs of two controllers.

    Each controller knows the step that it saw last and may propose a batch of any target that serves. A
    command may be applied at once or later. Rules: "step", a step is applied once; "permits", a batch needs a
    permit, and permits are limited to `bound`; "one batch", a batch starts only after the previous one has
    finished.
    """
    maximum = 0
    visited: set[Interleaving] = set()
    to_visit: list[Interleaving] = [(0, (0, 0), ((), ()), -1, frozenset())]
    while to_visit:
        state = to_visit.pop()
        if state in visited:
            continue
        visited.add(state)
        maximum = max(maximum, len(state[4]))
        if state[0] <= MAX_STEPS:
            to_visit += _next_interleavings(state, bound, rules)
    return maximum


def _next_interleavings(state: Interleaving, bound: int, rules: set[str]) -> list[Interleaving]:
    step, seen_steps, in_flight, batch, targets_out = state
    states: list[Interleaving] = []
    for controller in (0, 1):
        states.append(
            (
                step,
                (step, seen_steps[1]) if controller == 0 else (seen_steps[0], step),
                in_flight,
                batch,
                targets_out,
            )
        )
        proposal = in_flight[controller]
        if not proposal:
            for target in range(3):
                sent = (seen_steps[controller], target)
                proposals_after = (sent, in_flight[1]) if controller == 0 else (in_flight[0], sent)
                states.append((step, seen_steps, proposals_after, batch, targets_out))
            continue
        proposed_step, target = proposal
        proposals_left: tuple[Proposal, Proposal] = (
            ((), in_flight[1]) if controller == 0 else (in_flight[0], ())
        )
        accepted = (
            ("step" not in rules or proposed_step == step)
            and ("one batch" not in rules or batch < 0)
            and target not in targets_out
            and ("permits" not in rules or len(targets_out) < bound)
        )
        states.append((step, seen_steps, proposals_left, batch, targets_out))  # rejected, or lost in flight
        if accepted:
            states.append((step + 1, seen_steps, proposals_left, target, targets_out | {target}))
    for target in targets_out:  # the target serves again, which finishes its batch
        states.append((step, seen_steps, in_flight, -1 if target == batch else batch, targets_out - {target}))
    return states
