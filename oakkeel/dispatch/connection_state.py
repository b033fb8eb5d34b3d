"""The states of a dispatcher's connection and their transitions."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import TypeVarTuple

from oakkeel.errors import InvalidTransitionError
from oakkeel.units import SECOND

Arguments = TypeVarTuple("Arguments")


class ConnectionState(Enum):
    """State of a connection; only `ConnectionLifecycle.change` changes it."""

    OPEN = "open"
    DRAINING = "draining"  # `0 last` is written; requests that crossed it are handled like any other
    ENDING = "ending"  # no more requests are read; the open ones still get their answers
    LINGERING = "lingering"  # our side is shut down; what is still received is dropped and never runs
    CLOSED = "closed"


TRANSITIONS = {
    ConnectionState.OPEN: {
        ConnectionState.DRAINING,
        ConnectionState.ENDING,
        ConnectionState.LINGERING,
        ConnectionState.CLOSED,
    },
    ConnectionState.DRAINING: {
        ConnectionState.ENDING,
        ConnectionState.LINGERING,
        ConnectionState.CLOSED,
    },
    ConnectionState.ENDING: {ConnectionState.LINGERING, ConnectionState.CLOSED},
    ConnectionState.LINGERING: {ConnectionState.CLOSED},
    ConnectionState.CLOSED: set(),
}


class ConnectionLifecycle:
    """The state of one connection, and the timer that ends its draining or its lingering."""

    __slots__ = ("_timer", "state")

    def __init__(self) -> None:
        """Start open, without a timer."""
        self.state = ConnectionState.OPEN
        self._timer: asyncio.TimerHandle | None = None

    def change(self, state: ConnectionState) -> None:
        """Change the state and cancel the timer of the earlier one. Raises InvalidTransitionError."""
        if state not in TRANSITIONS[self.state]:
            raise InvalidTransitionError("a connection", self.state.value, state.value)
        self.state = state
        self.cancel_timer()

    def start_timer(self, delay: int, expired: Callable[[*Arguments], None], *arguments: *Arguments) -> None:
        """Call `expired` after `delay` nanoseconds, unless the state has changed by then."""
        self._timer = asyncio.get_running_loop().call_later(delay / SECOND, expired, *arguments)

    def cancel_timer(self) -> None:
        """Cancel the timer, if there is one."""
        if self._timer:
            self._timer.cancel()
            self._timer = None
