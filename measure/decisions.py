"""The decisions of the agent alone, in simulated time: what a turn costs with 100 to 10,000 instances.

No process, socket or file: `Supervisor` and `OrderRegistry` only, with steps carried out in memory.
"""

from __future__ import annotations

import statistics
import sys
import time

from measure.common import keep, options, processor, say
from oakkeel.agent.instances import Instance, Phase
from oakkeel.agent.orders import OrderRegistry, Verb
from oakkeel.agent.supervisor import MS, SECOND, Action, SupervisionTimeouts, Supervisor

REPORT = object()
SITES = 10


class Fleet:
    """The instances of many sites under one supervisor, in simulated time."""

    def __init__(self, size: int, seed: int) -> None:
        """Make `size` instances, a tenth of each site's may be unavailable at one time."""
        self.now = 1000 * SECOND
        self.instances = [Instance(f"n{n}", f"site{n % SITES}") for n in range(size)]
        away = {f"site{n}": max(1, size // SITES // 10) for n in range(SITES)}
        self.supervision = Supervisor(
            self.instances, SupervisionTimeouts(starting=size), away, seed, lambda: self.now
        )
        self.orders = OrderRegistry(self.supervision, lambda: self.now)
        self.worst = 0

    def turn(self) -> int:
        """One turn as the agent takes it; returns nanoseconds spent deciding."""
        spent = -time.perf_counter_ns()
        self.orders.advance(self.now)
        steps = self.supervision.tick(self.now)
        spent += time.perf_counter_ns()
        for step in steps:
            if step.action is Action.START:
                self.supervision.process_started(self.now, step.instance)
            else:
                self.supervision.process_exited(self.now, step.instance, "told to")
        return spent

    def pass_time(self, by: int, state: str = "serving") -> int:
        """Everyone reports, then time goes on; returns nanoseconds spent on the reports."""
        self.now += by
        spent = -time.perf_counter_ns()
        for each in self.instances:
            if each.alive and each.phase is not Phase.DRAINING:
                self.supervision.report_received(self.now, each, state, each.process_generation, REPORT)
        return spent + time.perf_counter_ns()


def measure(size: int, seed: int) -> dict[str, float]:
    """Time quiet turns, reports and a restart of all instances; keys say their units."""
    fleet = Fleet(size, seed)
    fleet.turn()
    fleet.pass_time(100 * MS)
    quiet, reports = [], []
    for _ in range(30):
        reports.append(fleet.pass_time(100 * MS))
        quiet.append(fleet.turn())
    order = fleet.orders.submit(
        fleet.now,
        "all",
        "asha",
        Verb.RESTART,
        tuple((each.name, each.generation) for each in fleet.instances),
        3600 * SECOND,
    )
    busy, worst, turns = [], 0, 0
    while order.is_open:
        fleet.pass_time(100 * MS)
        busy.append(fleet.turn())
        worst = max(
            worst,
            *(
                fleet.supervision.unavailable[site] - fleet.supervision.max_unavailable[site]
                for site in fleet.supervision.unavailable
            ),
        )
        turns += 1
    return {
        "size": size,
        "quiet_ms": statistics.median(quiet) / 1e6,
        "busy_ms": statistics.median(busy) / 1e6,
        "busy_worst_ms": max(busy) / 1e6,
        "report_us": statistics.median(reports) / 1e3 / size,
        "turns": turns,
        "beyond_bound": worst,
    }


def main() -> int:
    """Measure all sizes; returns 1 where the bound on unavailable instances was passed."""
    told = options(__doc__ or "", seed=16)
    rows = [measure(size, told.seed) for size in (100, 1000, 10_000)]
    say(f"{processor()}; simulated time")
    for row in rows:
        say(
            f"  {row['size']:6} instances: quiet turn {row['quiet_ms']:.3f} ms, turn of a restart of all"
            f" {row['busy_ms']:.3f} ms (worst {row['busy_worst_ms']:.2f}),"
            f" a report {row['report_us']:.2f} us, {row['turns']} turns,"
            f" beyond the bound {row['beyond_bound']}"
        )
    keep(told, {"rows": rows})
    growth = rows[-1]["busy_ms"] / rows[0]["busy_ms"] / (rows[-1]["size"] / rows[0]["size"])
    say(
        f"decisions: {rows[-1]['busy_ms']:.2f} ms a turn at 10,000 instances, {growth:.2f} times as much an"
        " instance as at 100 (simulated)"
    )
    return 1 if any(row["beyond_bound"] > 0 for row in rows) else 0


if __name__ == "__main__":
    sys.exit(main())
