"""Releases of every planted kind before the gates, in simulated time: how many are halted, and how soon.

Twelve nodes, each with a loss of its own, under a load and a disturbance that all have; a canary beside a
control, then twice as many nodes whenever the gates pass. The samples are drawn, the gates and their steps
are the program's. Beside them, on the same draws: a fixed-sample test that is evaluated every second, a
group-sequential one, and a Bayesian one.
"""

from __future__ import annotations

import functools
import math
import multiprocessing
import os
import statistics
import sys
from dataclasses import dataclass, field
from typing import Any

import numpy
from scipy import stats

from measure.common import describe_machine, parse_arguments, print_line, write_figures
from oakkeel.rollout.gates import Decision, Gate
from oakkeel.rollout.samples import AgeClass, Arm, Population, ProcessIdentity, ProcessReport, Samples
from oakkeel.rollout.sequential import Sums
from oakkeel.units import SECOND

# exchanges a second at each node
NODES = 12
RATE = 60.0
GOOD = 0.97  # of which in time
# seconds, and the loss of a cold node at first
COLD = 20
COLD_LOSS = 0.15
# seconds
SOAK = 60
MAX_SECONDS = 1200
KINDS = ("good", "worse by 2 %", "dies after a minute", "leaks", "worse while cold")
INTERIM_ANALYSES = 10  # of the group-sequential test
INTERIM_INTERVAL = 120  # seconds, of the same
OTHER_TESTS = {
    "once": "fixed-sample, each second",
    "looks": "group-sequential, ten analyses",
    "bayes": "Bayesian, each second",
}


@dataclass(slots=True)
class Node:
    """Counters of one process since its start."""

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
        """Start with old nodes only."""
        self.kind = kind
        self.random = numpy.random.default_rng([seed, KINDS.index(kind)])
        self.nodes = [Node("old", -1000, float(self.random.normal(0, 0.0005))) for _ in range(NODES)]
        self.gate = Gate(0, b"", 0.02)
        self.others = dict.fromkeys(OTHER_TESTS, 0)  # second at which each other test would have halted
        self.old = Sums()
        self.new = Sums()
        self.changed_at = 0
        self.updated = 0
        self.limit = pocock_bound()

    def play(self) -> dict[str, Any]:
        """Run until it halts, completes, or MAX_SECONDS have passed."""
        for second in range(MAX_SECONDS):
            if self.updated == 0:
                self._start_canary(second)
            disturbance = 0.02 * max(0.0, math.sin(second / 90)) + float(self.random.exponential(0.004))
            for number in range(NODES):
                self._run_node(second, number, disturbance)
            self.gate.evaluate(second * SECOND)
            verdict = self.gate.verdict(self.gate.reference_weight())
            _evaluate_others(self.others, self.old, self.new, second, self.limit)
            if verdict.decision is Decision.WORSE:
                return self._result("halted", second, verdict.why)
            if verdict.decision is Decision.GOOD and second - self.changed_at >= SOAK:
                if self.updated >= NODES:
                    return self._result("done", second)
                self._start_batch(second)
        return self._result("no answer", MAX_SECONDS)

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
        self.updated = 1
        self.changed_at = second
        self.nodes[0] = Node("new", second, self.nodes[0].loss, 2)
        self.nodes[1] = Node("old", second, self.nodes[1].loss, 2)

    def _start_batch(self, second: int) -> None:
        """Double the number of updated nodes."""
        updated = min(NODES, 2 * self.updated)
        for number in range(self.updated, updated):
            node = self.nodes[number]
            self.nodes[number] = Node("new", second, node.loss, node.generation + 1)
        self.updated = updated
        self.changed_at = second

    def _run_node(self, second: int, number: int, disturbance: float) -> None:
        """Draw the requests of one node in one second, and report them."""
        node = self.nodes[number]
        random = self.random
        age = second - node.since
        cold = node.since >= 0 and age < COLD
        count = int(random.poisson(RATE))
        good = int(random.binomial(count, min(1.0, max(0.0, 1 - self._loss(node, age, cold, disturbance)))))
        node.earned_weight.add(Sums(count, good, good))
        logs = random.normal(-2.5, 0.6, good)
        node.latencies.add(Sums(good, float(logs.sum()), float((logs * logs).sum())))
        node.memory = (
            25_000
            + float(random.normal(0, 150))
            + (200.0 * age if self.kind == "leaks" and node.version == "new" else 0.0)
        )
        latencies = {"quote": Sums(*_totals(node.latencies))}
        samples = Samples(Sums(*_totals(node.earned_weight)), 0, 0, node.memory, latencies)
        name = f"n{number}"
        now = second * SECOND
        process = ProcessIdentity(node.version, node.generation)
        report = ProcessReport(process, AgeClass.COLD if cold else AgeClass.WARM, samples)
        self.gate.record(now, name, Arm(node.version), report)
        if not cold:
            (self.new if node.version == "new" else self.old).add(Sums(count, good, good))
        dies = self.kind == "dies after a minute" and node.version == "new" and age > 60
        if dies and random.random() < 0.05:
            arms = [other.version for other in self.nodes]
            self.gate.record_death(Arm.NEW, Population(arms.count("new"), arms.count("old")))
            self.nodes[number] = Node("new", second, node.loss, node.generation + 1)

    def _loss(self, node: Node, age: int, cold: bool, disturbance: float) -> float:
        """Return the share of the requests that the node does not complete in time."""
        loss = 1 - GOOD + disturbance + node.loss + (COLD_LOSS * (1 - age / COLD) if cold else 0.0)
        if node.version == "new":
            loss += 0.02 * GOOD if self.kind == "worse by 2 %" else 0.0
            loss += 0.10 if self.kind == "worse while cold" and cold else 0.0
        return loss


