"""Measures the cost of one tick of an agent's decisions with 100 to 10,000 instances, in simulated time.

Only `Supervisor` and `OrderRegistry` run. Their steps are carried out in memory, without
processes, sockets or files.
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

NODE_STATUS = NodeStatus(0, "", 0, 0, "", "", 0)
SITE_COUNT = 10


class Fleet:
    """A supervisor and its orders; each step is carried out at once."""

    def __init__(self, size: int, seed: int) -> None:
        """Supervise `size` instances at ten sites."""
        self.now = 1000 * SECOND
        self.instances = [Instance(f"n{number}", f"site{number % SITE_COUNT}") for number in range(size)]
        max_unavailable = {f"site{number}": max(1, size // SITE_COUNT // 10) for number in range(SITE_COUNT)}
        self.supervision = Supervisor(
            self.instances, SupervisionTimeouts(max_starting=size), max_unavailable, seed, lambda: self.now
        )
        self.orders = OrderRegistry(self.supervision, lambda: self.now)

    def tick(self) -> int:
        """Decide and carry out the due steps, as the agent does; return the nanoseconds spent deciding."""
        duration = -time.perf_counter_ns()
        self.orders.advance(self.now)
        steps = self.supervision.tick(self.now)
        duration += time.perf_counter_ns()
        for step in steps:
            if step.action is Action.START:
                self.supervision.record_start(self.now, step.instance)
            else:
                self.supervision.record_exit(self.now, step.instance, "ended as ordered")
        return duration

    def advance_time(self, elapsed: int, state: str = "serving") -> int:
        """Advance the time and report all instances; return the nanoseconds spent on the reports."""
        self.now += elapsed
        duration = -time.perf_counter_ns()
        for instance in self.instances:
            if instance.has_process and instance.phase is not Phase.DRAINING:
                self.supervision.apply_report(
                    self.now, instance, state, instance.process_generation, NODE_STATUS
                )
        return duration + time.perf_counter_ns()


def measure(size: int, seed: int) -> dict[str, float]:
    """Measure ticks with nothing to do, then the ticks of a restart of all instances."""
    fleet = Fleet(size, seed)
    fleet.tick()
    fleet.advance_time(100 * MS)
    idle_durations = []
    report_durations = []
    for _ in range(30):
        report_durations.append(fleet.advance_time(100 * MS))
        idle_durations.append(fleet.tick())
    submission = OrderSubmission(
        "all",
        "asha",
        Verb.RESTART,
        tuple((instance.name, instance.generation) for instance in fleet.instances),
        3600 * SECOND,
    )
    order = fleet.orders.submit(fleet.now, submission)
    restart_durations = []
    max_excess = 0
    while order.is_open:
        fleet.advance_time(100 * MS)
        restart_durations.append(fleet.tick())
        max_excess = max(
            max_excess,
            *(
                fleet.supervision.unavailable[site] - fleet.supervision.max_unavailable[site]
                for site in fleet.supervision.unavailable
            ),
        )
    return {
        "size": size,
        "quiet_ms": statistics.median(idle_durations) / 1e6,  # a tick with nothing to do
        "busy_ms": statistics.median(restart_durations) / 1e6,  # a tick of the restart
        "busy_worst_ms": max(restart_durations) / 1e6,
        "report_us": statistics.median(report_durations) / 1e3 / size,  # one report of an instance
        "turns": len(restart_durations),  # ticks until the restart of all instances ended
        "beyond_bound": max_excess,  # largest excess over the maximum unavailable of a site
    }


def main() -> int:
    """Run the measurement; the exit code is 1 if more instances were unavailable than the budgets allow."""
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
