"""Two hundred simulated nodes at 2,000 exchanges a second: events a second, and cost by nodes."""

from __future__ import annotations

import sys
import time

from measure.common import keep, options, processor, say
from oakkeel.emulator.clients import BalancingPolicy, ClientBehavior
from oakkeel.emulator.scenario import Scenario, ScenarioRun

EACH = 10.0  # exchanges a second and node


def one(nodes: int, seconds: float, seed: int) -> dict:
    played = ScenarioRun(
        Scenario(
            nodes=nodes,
            cores=4,
            seconds=seconds,
            dispatchers=max(2, nodes // 10),
            seed=seed,
            manners=ClientBehavior(way=BalancingPolicy.ROUND),
        )
    )
    played.rate = EACH * nodes / len(played.callers)
    began = time.perf_counter()
    result = played.play()
    took = time.perf_counter() - began
    return {
        "nodes": nodes,
        "took_s": took,
        "events": result.happened,
        "asked": result.asked,
        "times_real": (seconds + 10) / took,
        "breaches": len(result.breaches),
        "digest": result.digest(),
    }


def main() -> int:
    told = options(__doc__ or "", seconds=60.0, nodes=200, seed=18)
    say(f"{processor()}; simulated time")
    rows = []
    for nodes in (10, 100, 1000):
        rows.append(one(nodes, 10.0, told.seed))
        row = rows[-1]
        say(
            f"  {nodes:5} nodes, 10 s: {row['took_s']:.1f} s, {1e6 * row['took_s'] / row['asked']:.0f} us an"
            f" exchange, {row['events']} events, {row['breaches']} breaches"
        )
    whole = one(told.nodes, told.seconds, told.seed)
    keep(told, {"rows": rows, "whole": whole})
    say(
        f"  {whole['nodes']} nodes, {told.seconds:g} s: {whole['asked']} exchanges, {whole['took_s']:.1f} s,"
        f" record {whole['digest']}"
    )
    say(
        f"emulator: {whole['events'] / whole['took_s']:.0f} events/s,"
        f" {whole['times_real']:.1f} times real time"
    )
    return 1 if any(row["breaches"] for row in (*rows, whole)) else 0


if __name__ == "__main__":
    sys.exit(main())
