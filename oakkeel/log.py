"""The structured log: events with facts on standard error, as console lines or JSON, few enough a second."""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import sys
import time
from collections.abc import Callable, MutableMapping
from typing import Any, TextIO

if "rich" not in sys.modules:  # structlog takes rich along where it is: 8 MB that no node has room for
    sys.modules["rich"] = None  # type: ignore[assignment]
    import structlog

    del sys.modules["rich"]
else:
    import structlog

SECOND = 1_000_000_000
Event = MutableMapping[str, Any]


class LineLimiter:
    """Which lines may be said: so many a second, and each only once in it.

    Asked before a line is made: in a flood of bad input, all but a few lines must cost next to nothing.
    """

    def __init__(self, most: int, clock: Callable[[], int] = time.monotonic_ns) -> None:
        self.most, self.clock = most, clock
        self.second = self.lines = self.dropped = self.left_out = 0
        self.said: set[str] = set()  # in this second: a flood of one line must not drown the others

    def admits(self, event: str, facts: Event) -> bool:
        """Whether it may be said; `left_out` then holds how many were not before it."""
        second = self.clock() // SECOND
        self.left_out = 0
        if second != self.second:
            self.left_out = self.dropped
            self.second, self.lines, self.dropped = second, 0, 0
            self.said.clear()
        if self.lines < self.most and (text := f"{event}{facts}") not in self.said:
            self.lines += 1
            self.said.add(text)
            return True
        self.dropped += 1
        return False


def console(name: str) -> Callable[[object, str, Event], str]:
    """Lines as `oakkeel n3: info event field=value ...`; a value with blanks stands in quotes."""

    def render(logger: object, method: str, event: Event) -> str:
        text = event.pop("event")
        level = event.pop("level", "info")
        return f"oakkeel {name}: {level} " + " ".join(
            [str(text), *(f"{key}={_word(value)}" for key, value in event.items() if value is not None)]
        )

    return render


def _word(value: object) -> str:
    text = f"{value:g}" if isinstance(value, float) else str(value)
    return text if text and text.isprintable() and not set(' "=') & set(text) else json.dumps(text)


class EventLog:
    """The log of one process: each line is an event with a level and fields."""

    def __init__(
        self, name: str, lines_per_s: int, form: str = "console", stream: TextIO | None = None
    ) -> None:
        """`form`: `console` or `json`; `stream`: standard error where none is given."""
        self.stream = stream or sys.stderr
        self.lines = LineLimiter(lines_per_s)
        processors: list[Any] = []
        if form == "json":
            processors += [
                structlog.processors.TimeStamper(fmt="iso", utc=True),
                structlog.processors.JSONRenderer(default=str),
            ]
        else:
            processors.append(console(name))
        self.bound = structlog.BoundLogger(self, processors, {"instance": name} if form == "json" else {})

    def debug(self, event: str, **fields: Any) -> None:
        """Log what only a developer looks for."""
        self.write("debug", event, fields)

    def info(self, event: str, **fields: Any) -> None:
        """Log what happens in ordinary operation."""
        self.write("info", event, fields)

    def warning(self, event: str, **fields: Any) -> None:
        """Log what went wrong outside and was dealt with."""
        self.write("warning", event, fields)

    def error(self, event: str, **fields: Any) -> None:
        """Log what failed in this process, or what an operator has to mend."""
        self.write("error", event, fields)

    def write(self, level: str, event: str, fields: dict[str, Any]) -> None:
        """Write one event at a level, if the line limiter admits it."""
        if self.lines.admits(event, fields):
            if self.lines.left_out:
                fields["left_out"] = self.lines.left_out  # lines, before this one
            self.bound.msg(event, level=level, **fields)

    def msg(self, line: str) -> None:
        """Where the last processor leaves a line."""
        with contextlib.suppress(OSError):  # a log that nobody takes any more must not end the process
            print(line, file=self.stream, flush=True)

    def take_others(self, loop: asyncio.AbstractEventLoop) -> None:
        """What the loop and Tornado would write for themselves comes here too, under the same bound."""
        loop.set_exception_handler(
            lambda _, context: self.error(
                "event_loop_error", message=context["message"], error=repr(context.get("exception"))
            )
        )
        logging.getLogger().handlers[:] = [LibraryLogHandler(self)]


class LibraryLogHandler(logging.Handler):
    def __init__(self, log: EventLog) -> None:
        super().__init__(logging.ERROR)  # a refused or reset connection is told by its link
        self.log = log

    def emit(self, record: logging.LogRecord) -> None:
        self.log.error("library_error", logger=record.name, message=record.getMessage())


def fault(error: BaseException) -> str:
    return f"{type(error).__name__}: {error}"
