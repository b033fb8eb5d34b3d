"""Answers to a dispatcher, joined while an earlier write is in progress."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from oakkeel.stream_buffers import HalfClosingStream, send


class AnswerWriter:
    """Writes answers in order, with at most one write at a time.

    A separate write for each small answer takes ten times its bytes in memory while the dispatcher reads
    none.
    """

    __slots__ = ("_backlog", "_on_written", "_sending", "_stream", "started_at", "used")

    def __init__(self, stream: HalfClosingStream, on_written: Callable[[], None]) -> None:
        """`on_written` is called after each finished write."""
        self._stream = stream
        self._on_written = on_written
        self._backlog = bytearray()  # answers to send
        self._sending = 0  # bytes of the write in progress
        self.used = False  # something was written
        self.started_at = 0  # monotonic nanoseconds of the write in progress; 0: none is

    @property
    def unsent(self) -> int:
        """The bytes of answers that the kernel has not taken yet."""
        return self._sending + len(self._backlog)

    def write(self, data: bytes) -> None:
        """Send at once, or after the write in progress."""
        self.used = True
        self._backlog += data
        if not self._sending:
            self._send_backlog()

    def unlink(self) -> None:
        """Report no further write, so that the connection is in no reference cycle."""
        self._on_written = _ignore

    def _send_backlog(self) -> None:
        data = bytes(self._backlog)
        self._backlog.clear()
        if written := send(self._stream, data):
            self._sending = len(data)
            self.started_at = time.monotonic_ns()
            written.add_done_callback(self._written)

    def _written(self, _: asyncio.Future[None]) -> None:
        self._sending = self.started_at = 0
        if self._backlog:
            self._send_backlog()
        self._on_written()


def _ignore() -> None:
    """Do nothing on a write that ended after its connection."""
