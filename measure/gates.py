"""Releases of every planted kind before the gates, in simulated time: how many are halted, and how soon.

Twelve nodes, each with a share of its own of what goes wrong, under a load and a trouble that all have; a
canary beside a control, then twice as many whenever the gates say that it is good. The samples are drawn, the
gates and their steps are the program's. Beside them, on the same draws: a test made for one look that is
looked at every second, a group-sequential one, and a Bayesian one.
"""

from __future__ import annotations

import math
import multiprocessing
import os
import statistics
import sys
from dataclasses import dataclass
from typing import Any

import numpy
from scipy import stats

from measure.common import SECOND, keep, options, processor, say
from oakkeel.rollout.gates import Decision, Gate, Samples
from oakkeel.rollout.sequential import Sums

NODES, RATE = 12, 60.0  # exchanges a second at each node
GOOD = 0.97  # of which in time
COLD, COLD_LOSS = 20, 0.15  # seconds, and what a cold one loses at first
SOAK, MOST = 60, 1200  # seconds
KINDS = ("good", "worse by 2 %", "dies after a minute", "leaks", "worse while cold")
LOOKS = 10  # of the group-sequential test
METHODS = ("each second, as if looked at once", "group-sequential, ten looks", "Bayesian, each second")


@dataclass(slots=True)
class Node:
    """One process as it counts since its start."""

    version: str
    since: int
    loss: float
    generation: int = 1
    benefit: Sums = None  # type: ignore[assignment]
    times: Sums = None  # type: ignore[assignment]
    memory: float = 25_000.0
    control: bool = False

    def __post_init__(self) -> None:
        self.benefit, self.times = Sums(), Sums()


def play(words: tuple[int, str]) -> dict[str, Any]:
    """One release, until it halts, is done, or its time is over."""
    seed, kind = words
    chance = numpy.random.default_rng([seed, KINDS.index(kind)])
    nodes = [Node("old", -1000, float(chance.normal(0, 0.0005))) for _ in range(NODES)]
    gate = Gate(0, b"", 0.02)
    others = {"once": 0, "looks": 0, "bayes": 0}  # second at which each of the other tests would have halted
    old, new = Sums(), Sums()
    deaths = 0
    changed_at, there = 0, 0
    limits = pocock()
    look_every = 120
    for second in range(MOST):
        now = second * SECOND
        if there == 0:
            there, changed_at = 1, second
            nodes[0] = Node("new", second, nodes[0].loss, 2)
            nodes[1] = Node("old", second, nodes[1].loss, 2, control=True)
        trouble = 0.02 * max(0.0, math.sin(second / 90)) + float(chance.exponential(0.004))
        for number, node in enumerate(nodes):
            age = second - node.since
            cold = node.since >= 0 and age < COLD
            loss = 1 - GOOD + trouble + node.loss + (COLD_LOSS * (1 - age / COLD) if cold else 0.0)
            if node.version == "new":
                loss += 0.02 * GOOD if kind == "worse by 2 %" else 0.0
                loss += 0.10 if kind == "worse while cold" and cold else 0.0
            count = int(chance.poisson(RATE))
            good = int(chance.binomial(count, min(1.0, max(0.0, 1 - loss))))
            node.benefit.add(Sums(count, good, good))
            logs = chance.normal(-2.5, 0.6, good)
            node.times.add(Sums(good, float(logs.sum()), float((logs * logs).sum())))
            node.memory = (
                25_000
                + float(chance.normal(0, 150))
                + (200.0 * age if kind == "leaks" and node.version == "new" else 0.0)
            )
            name = f"n{number}"
            times = {"quote": Sums(*_of(node.times))}
            figures = Samples(Sums(*_of(node.benefit)), 0, 0, node.memory, times)
            gate.record(now, name, node.version, node.version, node.generation, cold, figures)
            if not cold:
                (new if node.version == "new" else old).add(Sums(count, good, good))
            dies = kind == "dies after a minute" and node.version == "new" and age > 60
            if dies and chance.random() < 0.05:
                arms = [each.version for each in nodes]
                gate.record_death(name, "new", arms.count("new"), arms.count("old"))
                deaths += 1
                nodes[number] = Node("new", second, node.loss, node.generation + 1)
        gate.evaluate(now)
        verdict = gate.verdict(gate.reference_weight())
        _others(others, old, new, second, limits, look_every)
        if verdict.decision is Decision.WORSE:
            return {
                "kind": kind,
                "end": "halted",
                "second": second,
                "samples": new.count,
                "why": verdict.why,
                "there": there,
                "others": others,
            }
        if verdict.decision is Decision.GOOD and second - changed_at >= SOAK:
            if there >= NODES:
                return {
                    "kind": kind,
                    "end": "done",
                    "second": second,
                    "samples": new.count,
                    "why": "",
                    "there": there,
                    "others": others,
                }
            for number in range(there, min(NODES, 2 * there)):
                nodes[number] = Node("new", second, nodes[number].loss, nodes[number].generation + 1)
            there, changed_at = min(NODES, 2 * there), second
    return {
        "kind": kind,
        "end": "no answer",
        "second": MOST,
        "samples": new.count,
        "why": "",
        "there": there,
        "others": others,
    }


