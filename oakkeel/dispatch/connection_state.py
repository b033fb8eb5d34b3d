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
    DRAINING = "draining"  # `0 last` is written; requests that were in flight are handled as usual
    ENDING = "ending"  # no more requests are read; open requests still get their answers
    LINGERING = "lingering"  # our side is shut down; requests still received are dropped and never run
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
        """Change the state, and cancel the timer of the previous state. Raises InvalidTransitionError."""
        if state not in TRANSITIONS[self.state]:
            raise InvalidTransitionError("a connection", self.state.value, state.value)
        self.state = state
        self.cancel_timer()

    def start_timer(
        self, delay: int, on_expired: Callable[[*Arguments], None], *arguments: *Arguments
    ) -> None:
        """Call `on_expired` after `delay` nanoseconds, unless the state changes earlier."""
        self._timer = asyncio.get_running_loop().call_later(delay / SECOND, on_expired, *arguments)

    def cancel_timer(self) -> None:
        """Cancel the timer, if there is one."""
        if self._timer:
            self._timer.cancel()
            self._timer = None
