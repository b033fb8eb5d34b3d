"""Lines of words that end in CR LF, some followed by as many bytes as their last word says, and CR LF."""

from __future__ import annotations

from collections.abc import Iterator

from oakkeel.resource_limits import MS
from oakkeel.stream_buffers import MalformedInputError, ReadBuffer


class LineParser:
    """Takes whole messages out of a read buffer: the words of the line, and the bytes that follow it."""

    def __init__(
        self, read_buffer: ReadBuffer, with_body: frozenset[tuple[int, bytes]], most_words: int
    ) -> None:
        """`with_body` holds place and word of the lines whose last word is a length."""
        self.read_buffer, self.with_body, self.most_words = read_buffer, with_body, most_words

    def messages(self) -> Iterator[tuple[list[bytes], bytes]]:
        read_buffer = self.read_buffer
        while (at := read_buffer.buffer.find(b"\r\n", read_buffer.start, read_buffer.end)) >= 0:
            words = bytes(read_buffer.buffer[read_buffer.start : at]).split(None, self.most_words)
            if not words:
                raise MalformedInputError("a line of no words")
            after, body = at + 2, b""
            if any((place, word) in self.with_body for place, word in enumerate(words[:2])):
                length = number(words[-1])
                if after + length + 2 - read_buffer.start > len(read_buffer.buffer):
                    raise MalformedInputError(f"a body of {length} bytes")
                if after + length + 2 > read_buffer.end:
                    return
                body, after = bytes(read_buffer.buffer[after : after + length]), after + length + 2
                if read_buffer.buffer[after - 2 : after] != b"\r\n":
                    raise MalformedInputError("no end behind a body")
            read_buffer.start = after
            yield words, body


def number(word: bytes) -> int:
    if not word.isdigit() or len(word) > 20:
        raise MalformedInputError(f"no number: {word[:20]!r}")
    return int(word)


def milliseconds(word: bytes) -> int:
    """A time in milliseconds, whole or not, as nanoseconds."""
    try:
        value = float(word)
    except ValueError:
        value = -1.0
    if not 0 <= value < 1e12:
        raise MalformedInputError(f"no time: {word[:20]!r}")
    return int(value * MS)
