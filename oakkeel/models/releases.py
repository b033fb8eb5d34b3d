"""Does every release end, and can the steps of two drivers both be taken? Every case of a small one, by z3.

Two things are released. z3 is asked for a rank that every step of a driver makes smaller: if there is one, no
release can go on for ever by itself. Words of operators may come at any time; they are not ranked.
"""

from __future__ import annotations

from collections.abc import Iterable

import z3

TRIES = 2
# State of the release, whether it goes back, the thing that is out (0: none), versions, tries.
State = tuple[str, bool, int, str, str, int]
OPERATOR = {
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


def steps(state: State, left_out: Iterable[str] = ()) -> list[State]:
    """What a driver can do or find, with no operator."""
    name, back, out, one, two, tries = state
    found: list[State] = []
    if name == "preparing":
        return [("running", back, out, one, two, tries), ("left", back, out, one, two, tries)]
    if out:  # settled as new or old, whatever was meant
        for version in ("new", "old"):
            found.append((name, back, 0, version if out == 1 else one, version if out == 2 else two, tries))
        if name in ("running", "undoing"):  # it failed, or the gates found it worse
            found.append(("halted", back, out, one, two, tries))
            if name == "running":
                found.append(("undoing", True, out, one, two, 0))
        return found
    if name not in ("running", "undoing"):
        return []
    end = "old" if back else "new"
    wrong = [place for place, version in ((1, one), (2, two)) if version != end]
    if not wrong:
        found.append(("undone" if back else "done", back, 0, one, two, tries))
    elif tries < TRIES * 2 or "tries" in left_out:
        more = 0 if "tries" in left_out else 1
        found += [(name, back, place, one, two, tries + more) for place in wrong]
    else:
        found.append(("halted", back, 0, one, two, tries))
    if name == "running":
        found.append(("halted", back, 0, one, two, tries))
    return found


def reached(left_out: Iterable[str] = ()) -> set[State]:
    """Operators' words included."""
    found: set[State] = set()
    ahead: list[State] = [("preparing", False, 0, "old", "old", 0)]
    while ahead:
        state = ahead.pop()
        if state in found:
            continue
        found.add(state)
        ahead += steps(state, left_out)
        name, back, out, one, two, tries = state
        for was, to in OPERATOR:
            if was == name and not (to == "running" and back):
                ahead.append(
                    (
                        to,
                        back or to == "undoing",
                        out,
                        one,
                        two,
                        0 if (was, to) != ("running", "paused") else tries,
                    )
                )
    return found


MOVES = OPERATOR | {
    (state[0], after[0]) for state in reached() for after in steps(state) if state[0] != after[0]
}


def stuck() -> list[State]:
    """States that are no end and that nothing leads on from; an end with something out is none."""
    return sorted(state for state in reached() if not steps(state) and state[0] not in ENDS)


def always_ends(left_out: Iterable[str] = ()) -> bool:
    """Whether there is a rank that every step makes smaller."""
    states = reached(left_out)
    rank = {state: z3.Int("/".join(map(str, state))) for state in states}
    solver = z3.Solver()
    solver.add(*[each >= 0 for each in rank.values()])
    for state in states:
        solver.add(*[rank[after] < rank[state] for after in steps(state, left_out)])
    return solver.check() == z3.sat


def both_taken(count: int, rules: set[str]) -> bool:
    """Whether in so many moves a step is taken twice, or taken of a driver whose lease is another's by then.

    A driver knows a fence and a step; what it proposes may be on its way for as long as it likes, and be
    proposed once more. `rules`: fence, step; what the record checks.
    """
    solver = z3.Solver()
    names = ("fence", "step", "fence0", "fence1", "knows0", "knows1", "way0", "way1", "under0", "under1")
    states = [{name: z3.Int(f"{name}.{number}") for name in names} for number in range(count + 1)]
    bad = [z3.Bool(f"bad.{number}") for number in range(count + 1)]
    solver.add(
        *[value == (1 if name in ("fence", "fence0") else 0) for name, value in states[0].items()],
        z3.Not(bad[0]),
    )
    for number in range(count):
        a, b = states[number], states[number + 1]

        def same(*but: str, a=a, b=b) -> list:
            return [b[name] == a[name] for name in names if name not in but]

        moves = []
        for who in "01":
            moves.append(
                z3.And(
                    b["fence"] == a["fence"] + 1,
                    b["fence" + who] == a["fence"] + 1,
                    b["knows" + who] == a["step"],
                    *same("fence", "fence" + who, "knows" + who),
                    bad[number + 1] == bad[number],
                )
            )  # the lease goes over
            moves.append(
                z3.And(
                    a["fence" + who] > 0,
                    b["way" + who] == a["knows" + who] + 1,
                    b["under" + who] == a["fence" + who],
                    *same("way" + who, "under" + who),
                    bad[number + 1] == bad[number],
                )
            )  # it proposes the next step
            holds = [a["way" + who] > 0]
            if "fence" in rules:
                holds.append(a["under" + who] == a["fence"])
            if "step" in rules:
                holds.append(a["way" + who] == a["step"] + 1)
            wrong = z3.Or(a["under" + who] != a["fence"], a["way" + who] <= a["step"])
            step = z3.If(a["way" + who] > a["step"], a["way" + who], a["step"])
            moves.append(
                z3.And(*holds, b["step"] == step, *same("step"), bad[number + 1] == z3.Or(bad[number], wrong))
            )  # it is taken
        solver.add(z3.Or(*moves))
    solver.add(bad[count])
    return solver.check() == z3.sat


def most_out(bound: int, rules: set[str]) -> int:
    """How many of three things can be out at one time at most, at every interleaving of two drivers.

    Each driver knows the step that it saw last and may propose a batch of any thing that is in; what the
    record takes may be used at once or later. `rules`: step, a batch holds once; places, none without one
    within the bound; one batch, the next only after the last is settled.
    """
    most, seen = 0, set()
    # step, what each driver saw, proposals on their way (driver's step, thing), batch under way, what is out
    ahead: list[tuple] = [(0, (0, 0), ((), ()), -1, frozenset())]
    while ahead:
        state = ahead.pop()
        if state in seen:
            continue
        seen.add(state)
        step, saw, way, batch, out = state
        most = max(most, len(out))
        if step > 5:
            continue
        for who in (0, 1):
            ahead.append((step, (step, saw[1]) if who == 0 else (saw[0], step), way, batch, out))
            for thing in range(3):
                if not way[who]:
                    sent = (saw[who], thing)
                    ahead.append((step, saw, (sent, way[1]) if who == 0 else (way[0], sent), batch, out))
            if way[who]:
                at, thing = way[who]
                left = ((), way[1]) if who == 0 else (way[0], ())
                holds = (
                    ("step" not in rules or at == step)
                    and ("one batch" not in rules or batch < 0)
                    and thing not in out
                    and ("places" not in rules or len(out) < bound)
                )
                ahead.append((step, saw, left, batch, out))  # refused, or lost on its way
                if holds:
                    ahead.append((step + 1, saw, left, thing, out | {thing}))
        for thing in out:  # it is back, and the batch may be settled
            ahead.append((step, saw, way, -1 if thing == batch else batch, out - {thing}))
    return most
