"""The decisions of the agent alone, in simulated time: cost of a tick with 100 to 10,000 instances.

No process, socket or file: `Supervisor` and `OrderRegistry` only, with steps carried out in memory.
"""

from __future__ import annotations

import statistics
import sys
import time

from measure.common import describe_machine, parse_arguments, print_line, write_figures
from oakkeel.agent.instances import Instance, Phase, Verb
from oakkeel.agent.order_rules import OrderSubmission
from oakkeel.agent.orders import OrderRegistry
from oakkeel.agent.supervision_rules import Action, SupervisionTimeouts
from oakkeel.agent.supervisor import Supervisor
from oakkeel.control.messages import NodeStatus
from oakkeel.units import MS, SECOND

REPORT = NodeStatus(0, "", 0, 0, "", "", 0)
SITES = 10


class Fleet:
    """A supervisor and its orders, with steps carried out at once."""

    def __init__(self, size: int, seed: int) -> None:
        """Supervise `size` instances at ten sites."""
        self.now = 1000 * SECOND
        self.instances = [Instance(f"n{n}", f"site{n % SITES}") for n in range(size)]
        away = {f"site{n}": max(1, size // SITES // 10) for n in range(SITES)}
        self.supervision = Supervisor(
            self.instances, SupervisionTimeouts(max_starting=size), away, seed, lambda: self.now
        )
        self.orders = OrderRegistry(self.supervision, lambda: self.now)

    def tick(self) -> int:
        """Decide and carry out what is due, as the agent does; returns the nanoseconds spent deciding."""
        spent = -time.perf_counter_ns()
        self.orders.advance(self.now)
        steps = self.supervision.tick(self.now)
        spent += time.perf_counter_ns()
        for step in steps:
            if step.action is Action.START:
                self.supervision.process_started(self.now, step.instance)
            else:
                self.supervision.process_exited(self.now, step.instance, "ended as ordered")
        return spent

    def pass_time(self, by: int, state: str = "serving") -> int:
        """Advance the time and report all instances; returns the nanoseconds spent on the reports."""
        self.now += by
        spent = -time.perf_counter_ns()
        for instance in self.instances:
            if instance.alive and instance.phase is not Phase.DRAINING:
                self.supervision.report_received(
                    self.now, instance, state, instance.process_generation, REPORT
                )
        return spent + time.perf_counter_ns()


def measure(size: int, seed: int) -> dict[str, float]:
    """Measure ticks with nothing to do, then those of a restart of all instances."""
    fleet = Fleet(size, seed)
    fleet.tick()
    fleet.pass_time(100 * MS)
    quiet = []
    reports = []
    for _ in range(30):
        reports.append(fleet.pass_time(100 * MS))
        quiet.append(fleet.tick())
    submission = OrderSubmission(
        "all",
        "asha",
        Verb.RESTART,
        tuple((instance.name, instance.generation) for instance in fleet.instances),
        3600 * SECOND,
    )
    order = fleet.orders.submit(fleet.now, submission)
    busy = []
    worst = 0
    while order.is_open:
        fleet.pass_time(100 * MS)
        busy.append(fleet.tick())
        worst = max(
            worst,
            *(
                fleet.supervision.unavailable[site] - fleet.supervision.max_unavailable[site]
                for site in fleet.supervision.unavailable
            ),
        )
    return {
        "size": size,
        "quiet_ms": statistics.median(quiet) / 1e6,
        "busy_ms": statistics.median(busy) / 1e6,
        "busy_worst_ms": max(busy) / 1e6,
        "report_us": statistics.median(reports) / 1e3 / size,
        "turns": len(busy),
        "beyond_bound": worst,
    }


def main() -> int:
    """Run the measurement; 1 where more instances were out than the budgets allow."""
    arguments = parse_arguments(__doc__ or "", seed=16)
    rows = [measure(size, arguments.seed) for size in (100, 1000, 10_000)]
    print_line(f"{describe_machine()}; simulated time")
    for row in rows:
        print_line(
            f"  {row['size']:6} instances: quiet tick {row['quiet_ms']:.3f} ms, tick of a restart of all"
            f" {row['busy_ms']:.3f} ms (worst {row['busy_worst_ms']:.2f}),"
            f" a report {row['report_us']:.2f} us, {row['turns']} ticks,"
            f" beyond the bound {row['beyond_bound']}"
        )
    write_figures(arguments, {"rows": rows})
    growth = rows[-1]["busy_ms"] / rows[0]["busy_ms"] / (rows[-1]["size"] / rows[0]["size"])
    print_line(
        f"decisions: {rows[-1]['busy_ms']:.2f} ms a turn at 10,000 instances, {growth:.2f} times as much an"
        " instance as at 100 (simulated)"
    )
    return 1 if any(row["beyond_bound"] > 0 for row in rows) else 0


if __name__ == "__main__":
    sys.exit(main())
