"""Answers to a dispatcher, joined while an earlier write is still under way."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from oakkeel.stream_buffers import HalfClosingStream, send


class AnswerWriter:
    """Writes answers in order, with at most one write at a time.

    A write of its own for each small answer to a dispatcher that reads none cost ten times its bytes, and
    more than the node's memory.
    """

    __slots__ = ("_backlog", "_on_written", "_sending", "_stream", "started_at", "used")

    def __init__(self, stream: HalfClosingStream, on_written: Callable[[], None]) -> None:
        """`on_written` is called after each finished write."""
        self._stream, self._on_written = stream, on_written
        self._backlog, self._sending = bytearray(), 0  # answers to send, and bytes being sent
        self.used = False  # something was written
        self.started_at = 0  # monotonic nanoseconds of the write under way; 0: none is

    @property
    def unsent(self) -> int:
        """Bytes of answers that the kernel has not taken yet."""
        return self._sending + len(self._backlog)

    def write(self, data: bytes) -> None:
        """Send at once, or behind what is being sent."""
        self.used = True
        self._backlog += data
        if not self._sending:
            self._send_backlog()

    def unlink(self) -> None:
        """Report no further write, so that the one it reports to is in no reference cycle."""
        self._on_written = _ignore

    def _send_backlog(self) -> None:
        data = bytes(self._backlog)
        self._backlog.clear()
        if written := send(self._stream, data):
            self._sending, self.started_at = len(data), time.monotonic_ns()
            written.add_done_callback(self._written)

    def _written(self, _: asyncio.Future[None]) -> None:
        self._sending = self.started_at = 0
        if self._backlog:
            self._send_backlog()
        self._on_written()


def _ignore() -> None:
    """Do nothing on a write that ended after its connection."""
