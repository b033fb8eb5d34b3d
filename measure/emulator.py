"""Two hundred simulated nodes at 2,000 requests a second: events a second, and cost by number of nodes."""

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
    seconds_taken: float  # real time
    events: int
    requests: int
    times_real: float  # simulated seconds a real second
    breaches: int
    digest: str

    def figures(self) -> dict[str, Any]:
        """Return the figures with the keys of the journal."""
        return {
            "nodes": self.nodes,
            "took_s": self.seconds_taken,
            "events": self.events,
            "asked": self.requests,
            "times_real": self.times_real,
            "breaches": self.breaches,
            "digest": self.digest,
        }


def measure_fleet(nodes: int, seconds: float, seed: int) -> Measurement:
    """Simulate a fleet for some seconds and measure the real time that it takes."""
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
        seconds_taken=elapsed,
        events=result.events_processed,
        requests=result.requests,
        times_real=(seconds + RESPONSE_TIME_NS / SECOND) / elapsed,
        breaches=len(result.breaches),
        digest=result.digest(),
    )


def print_row(row: Measurement) -> None:
    """Print the cost of one fleet size."""
    cost = 1e6 * row.seconds_taken / row.requests
    print_line(
        f"  {row.nodes:5} nodes, 10 s: {row.seconds_taken:.1f} s, {cost:.0f} us an"
        f" exchange, {row.events} events, {row.breaches} breaches"
    )


def main() -> int:
    """Measure three fleet sizes, then the one asked for; exit code 1 where a rule is broken."""
    arguments = parse_arguments(__doc__ or "", seconds=60.0, nodes=200, seed=18)
    print_line(f"{describe_machine()}; simulated time")
    rows = []
    for nodes in FLEET_SIZES:
        row = measure_fleet(nodes, 10.0, arguments.seed)
        rows.append(row)
        print_row(row)
    final = measure_fleet(arguments.nodes, arguments.seconds, arguments.seed)
    write_figures(arguments, {"rows": [row.figures() for row in rows], "whole": final.figures()})
    print_line(
        f"  {final.nodes} nodes, {arguments.seconds:g} s: {final.requests} exchanges,"
        f" {final.seconds_taken:.1f} s, record {final.digest}"
    )
    print_line(
        f"emulator: {final.events / final.seconds_taken:.0f} events/s, {final.times_real:.1f} times real time"
    )
    return 1 if any(row.breaches for row in (*rows, final)) else 0


if __name__ == "__main__":
    sys.exit(main())