def play(arguments: tuple[int, str]) -> dict[str, Any]:
    """Play one release, given by seed and kind."""
    return SimulatedRelease(*arguments).play()


def _totals(sums: Sums) -> tuple[float, float, float]:
    return sums.count, sums.total, sums.squares


def _evaluate_others(others: dict[str, int], old: Sums, new: Sums, second: int, bound: float) -> None:
    """Evaluate the other tests on the requests to warm nodes, with all samples up to now."""
    if min(old.count, new.count) < 200:
        return
    pooled = (old.total + new.total) / (old.count + new.count)
    spread = math.sqrt(max(1e-9, pooled * (1 - pooled)) * (1 / old.count + 1 / new.count))
    point = (old.mean - new.mean) / spread
    if not others["once"] and point > stats.norm.ppf(0.99):
        others["once"] = second
    if not others["looks"] and second and second % INTERIM_INTERVAL == 0 and point > bound:
        others["looks"] = second
    # Posterior with flat priors, as normals: the chance that more than half of the margin is lost.
    if not others["bayes"] and stats.norm.sf(0.25 * 0.02, old.mean - new.mean, spread) > 0.99:
        others["bayes"] = second


@functools.cache
def pocock_bound() -> float:
    """Return the bound that ten analyses at evenly growing samples pass with a chance of 1 %, by simulation.

    It is the same for each analysis, after S. Pocock, "Group sequential methods", Biometrika 1977.
    """
    walks = numpy.random.default_rng(1).normal(size=(200_000, INTERIM_ANALYSES)).cumsum(axis=1)
    highest = (walks / numpy.sqrt(numpy.arange(1, INTERIM_ANALYSES + 1))).max(axis=1)
    return float(numpy.quantile(highest, 0.99))


def print_kind(kind: str, played: list[dict[str, Any]]) -> None:
    """Print how the releases of one kind ended, and what the other tests would have halted."""
    halted = [result for result in played if result["end"] == "halted"]
    ends = {end: sum(result["end"] == end for result in played) for end in ("halted", "done", "no answer")}
    line = f"{kind}: {ends}"
    if halted:
        middle = {
            name: statistics.median(result[name] for result in halted)
            for name in ("samples", "second", "there")
        }
        line += (
            f"; halted after {middle['samples']:.0f} requests of the new and"
            f" {middle['second']:.0f} s in the median, {middle['there']:.0f} of {NODES} changed"
        )
    print_line(line)
    if kind in KINDS[:2]:
        for name, label in OTHER_TESTS.items():
            share = sum(bool(result["others"][name]) for result in played) / len(played)
            print_line(f"  {label}: {100 * share:.1f} % halted")


def play_all(seed: int, count: int) -> dict[str, list[dict[str, Any]]]:
    """Play releases of each kind on all cores; return the results by kind."""
    results: dict[str, list[dict[str, Any]]] = {kind: [] for kind in KINDS}
    with multiprocessing.Pool(os.cpu_count()) as pool:
        work = [(seed + number, kind) for kind in KINDS for number in range(count)]
        for result in pool.imap_unordered(play, work, chunksize=4):
            results[result["kind"]].append(result)
    return results


def main() -> int:
    """Play releases of each kind, and compare the tests."""
    arguments = parse_arguments("Releases of each planted kind before the gates.", count=1000, seed=1)
    results = play_all(arguments.seed, arguments.count)
    for kind, played in results.items():
        print_kind(kind, played)
    worse = [result for kind in KINDS[1:] for result in results[kind]]
    halted = [result for result in worse if result["end"] == "halted"]
    share = 100 * len(halted) / max(1, len(worse))
    good = results["good"]
    false = 100 * sum(result["end"] == "halted" for result in good) / max(1, len(good))
    samples = statistics.median(result["samples"] for result in halted) if halted else 0
    write_figures(arguments, {"machine": describe_machine(), "played": results})
    print_line(
        f"gates: {share:.1f} % of worse ones halted after {samples:.0f} samples in the median, {false:.1f} %"
        " of good ones halted"
    )
    return 0 if share >= 90 and false <= 2 else 1


if __name__ == "__main__":
    sys.exit(main())
