"""The structured log: rate-limited events with fields on standard error, as console lines or JSON."""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import sys
import time
from collections.abc import Callable, MutableMapping
from typing import TYPE_CHECKING, TextIO

from oakkeel.units import SECOND

if TYPE_CHECKING:
    from structlog.typing import Processor

if "rich" not in sys.modules:  # structlog imports rich if it is installed, which takes 8 MB
    sys.modules["rich"] = None  # type: ignore[assignment]
    import structlog

    del sys.modules["rich"]
else:
    import structlog

FieldValue = str | int | float | None
LogFields = dict[str, FieldValue]
Event = MutableMapping[str, FieldValue]


# Lines that differ only in these fields count as the same line: a flood of bad requests must not hide other
# events.
UNCOMPARED_FIELDS = {"request_id"}


class LineLimiter:
    """Limits the lines per second, and admits each line once per second.

    The limiter runs before a line is formatted: in a flood of bad input, a dropped line must cost little.
    """

    def __init__(self, lines_per_s: int, clock: Callable[[], int] = time.monotonic_ns) -> None:
        """Limit to `lines_per_s`, by a clock in nanoseconds."""
        self.lines_per_s = lines_per_s
        self.clock = clock
        self.current_second = 0
        self.line_count = 0
        self.dropped_count = 0  # lines dropped in the current second
        self.dropped_before = 0  # lines dropped before the last line that was checked
        self.written_lines: set[str] = set()  # in this second; a flood of one line must not hide other lines

    def admits(self, event: str, fields: Event) -> bool:
        """Return whether to write a line; `dropped_before` is the number of lines dropped before it."""
        second = self.clock() // SECOND
        self.dropped_before = 0
        if second != self.current_second:
            self.dropped_before = self.dropped_count
            self.current_second = second
            self.line_count = 0
            self.dropped_count = 0
            self.written_lines.clear()
        if (
            self.line_count < self.lines_per_s
            and (text := f"{event}{_compared_fields(fields)}") not in self.written_lines
        ):
            self.line_count += 1
            self.written_lines.add(text)
            return True
        self.dropped_count += 1
        return False


def _compared_fields(fields: Event) -> Event:
    return {key: value for key, value in fields.items() if key not in UNCOMPARED_FIELDS}


def console_renderer(name: str) -> Callable[[object, str, Event], str]:
    """Return a processor that makes lines such as `oakkeel n3: info event field=value ...`.

    Values with blanks are quoted.
    """

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


def _format_value(value: FieldValue) -> str:
    text = f"{value:g}" if isinstance(value, float) else str(value)
    return text if text and text.isprintable() and not set(' "=') & set(text) else json.dumps(text)


class EventLog:
    """The log of one process: each line is an event with a level and fields."""

    def __init__(
        self, name: str, lines_per_s: int, form: str = "console", stream: TextIO | None = None
    ) -> None:
        """Set up the processors; `form` is `console` or `json`, `stream` is standard error by default."""
        self.stream = stream or sys.stderr
        self.line_limiter = LineLimiter(lines_per_s)
        processors: list[Processor] = []
        if form == "json":
            processors += [
                structlog.processors.TimeStamper(fmt="iso", utc=True),
                structlog.processors.JSONRenderer(default=str),
            ]
        else:
            processors.append(console_renderer(name))
        self.structlog_logger = structlog.BoundLogger(
            self, processors, {"instance": name} if form == "json" else {}
        )

    def debug(self, event: str, **fields: FieldValue) -> None:
        """Log an event for developers."""
        self.write("debug", event, fields)

    def info(self, event: str, **fields: FieldValue) -> None:
        """Log an event of ordinary operation."""
        self.write("info", event, fields)

    def warning(self, event: str, **fields: FieldValue) -> None:
        """Log a fault outside this process that was handled."""
        self.write("warning", event, fields)

    def error(self, event: str, **fields: FieldValue) -> None:
        """Log a failure of this process, or one that an operator has to repair."""
        self.write("error", event, fields)

    def write(self, level: str, event: str, fields: LogFields) -> None:
        """Write one event at a level, if the line limiter admits it."""
        if self.line_limiter.admits(event, fields):
            if self.line_limiter.dropped_before:
                fields["left_out"] = self.line_limiter.dropped_before  # the lines dropped before this line
            self.structlog_logger.msg(event, level=level, **fields)

    def msg(self, line: str) -> None:
        """Write a formatted line; the bound logger calls this after its last processor."""
        with contextlib.suppress(OSError):  # a closed log must not end the process
            print(line, file=self.stream, flush=True)

    def capture_library_logs(self, loop: asyncio.AbstractEventLoop) -> None:
        """Log the errors of the event loop and of libraries to this log, under the same limit."""
        loop.set_exception_handler(
            lambda _, context: self.error(
                "event_loop_error", message=context["message"], error=repr(context.get("exception"))
            )
        )
        logging.getLogger().handlers[:] = [LibraryLogHandler(self)]


class LibraryLogHandler(logging.Handler):
    """Passes the errors that libraries log to an `EventLog`."""

    def __init__(self, log: EventLog) -> None:
        """Log errors only; other records are dropped."""
        super().__init__(logging.ERROR)  # a refused or reset connection is logged by its link
        self.log = log

    def emit(self, record: logging.LogRecord) -> None:
        """Log one record of a library."""
        self.log.error("library_error", logger=record.name, message=record.getMessage())


def describe_error(error: BaseException) -> str:
    """Return the type and the text of an error, for the field `error`."""
    return f"{type(error).__name__}: {error}"
