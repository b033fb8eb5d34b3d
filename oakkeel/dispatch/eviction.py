"""Which connection ends to make room for a new one. This module changes nothing."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from oakkeel.dispatch.connection import Connection
from oakkeel.dispatch.socket_state import has_incoming
from oakkeel.resource_limits import ResourceLimits


def eviction_candidate(
    lingering: Iterable[Connection],
    without_requests: Mapping[Connection, int],
    idle: Mapping[Connection, int],
    now: int,
    limits: ResourceLimits,
) -> Connection | None:
    """Return the connection to close for a new one, so that no request and no answer is lost.

    Candidates in this order: the connection that was shut down first, the connection that has sent nothing
    for longest, the connection idle for longest, a newly accepted connection, and a connection with an
    incomplete array. A connection with an open request, an unsent answer or unread bytes is never returned,
    except for one that is shut down: what it still receives never runs. Both mappings have the time of the
    last activity in nanoseconds of the monotonic clock, as `now`, the oldest first.
    """
    for connection in lingering:
        return connection
    grace_start = now - limits.new_connection_grace
    silent = [connection for connection, since in without_requests.items() if since <= grace_start]
    in_grace = [connection for connection, since in without_requests.items() if since > grace_start]
    for connection in (*silent, *idle, *in_grace):
        if connection.is_idle():
            return connection
    with_incomplete_array = silent  # those that are not idle have sent a part of an array
    for connection in with_incomplete_array:
        if not (connection.owes_answers or has_incoming(connection.stream)):
            return connection
    return None


def oldest_without_answers(connections: Iterable[Connection]) -> Connection | None:
    """Return the first of the connections that owes no answer, whose close loses no request."""
    for connection in connections:
        if not connection.owes_answers:
            return connection
    return None
