"""The rules by which an agent starts, restarts, drains and kills instances. Free of I/O and of state."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import Enum

from oakkeel.agent.instances import Goal, Instance, Phase
from oakkeel.backoff import exponential_delay, with_jitter
from oakkeel.units import MS, SECOND

CANCEL_DRAIN_RETRY_INTERVAL_NS = 200 * MS
EXIT_MARGIN_NS = 500 * MS  # from the end of a node's own time to stop until SIGKILL
NODE_DRAIN_PERCENT = 90  # of the drain timeout: the node answers all requests before the agent may kill it


@dataclass(slots=True, frozen=True)
class SupervisionTimeouts:
    """Durations and limits of supervision, from `<supervision>` of the settings."""

    silence_timeout_ns: int = 750 * MS  # without a report, until an instance is silent
    start_timeout_ns: int = 10 * SECOND  # without a first report, until an instance is silent
    stuck_timeout_ns: int = 30 * SECOND  # of silence, until stuck: longer than any client timeout
    restart_stuck: bool = True
    drain_timeout_ns: int = 10 * SECOND  # between the drain and SIGKILL, unless the node needs longer
    min_backoff_ns: int = 500 * MS  # before the first restart; doubled by each consecutive crash
    max_backoff_ns: int = 30 * SECOND
    steady_after_ns: int = 30 * SECOND  # of service, until earlier crashes no longer count as consecutive
    max_restarts: int = 5  # within the restart window
    restart_window_ns: int = 300 * SECOND
    max_starting: int = 4  # processes of the host that start at the same time

    def node_drain_timeout(self, instance: Instance) -> int:
        """The nanoseconds that a node is given for its drain by an order, at least those of its SIGTERM."""
        return max(self.drain_timeout_ns * NODE_DRAIN_PERCENT // 100, instance.stop_after_ns)

    def kill_timeout(self, instance: Instance) -> int:
        """The nanoseconds from the drain of an instance to SIGKILL.

        A node plans its last answers for the time that its own configuration gives it (`stop_ms`), and needs
        a moment more to end.
        """
        return max(self.drain_timeout_ns, instance.stop_after_ns + EXIT_MARGIN_NS)


# Fields of `SupervisionTimeouts` by their names in the parsed settings.
FIELD_OF_SETTING = {
    "silent": "silence_timeout_ns",
    "start": "start_timeout_ns",
    "stuck": "stuck_timeout_ns",
    "restart_stuck": "restart_stuck",
    "drain": "drain_timeout_ns",
    "backoff": "min_backoff_ns",
    "backoff_most": "max_backoff_ns",
    "steady": "steady_after_ns",
    "budget": "max_restarts",
    "window": "restart_window_ns",
    "starting": "max_starting",
}


def timeouts_from_settings(settings: Mapping[str, int | bool]) -> SupervisionTimeouts:
    """The timeouts in the settings, with defaults for missing settings."""
    fields = {FIELD_OF_SETTING[name]: value for name, value in settings.items()}
    return replace(SupervisionTimeouts(), **fields)  # type: ignore[arg-type]


class Action(Enum):
    """The action of a step, for the executor."""

    START = "start"  # start a process of the instance's new generation
    TERM = "term"  # drain by SIGTERM, which can't be cancelled
    DRAIN = "leave"  # drain by the control link, so that the drain can be cancelled
    CANCEL_DRAIN = "stay"
    KILL = "kill"


@dataclass(slots=True, frozen=True)
class RestartDecision:
    """When a crashed instance may be started again."""

    start_not_before: int
    restarts_exhausted: bool  # whether the start waits until the oldest crash leaves the restart window


def decide_restart(
    now: int,
    crash_times: deque[int],
    consecutive_crashes: int,
    timeouts: SupervisionTimeouts,
    random_value: float,
) -> RestartDecision:
    """Decide when a crashed instance is started again.

    A crash loop must not use up the host, so each of the `consecutive_crashes` doubles the backoff, and the
    budget of the restart window bounds all restarts. `crash_times` holds the crashes in the window with the
    latest; `random_value` is uniform in [0, 1).
    """
    delay = exponential_delay(timeouts.min_backoff_ns, timeouts.max_backoff_ns, consecutive_crashes)
    start_not_before = now + with_jitter(delay, random_value)
    if len(crash_times) <= timeouts.max_restarts:
        return RestartDecision(start_not_before, restarts_exhausted=False)
    window_end = crash_times[0] + timeouts.restart_window_ns
    return RestartDecision(max(start_not_before, window_end), restarts_exhausted=True)


def remove_old_crashes(now: int, crash_times: deque[int], window_ns: int) -> None:
    """Remove crashes that are no longer within the restart window."""
    while crash_times and crash_times[0] <= now - window_ns:
        crash_times.popleft()


def is_start_due(now: int, instance: Instance) -> bool:
    """Whether the start of an instance without a process is due."""
    return instance.goal is Goal.UP and now >= instance.start_not_before


def has_generation_left(instance: Instance) -> bool:
    """Whether a generation is left for a start: two processes never have the same generation."""
    is_last_generation_unused = not instance.is_spawned and instance.process_generation != 0
    return instance.generation < instance.generation_limit or is_last_generation_unused


def next_drain_action(now: int, instance: Instance, timeouts: SupervisionTimeouts) -> Action | None:
    """The action that is due for a draining instance; a kill is due only after its kill timeout."""
    time_since_drain_sent = now - instance.drain_sent_at
    if instance.is_drain_cancelled:
        return Action.CANCEL_DRAIN if time_since_drain_sent >= CANCEL_DRAIN_RETRY_INTERVAL_NS else None
    if not instance.drain_sent_at:
        return Action.DRAIN if instance.is_drain_cancellable else Action.TERM
    if instance.kill_after_drain and time_since_drain_sent >= timeouts.kill_timeout(instance):
        return Action.KILL
    return None


def is_silent(now: int, instance: Instance, timeouts: SupervisionTimeouts) -> bool:
    """Whether reports are missing for too long. Nothing is restarted: a silent process may still run."""
    silence = now - max(instance.last_report_at, instance.phase_since)
    timeout = timeouts.silence_timeout_ns if instance.report else timeouts.start_timeout_ns
    return silence > timeout


def is_stuck(now: int, instance: Instance, timeouts: SupervisionTimeouts) -> bool:
    """Whether a silent instance is silent for longer than any client waits for a response."""
    return now - instance.phase_since > timeouts.stuck_timeout_ns


def is_unavailable(instance: Instance) -> bool:
    """Whether an instance counts against the disruption budget of its site, for any cause."""
    return instance.phase is not Phase.SERVING
