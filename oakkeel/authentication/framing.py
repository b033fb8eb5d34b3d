"""Length-prefixed frames: four bytes of length, big-endian, then the content."""

from __future__ import annotations

from tornado.iostream import IOStream

from oakkeel.errors import OakkeelError

MAX_FRAME_BYTES = 128 * 1024  # maximum content of a frame from a peer that is not authenticated yet
MAX_RESPONSE_BYTES = 8 * 1024 * 1024
LENGTH_BYTES = 4
GREETING_PREFIX = b"oakkeel 1 "  # start of the first frame of a connection; the challenge follows
REJECTION = b"refused"  # the response to a rejected message, without the cause


class FrameError(OakkeelError, ValueError):
    """A frame is empty or too long."""


async def read_frame(stream: IOStream, max_bytes: int = MAX_FRAME_BYTES) -> bytes:
    """Read the content of one frame. Raises FrameError, or StreamClosedError if the stream ends."""
    length = int.from_bytes(await stream.read_bytes(LENGTH_BYTES), "big")
    if not 0 < length <= max_bytes:
        raise FrameError(f"received a frame of {length} bytes; 1 to {max_bytes} are allowed")
    return await stream.read_bytes(length)


def encode_frame(content: bytes) -> bytes:
    """Return the frame that holds a content. Raises FrameError."""
    if not 0 < len(content) <= MAX_RESPONSE_BYTES:
        raise FrameError(f"can't send a frame of {len(content)} bytes; 1 to {MAX_RESPONSE_BYTES} are allowed")
    return len(content).to_bytes(LENGTH_BYTES, "big") + content
