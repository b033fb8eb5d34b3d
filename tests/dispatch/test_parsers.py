"""Parsing of RESP arrays and lines, and the pool of their buffers."""

import unittest
from collections.abc import Callable, Iterable

from oakkeel.dispatch.resp import encode, parse_arrays
from oakkeel.line_protocol import LineParser
from oakkeel.stream_buffers import BufferPool, MalformedInputError, ReadBuffer


def parse_in_pieces(data: bytes, step: int, parse: Callable[[ReadBuffer], Iterable]) -> list:
    """Return the messages that a parser reads from bytes that arrive in pieces of one size."""
    read_buffer, parsed = ReadBuffer(BufferPool(512, 1)), []
    for position in range(0, len(data), step):
        piece = data[position : position + step]
        read_buffer.buffer[read_buffer.end : read_buffer.end + len(piece)] = piece
        read_buffer.end += len(piece)
        parsed += parse(read_buffer)
    return parsed


def parse_lines(with_body: frozenset) -> Callable[[ReadBuffer], list]:
    """Return a function that reads lines with one parser, created at the first call."""
    parsers: list[LineParser] = []

    def parse(read_buffer: ReadBuffer) -> list:
        if not parsers:
            parsers.append(LineParser(read_buffer, with_body, 16))
        return list(parsers[0].messages())

    return parse


class ParserTest(unittest.TestCase):
    def test_parses_the_same_arrays_from_pieces_of_any_size(self):
        expected = [
            [b"CALL", b"7", b"checkout", b"req=1", b"*1\r\n$\r\n\0"],
            [b"CANCEL", b"7"],
            [b"CHECK", b"8", b""],
        ]
        data = b"".join(encode(*tokens) for tokens in expected)
        for step in (1, 2, 3, 7, len(data)):
            self.assertEqual(
                parse_in_pieces(data, step, lambda read_buffer: list(parse_arrays(read_buffer, 16))), expected
            )

    def test_rejects_malformed_arrays(self):
        for data in (
            b"CALL 7\r\n",
            b"*0\r\n",
            b"*99\r\n",
            b"*1\r\n:1\r\n",
            b"*1\r\n$1\r\nxyz",
            b"*x\r\n",
            b"*" + b"1" * 20,
            b"*1\r\n$600\r\n",
            b"*1\r\n$-1\r\n",
        ):
            with self.assertRaises(MalformedInputError, msg=data):
                parse_in_pieces(data, len(data), lambda read_buffer: list(parse_arrays(read_buffer, 16)))

    def test_parses_the_same_lines_from_pieces_of_any_size(self):
        expected = [
            ([b"HELLO", b"steady", b"12.5"], b""),
            ([b"DONE", b"1", b"9b1f", b"success", b"77.4", b"6"], b"\r\nDONE"),
            ([b"NEED", b"2", b"9b1f", b"0"], b""),
            ([b"9b1f", b"DATA", b"3"], b"a\r\n"),
        ]
        data = b"".join(
            b" ".join(tokens) + b"\r\n" + (body + b"\r\n" if position else b"")
            for position, (tokens, body) in enumerate(expected)
        )
        with_body = frozenset({(0, b"DONE"), (0, b"NEED"), (1, b"DATA")})
        for step in (1, 2, 5, len(data)):
            self.assertEqual(parse_in_pieces(data, step, parse_lines(with_body)), expected)

    def test_rejects_malformed_lines(self):
        for data in (
            b"\r\n",
            b"DONE 1 x success 1 many\r\n",
            b"DONE 1 x success 1 9999\r\n",
            b"DONE 1 x success 1 2\r\nabcd",
        ):
            with self.assertRaises(MalformedInputError, msg=data):
                parse_in_pieces(
                    data,
                    len(data),
                    lambda buffer: list(LineParser(buffer, frozenset({(0, b"DONE")}), 16).messages()),
                )


class BufferPoolTest(unittest.TestCase):
    def test_reuses_buffers_and_bounds_their_number(self):
        pool = BufferPool(64, 1)
        first = pool.lease()
        self.assertRaises(MemoryError, pool.lease)
        pool.release(first)
        self.assertIs(pool.lease(), first)
