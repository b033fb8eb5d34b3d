"""Lines of tokens that end in CR LF; some lines are followed by a body and CR LF.

The last token of a line with a body is the number of bytes of the body.
"""

from __future__ import annotations

from collections.abc import Iterator

from oakkeel.stream_buffers import MalformedInputError, ReadBuffer
from oakkeel.units import MS

LINE_END = b"\r\n"
LINE_END_BYTES = 2
MAX_INTEGER_DIGITS = 20
MAX_MILLISECONDS = 1e12


class LineParser:
    """Takes complete messages out of a read buffer: the tokens of a line, and its body if it has one."""

    def __init__(
        self, read_buffer: ReadBuffer, with_body: frozenset[tuple[int, bytes]], max_tokens: int
    ) -> None:
        """`with_body` has the index and the value of each token that marks a line with a body."""
        self._read_buffer = read_buffer
        self._with_body = with_body
        self._max_tokens = max_tokens

    def messages(self) -> Iterator[tuple[list[bytes], bytes]]:
        """Yield tokens and body of each complete message. Raises MalformedInputError."""
        read_buffer = self._read_buffer
        while (line_end := read_buffer.buffer.find(LINE_END, read_buffer.start, read_buffer.end)) >= 0:
            tokens = bytes(read_buffer.buffer[read_buffer.start : line_end]).split(None, self._max_tokens)
            if not tokens:
                raise MalformedInputError("a line without tokens")
            end = line_end + LINE_END_BYTES
            body = b""
            if any((index, token) in self._with_body for index, token in enumerate(tokens[:2])):
                length = parse_integer(tokens[-1])
                body_end = end + length
                message_end = body_end + LINE_END_BYTES
                if message_end - read_buffer.start > len(read_buffer.buffer):
                    raise MalformedInputError(f"a body of {length} bytes, longer than the buffer")
                if message_end > read_buffer.end:
                    return
                body = bytes(read_buffer.buffer[end:body_end])
                end = message_end
                if read_buffer.buffer[body_end:end] != LINE_END:
                    raise MalformedInputError("a body without CR LF")
            read_buffer.start = end
            yield tokens, body


def parse_integer(token: bytes) -> int:
    """Parse a non-negative integer of up to 20 digits. Raises MalformedInputError."""
    if not token.isdigit() or len(token) > MAX_INTEGER_DIGITS:
        raise MalformedInputError(f"not a number: {token[:MAX_INTEGER_DIGITS]!r}")
    return int(token)


def parse_milliseconds(token: bytes) -> int:
    """Parse a time in milliseconds, whole or not, as nanoseconds. Raises MalformedInputError."""
    try:
        value = float(token)
    except ValueError:
        value = -1.0
    if not 0 <= value < MAX_MILLISECONDS:
        raise MalformedInputError(f"not a time: {token[:MAX_INTEGER_DIGITS]!r}")
    return int(value * MS)
