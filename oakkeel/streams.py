"""Buffers of one size, used again, and how streams are read into them and written to."""

from __future__ import annotations

import asyncio
import socket

from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError


class Malformed(Exception):
    """Bytes that can't be what the other side should send; the text says why in a few words."""


class BufferPool:
    """Buffers of one size. It makes them as they are asked for and keeps those given back."""

    def __init__(self, size: int, most: int) -> None:
        self.size, self.left = size, most
        self.free: list[bytearray] = []

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

    __slots__ = ("pool", "buffer", "start", "end")

    def __init__(self, pool: BufferPool) -> None:
        self.pool, self.buffer = pool, pool.lease()
        self.start = self.end = 0

    async def fill(self, stream: IOStream) -> None:
        """Wait for more. What a parser left is moved to the front; a full buffer holds no whole message."""
        if self.start:
            self.buffer[: self.end - self.start] = self.buffer[self.start : self.end]
            self.start, self.end = 0, self.end - self.start
        if self.end == len(self.buffer):
            raise Malformed(f"longer than {self.end} bytes")
        room = memoryview(self.buffer)[self.end :]
        self.end += await stream.read_into(room, partial=True)  # type: ignore[arg-type]  # any buffer will do

    def close(self) -> None:
        self.pool.give_back(self.buffer)


async def connect(stream: IOStream, address: tuple[str, int]) -> None:
    await stream.connect(address)
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
