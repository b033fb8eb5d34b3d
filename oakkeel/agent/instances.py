"""The instances of one host and the orders on them, with their states. Free of I/O.

Times are nanoseconds of the host's monotonic clock, which continues across restarts of the agent, unless a
field says otherwise.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

from oakkeel.control.messages import NodeStatus

MAX_GENERATION = 1 << 62  # the limit where no control plane reserves generations


class Phase(Enum):
    """The known state of an instance; only `Supervisor` changes it. The values are sent and stored."""

    STOPPED = "stopped"  # has no process, and no start is due
    STARTING = "starting"  # its process accepts no requests yet
    COLD = "cold"  # warming up
    SERVING = "serving"
    DRAINING = "draining"  # by an order, or by the node itself
    SILENT = "silent"  # its process exists, and no reports arrive
    STUCK = "stuck"  # silent for longer than any request may take
    FAILING = "failing"  # has crashed, and waits for its restart backoff


TRANSITIONS = {
    Phase.STOPPED: {Phase.STARTING},
    Phase.STARTING: {Phase.COLD, Phase.SERVING, Phase.DRAINING, Phase.SILENT, Phase.STOPPED, Phase.FAILING},
    Phase.COLD: {Phase.SERVING, Phase.STARTING, Phase.DRAINING, Phase.SILENT, Phase.STOPPED, Phase.FAILING},
    Phase.SERVING: {Phase.COLD, Phase.STARTING, Phase.DRAINING, Phase.SILENT, Phase.STOPPED, Phase.FAILING},
    Phase.DRAINING: {Phase.COLD, Phase.SERVING, Phase.STOPPED},  # the drain was cancelled, or is complete
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
REPORTED_PHASES = {  # by the state in a node's report
    "waiting": Phase.STARTING,
    "cold": Phase.COLD,
    "serving": Phase.SERVING,
    "draining": Phase.DRAINING,
}


class Goal(Enum):
    """The desired state of an instance; the values are sent and stored."""

    UP = "up"
    DOWN = "down"


@dataclass(slots=True, eq=False)
class Instance:
    """The state of one instance, shared by `Supervisor` and `OrderRegistry`."""

    name: str
    site: str
    goal: Goal = Goal.UP
    phase: Phase = Phase.STOPPED
    phase_since: int = 0  # time of the last change of the phase
    generation: int = 0  # incremented by each start and each accepted order
    changed_at: int = 0  # time of the last start or accepted order, in Unix nanoseconds, for display
    changed_by: str = ""  # operator and verb of that order, or the agent
    process_generation: int = 0  # generation of the current or the last process
    is_spawned: bool = False  # whether the current or last process is known to have been started
    last_report_at: int = 0
    report: NodeStatus | None = None  # the last report of its process
    drain_sent_at: int = 0  # time at which its process was last sent the drain; 0: not yet
    kill_after_drain: bool = False  # whether its process is killed when the drain timeout expires
    stop_after_ns: int = 0  # from SIGTERM until its process may be killed, by its configuration; 0: unknown
    start_not_before: int = 0  # time before which the instance is not started
    consecutive_crashes: int = 0  # reset once the instance has served for `steady_after_ns`
    # Times of crashes, and of restarts of the stuck instance, within the restart window.
    crash_times: deque[int] = field(default_factory=deque)
    restarts_exhausted: bool = False  # whether its restart budget is spent (stored as `resting`)
    why: str = ""  # the last error, for display
    crashes_since_agent_start: int = 0
    running_version: str = ""  # release version of its process, as of the start or the last report
    is_drain_cancellable: bool = False  # whether its drain is sent over the control link, which can cancel it
    is_drain_cancelled: bool = False  # whether a cancellation of its drain is not confirmed yet
    generation_limit: int = MAX_GENERATION  # highest generation that is reserved for the instance
    task: Task | None = None  # task of the open order on the instance
    is_changed: bool = False  # whether the instance has changed since the last write

    @property
    def has_process(self) -> bool:
        """Whether the instance has a process, as far as is known."""
        return self.phase not in (Phase.STOPPED, Phase.FAILING)


class Verb(Enum):
    """The action that an order requests; the values are sent and stored."""

    START = "start"
    STOP = "stop"  # drain, and kill when the drain timeout expires
    DRAIN = "drain"  # drain without a kill
    RESTART = "restart"


class HostTaskState(Enum):
    """The state of an order on one instance; the values are sent and stored."""

    REFUSED = "refused"
    WAITING = "waiting"  # for the disruption budget
    IN_PROGRESS = "acting"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    SUPERSEDED = "superseded"
    EXPIRED = "expired"


OPEN_HOST_TASK_STATES = (HostTaskState.WAITING, HostTaskState.IN_PROGRESS)
OPEN_HOST_TASK_STATE_VALUES = tuple(state.value for state in OPEN_HOST_TASK_STATES)
FINAL_HOST_TASK_STATES = frozenset(HostTaskState) - set(OPEN_HOST_TASK_STATES) - {HostTaskState.REFUSED}
TASK_TRANSITIONS = {
    HostTaskState.WAITING: {HostTaskState.IN_PROGRESS} | FINAL_HOST_TASK_STATES,
    HostTaskState.IN_PROGRESS: FINAL_HOST_TASK_STATES - {HostTaskState.EXPIRED},
    **{state: frozenset() for state in FINAL_HOST_TASK_STATES},
    HostTaskState.REFUSED: frozenset(),
}


@dataclass(slots=True, frozen=True)
class TaskSnapshot:
    """The fields of a task that `undo` restores."""

    task: Task
    state: HostTaskState
    state_since: int
    why: str


@dataclass(slots=True, frozen=True)
class InstanceSnapshot:
    """The fields of an instance that accepting an order changes, for `undo`."""

    generation: int
    changed_at: int
    changed_by: str
    superseded_task: TaskSnapshot | None


@dataclass(slots=True, eq=False)
class Task:
    """One order on one instance; only `OrderRegistry._transition` changes its state."""

    order: Order
    instance: Instance
    generation: int  # generation of the instance that the operator saw
    state: HostTaskState = HostTaskState.WAITING
    state_since: int = 0
    why: str = ""
    is_drain_sent: bool = False  # whether its process may have received the drain
    replaced_generation: int = 0  # generation of the process that a restart replaces
    undo_snapshot: InstanceSnapshot | None = None  # before the order; None once the order is stored

    @property
    def is_open(self) -> bool:
        """Whether the task is waiting or acting."""
        return self.state in OPEN_HOST_TASK_STATES


@dataclass(slots=True, eq=False)
class Order:
    """One order of one operator."""

    order_id: str
    operator: str
    verb: Verb
    accepted_at: int  # Unix nanoseconds
    expires_at: int  # monotonic
    requested_instances: tuple[tuple[str, int], ...]  # instances and the generations that the operator saw
    tasks: list[Task] = field(default_factory=list)

    @property
    def is_open(self) -> bool:
        """Whether any task of the order is open."""
        return any(task.is_open for task in self.tasks)
