"""States of a dispatcher's connection, and which of them may follow which."""

from __future__ import annotations

from enum import Enum


class ConnectionState(Enum):
    """State of a connection; `Connection._change_state` alone changes it."""

    OPEN = "open"
    LEAVING = "leaving"  # `0 last` is written; requests that crossed it are taken like any other
    ENDING = "ending"  # nothing more is read from it; its open requests still get their answers
    LINGERING = "lingering"  # our side is shut down; what still comes is dropped and never ran
    CLOSED = "closed"


TRANSITIONS = {
    ConnectionState.OPEN: {
        ConnectionState.LEAVING,
        ConnectionState.ENDING,
        ConnectionState.LINGERING,
        ConnectionState.CLOSED,
    },
    ConnectionState.LEAVING: {
        ConnectionState.ENDING,
        ConnectionState.LINGERING,
        ConnectionState.CLOSED,
    },
    ConnectionState.ENDING: {ConnectionState.LINGERING, ConnectionState.CLOSED},
    ConnectionState.LINGERING: {ConnectionState.CLOSED},
    ConnectionState.CLOSED: set(),
}
