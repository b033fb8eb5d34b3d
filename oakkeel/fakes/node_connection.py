"""A client's connection to a node: calls in RESP, and responses with their tags."""

from __future__ import annotations

import asyncio
import contextlib
from abc import ABC, abstractmethod

Address = tuple[str, int]
CLOSING_TAG = 0  # the node takes no further call on this connection


class NodeConnection(ABC):
    """Writes calls, and reads responses in a task of its own until the connection ends."""

    max_open: int  # calls on one connection

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Start to read at once."""
        self.reader = reader
        self.writer = writer
        self.last_tag = 0
        self.closing = False  # the node takes no more on it
        self.task = asyncio.ensure_future(self._run())

    @property
    @abstractmethod
    def open_count(self) -> int:
        """How many calls have no response yet."""

    @property
    def usable(self) -> bool:
        """Whether a further call may be written."""
        return not self.closing and not self.writer.is_closing() and self.open_count < self.max_open

    @abstractmethod
    def _answered(self, tag: int, outcome: bytes, fields: bytes) -> None:
        """A response came."""

    @abstractmethod
    def _ended(self) -> None:
        """The connection has ended; no response comes any more."""

    def _write_call(self, request_class: bytes, fields: bytes, body: bytes) -> None:
        """Write a call under `last_tag`."""
        parts = [b"CALL", b"%d" % self.last_tag, request_class, fields, body]
        self.writer.write(
            b"*%d\r\n" % len(parts) + b"".join(b"$%d\r\n%s\r\n" % (len(part), part) for part in parts)
        )

    async def _run(self) -> None:
        with contextlib.suppress(OSError, ValueError, IndexError, asyncio.IncompleteReadError):
            while not (self.closing and not self.open_count):
                parts = await self._read_array()
                tag = int(parts[0])
                if tag == CLOSING_TAG:
                    self.closing = True
                else:
                    self._answered(tag, parts[1], parts[2] if len(parts) > 2 else b"")
        self.writer.close()
        self._ended()

    async def _read_array(self) -> list[bytes]:
        parts = []
        for _ in range(int((await self.reader.readline())[1:])):
            length = int((await self.reader.readline())[1:])
            parts.append((await self.reader.readexactly(length + 2))[:-2])
        return parts