def _of(sums: Sums) -> tuple[float, float, float]:
    return sums.count, sums.total, sums.squares


def _others(others: dict[str, int], old: Sums, new: Sums, second: int, limits: float, every: int) -> None:
    """What other tests say of the benefit of warm ones, with all samples up to now."""
    if min(old.count, new.count) < 200:
        return
    pooled = (old.total + new.total) / (old.count + new.count)
    spread = math.sqrt(max(1e-9, pooled * (1 - pooled)) * (1 / old.count + 1 / new.count))
    point = (old.mean - new.mean) / spread
    if not others["once"] and point > stats.norm.ppf(0.99):
        others["once"] = second
    if not others["looks"] and second and second % every == 0 and point > limits:
        others["looks"] = second
    # Posterior with flat priors, as normals: the chance that more than half of the margin is lost.
    if not others["bayes"] and stats.norm.sf(0.25 * 0.02, old.mean - new.mean, spread) > 0.99:
        others["bayes"] = second


_limit: list[float] = []


def pocock() -> float:
    """The bound that ten looks at evenly growing samples pass with a chance of 1 %, by simulation; the same
    for each look, after S. Pocock, "Group sequential methods", Biometrika 1977."""
    if not _limit:
        walks = numpy.random.default_rng(1).normal(size=(200_000, LOOKS)).cumsum(axis=1)
        highest = (walks / numpy.sqrt(numpy.arange(1, LOOKS + 1))).max(axis=1)
        _limit.append(float(numpy.quantile(highest, 0.99)))
    return _limit[0]


def main() -> int:
    told = options("Releases of each planted kind before the gates.", count=1000, seed=1)
    found: dict[str, list[dict[str, Any]]] = {kind: [] for kind in KINDS}
    with multiprocessing.Pool(os.cpu_count()) as pool:
        work = [(told.seed + number, kind) for kind in KINDS for number in range(told.count)]
        for each in pool.imap_unordered(play, work, chunksize=4):
            found[each["kind"]].append(each)
    for kind, played in found.items():
        halted = [each for each in played if each["end"] == "halted"]
        ends = {end: sum(each["end"] == end for each in played) for end in ("halted", "done", "no answer")}
        line = f"{kind}: {ends}"
        if halted:
            middle = {
                name: statistics.median(each[name] for each in halted)
                for name in ("samples", "second", "there")
            }
            line += (
                f"; halted after {middle['samples']:.0f} exchanges of the new and"
                f" {middle['second']:.0f} s in the median, {middle['there']:.0f} of {NODES} changed"
            )
        say(line)
        if kind in KINDS[:2]:
            for name, label in zip(("once", "looks", "bayes"), METHODS, strict=True):
                share = sum(bool(each["others"][name]) for each in played) / len(played)
                say(f"  {label}: {100 * share:.1f} % halted")
    worse = [each for kind in KINDS[1:] for each in found[kind]]
    halted = [each for each in worse if each["end"] == "halted"]
    share = 100 * len(halted) / max(1, len(worse))
    false = 100 * sum(each["end"] == "halted" for each in found["good"]) / max(1, len(found["good"]))
    samples = statistics.median(each["samples"] for each in halted) if halted else 0
    keep(told, {"machine": processor(), "played": found})
    say(
        f"gates: {share:.1f} % of worse ones halted after {samples:.0f} samples in the median, {false:.1f} %"
        " of good ones halted"
    )
    return 0 if share >= 90 and false <= 2 else 1


if __name__ == "__main__":
    sys.exit(main())
