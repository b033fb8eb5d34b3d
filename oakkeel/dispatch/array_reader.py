"""Parsing of the commands that a connection receives, and the start of the wait for a complete command."""

from __future__ import annotations

import time
from collections.abc import Callable

from oakkeel.dispatch.resp import parse_arrays
from oakkeel.stream_buffers import ReadBuffer


class ArrayReader:
    """Takes the complete arrays out of a read buffer and passes each to a handler of commands."""

    __slots__ = ("_buffer", "_handle", "_max_tokens", "wait_started_at")

    def __init__(self, buffer: ReadBuffer, max_tokens: int, handle: Callable[[list[bytes]], None]) -> None:
        """Start the wait for the first array."""
        self._buffer = buffer
        self._max_tokens = max_tokens
        self._handle = handle
        # Start of the wait for a complete array, in monotonic nanoseconds; 0: no array is expected.
        self.wait_started_at = time.monotonic_ns()

    def handle_received(self) -> bool:
        """Handle the complete arrays; return whether there was any. Raises MalformedInputError."""
        any_handled = False
        for tokens in parse_arrays(self._buffer, self._max_tokens):
            self._handle(tokens)
            any_handled = True
        if not self._buffer.has_data:
            self.wait_started_at = 0
        elif any_handled or not self.wait_started_at:
            self.wait_started_at = time.monotonic_ns()
        return any_handled
