"""State of a socket that the kernel knows and no stream reports."""

from __future__ import annotations

import contextlib
import select
import socket

from oakkeel.stream_buffers import HalfClosingStream, is_readable

MAX_DISCARD_READS = 16  # a peer that keeps sending must not block the event loop
DISCARD_READ_BYTES = 64 * 1024


def has_hung_up(connected: socket.socket) -> bool:
    """Return whether the other side has closed both directions; the kernel learns it only after a write."""
    poll = select.poll()
    poll.register(connected, 0)
    return bool(poll.poll(0))


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
