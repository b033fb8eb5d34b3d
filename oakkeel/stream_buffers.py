"""Buffers of one size, used again, and how streams are read into them and written to."""

from __future__ import annotations

import asyncio
import select
import socket
from typing import Any

from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError


class MalformedInputError(Exception):
    """Bytes that can't be what the other side should send; the text says why in a few words."""


class BufferPool:
    """Buffers of one size. It makes them as they are asked for and keeps those given back."""

    def __init__(self, size: int, most: int) -> None:
        self.size, self.left = size, most
        self.free: list[bytearray] = []

    @property
    def spare(self) -> int:
        """How many may still be leased."""
        return self.left + len(self.free)

    def lease(self) -> bytearray:
        if self.free:
            return self.free.pop()
        if not self.left:
            raise MemoryError("no buffer is left")
        self.left -= 1
        return bytearray(self.size)

    def give_back(self, buffer: bytearray) -> None:
        self.free.append(buffer)


class ReadBuffer:
    """What was read from one stream and is not yet parsed: a leased buffer, filled behind, emptied before."""

    __slots__ = ("buffer", "end", "pool", "start")

    def __init__(self, pool: BufferPool) -> None:
        self.pool, self.buffer = pool, pool.lease()
        self.start = self.end = 0

    @property
    def waiting(self) -> bool:
        """Whether it holds bytes that no parser has taken."""
        return self.start != self.end

    def drop(self) -> None:
        self.start = self.end = 0

    def take(self, opened: socket.socket) -> None:
        """What is there at once, of a socket that no stream reads yet. Raises OSError."""
        self.end += opened.recv_into(memoryview(self.buffer)[self.end :])

    async def fill(self, stream: IOStream) -> None:
        """Wait for more. What a parser left is moved to the front; a full buffer holds no whole message."""
        if self.start:
            self.buffer[: self.end - self.start] = self.buffer[self.start : self.end]
            self.start, self.end = 0, self.end - self.start
        if self.end == len(self.buffer):
            raise MalformedInputError(f"longer than {self.end} bytes")
        room = memoryview(self.buffer)[self.end :]
        count = await stream.read_into(room, partial=True)  # type: ignore[arg-type]  # any buffer will do
        self.end += stream.delivered(count) if isinstance(stream, HalfClosingStream) else count

    def close(self) -> None:
        self.pool.give_back(self.buffer)


class HalfClosingStream(IOStream):
    """A stream on which the other side may end its half and go on to read ours.

    An IOStream closes both ways at the end of what comes, and what is still owed is lost. Here that end comes
    as one byte more than was received, which `delivered` takes off; nothing may be read after it.
    """

    received = 0  # and not delivered yet
    ended = False  # the other side sends no more, and all that it sent is delivered

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        count = super().read_from_fd(buf)
        if count == 0:
            return 1
        self.received += count or 0
        return count

    def close(self, exc_info: Any = False) -> None:
        """`error` tells what it broke of, without the frames: these hold the stream and what it read into,
        and such a circle lay in memory until the collector came by."""
        super().close(exc_info)
        if self.error is not None:
            self.error.__traceback__ = None

    def delivered(self, count: int) -> int:
        """How many of the bytes that a read brought were received."""
        real = min(count, self.received)
        self.received -= real
        self.ended = real < count
        return real


def readable(opened: socket.socket) -> bool:
    """Whether bytes or an end wait in the kernel: they may have come since the loop last looked."""
    poll = select.poll()
    poll.register(opened, select.POLLIN)
    return bool(poll.poll(0))


async def connect(stream: IOStream, address: tuple[str, int]) -> None:
    """Raises StreamClosedError where it can't be reached, or was closed meanwhile."""
    await stream.connect(address)
    if stream.closed():  # between the connection and our turn
        raise StreamClosedError
    stream.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def send(stream: IOStream, data: bytes) -> asyncio.Future[None] | None:
    """Write at once what can be; None where the stream has ended. Its reader sees the end, and tells it."""
    try:
        written = stream.write(data)
    except StreamBufferFullError:
        stream.close()  # the other side has long ceased to read
        return None
    except StreamClosedError:
        return None
    written.add_done_callback(_look)
    return written


def _look(written: asyncio.Future[None]) -> None:
    if not written.cancelled():
        written.exception()  # or asyncio would report it as never looked at
