"""Whether the engine of a new connection is the process that greeted before."""

from __future__ import annotations

from enum import Enum, auto


class Greeting(Enum):
    """What a greeting of the engine tells about its process."""

    FIRST = auto()  # no engine has greeted before
    SAME_PROCESS = auto()
    RESTARTED = auto()  # another process, which knows no earlier run


class EngineProcess:
    """Tells processes of the engine apart by their start time; all times are nanoseconds."""

    def __init__(self, restart_margin: int) -> None:
        """`restart_margin` allows for the rounding of reported ages and for delays."""
        self.restart_margin = restart_margin
        # Latest start that is consistent with all greetings of this process, on the monotonic clock; None
        # before the first greeting.
        self.latest_start: int | None = None

    @property
    def has_greeted(self) -> bool:
        """Whether an engine has sent its first greeting."""
        return self.latest_start is not None

    def greet(self, now: int, attached_at: int, age: int) -> Greeting:
        """Note a greeting with the age of the process, on a connection that attached at `attached_at`."""
        start = now - age
        if self.latest_start is None:
            self.latest_start = start
            return Greeting.FIRST
        if self.has_restarted(attached_at, age, self.latest_start):
            self.latest_start = start
            return Greeting.RESTARTED
        self.latest_start = min(self.latest_start, start)
        return Greeting.SAME_PROCESS

    def has_restarted(self, attached_at: int, age: int, latest_start: int) -> bool:
        """Return whether the process started later than `latest_start` plus the margin.

        Its start is `attached_at` minus its age: the greeting itself may be delayed.
        """
        return attached_at - age > latest_start + self.restart_margin
