"""The idle time after which connections close, so that slots are kept for clients that return."""

from __future__ import annotations

from collections.abc import Sequence

from oakkeel.admission.client_returns import ReturnTimes
from oakkeel.units import MS, SECOND

# Idle time, summed over connections, that one saved new connection is worth: below REAP and from REAP on.
CONNECTION_VALUE_NS = 20 * SECOND
REAP_CONNECTION_VALUE_NS = 4 * SECOND
MIN_IDLE_TIME_NS = 10 * MS
RETURN_STEP_NS = 64 * MS  # end of the shortest step of return times; each further step ends at twice the time
RETURN_STEPS = 9  # number of steps; longer return times are counted after the last step
MAX_REMEMBERED_CLIENTS = 512  # the client seen longest ago is forgotten first
MAX_PARSING_PER_CORE = 1.5  # parsing backlog above which new connections fill the cores
MAX_NEW_CONNECTIONS_PER_CORE_S = 8  # per core and second, while new connections fill the cores


def idle_time(returns: Sequence[ReturnTimes], is_reaping: bool) -> int:
    """Return the idle time in nanoseconds after which a connection closes.

    The result is the end of the step of return times with the highest gain: the value of the saved new
    connections minus the time that connections stay idle. `returns` has the return times by step; its last
    element has those beyond all steps. With `is_reaping` (from REAP on) a saved connection is worth less.
    """
    value = REAP_CONNECTION_VALUE_NS if is_reaping else CONNECTION_VALUE_NS
    later_returns = sum(times.return_count for times in returns)
    best_time = MIN_IDLE_TIME_NS
    best_gain = 0.0
    net_saving = 0.0
    for step, times in enumerate(returns[:RETURN_STEPS]):
        step_end = RETURN_STEP_NS << step
        net_saving = net_saving + value * times.return_count - times.total_ns
        later_returns -= times.return_count
        gain = net_saving - step_end * later_returns
        if gain > best_gain:
            best_gain = gain
            best_time = step_end
    return best_time


def crowded_idle_time(connections: float, parsing_backlog: float, cores: int) -> int:
    """Return the idle time in nanoseconds that limits new connections, or 0 unless they fill the cores.

    A full table of connections rejects clients before they take a core. `connections` is the number of open
    ones, `parsing_backlog` the mean of the last seconds.
    """
    if parsing_backlog > MAX_PARSING_PER_CORE * cores:
        return int(connections * SECOND / (MAX_NEW_CONNECTIONS_PER_CORE_S * cores))
    return 0
