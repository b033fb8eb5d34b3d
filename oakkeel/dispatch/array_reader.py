"""The commands that a connection has received, and since when one of them is incomplete."""

from __future__ import annotations

import time
from collections.abc import Callable

from oakkeel.dispatch.resp import arrays
from oakkeel.stream_buffers import ReadBuffer


class ArrayReader:
    """Takes the whole arrays out of a read buffer and passes each to a handler of commands."""

    __slots__ = ("_buffer", "_handle", "_max_tokens", "due_since")

    def __init__(self, buffer: ReadBuffer, max_tokens: int, handle: Callable[[list[bytes]], None]) -> None:
        """Start to wait for the first array."""
        self._buffer = buffer
        self._max_tokens = max_tokens
        self._handle = handle
        self.due_since = time.monotonic_ns()  # when the wait for a whole array began; 0: none is due

    def handle_received(self) -> bool:
        """Handle the whole arrays; return whether there was one. Raises MalformedInputError."""
        handled = False
        for tokens in arrays(self._buffer, self._max_tokens):
            self._handle(tokens)
            handled = True
        if not self._buffer.has_data:
            self.due_since = 0
        elif handled or not self.due_since:
            self.due_since = time.monotonic_ns()
        return handled
