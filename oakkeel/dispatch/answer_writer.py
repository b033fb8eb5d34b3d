"""Answers to a dispatcher, joined while an earlier write is in progress."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from oakkeel.stream_buffers import HalfClosingStream, send


class AnswerWriter:
    """Writes answers in order, with at most one write at a time.

    One write for each small answer would hold ten times the answer's bytes in memory while the dispatcher
    does not read.
    """

    __slots__ = ("_backlog", "_on_written", "_sending_bytes", "_stream", "has_written", "write_started_at")

    def __init__(self, stream: HalfClosingStream, on_written: Callable[[], None]) -> None:
        """`on_written` is called after each finished write."""
        self._stream = stream
        self._on_written = on_written
        self._backlog = bytearray()  # answers to send
        self._sending_bytes = 0  # bytes of the write in progress
        self.has_written = False  # one or more answers were passed to `write`
        self.write_started_at = 0  # monotonic nanoseconds; 0: no write is in progress

    @property
    def unsent_bytes(self) -> int:
        """The number of bytes of answers whose writes are not known to be finished."""
        return self._sending_bytes + len(self._backlog)

    @property
    def is_blocked(self) -> bool:
        """Whether the kernel takes no more bytes of answers for now."""
        return self._stream.writing()

    def flush(self) -> None:
        """Pass the joined answers to the kernel now, if it takes them."""
        if self._backlog and not self.is_blocked:
            self._send_backlog()

    def write(self, data: bytes) -> None:
        """Send `data` at once, or after the write in progress."""
        self.has_written = True
        self._backlog += data
        if not self._sending_bytes:
            self._send_backlog()

    def detach(self) -> None:
        """Drop the callback, so that the connection is in no reference cycle."""
        self._on_written = _ignore_write

    def _send_backlog(self) -> None:
        data = bytes(self._backlog)
        self._backlog.clear()
        if written := send(self._stream, data):
            self._sending_bytes = len(data)
            self.write_started_at = time.monotonic_ns()
            written.add_done_callback(self._on_write_done)

    def _on_write_done(self, _: asyncio.Future[None]) -> None:
        self._sending_bytes = self.write_started_at = 0
        if self._backlog:
            self._send_backlog()
        self._on_written()


def _ignore_write() -> None:
    """Ignore a write that finishes after the end of its connection."""
