"""A link between two agents with faults: messages are lost, delayed, doubled, altered or out of order.

It stands between the agent that asks and the one that answers and reads frames as both do. Each direction has
its own faults: what goes there, and what comes back.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Coroutine
from dataclasses import dataclass
from random import Random

from oakkeel.fakes.stream_server import StreamServer

HEAD = 4  # bytes of the length before each message
MAX_LENGTH = 16 * 1024 * 1024
CONNECT_TIMEOUT = 2.0  # seconds
UNANSWERED_CONNECT = 5.0  # seconds; a lost SYN: whoever connects sees nothing until it gives up


@dataclass(slots=True)
class LinkDirection:
    """What becomes of messages in one direction. Times in seconds."""

    cut: bool = False  # all are lost, and new links too
    loss: float = 0.0  # share that is lost
    delay: float = 0.0
    mixed: float = 0.0  # maximum further wait, drawn for each message: later ones may overtake it
    double: float = 0.0  # share that comes twice
    stall: bool = False  # nothing moves, nothing is lost, until it is over
    altered: float = 0.0  # share with one bit changed


class FaultyLink:
    """Listens for one agent that asks another. `there` and `back` may be changed at any time."""

    def __init__(
        self, address: tuple[str, int], there: LinkDirection, back: LinkDirection, seed: int
    ) -> None:
        """`address` is that of the agent which answers."""
        self.address = address
        self.there = there
        self.back = back
        self.random = Random(seed)
        self.tasks: set[asyncio.Task[None]] = set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.server = StreamServer(self._serve)
        self.lost = 0

    async def open(self) -> int:
        """Listen on loopback; returns the port."""
        return await self.server.open()

    def break_connections(self) -> None:
        """Close every connection that is open now."""
        for writer in list(self.writers):
            writer.close()

    async def close(self) -> None:
        """End the listener, the connections and what is held back, and wait for their tasks."""
        await self.server.close()
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            if self.there.cut or self.back.cut:
                await asyncio.sleep(UNANSWERED_CONNECT)
            else:
                await self._connect(reader, writer)
        finally:
            self.writers.discard(writer)

    async def _connect(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward in both directions until one of them ends."""
        try:
            # Not `wait_for`: Python 3.11's swallows a cancellation that meets the end of what it waits for.
            async with asyncio.timeout(CONNECT_TIMEOUT):
                far_reader, far_writer = await asyncio.open_connection(*self.address)
        except (TimeoutError, OSError):
            return
        self.writers.add(far_writer)
        directions = [
            self._start(self._forward(reader, far_writer, self.there)),
            self._start(self._forward(far_reader, writer, self.back)),
        ]
        try:
            await asyncio.wait(directions, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in directions:
                task.cancel()
            self.writers.discard(far_writer)
            far_writer.close()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, direction: LinkDirection
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readexactly(HEAD)
                length = int.from_bytes(head, "big")
                if length > MAX_LENGTH:
                    return
                message = head + await reader.readexactly(length)
                while direction.stall:
                    await asyncio.sleep(0.02)
                if direction.cut or self.random.random() < direction.loss:
                    self.lost += 1
                    continue
                if self.random.random() < direction.altered:
                    message = self._altered(message)
                copies = 1 + (self.random.random() < direction.double)
                for _ in range(copies):
                    delay = direction.delay + direction.mixed * self.random.random()
                    if delay:
                        self._start(self._send_later(delay, writer, message, direction))
                    else:
                        writer.write(message)
                        await writer.drain()

    def _altered(self, message: bytes) -> bytes:
        """Change one bit of a message after its head."""
        position = HEAD + self.random.randrange(len(message) - HEAD)
        return message[:position] + bytes([message[position] ^ 1]) + message[position + 1 :]

    async def _send_later(
        self, delay: float, writer: asyncio.StreamWriter, message: bytes, direction: LinkDirection
    ) -> None:
        await asyncio.sleep(delay)
        if not direction.cut and not writer.is_closing():
            writer.write(message)

    def _start(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        """Start a task that `close` ends and awaits."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task
