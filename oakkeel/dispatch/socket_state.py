"""What the kernel knows of a socket that no stream reports."""

from __future__ import annotations

import contextlib
import select
import socket

from oakkeel.stream_buffers import HalfClosingStream, readable

MAX_DISCARD_READS = 16  # a peer that keeps sending must not keep the event loop
DISCARD_READ_BYTES = 4096


def hung_up(opened: socket.socket) -> bool:
    """Return whether the other side has closed both ways, which shows only after a write to it."""
    poll = select.poll()
    poll.register(opened, 0)
    return bool(poll.poll(0))


def has_incoming(stream: HalfClosingStream) -> bool:
    """Return whether bytes or an end may be there unread.

    They may be in the kernel since the event loop last polled, or in the stream while reading pauses.
    """
    return not stream.reading() or readable(stream.socket)


def discard_received(opened: socket.socket) -> None:
    """Read and drop a bounded number of the bytes that wait in the kernel."""
    with contextlib.suppress(OSError):
        for _ in range(MAX_DISCARD_READS):
            if not opened.recv(DISCARD_READ_BYTES):
                break
