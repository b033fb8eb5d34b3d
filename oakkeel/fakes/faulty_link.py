"""A link between two agents that goes wrong as it is told: messages are lost, late, doubled or mixed up.

It stands between the one who asks and the one who answers and reads frames as both do. Each way has its own
faults: what goes there, and what comes back.
"""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass
from random import Random

from oakkeel.fakes.stream_server import StreamServer

LONGEST = 16 * 1024 * 1024


@dataclass(slots=True)
class LinkDirection:
    """What becomes of messages in one direction. Times in seconds."""

    cut: bool = False  # all are lost, and new links too
    loss: float = 0.0  # share that is lost
    delay: float = 0.0
    mixed: float = 0.0  # a further wait up to so long, drawn for each: later ones overtake
    double: float = 0.0  # share that comes twice
    stall: bool = False  # nothing moves, nothing is lost, until it is over
    altered: float = 0.0  # share with one bit changed


class FaultyLink:
    """Listens for one agent that asks another. `there` and `back` may be changed at any time."""

    def __init__(
        self, address: tuple[str, int], there: LinkDirection, back: LinkDirection, seed: int
    ) -> None:
        self.address, self.there, self.back = address, there, back
        self.random = Random(seed)
        self.tasks: set[asyncio.Task] = set()
        self.writers: set[asyncio.StreamWriter] = set()
        self.server = StreamServer(self._accepted)
        self.port = 0
        self.lost = 0

    async def open(self) -> int:
        self.port = await self.server.open()
        return self.port

    async def _accepted(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        other: asyncio.StreamWriter | None = None
        ways: list[asyncio.Task[None]] = []
        try:
            if self.there.cut or self.back.cut:
                await asyncio.sleep(5)  # a lost SYN: whoever connects sees nothing until it gives up
                return
            far, near = await asyncio.wait_for(asyncio.open_connection(*self.address), 2)
            other = near
            self.writers.add(near)
            ways = [
                asyncio.ensure_future(self._pass(reader, near, self.there)),
                asyncio.ensure_future(self._pass(far, writer, self.back)),
            ]
            for way in ways:
                self._own(way)
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
        except (TimeoutError, OSError):
            pass
        finally:
            for way in ways:
                way.cancel()
            for each in (writer, other):
                if each is not None:
                    self.writers.discard(each)
                    each.close()

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: LinkDirection
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                head = await reader.readexactly(4)
                length = int.from_bytes(head, "big")
                if length > LONGEST:
                    return
                message = head + await reader.readexactly(length)
                while way.stall:
                    await asyncio.sleep(0.02)
                if way.cut or self.random.random() < way.loss:
                    self.lost += 1
                    continue
                if self.random.random() < way.altered:
                    place = 4 + self.random.randrange(length)
                    message = message[:place] + bytes([message[place] ^ 1]) + message[place + 1 :]
                copies = 1 + (self.random.random() < way.double)
                for _ in range(copies):
                    wait = way.delay + way.mixed * self.random.random()
                    if wait:
                        task = asyncio.ensure_future(self._later(wait, writer, message, way))
                        self._own(task)
                    else:
                        writer.write(message)
                        await writer.drain()

    def _own(self, task: asyncio.Task[None]) -> None:
        """Keep a task until it is over: `close` ends and awaits those that are not."""
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _later(
        self, wait: float, writer: asyncio.StreamWriter, message: bytes, way: LinkDirection
    ) -> None:
        await asyncio.sleep(wait)
        if not way.cut and not writer.is_closing():
            writer.write(message)

    def end(self) -> None:
        """Close what is open now: a broken connection."""
        for writer in list(self.writers):
            writer.close()

    async def close(self) -> None:
        """End the listener, the connections and what is held back, and wait for their tasks."""
        await self.server.close()
        tasks = list(self.tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
