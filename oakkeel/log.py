"""The log: plain lines on standard error, at most so many a second."""

from __future__ import annotations

import asyncio
import logging
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

    def take_others(self, loop: asyncio.AbstractEventLoop) -> None:
        """What the loop and Tornado would write for themselves comes here too, under the same bound."""
        loop.set_exception_handler(lambda _, told: self.say(f"{told['message']}: {told.get('exception')!r}"))
        handler = logging.Handler(logging.ERROR)  # a refused or reset connection is told by its link
        handler.emit = lambda record: self.say(record.getMessage())
        root = logging.getLogger()
        root.handlers[:] = [handler]
