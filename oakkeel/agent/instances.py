"""One instance as the agent of its host sees it, and the phases it goes through. Free of I/O.

Times are nanoseconds of the host's monotonic clock, which goes on where the agent does not.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from oakkeel.agent.orders import Task


class Phase(Enum):
    """What is known of an instance; `Supervisor` alone moves one on."""

    STOPPED = "stopped"  # no process, and none is wanted yet
    STARTING = "starting"  # a process, which takes no exchanges yet
    COLD = "cold"
    SERVING = "serving"
    DRAINING = "draining"  # told to leave, or leaving by itself
    SILENT = "silent"  # its process is there and says nothing
    STUCK = "stuck"  # silent for so long that all it may have read is overdue
    FAILING = "failing"  # died by itself, and waits to be started again


TRANSITIONS = {
    Phase.STOPPED: {Phase.STARTING},
    Phase.STARTING: {Phase.COLD, Phase.SERVING, Phase.DRAINING, Phase.SILENT, Phase.STOPPED, Phase.FAILING},
    Phase.COLD: {Phase.SERVING, Phase.STARTING, Phase.DRAINING, Phase.SILENT, Phase.STOPPED, Phase.FAILING},
    Phase.SERVING: {Phase.COLD, Phase.STARTING, Phase.DRAINING, Phase.SILENT, Phase.STOPPED, Phase.FAILING},
    Phase.DRAINING: {Phase.COLD, Phase.SERVING, Phase.STOPPED},  # called back, or gone
    Phase.SILENT: {
        Phase.STARTING,
        Phase.COLD,
        Phase.SERVING,
        Phase.DRAINING,
        Phase.STUCK,
        Phase.STOPPED,
        Phase.FAILING,
    },
    Phase.STUCK: {Phase.STARTING, Phase.COLD, Phase.SERVING, Phase.DRAINING, Phase.STOPPED, Phase.FAILING},
    Phase.FAILING: {Phase.STARTING, Phase.STOPPED},
}
REPORTED = {
    "waiting": Phase.STARTING,
    "cold": Phase.COLD,
    "serving": Phase.SERVING,
    "draining": Phase.DRAINING,
}


class Goal(Enum):
    """What shall become of an instance."""

    UP = "up"
    DOWN = "down"


@dataclass(slots=True, eq=False)
class Instance:
    """Its owner is the agent; `Supervisor` and `OrderRegistry` both refer to it."""

    name: str
    site: str
    goal: Goal = Goal.UP
    phase: Phase = Phase.STOPPED
    phase_since: int = 0  # when it entered its phase
    generation: int = 0  # of the last change: a start, or an order taken
    changed_at: int = 0  # when that was, in Unix nanoseconds, for people
    changed_by: str = ""  # who made it: an operator, or the agent
    process_generation: int = 0  # generation of the process that is there, or that was there last
    spawned: bool = False  # that process was there for certain
    last_report_at: int = 0  # when its last report came
    report: Any = None  # that report, as it came
    drain_sent_at: int = 0  # when its process was told to leave; 0: not yet
    kill_after_drain: bool = False  # it may be killed its drain time after that
    start_not_before: int = 0  # not before
    failures: int = 0  # deaths in a row, before it served steadily
    crashes: deque[int] = field(default_factory=deque)  # when it died by itself, as far as the window goes
    restarts_exhausted: bool = False  # its budget of starts is spent
    why: str = ""  # the last thing that went wrong
    crash_count: int = 0  # by itself, since the agent started
    running_version: str = ""  # the version that its last report told
    drain_cancellable: bool = False  # told to leave in a way that can be taken back
    drain_cancelled: bool = False  # it is to come back from its drain
    generation_limit: int = 1 << 62  # generations that may be used, where the record gives them out
    task: Task | None = None  # of the order that is open on it
    dirty: bool = False  # changed since it was last kept

    @property
    def alive(self) -> bool:
        """A process of it is there, as far as is known."""
        return self.phase not in (Phase.STOPPED, Phase.FAILING)
