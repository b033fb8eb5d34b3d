"""RESP arrays of bulk strings: the parser and the encoder."""

from __future__ import annotations

from collections.abc import Iterator
from typing import NamedTuple

from oakkeel.line_protocol import LINE_END, LINE_END_BYTES, parse_integer
from oakkeel.stream_buffers import MalformedInputError, ReadBuffer

MAX_LENGTH_BYTES = 16  # of a length line: a type byte, a number and CR LF


class ParsedArray(NamedTuple):
    """An array, and the position after its last byte."""

    tokens: list[bytes]
    end: int


class ParsedLength(NamedTuple):
    """The number in a length line, and the position after the line."""

    value: int
    end: int


def parse_arrays(read_buffer: ReadBuffer, max_tokens: int) -> Iterator[list[bytes]]:
    """Take the complete arrays out of a read buffer; an incomplete array stays in the buffer."""
    while (parsed := _parse_array(read_buffer, max_tokens)) is not None:
        read_buffer.start = parsed.end
        yield parsed.tokens


def _parse_array(read_buffer: ReadBuffer, max_tokens: int) -> ParsedArray | None:
    """Return the first array of the buffer; None if the array is incomplete."""
    if (header := _parse_length(read_buffer, read_buffer.start, b"*")) is None:
        return None
    count, position = header
    if not 1 <= count <= max_tokens:
        raise MalformedInputError(f"an array of {count} tokens, expected 1 to {max_tokens}")
    tokens = []
    for _ in range(count):
        if (header := _parse_length(read_buffer, position, b"$")) is None:
            return None
        length, position = header
        token_end = position + length
        next_position = token_end + LINE_END_BYTES
        if next_position - read_buffer.start > len(read_buffer.buffer):
            raise MalformedInputError(f"a token of {length} bytes, longer than the buffer")
        if next_position > read_buffer.end:
            return None
        tokens.append(bytes(read_buffer.buffer[position:token_end]))
        if read_buffer.buffer[token_end:next_position] != LINE_END:
            raise MalformedInputError("a token without CR LF")
        position = next_position
    return ParsedArray(tokens, position)


def _parse_length(read_buffer: ReadBuffer, position: int, type_byte: bytes) -> ParsedLength | None:
    """Return the number of a line that starts with `type_byte`; None if the line is incomplete."""
    if position == read_buffer.end:
        return None
    if read_buffer.buffer[position : position + 1] != type_byte:
        raise MalformedInputError(
            f"received {bytes(read_buffer.buffer[position : position + 1])!r}, expected {type_byte!r}"
        )
    end = read_buffer.buffer.find(LINE_END, position, min(read_buffer.end, position + MAX_LENGTH_BYTES))
    if end < 0:
        if read_buffer.end - position >= MAX_LENGTH_BYTES:
            raise MalformedInputError(f"a length of more than {MAX_LENGTH_BYTES} bytes")
        return None
    number = parse_integer(bytes(read_buffer.buffer[position + 1 : end]))
    return ParsedLength(number, end + LINE_END_BYTES)


def encode(*tokens: bytes) -> bytes:
    """Encode tokens as one array."""
    parts = [b"*%d\r\n" % len(tokens)]
    for token in tokens:
        parts += (b"$%d\r\n" % len(token), token, b"\r\n")
    return b"".join(parts)
