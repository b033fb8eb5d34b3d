"""Measures how many releases the gates halt, and how soon, for one good and four defective versions.

Twelve nodes run in simulated time; each node has a different loss, and all have the same load and
disturbance. A canary runs beside a control; the number of updated nodes doubles whenever the gates pass. The
samples are random; the gates are those of the program. For comparison, other tests are evaluated on the same
samples: a fixed-sample test and a Bayesian test every second, and a group-sequential test.
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

NODES = 12
NODE_RATE = 60.0  # requests a second at each node
SUCCESS_SHARE = 0.97  # share of the requests that complete in time
COLD_SECONDS = 20
COLD_LOSS = 0.15  # share lost by a cold node at its start
SOAK_SECONDS = 60  # shortest time between two batches
MAX_SECONDS = 1200  # a release without a result by then ends as "no answer"
# Behaviour of the new version.
KINDS = ("good", "worse by 2 %", "dies after a minute", "leaks", "worse while cold")
INTERIM_ANALYSES = 10  # number of analyses of the group-sequential test
INTERIM_INTERVAL = 120  # seconds between two analyses
OTHER_TESTS = {
    "once": "fixed-sample, each second",
    "looks": "group-sequential, ten analyses",
    "bayes": "Bayesian, each second",
}


@dataclass(slots=True)
class Node:
    """Version, age and counters of the process of one node; times in seconds."""

    version: str
    started_at: int
    loss: float
    generation: int = 1
    earned_weight: Sums = field(default_factory=Sums)
    latencies: Sums = field(default_factory=Sums)
    memory: float = 25_000.0


class SimulatedRelease:
    """One release of a kind of version, judged every second by the gates and by the other tests."""

    def __init__(self, seed: int, kind: str) -> None:
        """Start with all nodes at the old version."""
        self.kind = kind
        self.random = numpy.random.default_rng([seed, KINDS.index(kind)])
        self.nodes = [Node("old", -1000, float(self.random.normal(0, 0.0005))) for _ in range(NODES)]
        self.gate = Gate(0, b"", 0.02)
        self.other_halt_times = dict.fromkeys(OTHER_TESTS, 0)  # second at which each test would halt
        self.old_requests = Sums()
        self.new_requests = Sums()
        self.changed_at = 0
        self.updated_count = 0
        self.bound = pocock_bound()

    def play(self) -> dict[str, Any]:
        """Run until the release halts or completes, or MAX_SECONDS have passed."""
        for second in range(MAX_SECONDS):
            if self.updated_count == 0:
                self._start_canary(second)
            disturbance = 0.02 * max(0.0, math.sin(second / 90)) + float(self.random.exponential(0.004))
            for number in range(NODES):
                self._run_node(second, number, disturbance)
            self.gate.evaluate(second * SECOND)
            verdict = self.gate.verdict(self.gate.reference_weight())
            _evaluate_other_tests(
                self.other_halt_times, self.old_requests, self.new_requests, second, self.bound
            )
            if verdict.decision is Decision.WORSE:
                return self._result("halted", second, verdict.why)
            if verdict.decision is Decision.GOOD and second - self.changed_at >= SOAK_SECONDS:
                if self.updated_count >= NODES:
                    return self._result("done", second)
                self._start_batch(second)
        return self._result("no answer", MAX_SECONDS)

    def _result(self, end: str, second: int, why: str = "") -> dict[str, Any]:
        return {
            "kind": self.kind,
            "end": end,
            "second": second,  # duration of the release
            "samples": self.new_requests.count,  # requests to warm nodes with the new version
            "why": why,
            "there": self.updated_count,  # nodes with the new version
            "others": self.other_halt_times,  # by test; 0 if the test would not halt
        }

    def _start_canary(self, second: int) -> None:
        """Update the first node, and restart the second as its control."""
        self.updated_count = 1
        self.changed_at = second
        self.nodes[0] = Node("new", second, self.nodes[0].loss, 2)
        self.nodes[1] = Node("old", second, self.nodes[1].loss, 2)

    def _start_batch(self, second: int) -> None:
        """Double the number of updated nodes."""
        updated_count = min(NODES, 2 * self.updated_count)
        for number in range(self.updated_count, updated_count):
            node = self.nodes[number]
            self.nodes[number] = Node("new", second, node.loss, node.generation + 1)
        self.updated_count = updated_count
        self.changed_at = second

    def _run_node(self, second: int, number: int, disturbance: float) -> None:
        """Generate the requests of one node in one second, and record them at the gate."""
        node = self.nodes[number]
        random = self.random
        age = second - node.started_at
        is_cold = node.started_at >= 0 and age < COLD_SECONDS
        count = int(random.poisson(NODE_RATE))
        succeeded = int(
            random.binomial(count, min(1.0, max(0.0, 1 - self._loss(node, age, is_cold, disturbance))))
        )
        node.earned_weight.add(Sums(count, succeeded, succeeded))
        log_latencies = random.normal(-2.5, 0.6, succeeded)
        node.latencies.add(
            Sums(succeeded, float(log_latencies.sum()), float((log_latencies * log_latencies).sum()))
        )
        node.memory = (
            25_000
            + float(random.normal(0, 150))
            + (200.0 * age if self.kind == "leaks" and node.version == "new" else 0.0)
        )
        latencies = {"quote": Sums(*_as_tuple(node.latencies))}
        samples = Samples(Sums(*_as_tuple(node.earned_weight)), 0, 0, node.memory, latencies)
        name = f"n{number}"
        now = second * SECOND
        process = ProcessIdentity(node.version, node.generation)
        report = ProcessReport(process, AgeClass.COLD if is_cold else AgeClass.WARM, samples)
        self.gate.record(now, name, Arm(node.version), report)
        if not is_cold:
            (self.new_requests if node.version == "new" else self.old_requests).add(
                Sums(count, succeeded, succeeded)
            )
        may_die = self.kind == "dies after a minute" and node.version == "new" and age > 60
        if may_die and random.random() < 0.05:
            arms = [other.version for other in self.nodes]
            self.gate.record_death(Arm.NEW, Population(arms.count("new"), arms.count("old")))
            self.nodes[number] = Node("new", second, node.loss, node.generation + 1)

    def _loss(self, node: Node, age: int, is_cold: bool, disturbance: float) -> float:
        """Return the share of the requests that the node does not complete in time."""
        loss = (
            1
            - SUCCESS_SHARE
            + disturbance
            + node.loss
            + (COLD_LOSS * (1 - age / COLD_SECONDS) if is_cold else 0.0)
        )
        if node.version == "new":
            loss += 0.02 * SUCCESS_SHARE if self.kind == "worse by 2 %" else 0.0
            loss += 0.10 if self.kind == "worse while cold" and is_cold else 0.0
        return loss


def play(arguments: tuple[int, str]) -> dict[str, Any]:
    """Run one release, given by its seed and kind."""
    return SimulatedRelease(*arguments).play()


def _as_tuple(sums: Sums) -> tuple[float, float, float]:
    return sums.count, sums.total, sums.squares


def _evaluate_other_tests(
    other_halt_times: dict[str, int], old_requests: Sums, new_requests: Sums, second: int, bound: float
) -> None:
    """Evaluate the other tests on all requests to warm nodes up to this second."""
    if min(old_requests.count, new_requests.count) < 200:
        return
    pooled = (old_requests.total + new_requests.total) / (old_requests.count + new_requests.count)
    standard_error = math.sqrt(
        max(1e-9, pooled * (1 - pooled)) * (1 / old_requests.count + 1 / new_requests.count)
    )
    z_score = (old_requests.mean - new_requests.mean) / standard_error
    if not other_halt_times["once"] and z_score > stats.norm.ppf(0.99):
        other_halt_times["once"] = second
    if not other_halt_times["looks"] and second and second % INTERIM_INTERVAL == 0 and z_score > bound:
        other_halt_times["looks"] = second
    # The posterior of the loss with flat priors, approximated by a normal distribution: the probability
    # of a loss above a quarter of the margin of 0.02.
    if (
        not other_halt_times["bayes"]
        and stats.norm.sf(0.25 * 0.02, old_requests.mean - new_requests.mean, standard_error) > 0.99
    ):
        other_halt_times["bayes"] = second


@functools.cache
def pocock_bound() -> float:
    """Return the bound that ten analyses of evenly growing samples exceed with a probability of 1 %.

    The bound is found by simulation. It is the same for each analysis, after S. Pocock, "Group sequential
    methods", Biometrika 1977.
    """
    walks = numpy.random.default_rng(1).normal(size=(200_000, INTERIM_ANALYSES)).cumsum(axis=1)
    maxima = (walks / numpy.sqrt(numpy.arange(1, INTERIM_ANALYSES + 1))).max(axis=1)
    return float(numpy.quantile(maxima, 0.99))


def print_kind(kind: str, played: list[dict[str, Any]]) -> None:
    """Print how the releases of one kind ended, and the share that the other tests would have halted."""
    halted = [result for result in played if result["end"] == "halted"]
    ends = {end: sum(result["end"] == end for result in played) for end in ("halted", "done", "no answer")}
    line = f"{kind}: {ends}"
    if halted:
        medians = {
            name: statistics.median(result[name] for result in halted)
            for name in ("samples", "second", "there")
        }
        line += (
            f"; halted after {medians['samples']:.0f} requests of the new and"
            f" {medians['second']:.0f} s in the median, {medians['there']:.0f} of {NODES} changed"
        )
    print_line(line)
    if kind in KINDS[:2]:
        for name, label in OTHER_TESTS.items():
            share = sum(bool(result["others"][name]) for result in played) / len(played)
            print_line(f"  {label}: {100 * share:.1f} % halted")


def play_all(seed: int, count: int) -> dict[str, list[dict[str, Any]]]:
    """Run releases of each kind on all cores; return the results by kind."""
    results: dict[str, list[dict[str, Any]]] = {kind: [] for kind in KINDS}
    with multiprocessing.Pool(os.cpu_count()) as pool:
        jobs = [(seed + number, kind) for kind in KINDS for number in range(count)]
        for result in pool.imap_unordered(play, jobs, chunksize=4):
            results[result["kind"]].append(result)
    return results


def main() -> int:
    """Run the measurement; the exit code is 1 if too few defective or too many good releases are halted."""
    arguments = parse_arguments("Good and defective releases, judged by the gates.", count=1000, seed=1)
    results = play_all(arguments.seed, arguments.count)
    for kind, played in results.items():
        print_kind(kind, played)
    defective = [result for kind in KINDS[1:] for result in results[kind]]
    halted = [result for result in defective if result["end"] == "halted"]
    share = 100 * len(halted) / max(1, len(defective))
    good = results["good"]
    false_halts = 100 * sum(result["end"] == "halted" for result in good) / max(1, len(good))
    samples = statistics.median(result["samples"] for result in halted) if halted else 0
    write_figures(arguments, {"machine": describe_machine(), "played": results})
    print_line(
        f"gates: {share:.1f} % of worse ones halted after {samples:.0f} samples in the median,"
        f" {false_halts:.1f} % of good ones halted"
    )
    return 0 if share >= 90 and false_halts <= 2 else 1


if __name__ == "__main__":
    sys.exit(main())
