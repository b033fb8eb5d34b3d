"""Model of releases for z3: every release ends, and steps of two controllers are never both applied.

Two targets are released. z3 searches for a rank that decreases with every step of a controller: if there is
one, every release ends unless an operator acts. Operators may act at any time; their actions are not ranked.
"""

from __future__ import annotations

from collections.abc import Iterable

import z3

from oakkeel.models.ranking import has_rank, reachable

MAX_ATTEMPTS = 2
MAX_STEPS = 5  # that are explored
# State, whether it rolls back, the target that is out (0: none), versions of both targets, attempts.
State = tuple[str, bool, int, str, str, int]
OPERATOR_MOVES = {
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
ENDS = ("done", "undone", "left", "halted", "paused")


def steps(state: State, omitted: Iterable[str] = ()) -> list[State]:
    """Return the states that a controller can reach by one step, without an operator."""
    name, back, out, one, two, attempts = state
    found: list[State] = []
    if name == "preparing":
        return [("running", back, out, one, two, attempts), ("left", back, out, one, two, attempts)]
    if out:  # the batch ends with the new or the old version, whichever was intended
        for version in ("new", "old"):
            found.append(
                (name, back, 0, version if out == 1 else one, version if out == 2 else two, attempts)
            )
        if name in ("running", "undoing"):  # it failed, or a gate rejected the new version
            found.append(("halted", back, out, one, two, attempts))
            if name == "running":
                found.append(("undoing", True, out, one, two, 0))
        return found
    if name not in ("running", "undoing"):
        return []
    end = "old" if back else "new"
    wrong = [target for target, version in ((1, one), (2, two)) if version != end]
    if not wrong:
        found.append(("undone" if back else "done", back, 0, one, two, attempts))
    elif attempts < MAX_ATTEMPTS * 2 or "attempts" in omitted:
        more = 0 if "attempts" in omitted else 1
        found += [(name, back, target, one, two, attempts + more) for target in wrong]
    else:
        found.append(("halted", back, 0, one, two, attempts))
    if name == "running":
        found.append(("halted", back, 0, one, two, attempts))
    return found


def operator_steps(state: State) -> list[State]:
    """Return the states that an action of an operator leads to."""
    name, back, out, one, two, attempts = state
    found = []
    for before, after in sorted(OPERATOR_MOVES):
        if before == name and not (after == "running" and back):
            kept_attempts = attempts if (before, after) == ("running", "paused") else 0
            found.append((after, back or after == "undoing", out, one, two, kept_attempts))
    return found


def reached(omitted: Iterable[str] = ()) -> set[State]:
    """Return all states that can be reached, with actions of operators."""
    start: State = ("preparing", False, 0, "old", "old", 0)
    return reachable(start, lambda state: [*steps(state, omitted), *operator_steps(state)])


MOVES = OPERATOR_MOVES | {
    (state[0], after[0]) for state in reached() for after in steps(state) if state[0] != after[0]
}


def stuck() -> list[State]:
    """Return the states that are not final and have no step."""
    return sorted(state for state in reached() if not steps(state) and state[0] not in ENDS)


def always_ends(omitted: Iterable[str] = ()) -> bool:
    """Whether there is a rank that decreases with every step."""
    return has_rank(reached(omitted), lambda state: steps(state, omitted))


Variables = dict[str, z3.ArithRef]
VARIABLES = ("fence", "step", "fence0", "fence1", "knows0", "knows1", "way0", "way1", "under0", "under1")


def both_applied(count: int, rules: set[str]) -> bool:
    """Whether within `count` moves a step is applied twice, or applied under an expired lease.

    A controller knows a fencing token and a step; its proposal may be in flight for any time, and be proposed
    again. `rules` names what the state machine checks: fence, step.
    """
    solver = z3.Solver()
    states = [{name: z3.Int(f"{name}.{number}") for name in VARIABLES} for number in range(count + 1)]
    bad = [z3.Bool(f"bad.{number}") for number in range(count + 1)]
    solver.add(
        *[value == (1 if name in ("fence", "fence0") else 0) for name, value in states[0].items()],
        z3.Not(bad[0]),
    )
    for number in range(count):
        before = states[number]
        after = states[number + 1]
        moves = [
            move
            for controller in "01"
            for move in (
                _lease_transferred(before, after, controller, bad[number], bad[number + 1]),
                _next_step_proposed(before, after, controller, bad[number], bad[number + 1]),
                _step_applied(before, after, controller, rules, bad[number], bad[number + 1]),
            )
        ]
        solver.add(z3.Or(*moves))
    solver.add(bad[count])
    return bool(solver.check() == z3.sat)


def _unchanged(before: Variables, after: Variables, *changed: str) -> list[z3.BoolRef]:
    return [after[name] == before[name] for name in VARIABLES if name not in changed]


def _lease_transferred(
    before: Variables, after: Variables, controller: str, bad: z3.BoolRef, bad_after: z3.BoolRef
) -> z3.BoolRef:
    return z3.And(
        after["fence"] == before["fence"] + 1,
        after["fence" + controller] == before["fence"] + 1,
        after["knows" + controller] == before["step"],
        *_unchanged(before, after, "fence", "fence" + controller, "knows" + controller),
        bad_after == bad,
    )


def _next_step_proposed(
    before: Variables, after: Variables, controller: str, bad: z3.BoolRef, bad_after: z3.BoolRef
) -> z3.BoolRef:
    return z3.And(
        before["fence" + controller] > 0,
        after["way" + controller] == before["knows" + controller] + 1,
        after["under" + controller] == before["fence" + controller],
        *_unchanged(before, after, "way" + controller, "under" + controller),
        bad_after == bad,
    )


def _step_applied(
    before: Variables,
    after: Variables,
    controller: str,
    rules: set[str],
    bad: z3.BoolRef,
    bad_after: z3.BoolRef,
) -> z3.BoolRef:
    in_flight = before["way" + controller]
    fence = before["under" + controller]
    conditions = [in_flight > 0]
    if "fence" in rules:
        conditions.append(fence == before["fence"])
    if "step" in rules:
        conditions.append(in_flight == before["step"] + 1)
    wrong = z3.Or(fence != before["fence"], in_flight <= before["step"])
    step = z3.If(in_flight > before["step"], in_flight, before["step"])
    return z3.And(
        *conditions,
        after["step"] == step,
        *_unchanged(before, after, "step"),
        bad_after == z3.Or(bad, wrong),
    )


# Step, what each controller saw, proposals in flight (controller's step, target), open batch, what is out.
Proposal = tuple[int, int] | tuple[()]
Interleaving = tuple[int, tuple[int, int], tuple[Proposal, Proposal], int, frozenset[int]]


def max_unavailable(bound: int, rules: set[str]) -> int:
    """Return how many of three targets are out at one time, at most, over all runs of two controllers.

    Each controller knows the step that it saw last and may propose a batch of any target that is in; a
    command may be applied at once or later. `rules`: step, a batch is accepted once; permits, none without
    one within the bound; one batch, the next only after the last is finished.
    """
    most = 0
    seen: set[Interleaving] = set()
    pending: list[Interleaving] = [(0, (0, 0), ((), ()), -1, frozenset())]
    while pending:
        state = pending.pop()
        if state in seen:
            continue
        seen.add(state)
        most = max(most, len(state[4]))
        if state[0] <= MAX_STEPS:
            pending += _next_interleavings(state, bound, rules)
    return most


def _next_interleavings(state: Interleaving, bound: int, rules: set[str]) -> list[Interleaving]:
    step, saw, in_flight, batch, out = state
    found: list[Interleaving] = []
    for controller in (0, 1):
        found.append((step, (step, saw[1]) if controller == 0 else (saw[0], step), in_flight, batch, out))
        proposal = in_flight[controller]
        if not proposal:
            for target in range(3):
                sent = (saw[controller], target)
                flying = (sent, in_flight[1]) if controller == 0 else (in_flight[0], sent)
                found.append((step, saw, flying, batch, out))
            continue
        at, target = proposal
        rest: tuple[Proposal, Proposal] = ((), in_flight[1]) if controller == 0 else (in_flight[0], ())
        accepted = (
            ("step" not in rules or at == step)
            and ("one batch" not in rules or batch < 0)
            and target not in out
            and ("permits" not in rules or len(out) < bound)
        )
        found.append((step, saw, rest, batch, out))  # rejected, or lost in flight
        if accepted:
            found.append((step + 1, saw, rest, target, out | {target}))
    for target in out:  # it is back in service, and the batch may be finished
        found.append((step, saw, in_flight, -1 if target == batch else batch, out - {target}))
    return found
