"""A client's connection to a node, which carries calls in RESP and tagged responses."""

from __future__ import annotations

import asyncio
import contextlib
from abc import ABC, abstractmethod

Address = tuple[str, int]
CLOSING_TAG = 0  # tag of the message after which the node accepts no further calls on the connection


class NodeConnection(ABC):
    """Writes calls, and reads responses in a separate task until the connection ends."""

    max_open: int  # maximum calls without a response on one connection

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Start to read responses at once."""
        self.reader = reader
        self.writer = writer
        self.last_tag = 0
        self.closing = False  # whether the node has closed the connection to further calls
        self.task = asyncio.ensure_future(self._run())

    @property
    @abstractmethod
    def open_count(self) -> int:
        """The number of calls without a response."""

    @property
    def is_usable(self) -> bool:
        """Whether a further call may be written."""
        return not self.closing and not self.writer.is_closing() and self.open_count < self.max_open

    @abstractmethod
    def _on_response(self, tag: int, outcome: bytes, fields: bytes, body: bytes) -> None:
        """Handle a response."""

    @abstractmethod
    def _on_connection_end(self) -> None:
        """Handle the end of the connection, after which no response arrives."""

    def _write_call(self, request_class: bytes, fields: bytes, body: bytes) -> None:
        """Write a call with the tag `last_tag`."""
        self.writer.write(self._encode_call(request_class, fields, body))

    def _encode_call(self, request_class: bytes, fields: bytes, body: bytes) -> bytes:
        """Return the bytes of a call with the tag `last_tag`."""
        parts = [b"CALL", b"%d" % self.last_tag, request_class, fields, body]
        return b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)

    async def _run(self) -> None:
        with contextlib.suppress(OSError, ValueError, IndexError, asyncio.IncompleteReadError):
            while not (self.closing and not self.open_count):
                parts = await self._read_array()
                tag = int(parts[0])
                if tag == CLOSING_TAG:
                    self.closing = True
                else:
                    fields, body = [*parts[2:4], b"", b""][:2]
                    self._on_response(tag, parts[1], fields, body)
        self.writer.close()
        self._on_connection_end()

    async def _read_array(self) -> list[bytes]:
        parts = []
        for _ in range(int((await self.reader.readline())[1:])):
            length = int((await self.reader.readline())[1:])
            parts.append((await self.reader.readexactly(length + 2))[:-2])
        return parts
