"""Limits on the number of running requests and on the memory that requests take."""

from __future__ import annotations

from oakkeel.admission.sliding_window import SlidingWindow
from oakkeel.admission.types import NodeLimits, Request

MAX_RUNS_PER_CORE = 1.0  # run limit for each core below the stage EXPAND
MAX_EXPANDED_RUNS_PER_CORE = 1.24  # run limit for each core from the stage EXPAND on
MIN_RUNS_PER_CORE = 0.5  # lower bound of the run limit at any parsing backlog
MAX_RUNS_AND_PARSING_PER_CORE = 1.25  # run limit and parsing backlog together, for each core
RUN_ROUNDING = 0.5  # the limit is rounded to whole requests
# Maximum of runs and calls, as a share of the overload multiple: all these requests are on the cores if all
# calls end together.
MAX_OVERLOAD_RATIO = 0.7
MAX_STALENESS_RATIO_TO_START = 0.2  # maximum staleness at which requests start, as a share of the objective
MAX_STALE_PARSING_PER_CORE = 0.5  # parsing backlog up to which requests start at any staleness
MAX_RUNNING_MEMORY_RATIO = 0.85  # memory in use once a request runs, as a share of all memory
MAX_MEMORY_RATIO = 0.95  # memory in use once a request is admitted, as a share of all memory


def is_memory_full(request: Request, memory_kb: float, limits: NodeLimits) -> bool:
    """Return whether an arriving request would exceed the memory limit; `memory_kb` is the memory in use."""
    return memory_kb + request.memory_kb + limits.key_kb > limits.memory_kb * MAX_MEMORY_RATIO


def has_memory_to_run(request: Request, memory_kb: float, limits: NodeLimits) -> bool:
    """Return whether a queued request may grow to its running size; `memory_kb` is the memory in use."""
    growth_kb = request.memory_kb * (limits.running_memory_factor - 1)
    return memory_kb + growth_kb <= limits.memory_kb * MAX_RUNNING_MEMORY_RATIO


class ConcurrencyLimits:
    """Limits on the requests that run, and on those that run or have a downstream call in flight."""

    def __init__(self, limits: NodeLimits) -> None:
        """Start with no parsing backlog."""
        self.limits = limits
        self.run_limit = limits.cores * MAX_RUNS_PER_CORE
        # From the last reading of the gauges: the run queue minus the requests that hold a run slot.
        self.parsing_backlog = 0.0
        self.parsing_backlog_window = SlidingWindow()
        self.staleness_ratio = 0.0  # queueing delay of the last arrival divided by its latency objective

    def observe(self, now: int, parsing_backlog: float) -> None:
        """Record the number of tasks other than runs that want a core, assumed to be requests to parse."""
        self.parsing_backlog = max(0.0, parsing_backlog)
        self.parsing_backlog_window.add(now, self.parsing_backlog)

    def parsing_per_core(self) -> float:
        """Return the last observed parsing backlog for each core."""
        return self.parsing_backlog / self.limits.cores

    def mean_parsing_backlog(self, now: int) -> float:
        """Return the mean parsing backlog of the last seconds."""
        return self.parsing_backlog_window.mean(now, 0.0)

    def update_run_limit(self, is_expanded: bool) -> None:
        """Update the run limit, which is lower while requests wait to be parsed.

        `is_expanded` is whether the overload stage is EXPAND or above.
        """
        parsing_per_core = self.parsing_per_core()
        max_per_core = MAX_EXPANDED_RUNS_PER_CORE if is_expanded else MAX_RUNS_PER_CORE
        runs_per_core = max(
            MIN_RUNS_PER_CORE, min(max_per_core, MAX_RUNS_AND_PARSING_PER_CORE - parsing_per_core)
        )
        self.run_limit = runs_per_core * self.limits.cores

    def allowed_runs(self) -> float:
        """Return the number of requests that may run now: the run limit, or none while arrivals are stale.

        While arrivals are stale, runs would delay the parsing until every request is too old.
        """
        has_backlog = self.parsing_per_core() > MAX_STALE_PARSING_PER_CORE
        if self.staleness_ratio > MAX_STALENESS_RATIO_TO_START and has_backlog:
            return 0
        return self.run_limit

    def max_active(self, warmth: float) -> float:
        """Return the limit on runs and calls that keeps the cores from overload if all calls end together.

        `warmth` is the share of full speed that the node has at least (slow start).
        """
        return (1 + (self.limits.overload_multiple - 1) * warmth) * self.limits.cores * MAX_OVERLOAD_RATIO


def may_start(run_slots_in_use: int, calls_in_flight: int, allowed_runs: float, max_active: float) -> bool:
    """Return whether one more request may run."""
    return (
        run_slots_in_use + RUN_ROUNDING <= allowed_runs
        and run_slots_in_use + calls_in_flight + 1 <= max_active
    )
