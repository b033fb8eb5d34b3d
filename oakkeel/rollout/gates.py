"""Whether a release may go on: the new against the old at the same time, by what nodes tell. Free of I/O.

Each process counts from its start on; what it added between two reports goes to its arm, new or old, and to
the class of its age: cold ones are compared with cold ones only, which the controls of the first batch
are. All measures share one bound on the chance to halt what is as good as the old.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from oakkeel.rollout.sequential import Difference, Events, Sums, log_mean

SECOND = 1_000_000_000
FALSE_HALTS = 0.01
FALSE_PASSES = 0.05
STRETCH = SECOND  # of time that is compared as one
MOST_GROUPS = 16
GROWTH_BORNE = 64.0  # KB a second more than the old
DEATHS_MOST, DEATHS_PART = 3, 0.1  # of the new, by themselves: enough whatever the old do
LEAST = 50  # exchanges of each arm before anything is said


class Samples(msgspec.Struct, array_like=True):
    """What one process has counted since its start."""

    benefit: Sums = msgspec.field(default_factory=Sums)  # in time, of each exchange as a part of the most
    denied: float = 0.0
    terminated: float = 0.0
    memory_kb: float = 0.0
    times: dict[str, Sums] = {}  # by endpoint group: logarithms of seconds until completed


class Decision(Enum):
    WORSE = "worse"
    GOOD = "good"
    TOO_FEW = "too few samples"


@dataclass(slots=True)
class Verdict:
    answer: Decision
    why: str
    figures: str


class GateState(msgspec.Struct, array_like=True):
    """All that a gate has seen, for whoever drives next."""

    warm: Difference = msgspec.field(default_factory=Difference)
    cold: Difference = msgspec.field(default_factory=Difference)
    denied: Difference = msgspec.field(default_factory=Difference)  # parts of the warm ones' exchanges
    slower: dict[str, Difference] = {}
    growth: Difference = msgspec.field(default_factory=Difference)
    deaths: Events = msgspec.field(default_factory=Events)
    there: int = 0  # of the new, when one died last


@dataclass(slots=True, eq=False)
class ProcessBaseline:
    """The last of one process."""

    born: tuple[str, int, str]  # version, generation, class of age
    at: int
    figures: Samples
    arm: str = ""
    memory: list[tuple[int, float]] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class Window:
    """What came since the last comparison, by arm and class of age."""

    benefit: dict[tuple[str, str], Sums] = field(default_factory=dict)
    denied: dict[str, Sums] = field(default_factory=dict)
    times: dict[tuple[str, str], Sums] = field(default_factory=dict)
    growth: dict[str, Sums] = field(default_factory=dict)


class Gate:
    """Made with what an earlier driver had seen, if any."""

    def __init__(self, now: int, seen: bytes, margin: float) -> None:
        """`margin`: a part of the benefit that is too much to lose."""
        self.margin = margin
        try:
            self.state = msgspec.msgpack.decode(seen, type=GateState) if seen else GateState()
        except msgspec.MsgspecError:
            self.state = GateState()
        self.known: dict[str, ProcessBaseline] = {}
        self.stretch, self.stretch_at = Window(), now

    def kept(self) -> bytes:
        return msgspec.msgpack.encode(self.state)

    def count(self) -> float:
        return self.state.warm.new.count

    # What is told.

    def heard(
        self, now: int, thing: str, arm: str, version: str, generation: int, cold: bool, figures: Samples
    ) -> None:
        """A report. `arm` is new or old, or empty where the thing is in neither."""
        age = "cold" if cold else "warm"
        known, born = self.known.get(thing), (version, generation, age)
        if known is None or known.born[:2] != born[:2]:
            self.known[thing] = ProcessBaseline(born, now, figures, arm)
            return
        if figures.benefit.count < known.figures.benefit.count:
            return  # an older report
        if known.born == born and known.arm == arm and arm:
            more = figures.benefit.less(known.figures.benefit)
            self.stretch.benefit.setdefault((arm, age), Sums()).add(more)
            if not cold:
                denied = max(0.0, figures.denied - known.figures.denied)
                self.stretch.denied.setdefault(arm, Sums()).add(Sums(more.count, denied, denied))
                for group, sums in list(figures.times.items())[:MOST_GROUPS]:
                    was = known.figures.times.get(group, Sums())
                    self.stretch.times.setdefault((arm, group), Sums()).add(sums.less(was))
                self._memory(now, known, arm, figures.memory_kb)
        else:
            known.memory.clear()
        known.born, known.at, known.figures, known.arm = born, now, figures, arm

    def _memory(self, now: int, known: ProcessBaseline, arm: str, memory: float) -> None:
        """Growth by the second, over stretches long enough for noise to drop out."""
        known.memory.append((now, memory))
        since, first = known.memory[0]
        if now - since >= 5 * SECOND:
            rate = (memory - first) / ((now - since) / SECOND)
            self.stretch.growth.setdefault(arm, Sums()).add(Sums(1, rate, rate * rate))
            known.memory = [(now, memory)]

    def died(self, thing: str, arm: str, new: int, old: int) -> None:
        """One died by itself, of so many new and old ones that were there."""
        self.state.there = max(self.state.there, new)
        if arm and new and old:
            self.state.deaths.happened(arm == "new", new / (new + old))
        elif arm == "new":
            self.state.deaths.new += 1

    # What is said.

    def look(self, now: int) -> None:
        """Compare what both arms brought, now and then."""
        if now - self.stretch_at < STRETCH:
            return
        found, state = self.stretch, self.state
        none = Sums()
        # Too small a first guess of the variance halts good ones in their first second: cold ones vary.
        for age, test, guess in (("warm", state.warm, 0.1), ("cold", state.cold, 0.25)):
            old, new = found.benefit.get(("old", age), none), found.benefit.get(("new", age), none)
            test.look(old, new, guess)
        denied_old, denied_new = found.denied.get("old", none), found.denied.get("new", none)
        state.denied.look(_turned(denied_old), _turned(denied_new), 0.1)
        for group in {group for _, group in found.times}:
            old, new = found.times.get(("old", group), none), found.times.get(("new", group), none)
            if old.count and new.count:
                if group not in state.slower:
                    state.slower[group] = Difference()
                # Logarithms of times: the new is worse where they are higher.
                state.slower[group].look(_turned(old), _turned(new), 0.25)
        growth_old, growth_new = found.growth.get("old"), found.growth.get("new")
        if growth_old and growth_new:
            state.growth.look(_turned(growth_old), _turned(growth_new), 100.0**2)
            found.growth.clear()
        self.stretch, self.stretch_at = Window(growth=found.growth), now

    def verdict(self, full: float) -> Verdict:
        """`full`: the benefit of an exchange as the old have it, by which losses are measured."""
        state = self.state
        scale = self.margin * max(full, 1e-6)
        logs = {
            "benefit": state.warm.worse(0.25 * scale, scale) if _some(state.warm) else 0.0,
            "benefit while cold": state.cold.worse(0.5 * scale, 4 * scale) if _some(state.cold) else 0.0,
            "denials": state.denied.worse(0.25 * self.margin, self.margin) if _some(state.denied) else 0.0,
            "deaths": state.deaths.worse(),
            "memory": state.growth.worse(GROWTH_BORNE, 4 * GROWTH_BORNE),
        }
        slower = [test.worse(0.05, 0.2) for test in state.slower.values() if _some(test)]
        logs["time"] = log_mean(slower)
        figures = self.figures()
        most = max(DEATHS_MOST, DEATHS_PART * state.there)
        if state.deaths.new >= most and state.deaths.new > state.deaths.old:
            return Verdict(Decision.WORSE, f"{state.deaths.new} of the new died by themselves", figures)
        if log_mean(list(logs.values())) >= math.log(1 / FALSE_HALTS):
            worst = max(logs, key=lambda name: logs[name])
            return Verdict(Decision.WORSE, f"worse than the old: {self._said(worst)}", figures)
        if not _some(state.warm):
            return Verdict(
                Decision.TOO_FEW,
                f"{state.warm.new.count:.0f} exchanges of the new and"
                f" {state.warm.old.count:.0f} of the old at the same time",
                figures,
            )
        if state.warm.not_worse(scale, scale) < math.log(1 / FALSE_PASSES):
            return Verdict(
                Decision.TOO_FEW, f"a loss of {100 * self.margin:.1f} % can't be told from none yet", figures
            )
        return Verdict(Decision.GOOD, "", figures)

    def full(self) -> float:
        return self.state.warm.old.mean or 1.0

    def _said(self, worst: str) -> str:
        state = self.state
        if worst == "deaths":
            return f"{state.deaths.new} deaths of the new, {state.deaths.old} of the old"
        if worst == "memory":
            return (
                f"memory grows {-state.growth.new.mean:.0f} KB a second, the old's"
                f" {-state.growth.old.mean:.0f}"
            )
        if worst == "denials":
            return (
                f"{100 * -state.denied.new.mean:.1f} % are denied, of the old's"
                f" {100 * -state.denied.old.mean:.1f} %"
            )
        if worst == "time":
            group = max(state.slower, key=lambda name: state.slower[name].loss)
            return f"{group} takes {100 * math.expm1(state.slower[group].loss):.1f} % longer"
        test = state.cold if worst.endswith("cold") else state.warm
        return (
            f"{worst} {test.new.mean:.4f} an exchange, the old's {test.old.mean:.4f},"
            f" {100 * test.loss / max(1e-9, test.old.mean):.1f} % less"
        )

    def figures(self) -> str:
        warm = self.state.warm
        return (
            f"benefit {warm.new.mean:.4f} of {warm.new.count:.0f} new, {warm.old.mean:.4f} of"
            f" {warm.old.count:.0f} old, loss {warm.loss:+.4f} +- {min(warm.spread, 9.0):.4f};"
            f" deaths {self.state.deaths.new}, {self.state.deaths.old}"
        )


def _some(test: Difference) -> bool:
    return min(test.new.count, test.old.count) >= LEAST


def _turned(sums: Sums) -> Sums:
    return Sums(sums.count, -sums.total, sums.squares)
