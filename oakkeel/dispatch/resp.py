"""RESP arrays of bulk strings: the parser and the encoder."""

from __future__ import annotations

from collections.abc import Iterator

from oakkeel.line_protocol import number
from oakkeel.stream_buffers import MalformedInputError, ReadBuffer


def arrays(read_buffer: ReadBuffer, most_words: int) -> Iterator[list[bytes]]:
    """The whole arrays that the read_buffer holds; what is not whole yet stays in it."""
    while (found := _array(read_buffer, most_words)) is not None:
        words, read_buffer.start = found
        yield words


def _array(read_buffer: ReadBuffer, most_words: int) -> tuple[list[bytes], int] | None:
    if (head := _length(read_buffer, read_buffer.start, b"*")) is None:
        return None
    count, at = head
    if not 1 <= count <= most_words:
        raise MalformedInputError(f"an array of {count} words")
    words = []
    for _ in range(count):
        if (head := _length(read_buffer, at, b"$")) is None:
            return None
        length, at = head
        if at + length + 2 - read_buffer.start > len(read_buffer.buffer):
            raise MalformedInputError(f"a word of {length} bytes")
        if at + length + 2 > read_buffer.end:
            return None
        words.append(bytes(read_buffer.buffer[at : at + length]))
        at += length + 2
        if read_buffer.buffer[at - 2 : at] != b"\r\n":
            raise MalformedInputError("no end behind a word")
    return words, at


def _length(read_buffer: ReadBuffer, at: int, sign: bytes) -> tuple[int, int] | None:
    """The number behind a sign, and where its line ends."""
    if at == read_buffer.end:
        return None
    if read_buffer.buffer[at : at + 1] != sign:
        raise MalformedInputError(f"{bytes(read_buffer.buffer[at : at + 1])!r} in place of {sign!r}")
    end = read_buffer.buffer.find(b"\r\n", at, min(read_buffer.end, at + 16))
    if end < 0:
        if read_buffer.end - at >= 16:
            raise MalformedInputError("a length without end")
        return None
    return number(bytes(read_buffer.buffer[at + 1 : end])), end + 2


def encode(*words: bytes) -> bytes:
    parts = [b"*%d\r\n" % len(words)]
    for word in words:
        parts += (b"$%d\r\n" % len(word), word, b"\r\n")
    return b"".join(parts)
