"""Length-prefixed frames: four bytes of length, big-endian, then the content."""

from __future__ import annotations

from tornado.iostream import IOStream

from oakkeel.errors import OakkeelError

MAX_FRAME_BYTES = 128 * 1024  # of a frame's content from a peer that is not authenticated yet
MAX_RESPONSE_BYTES = 8 * 1024 * 1024  # of a response: a host with some thousand instances
HELLO, REFUSED = b"oakkeel 1 ", b"refused"  # before the challenge; in place of any reason


class FrameError(OakkeelError, ValueError):
    """The length is not allowed for a frame."""


async def read_frame(stream: IOStream, max_bytes: int = MAX_FRAME_BYTES) -> bytes:
    """Read one frame's content. Raises FrameError, or StreamClosedError where the stream ends."""
    length = int.from_bytes(await stream.read_bytes(4), "big")
    if not 0 < length <= max_bytes:
        raise FrameError(f"a frame of {length} bytes")
    return await stream.read_bytes(length)


def frame(content: bytes) -> bytes:
    """Put the length before the content. Raises FrameError."""
    if not 0 < len(content) <= MAX_RESPONSE_BYTES:
        raise FrameError(f"a frame of {len(content)} bytes")
    return len(content).to_bytes(4, "big") + content
