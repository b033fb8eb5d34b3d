"""State of a socket that the kernel knows and no stream reports."""

from __future__ import annotations

import contextlib
import select
import socket
from enum import Enum

from oakkeel.stream_buffers import HalfClosingStream, is_readable

MAX_DISCARD_READS = 16  # a peer that keeps sending must not block the event loop
DISCARD_READ_BYTES = 64 * 1024


class PeerState(Enum):
    """Which directions of a connection its other side has closed, as far as the kernel knows."""

    CONNECTED = "connected"
    HALF_CLOSED = "half closed"  # it sends no more; whether it still reads, only a write can show
    GONE = "gone"  # it has reset the connection, or closed it and answered a write with a reset


def peer_state(connected: socket.socket) -> PeerState:
    """Return what the kernel knows of the other side, also if it holds unread bytes."""
    poll = select.poll()
    poll.register(connected, select.POLLRDHUP)
    events = poll.poll(0)
    if not events:
        return PeerState.CONNECTED
    return PeerState.GONE if events[0][1] & (select.POLLHUP | select.POLLERR) else PeerState.HALF_CLOSED


def has_hung_up(connected: socket.socket) -> bool:
    """Return whether the other side has closed both directions; the kernel learns it only after a write."""
    return peer_state(connected) is PeerState.GONE


def has_incoming(stream: HalfClosingStream) -> bool:
    """Return whether received bytes or the end of the input may be unread.

    They may have reached the kernel after the event loop last polled, or the stream while reading pauses.
    """
    return not stream.reading() or is_readable(stream.socket)


def discard_received(connected: socket.socket) -> None:
    """Read and drop a bounded number of the bytes that wait in the kernel."""
    with contextlib.suppress(OSError):
        for _ in range(MAX_DISCARD_READS):
            if not connected.recv(DISCARD_READ_BYTES):
                break
