"""Metrics of a node process, written to the log at intervals."""

from __future__ import annotations

import os
import time
from collections.abc import Callable

from oakkeel.log import LogFields
from oakkeel.request import NodeRequest
from oakkeel.units import BYTES_PER_MB, MS, SECOND

MEDIAN = 0.5
HIGH_QUANTILE = 0.99
CPU_DECIMALS = 3


class Metrics:
    """Counts since the last `metrics` line of the log.

    The first bucket of the timer lags ends at one millisecond, and each further bucket at twice the end of
    the bucket before it.
    """

    LAG_BUCKET_COUNT = 12

    def __init__(self) -> None:
        """Start all counts at zero, without an observer of answers."""
        self.answers_total: dict[bytes, int] = {}  # answers since the start
        self.answer_observer: Callable[[NodeRequest, bytes], None] | None = None  # called with each answer
        self._reset()

    def _reset(self) -> None:
        self.requests_read = 0
        self.answers: dict[bytes, int] = {}
        self.calls_by_outcome: dict[str, int] = {}
        self.timer_lags = [0] * (self.LAG_BUCKET_COUNT + 1)  # timers by bucket; the last holds longer lags
        self.max_timer_lag = self.gauges_missed = 0
        self.cpu_at_reset = time.process_time_ns()
        self.reset_at = time.monotonic_ns()

    def count_timer(self, lag: int) -> None:
        """Count a timer that expired `lag` nanoseconds late."""
        self.timer_lags[min(self.LAG_BUCKET_COUNT, max(0, lag // MS).bit_length())] += 1
        self.max_timer_lag = max(self.max_timer_lag, lag)

    def count_answer(self, status: bytes) -> None:
        """Count an answer by its status on the wire."""
        self.answers[status] = self.answers.get(status, 0) + 1
        self.answers_total[status] = self.answers_total.get(status, 0) + 1

    def count_call(self, outcome: str) -> None:
        """Count a downstream call by its outcome."""
        self.calls_by_outcome[outcome] = self.calls_by_outcome.get(outcome, 0) + 1

    def _lag_quantile(self, quantile: float) -> int:
        """Return this quantile of the timer lags, in milliseconds, rounded up to the end of its bucket."""
        remaining_count = quantile * sum(self.timer_lags)
        for bucket, count in enumerate(self.timer_lags):
            remaining_count -= count
            if remaining_count <= 0:
                return 1 << bucket
        return 1 << self.LAG_BUCKET_COUNT

    def collect(self, connections: int, open_requests: int, link_losses: int) -> LogFields:
        """Return the fields of a log line and reset the counts; memory is in MB, CPU use in cores."""
        now = time.monotonic_ns()
        cpu = time.process_time_ns()
        calls = ",".join(
            f"{outcome.replace(' ', '_')}:{count}" for outcome, count in sorted(self.calls_by_outcome.items())
        )
        fields: LogFields = {
            "read": self.requests_read,
            **{status.decode(): count for status, count in sorted(self.answers.items())},
            "calls": calls or 0,
            "open": open_requests,
            "connections": connections,
            "descriptors": open_descriptors(),
            "resident_mb": round(resident_bytes() / BYTES_PER_MB, 1),
            "cpu": round((cpu - self.cpu_at_reset) / max(1, now - self.reset_at), CPU_DECIMALS),
            "timers": sum(self.timer_lags),
            # Median, 99th percentile and maximum of the lags of expired timers.
            "late_ms_half": self._lag_quantile(MEDIAN),
            "late_ms_99": self._lag_quantile(HIGH_QUANTILE),
            "latest_ms": round(self.max_timer_lag / MS, 1),
            "gauges_missed": self.gauges_missed,
            "link_losses": link_losses,  # since the start of the node
            "over_s": round((now - self.reset_at) / SECOND, 1),  # time since the previous line
        }
        self._reset()
        return fields


def resident_bytes() -> int:
    """Return the resident memory of the process in bytes."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def open_descriptors() -> int:
    """Return the number of open file descriptors of the process."""
    return len(os.listdir("/proc/self/fd"))
