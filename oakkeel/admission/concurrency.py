"""Concurrency and memory: how many requests may run, and how much memory they may take."""

from __future__ import annotations

from oakkeel.admission.sliding_window import SlidingWindow
from oakkeel.admission.types import NodeLimits, Request

MAX_RUNS_PER_CORE = 1.0  # below EXPAND
MAX_EXPANDED_RUNS_PER_CORE = 1.24  # from EXPAND on
MIN_RUNS_PER_CORE = 0.5  # however much request parsing is waiting
MAX_RUNS_AND_PARSING_PER_CORE = 1.25
RUN_ROUNDING = 0.5  # the limit is rounded to whole requests
MAX_OVERLOAD_RATIO = 0.7  # of the overload multiple, for all that could be on the cores
MAX_STALENESS_RATIO = 0.2  # of the latency objective, that a request waits before it is parsed
MAX_STALE_PARSING_PER_CORE = 0.5
MAX_RUNNING_MEMORY_RATIO = 0.85
MAX_MEMORY_RATIO = 0.95  # with queued requests and retained keys


def is_memory_full(request: Request, memory_kb: float, limits: NodeLimits) -> bool:
    """Return whether a request that arrives would exceed the memory, of which `memory_kb` is in use."""
    return memory_kb + request.memory_kb + limits.key_kb > limits.memory_kb * MAX_MEMORY_RATIO


def has_memory_to_run(request: Request, memory_kb: float, limits: NodeLimits) -> bool:
    """Return whether there is memory for the growth of a queued request when it starts to run."""
    growth_kb = request.memory_kb * (limits.running_memory_factor - 1)
    return memory_kb + growth_kb <= limits.memory_kb * MAX_RUNNING_MEMORY_RATIO


class ConcurrencyLimits:
    """How many requests may run, and how many may run or call."""

    def __init__(self, limits: NodeLimits) -> None:
        """Start with no parsing backlog."""
        self.limits = limits
        self.run_limit = limits.cores * MAX_RUNS_PER_CORE
        self.parsing_backlog = 0.0  # tasks other than runs that wanted a core, when last seen
        self.parsing_backlogs = SlidingWindow()
        self.staleness_ratio = 0.0  # of the last arrival: its queueing delay over its latency objective

    def observe(self, now: int, parsing_backlog: float) -> None:
        """Record how many tasks other than runs want a core."""
        self.parsing_backlog = max(0.0, parsing_backlog)
        self.parsing_backlogs.add(now, self.parsing_backlog)

    def parsing_per_core(self) -> float:
        """Return the parsing backlog of each core, when last seen."""
        return self.parsing_backlog / self.limits.cores

    def mean_parsing_backlog(self, now: int) -> float:
        """Return the mean parsing backlog of the last seconds."""
        return self.parsing_backlogs.mean(now, 0.0)

    def update_run_limit(self, expanded: bool) -> None:
        """Update how many requests may run, fewer while requests wait to be parsed."""
        parsing = self.parsing_per_core()
        max_per_core = MAX_EXPANDED_RUNS_PER_CORE if expanded else MAX_RUNS_PER_CORE
        per_core = max(MIN_RUNS_PER_CORE, min(max_per_core, MAX_RUNS_AND_PARSING_PER_CORE - parsing))
        self.run_limit = per_core * self.limits.cores

    def allowed_runs(self) -> float:
        """Return how many requests may run now: the run limit, or none while arrivals are stale.

        Runs would then delay the parsing until every request is too old.
        """
        parsing = self.parsing_per_core()
        if self.staleness_ratio > MAX_STALENESS_RATIO and parsing > MAX_STALE_PARSING_PER_CORE:
            return 0
        return self.run_limit

    def max_active(self, warmth: float) -> float:
        """Return how many may run or call, so that the cores are not overloaded if all calls end at once.

        `warmth` is the share of full speed that the node may have (slow start).
        """
        return (1 + (self.limits.overload_multiple - 1) * warmth) * self.limits.cores * MAX_OVERLOAD_RATIO


def may_start(holding_run_slot: int, calling: int, allowed_runs: float, max_active: float) -> bool:
    """Return whether one request more may run."""
    return holding_run_slot + RUN_ROUNDING <= allowed_runs and holding_run_slot + calling + 1 <= max_active
