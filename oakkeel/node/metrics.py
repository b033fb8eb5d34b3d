"""What a node measures of itself, written to the log now and then."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from typing import Any

from oakkeel.resource_limits import MS, SECOND


class Metrics:
    """Counts since the last line; how late timers came is counted by doubled steps of milliseconds."""

    STEPS = 12

    def __init__(self) -> None:
        self.total: dict[bytes, int] = {}  # answers since the start
        self.watch: Callable[[Any, bytes], None] | None = None  # told of each answer, where somebody asks
        self._restart()

    def _restart(self) -> None:
        self.read = 0
        self.answered: dict[bytes, int] = {}
        self.calls: dict[str, int] = {}  # by how they ended
        self.late = [0] * (self.STEPS + 1)
        self.latest = self.gauges_missed = 0
        self.cpu, self.since = time.process_time_ns(), time.monotonic_ns()

    def timer_late(self, by: int) -> None:
        self.late[min(self.STEPS, max(0, by // MS).bit_length())] += 1
        self.latest = max(self.latest, by)

    def count(self, word: bytes) -> None:
        self.answered[word] = self.answered.get(word, 0) + 1
        self.total[word] = self.total.get(word, 0) + 1

    def count_call(self, outcome: str) -> None:
        self.calls[outcome] = self.calls.get(outcome, 0) + 1

    def _late_share(self, share: float) -> int:
        """The milliseconds under which that share of the timers stayed."""
        wanted = share * sum(self.late)
        for step, count in enumerate(self.late):
            wanted -= count
            if wanted <= 0:
                return 1 << step
        return 1 << self.STEPS

    def facts(self, connections: int, open_exchanges: int, losses: int) -> dict[str, object]:
        """What was measured since the last time, which it begins anew; sizes in MB, shares of a core."""
        now, cpu = time.monotonic_ns(), time.process_time_ns()
        calls = ",".join(f"{how.replace(' ', '_')}:{count}" for how, count in sorted(self.calls.items()))
        facts: dict[str, object] = {
            "read": self.read,
            **{word.decode(): count for word, count in sorted(self.answered.items())},
            "calls": calls or 0,
            "open": open_exchanges,
            "connections": connections,
            "descriptors": open_descriptors(),
            "resident_mb": round(resident_bytes() / 2**20, 1),
            "cpu": round((cpu - self.cpu) / max(1, now - self.since), 3),
            "timers": sum(self.late),
            "late_ms_half": self._late_share(0.5),  # half of them came less late
            "late_ms_99": self._late_share(0.99),
            "latest_ms": round(self.latest / MS, 1),
            "gauges_missed": self.gauges_missed,
            "link_losses": losses,
            "over_s": round((now - self.since) / SECOND, 1),
        }
        self._restart()
        return facts


def resident_bytes() -> int:
    """Bytes of memory that the process holds."""
    with open("/proc/self/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def open_descriptors() -> int:
    return len(os.listdir("/proc/self/fd"))
