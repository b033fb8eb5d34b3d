"""A proxy between two agents that loses, delays, duplicates, alters or reorders messages.

The proxy forwards whole frames between the agent that sends requests and the agent that answers them. Each
direction has its own faults.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Coroutine
from dataclasses import dataclass
from random import Random

from oakkeel.fakes.stream_server import StreamServer

LENGTH_FIELD_BYTES = 4  # size of the length field before each message
MAX_LENGTH = 16 * 1024 * 1024
CONNECT_TIMEOUT = 2.0  # seconds
UNANSWERED_CONNECT_TIME = 5.0  # seconds; as with a lost SYN, the client gets no answer until its own timeout


@dataclass(slots=True)
class LinkDirection:
    """The faults of messages in one direction. Times in seconds."""

    blocked: bool = False  # all messages are lost, and new connections get no answer
    loss: float = 0.0  # share of messages that are lost
    delay: float = 0.0  # of each message
    mixed: float = 0.0  # maximum random delay added to each message, which may reorder messages
    double: float = 0.0  # share of messages that are sent twice
    stall: bool = False  # messages wait until this is reset, and none is lost
    altered: float = 0.0  # share of messages with one bit changed


class FaultyLink:
    """Forwards requests and responses; the faults of both directions may be changed at any time."""

    def __init__(
        self,
        address: tuple[str, int],
        request_direction: LinkDirection,
        response_direction: LinkDirection,
        seed: int,
    ) -> None:
        """`address` is the address of the agent that answers."""
        self.address = address
        self.request_direction = request_direction
        self.response_direction = response_direction
        self.random = Random(seed)
        self.tasks: set[asyncio.Task[None]] = set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.server = StreamServer(self._serve)
        self.lost_count = 0

    async def open(self) -> int:
        """Listen on loopback; returns the port."""
        return await self.server.open()

    def break_connections(self) -> None:
        """Close all open connections."""
        for writer in list(self.writers):
            writer.close()

    async def close(self) -> None:
        """Close the listener and the connections, drop delayed messages, and wait for all tasks."""
        await self.server.close()
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            if self.request_direction.blocked or self.response_direction.blocked:
                await asyncio.sleep(UNANSWERED_CONNECT_TIME)
            else:
                await self._connect(reader, writer)
        finally:
            self.writers.discard(writer)

    async def _connect(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward messages in both directions until one direction ends."""
        try:
            # Not `wait_for`: in Python 3.11 it loses a cancellation that coincides with the result.
            async with asyncio.timeout(CONNECT_TIMEOUT):
                remote_reader, remote_writer = await asyncio.open_connection(*self.address)
        except (TimeoutError, OSError):
            return
        self.writers.add(remote_writer)
        directions = [
            self._start(self._forward(reader, remote_writer, self.request_direction)),
            self._start(self._forward(remote_reader, writer, self.response_direction)),
        ]
        try:
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in directions:
                task.cancel()
            self.writers.discard(remote_writer)
            remote_writer.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: LinkDirection
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                length_field = await reader.readexactly(LENGTH_FIELD_BYTES)
                length = int.from_bytes(length_field, "big")
                if length > MAX_LENGTH:
                    return
                message = length_field + await reader.readexactly(length)
                while direction.stall:
                    await asyncio.sleep(0.02)
                if direction.blocked or self.random.random() < direction.loss:
                    self.lost_count += 1
                    continue
                if self.random.random() < direction.altered:
                    message = self._flip_bit(message)
                copies = 1 + (self.random.random() < direction.double)
                for _ in range(copies):
                    delay = direction.delay + direction.mixed * self.random.random()
                    if delay:
                        self._start(self._send_later(delay, writer, message, direction))
                    else:
                        writer.write(message)
                        await writer.drain()

    def _flip_bit(self, message: bytes) -> bytes:
        """Change one bit of the message after its length field."""
        position = LENGTH_FIELD_BYTES + self.random.randrange(len(message) - LENGTH_FIELD_BYTES)
        return message[:position] + bytes([message[position] ^ 1]) + message[position + 1 :]

    async def _send_later(
        self, delay: float, writer: asyncio.StreamWriter, message: bytes, direction: LinkDirection
    ) -> None:
        await asyncio.sleep(delay)
        if not direction.blocked and not writer.is_closing():
            writer.write(message)

    def _start(self, coroutine: Coroutine[None, None, None]) -> asyncio.Task[None]:
        """Start a task that `close` cancels and awaits."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task
