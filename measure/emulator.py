"""Measures the emulator: events a second of 200 nodes at 2,000 requests a second, and cost by fleet size."""

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
            "took_s": self.real_seconds,
            "events": self.events,
            "asked": self.requests,
            "times_real": self.speedup,
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


def print_row(row: Measurement) -> None:
    """Print the cost of one fleet size."""
    cost = 1e6 * row.real_seconds / row.requests
    print_line(
        f"  {row.nodes:5} nodes, 10 s: {row.real_seconds:.1f} s, {cost:.0f} us an"
        f" exchange, {row.events} events, {row.breaches} breaches"
    )


def main() -> int:
    """Measure three fleet sizes, then the requested size; the exit code is 1 if an invariant is broken."""
    arguments = parse_arguments(__doc__ or "", seconds=60.0, nodes=200, seed=18)
    print_line(f"{describe_machine()}; simulated time")
    rows = []
    for nodes in FLEET_SIZES:
        row = measure_fleet(nodes, 10.0, arguments.seed)
        rows.append(row)
        print_row(row)
    final = measure_fleet(arguments.nodes, arguments.seconds, arguments.seed)
    write_figures(arguments, {"rows": [row.to_figures() for row in rows], "whole": final.to_figures()})
    print_line(
        f"  {final.nodes} nodes, {arguments.seconds:g} s: {final.requests} exchanges,"
        f" {final.real_seconds:.1f} s, record {final.digest}"
    )
    print_line(
        f"emulator: {final.events / final.real_seconds:.0f} events/s, {final.speedup:.1f} times real time"
    )
    return 1 if any(row.breaches for row in (*rows, final)) else 0


if __name__ == "__main__":
    sys.exit(main())
