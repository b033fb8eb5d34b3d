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
from dataclasses import dataclass, field
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
LOOK_EVERY = 120  # seconds, of the same
METHODS = ("each second, as if looked at once", "group-sequential, ten looks", "Bayesian, each second")


@dataclass(slots=True)
class Node:
    """One process as it counts since its start."""

    version: str
    since: int
    loss: float
    generation: int = 1
    earned_weight: Sums = field(default_factory=Sums)
    latencies: Sums = field(default_factory=Sums)
    memory: float = 25_000.0


class SimulatedRelease:
    """One release of a kind, second by second, before the gates and the other tests."""

    def __init__(self, seed: int, kind: str) -> None:
        """Begin with old nodes only."""
        self.kind = kind
        self.random = numpy.random.default_rng([seed, KINDS.index(kind)])
        self.nodes = [Node("old", -1000, float(self.random.normal(0, 0.0005))) for _ in range(NODES)]
        self.gate = Gate(0, b"", 0.02)
        self.others = {"once": 0, "looks": 0, "bayes": 0}  # second at which each other test would have halted
        self.old, self.new = Sums(), Sums()
        self.changed_at, self.updated = 0, 0
        self.limit = pocock()

    def play(self) -> dict[str, Any]:
        """Go on until it halts, is done, or its time is over."""
        for second in range(MOST):
            if self.updated == 0:
                self._start_canary(second)
            trouble = 0.02 * max(0.0, math.sin(second / 90)) + float(self.random.exponential(0.004))
            for number in range(NODES):
                self._run_node(second, number, trouble)
            self.gate.evaluate(second * SECOND)
            verdict = self.gate.verdict(self.gate.reference_weight())
            _others(self.others, self.old, self.new, second, self.limit, LOOK_EVERY)
            if verdict.decision is Decision.WORSE:
                return self._result("halted", second, verdict.why)
            if verdict.decision is Decision.GOOD and second - self.changed_at >= SOAK:
                if self.updated >= NODES:
                    return self._result("done", second)
                self._start_batch(second)
        return self._result("no answer", MOST)

    def _result(self, end: str, second: int, why: str = "") -> dict[str, Any]:
        return {
            "kind": self.kind,
            "end": end,
            "second": second,
            "samples": self.new.count,
            "why": why,
            "there": self.updated,
            "others": self.others,
        }

    def _start_canary(self, second: int) -> None:
        """Update the first node, and restart the second as its control."""
        self.updated, self.changed_at = 1, second
        self.nodes[0] = Node("new", second, self.nodes[0].loss, 2)
        self.nodes[1] = Node("old", second, self.nodes[1].loss, 2)

    def _start_batch(self, second: int) -> None:
        """Double the number of updated nodes."""
        updated = min(NODES, 2 * self.updated)
        for number in range(self.updated, updated):
            node = self.nodes[number]
            self.nodes[number] = Node("new", second, node.loss, node.generation + 1)
        self.updated, self.changed_at = updated, second

    def _run_node(self, second: int, number: int, trouble: float) -> None:
        """Draw the requests of one node in one second, and report them."""
        node, random = self.nodes[number], self.random
        age = second - node.since
        cold = node.since >= 0 and age < COLD
        count = int(random.poisson(RATE))
        good = int(random.binomial(count, min(1.0, max(0.0, 1 - self._loss(node, age, cold, trouble)))))
        node.earned_weight.add(Sums(count, good, good))
        logs = random.normal(-2.5, 0.6, good)
        node.latencies.add(Sums(good, float(logs.sum()), float((logs * logs).sum())))
        node.memory = (
            25_000
            + float(random.normal(0, 150))
            + (200.0 * age if self.kind == "leaks" and node.version == "new" else 0.0)
        )
        latencies = {"quote": Sums(*_of(node.latencies))}
        samples = Samples(Sums(*_of(node.earned_weight)), 0, 0, node.memory, latencies)
        name, now = f"n{number}", second * SECOND
        self.gate.record(now, name, node.version, node.version, node.generation, cold, samples)
        if not cold:
            (self.new if node.version == "new" else self.old).add(Sums(count, good, good))
        dies = self.kind == "dies after a minute" and node.version == "new" and age > 60
        if dies and random.random() < 0.05:
            arms = [other.version for other in self.nodes]
            self.gate.record_death(name, "new", arms.count("new"), arms.count("old"))
            self.nodes[number] = Node("new", second, node.loss, node.generation + 1)

    def _loss(self, node: Node, age: int, cold: bool, trouble: float) -> float:
        """Return the part of the requests that the node does not complete in time."""
        loss = 1 - GOOD + trouble + node.loss + (COLD_LOSS * (1 - age / COLD) if cold else 0.0)
        if node.version == "new":
            loss += 0.02 * GOOD if self.kind == "worse by 2 %" else 0.0
            loss += 0.10 if self.kind == "worse while cold" and cold else 0.0
        return loss


def play(arguments: tuple[int, str]) -> dict[str, Any]:
    """Play one release, given by seed and kind."""
    return SimulatedRelease(*arguments).play()


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
    """Play releases of each kind, and compare the tests."""
    arguments = options("Releases of each planted kind before the gates.", count=1000, seed=1)
    found: dict[str, list[dict[str, Any]]] = {kind: [] for kind in KINDS}
    with multiprocessing.Pool(os.cpu_count()) as pool:
        work = [(arguments.seed + number, kind) for kind in KINDS for number in range(arguments.count)]
        for result in pool.imap_unordered(play, work, chunksize=4):
            found[result["kind"]].append(result)
    for kind, played in found.items():
        halted = [result for result in played if result["end"] == "halted"]
        ends = {
            end: sum(result["end"] == end for result in played) for end in ("halted", "done", "no answer")
        }
        line = f"{kind}: {ends}"
        if halted:
            middle = {
                name: statistics.median(result[name] for result in halted)
                for name in ("samples", "second", "there")
            }
            line += (
                f"; halted after {middle['samples']:.0f} exchanges of the new and"
                f" {middle['second']:.0f} s in the median, {middle['there']:.0f} of {NODES} changed"
            )
        say(line)
        if kind in KINDS[:2]:
            for name, label in zip(("once", "looks", "bayes"), METHODS, strict=True):
                share = sum(bool(result["others"][name]) for result in played) / len(played)
                say(f"  {label}: {100 * share:.1f} % halted")
    worse = [result for kind in KINDS[1:] for result in found[kind]]
    halted = [result for result in worse if result["end"] == "halted"]
    share = 100 * len(halted) / max(1, len(worse))
    false = 100 * sum(result["end"] == "halted" for result in found["good"]) / max(1, len(found["good"]))
    samples = statistics.median(result["samples"] for result in halted) if halted else 0
    keep(arguments, {"machine": processor(), "played": found})
    say(
        f"gates: {share:.1f} % of worse ones halted after {samples:.0f} samples in the median, {false:.1f} %"
        " of good ones halted"
    )
    return 0 if share >= 90 and false <= 2 else 1


if __name__ == "__main__":
    sys.exit(main())
