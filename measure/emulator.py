"""Measures the event rate of the emulator with 200 nodes, and its cost per request by fleet size."""

from __future__ import annotations

import sys
import time
from dataclasses import dataclass
from typing import Any

from measure.common import describe_machine, parse_arguments, print_line, write_figures
from oakkeel.emulator.clients import BalancingPolicy, ClientBehavior
from oakkeel.emulator.scenario import RESPONSE_TIME_NS, Scenario, ScenarioRun
from oakkeel.units import SECOND

RATE_PER_NODE = 10.0  # requests a second
FLEET_SIZES = (10, 100, 1000)


@dataclass(slots=True, frozen=True)
class Measurement:
    """Cost of one simulated scenario."""

    nodes: int
    real_seconds: float
    events: int
    requests: int
    speedup: float  # simulated seconds per real second
    breaches: int
    digest: str

    def to_figures(self) -> dict[str, Any]:
        """Return the figures under their JSON keys."""
        return {
            "nodes": self.nodes,
            "took_s": self.real_seconds,  # real time of the simulation
            "events": self.events,
            "asked": self.requests,  # number of requests sent
            "times_real": self.speedup,  # simulated seconds per real second
            "breaches": self.breaches,
            "digest": self.digest,
        }


def measure_fleet(nodes: int, seconds: float, seed: int) -> Measurement:
    """Simulate a fleet for some seconds and measure the real time that the simulation takes."""
    scenario = Scenario(
        nodes=nodes,
        cores=4,
        seconds=seconds,
        dispatchers=max(2, nodes // 10),
        seed=seed,
        client_behavior=ClientBehavior(policy=BalancingPolicy.ROUND_ROBIN),
    )
    scenario_run = ScenarioRun(scenario)
    scenario_run.dispatcher_rate = RATE_PER_NODE * nodes / scenario.dispatchers
    started = time.perf_counter()
    result = scenario_run.run()
    elapsed = time.perf_counter() - started
    return Measurement(
        nodes=nodes,
        real_seconds=elapsed,
        events=result.events_processed,
        requests=result.requests,
        speedup=(seconds + RESPONSE_TIME_NS / SECOND) / elapsed,
        breaches=len(result.breaches),
        digest=result.digest(),
    )


def print_measurement(measurement: Measurement) -> None:
    """Print the cost of one fleet size."""
    cost = 1e6 * measurement.real_seconds / measurement.requests
    print_line(
        f"  {measurement.nodes:5} nodes, 10 s: {measurement.real_seconds:.1f} s, {cost:.0f} us an"
        f" exchange, {measurement.events} events, {measurement.breaches} breaches"
    )


def main() -> int:
    """Measure three fleet sizes, then the requested size; the exit code is 1 if an invariant is broken."""
    arguments = parse_arguments(__doc__ or "", seconds=60.0, nodes=200, seed=18)
    print_line(f"{describe_machine()}; simulated time")
    by_fleet_size = []
    for nodes in FLEET_SIZES:
        measurement = measure_fleet(nodes, 10.0, arguments.seed)
        by_fleet_size.append(measurement)
        print_measurement(measurement)
    requested = measure_fleet(arguments.nodes, arguments.seconds, arguments.seed)
    figures = {
        "rows": [measurement.to_figures() for measurement in by_fleet_size],
        "whole": requested.to_figures(),  # the run with the requested size
    }
    write_figures(arguments, figures)
    print_line(
        f"  {requested.nodes} nodes, {arguments.seconds:g} s: {requested.requests} exchanges,"
        f" {requested.real_seconds:.1f} s, record {requested.digest}"
    )
    print_line(
        f"emulator: {requested.events / requested.real_seconds:.0f} events/s,"
        f" {requested.speedup:.1f} times real time"
    )
    return 1 if any(measurement.breaches for measurement in (*by_fleet_size, requested)) else 0


if __name__ == "__main__":
    sys.exit(main())
