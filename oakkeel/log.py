"""The log: plain lines on standard error, at most so many a second."""

from __future__ import annotations

import sys
import time


class Log:
    def __init__(self, name: str, lines_per_s: int) -> None:
        self.name, self.most = name, lines_per_s
        self.second = self.lines = self.dropped = 0

    def say(self, text: str) -> None:
        second = time.monotonic_ns() // 1_000_000_000
        if second != self.second:
            if self.dropped:
                print(f"oakkeel {self.name}: {self.dropped} more lines left out", file=sys.stderr)
            self.second, self.lines, self.dropped = second, 0, 0
        self.lines += 1
        if self.lines > self.most:
            self.dropped += 1
            return
        print(f"oakkeel {self.name}: {text}", file=sys.stderr, flush=True)
