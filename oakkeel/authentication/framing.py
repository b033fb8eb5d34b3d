"""Frames on a stream: four bytes of length, most significant first, and so many bytes."""

from __future__ import annotations

from tornado.iostream import IOStream

MAX_FRAME_BYTES = 128 * 1024  # bytes of a frame's content, from whoever has yet to show a key
MAX_RESPONSE_BYTES = 8 * 1024 * 1024  # of an answer: a host with some thousand instances
HELLO, REFUSED = b"oakkeel 1 ", b"refused"  # before the challenge; in place of any reason


class FrameError(ValueError):
    """A length that no frame of ours has."""


async def read_frame(stream: IOStream, most: int = MAX_FRAME_BYTES) -> bytes:
    """Raises BadFrame, or StreamClosedError where the stream ends."""
    length = int.from_bytes(await stream.read_bytes(4), "big")
    if not 0 < length <= most:
        raise FrameError(f"a frame of {length} bytes")
    return await stream.read_bytes(length)


def frame(content: bytes) -> bytes:
    if not 0 < len(content) <= MAX_RESPONSE_BYTES:
        raise FrameError(f"a frame of {len(content)} bytes")
    return len(content).to_bytes(4, "big") + content
