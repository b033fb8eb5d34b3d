"""The structured log: events with fields on standard error, as console lines or JSON, limited in rate."""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import sys
import time
from collections.abc import Callable, MutableMapping
from typing import Any, TextIO

from oakkeel.units import SECOND

if "rich" not in sys.modules:  # structlog imports rich where it is installed: 8 MB that no node has room for
    sys.modules["rich"] = None  # type: ignore[assignment]
    import structlog

    del sys.modules["rich"]
else:
    import structlog

Event = MutableMapping[str, Any]


class LineLimiter:
    """Admits so many lines a second, and each only once in it.

    Asked before a line is made: in a flood of bad input, all but a few lines must cost next to nothing.
    """

    def __init__(self, lines_per_s: int, clock: Callable[[], int] = time.monotonic_ns) -> None:
        """Limit to `lines_per_s`, by a clock in nanoseconds."""
        self.lines_per_s, self.clock = lines_per_s, clock
        self.second = self.lines = self.dropped = self.left_out = 0
        self.written: set[str] = set()  # in this second: a flood of one line must not hide the others

    def admits(self, event: str, fields: Event) -> bool:
        """Whether the line may be written; `left_out` is then how many before it were not."""
        second = self.clock() // SECOND
        self.left_out = 0
        if second != self.second:
            self.left_out = self.dropped
            self.second, self.lines, self.dropped = second, 0, 0
            self.written.clear()
        if self.lines < self.lines_per_s and (text := f"{event}{fields}") not in self.written:
            self.lines += 1
            self.written.add(text)
            return True
        self.dropped += 1
        return False


def console(name: str) -> Callable[[object, str, Event], str]:
    """Lines as `oakkeel n3: info event field=value ...`; a value with blanks stands in quotes."""

    def render(logger: object, method: str, event: Event) -> str:
        text = event.pop("event")
        level = event.pop("level", "info")
        return f"oakkeel {name}: {level} " + " ".join(
            [
                str(text),
                *(f"{key}={_format_value(value)}" for key, value in event.items() if value is not None),
            ]
        )

    return render


def _format_value(value: object) -> str:
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
        """Write a finished line; the last processor of structlog calls this."""
        with contextlib.suppress(OSError):  # a log that nobody reads any more must not end the process
            print(line, file=self.stream, flush=True)

    def capture_library_logs(self, loop: asyncio.AbstractEventLoop) -> None:
        """Log here what the event loop and libraries report, under the same limit."""
        loop.set_exception_handler(
            lambda _, context: self.error(
                "event_loop_error", message=context["message"], error=repr(context.get("exception"))
            )
        )
        logging.getLogger().handlers[:] = [LibraryLogHandler(self)]


class LibraryLogHandler(logging.Handler):
    """Passes errors that libraries log on to an `EventLog`."""

    def __init__(self, log: EventLog) -> None:
        """Take errors only; the rest of what libraries log is dropped."""
        super().__init__(logging.ERROR)  # a refused or reset connection is logged by its link
        self.log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Log one record of a library."""
        self.log.error("library_error", logger=record.name, message=record.getMessage())


def fault(error: BaseException) -> str:
    """Type and text of an error, for the field `error`."""
    return f"{type(error).__name__}: {error}"
