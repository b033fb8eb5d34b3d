"""Idle connections: when they close, so that the table of connections holds the clients that return."""

from __future__ import annotations

from collections.abc import Sequence

from oakkeel.admission.client_returns import ReturnTimes
from oakkeel.units import MS, SECOND

# Total idle time of connections that is worth spending to save one new connection, below and from REAP.
CONNECTION_VALUE_NS = 20 * SECOND
REAP_CONNECTION_VALUE_NS = 4 * SECOND
MIN_IDLE_TIME_NS = 10 * MS
RETURN_STEP_NS = 64 * MS  # the shortest step of return times; each further one doubles
RETURN_STEPS = 9
MAX_REMEMBERED_CLIENTS = 512  # the client that was seen longest ago is forgotten first
MAX_PARSING_PER_CORE = 1.5  # above it, new connections crowd the cores
MAX_NEW_CONNECTIONS_PER_CORE_S = 8  # while new connections crowd the cores


def idle_time(returns: Sequence[ReturnTimes], reaping: bool) -> int:
    """Return the idle time in nanoseconds after which a connection closes.

    It is the end of the step of return times that gains most: the value of the new connections that it saves
    less the time that connections stay idle. `returns` has the return times by step, in the last place those
    beyond all steps. With `reaping` (from REAP on) a saved new connection justifies less idle time.
    """
    value = REAP_CONNECTION_VALUE_NS if reaping else CONNECTION_VALUE_NS
    others = sum(times.returns for times in returns)
    best_time = MIN_IDLE_TIME_NS
    best_gain = 0.0
    saved = 0.0
    for step, times in enumerate(returns[:RETURN_STEPS]):
        step_end = RETURN_STEP_NS << step
        saved = saved + value * times.returns - times.total_ns
        others -= times.returns
        gain = saved - step_end * others
        if gain > best_gain:
            best_gain = gain
            best_time = step_end
    return best_time


def crowded_idle_time(connections: float, parsing_backlog: float, cores: int) -> int:
    """Return the idle time in nanoseconds that bounds new connections where these crowd the cores; else 0.

    A full table rejects clients before they take a core. `parsing_backlog` is the mean of the last seconds.
    """
    if parsing_backlog > MAX_PARSING_PER_CORE * cores:
        return int(connections * SECOND / (MAX_NEW_CONNECTIONS_PER_CORE_S * cores))
    return 0
