"""Reused buffers of one size, and functions that read streams into them and write to streams."""

from __future__ import annotations

import asyncio
import select
import socket
from typing import Any

from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from oakkeel.errors import OakkeelError


class MalformedInputError(OakkeelError):
    """Bytes that violate the protocol; the message describes the violation."""


class ProtocolViolationError(MalformedInputError):
    """Well-formed messages that the protocol does not allow, such as too many; they end the connection."""


class BufferPool:
    """A bounded pool of buffers of one size, allocated on demand and reused."""

    def __init__(self, buffer_size: int, max_buffers: int) -> None:
        """Set the size in bytes and the number of the buffers; allocate none yet."""
        self.buffer_size = buffer_size
        self.unallocated = max_buffers
        self.free: list[bytearray] = []

    @property
    def available(self) -> int:
        """The number of buffers that may still be leased."""
        return self.unallocated + len(self.free)

    def lease(self) -> bytearray:
        """Lease a buffer. Raises MemoryError if none is left."""
        if self.free:
            return self.free.pop()
        if not self.unallocated:
            raise MemoryError("no buffer is left")
        self.unallocated -= 1
        return bytearray(self.buffer_size)

    def release(self, buffer: bytearray) -> None:
        """Return a leased buffer."""
        self.free.append(buffer)


class ReadBuffer:
    """The bytes of one stream that are not parsed yet, in a leased buffer.

    The buffer is filled at `end` and consumed at `start`.
    """

    __slots__ = ("_pool", "buffer", "end", "start")

    def __init__(self, pool: BufferPool) -> None:
        """Lease a buffer. Raises MemoryError if none is left."""
        self._pool = pool
        self.buffer = pool.lease()
        self.start = self.end = 0

    @property
    def has_data(self) -> bool:
        """Whether the buffer holds bytes that no parser has consumed."""
        return self.start != self.end

    def clear(self) -> None:
        """Drop all bytes."""
        self.start = self.end = 0

    def receive(self, connected: socket.socket) -> None:
        """Receive without waiting from a socket that no stream reads yet. Raises OSError."""
        self.end += connected.recv_into(memoryview(self.buffer)[self.end :])

    async def fill(self, stream: IOStream) -> bool:
        """Wait for more bytes, after moving the unparsed bytes to the front.

        Returns whether it had to wait, as the kernel held no bytes. Raises StreamClosedError, and
        MalformedInputError if a full buffer holds no complete message.
        """
        if self.start:
            self.buffer[: self.end - self.start] = self.buffer[self.start : self.end]
            self.end -= self.start
            self.start = 0
        if self.end == len(self.buffer):
            raise MalformedInputError(f"a message of more than {self.end} bytes")
        free = memoryview(self.buffer)[self.end :]
        reading = asyncio.ensure_future(
            stream.read_into(free, partial=True)  # type: ignore[arg-type]  # any buffer will do
        )
        must_wait = not reading.done()
        try:
            count = await reading
        finally:
            del reading  # an error refers to this frame: with the future it would form a reference cycle
        self.end += stream.count_delivered(count) if isinstance(stream, HalfClosingStream) else count
        return must_wait

    def close(self) -> None:
        """Return the buffer to the pool."""
        self._pool.release(self.buffer)


class HalfClosingStream(IOStream):
    """A stream whose other side may shut down its direction and still read ours.

    An IOStream closes both directions at the end of its input, and loses unwritten data. This stream reads
    the end as one additional byte, which `count_delivered` subtracts; nothing may be read after the end.
    """

    undelivered = 0  # bytes received and not delivered yet
    at_eof = False  # the other side sends no more, and all received bytes are delivered

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read into a buffer; the end of the input counts as one byte."""
        count = super().read_from_fd(buf)
        if count == 0:
            return 1
        self.undelivered += count or 0
        return count

    def close(self, exc_info: Any = False) -> None:
        """Close both directions, and drop the traceback of `error`.

        The frames of the traceback refer to the stream and the buffer: a reference cycle that only the
        garbage collector would free.
        """
        super().close(exc_info)
        if self.error is not None:
            self.error.__traceback__ = None

    def count_delivered(self, count: int) -> int:
        """Return the number of received bytes among the `count` bytes of a read."""
        received = min(count, self.undelivered)
        self.undelivered -= received
        self.at_eof = received < count
        return received


def is_readable(connected: socket.socket) -> bool:
    """Return whether the kernel holds unread bytes or the end of the input, also if not polled yet."""
    poll = select.poll()
    poll.register(connected, select.POLLIN)
    return bool(poll.poll(0))


async def connect(stream: IOStream, address: tuple[str, int]) -> None:
    """Connect a stream. Raises StreamClosedError if this fails or the stream is closed meanwhile."""
    await stream.connect(address)
    if stream.closed():  # closed after the connect, before this task resumed
        raise StreamClosedError
    stream.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def send(stream: IOStream, data: bytes) -> asyncio.Future[None] | None:
    """Write as much as possible at once; return None if the stream is closed, as its reader notices."""
    try:
        written = stream.write(data)
    except StreamBufferFullError:
        stream.close()  # the other side does not read
        return None
    except StreamClosedError:
        return None
    written.add_done_callback(_retrieve_exception)
    return written


def _retrieve_exception(written: asyncio.Future[None]) -> None:
    if not written.cancelled():
        written.exception()  # otherwise asyncio logs an exception that was never retrieved
