"""The event that the reader of a connection waits for while it does not read."""

from __future__ import annotations

import asyncio
import contextlib

from tornado.iostream import IOStream, StreamClosedError

from oakkeel.units import SECOND


class Progress:
    """An event that is set when a request is finished, an answer is sent, or the stream is closed."""

    __slots__ = ("_event", "_stream")

    def __init__(self, stream: IOStream) -> None:
        """Start with the event not set."""
        self._stream = stream
        self._event = asyncio.Event()

    def set(self) -> None:
        """Set the event, which wakes the reader."""
        self._event.set()

    async def wait(self, timeout: int = 0) -> None:
        """Wait for the next progress, `timeout` nanoseconds at most (0: no limit).

        Raises StreamClosedError if the stream is closed before or after the wait.
        """
        if self._stream.closed():
            raise StreamClosedError
        self._event.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(timeout / SECOND if timeout else None):
                await self._event.wait()
        if self._stream.closed():
            raise StreamClosedError
