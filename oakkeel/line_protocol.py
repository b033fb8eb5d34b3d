"""Lines of tokens that end in CR LF; some are followed by a body and CR LF.

The last token of such a line is the number of bytes of its body.
"""

from __future__ import annotations

from collections.abc import Iterator

from oakkeel.stream_buffers import MalformedInputError, ReadBuffer
from oakkeel.units import MS


class LineParser:
    """Takes whole messages out of a read buffer: the tokens of the line, and the body that follows it."""

    def __init__(
        self, read_buffer: ReadBuffer, with_body: frozenset[tuple[int, bytes]], max_tokens: int
    ) -> None:
        """`with_body` holds index and value of the tokens that mark a line whose last token is a length."""
        self._read_buffer, self._with_body, self._max_tokens = read_buffer, with_body, max_tokens

    def messages(self) -> Iterator[tuple[list[bytes], bytes]]:
        """Yield tokens and body of each whole message. Raises MalformedInputError."""
        read_buffer = self._read_buffer
        while (line_end := read_buffer.buffer.find(b"\r\n", read_buffer.start, read_buffer.end)) >= 0:
            tokens = bytes(read_buffer.buffer[read_buffer.start : line_end]).split(None, self._max_tokens)
            if not tokens:
                raise MalformedInputError("a line of no words")
            end, body = line_end + 2, b""
            if any((index, token) in self._with_body for index, token in enumerate(tokens[:2])):
                length = parse_integer(tokens[-1])
                if end + length + 2 - read_buffer.start > len(read_buffer.buffer):
                    raise MalformedInputError(f"a body of {length} bytes")
                if end + length + 2 > read_buffer.end:
                    return
                body, end = bytes(read_buffer.buffer[end : end + length]), end + length + 2
                if read_buffer.buffer[end - 2 : end] != b"\r\n":
                    raise MalformedInputError("no end behind a body")
            read_buffer.start = end
            yield tokens, body


def parse_integer(token: bytes) -> int:
    """Parse a non-negative integer of up to 20 digits. Raises MalformedInputError."""
    if not token.isdigit() or len(token) > 20:
        raise MalformedInputError(f"no number: {token[:20]!r}")
    return int(token)


def parse_milliseconds(token: bytes) -> int:
    """Parse a time in milliseconds, whole or not, as nanoseconds. Raises MalformedInputError."""
    try:
        value = float(token)
    except ValueError:
        value = -1.0
    if not 0 <= value < 1e12:
        raise MalformedInputError(f"no time: {token[:20]!r}")
    return int(value * MS)
