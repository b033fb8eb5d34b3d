"""The signals of a node to its clients: health, load report and the closing of idle connections."""

from __future__ import annotations

from oakkeel.admission.client_returns import ClientReturns
from oakkeel.admission.health import is_healthy
from oakkeel.admission.idle_connections import (
    MAX_REMEMBERED_CLIENTS,
    RETURN_STEP_NS,
    RETURN_STEPS,
    crowded_idle_time,
    idle_time,
)
from oakkeel.admission.load_report import LoadReport
from oakkeel.admission.node_state import NodeState
from oakkeel.admission.overload import Stage
from oakkeel.admission.sliding_window import SlidingWindow


class ClientSignals:
    """Measures arrivals, and sends clients the health, the load report and the idle time-out."""

    def __init__(self, node: NodeState) -> None:
        """Start healthy, with no client seen."""
        self.node = node
        self.is_healthy = True
        self.load_report = LoadReport(node.limits)
        self.returns = ClientReturns(RETURN_STEP_NS, RETURN_STEPS, MAX_REMEMBERED_CLIENTS)
        # For each arrival, its queueing delay divided by its latency objective.
        self.staleness_ratios = SlidingWindow()

    def count_arrival(self, now: int, client: int, staleness_ratio: float) -> None:
        """Record an arrival of this client and its staleness: queueing delay divided by latency objective."""
        self.staleness_ratios.add(now, staleness_ratio)
        self.returns.record_request(now, client)

    def update_health(self, now: int) -> None:
        """Decide whether the node is healthy, and set the answer to health checks."""
        staleness_ratio = self.staleness_ratios.mean(now, 0.0)
        self.is_healthy = is_healthy(self.is_healthy, self.node.drain.is_draining, staleness_ratio)
        self.send_health(self.is_healthy)

    def send_health(self, healthy: bool) -> None:
        """Set a stored answer to health checks: computing each answer would take a core."""
        self.node.host.set_health(healthy, True)

    def report_load(self, threshold: float, warmth: float) -> None:
        """Send the load report if it has changed.

        `threshold` is the shedding threshold, `warmth` the share of full speed of the node (slow start).
        """
        node = self.node
        busy_per_core = node.concurrency.parsing_per_core() + node.depth_per_core()
        value = self.load_report.next_value(node.drain.is_draining, threshold, busy_per_core, warmth)
        if value is not None:
            node.host.report_load(value)

    def close_idle_connections(self, now: int, connections: float) -> None:
        """Set the idle time after which connections close; `connections` is the number of open ones."""
        node = self.node
        base_idle_time = idle_time(self.returns.times_by_step(now), node.overload.highest() >= Stage.REAP)
        parsing_backlog = node.concurrency.mean_parsing_backlog(now)
        crowded_time = crowded_idle_time(connections, parsing_backlog, node.limits.cores)
        node.host.set_idle_timeout(min(node.limits.idle_timeout, max(base_idle_time, crowded_time)))
