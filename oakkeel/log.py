"""The log: plain lines on standard error, at most so many a second."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import sys
import time


class Log:
    def __init__(self, name: str, lines_per_s: int) -> None:
        self.name, self.most = name, lines_per_s
        self.second = self.lines = self.dropped = 0
        self.said: set[str] = set()  # in this second: a flood of one line must not drown the others

    def say(self, text: str) -> None:
        second = time.monotonic_ns() // 1_000_000_000
        if second != self.second:
            if self.dropped:
                self._print(f"{self.dropped} more lines left out")
            self.second, self.lines, self.dropped = second, 0, 0
            self.said.clear()
        if text in self.said or self.lines >= self.most:
            self.dropped += 1
            return
        self.lines += 1
        self.said.add(text)
        self._print(text)

    def _print(self, text: str) -> None:
        with contextlib.suppress(OSError):  # a log that nobody takes any more must not end the node
            print(f"oakkeel {self.name}: {text}", file=sys.stderr, flush=True)

    def take_others(self, loop: asyncio.AbstractEventLoop) -> None:
        """What the loop and Tornado would write for themselves comes here too, under the same bound."""
        loop.set_exception_handler(lambda _, told: self.say(f"{told['message']}: {told.get('exception')!r}"))
        logging.getLogger().handlers[:] = [OthersHandler(self)]


class OthersHandler(logging.Handler):
    def __init__(self, log: Log) -> None:
        super().__init__(logging.ERROR)  # a refused or reset connection is told by its link
        self.log = log

    def emit(self, record: logging.LogRecord) -> None:
        self.log.say(record.getMessage())
