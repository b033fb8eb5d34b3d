"""Parsing of the commands that a connection receives, and the start of the wait for a complete command."""

from __future__ import annotations

import time
from collections.abc import Callable

from oakkeel.dispatch.resp import parse_arrays
from oakkeel.resource_limits import ResourceLimits
from oakkeel.stream_buffers import ReadBuffer


class ArrayReader:
    """Takes the complete arrays out of a read buffer and passes each to a handler of commands."""

    __slots__ = ("_buffer", "_handle", "_is_limited", "_resource_limits", "wait_started_at")

    def __init__(
        self, buffer: ReadBuffer, resource_limits: ResourceLimits, handle: Callable[[list[bytes]], None]
    ) -> None:
        """Start the wait for the first array."""
        self._buffer = buffer
        self._resource_limits = resource_limits
        self._handle = handle
        self._is_limited = False  # the last call of `handle_received` reached the limit of its turn
        # Start of the wait for a complete array, in monotonic nanoseconds; 0: no array is expected.
        self.wait_started_at = time.monotonic_ns()

    @property
    def has_more(self) -> bool:
        """Whether the buffer may hold complete arrays, which the next turn handles without a read."""
        return self._is_limited and self._buffer.has_data

    def handle_received(self) -> bool:
        """Handle the complete arrays, up to the limit of a turn; return whether there was any.

        Raises MalformedInputError.
        """
        handled_count = 0
        self._is_limited = False
        for tokens in parse_arrays(self._buffer, self._resource_limits.max_tokens):
            self._handle(tokens)
            handled_count += 1
            if handled_count == self._resource_limits.arrays_per_turn:
                self._is_limited = True
                break
        any_handled = handled_count > 0
        if not self._buffer.has_data:
            self.wait_started_at = 0
        elif any_handled or not self.wait_started_at:
            self.wait_started_at = time.monotonic_ns()
        return any_handled
