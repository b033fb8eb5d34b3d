"""Clients at a node's door: some come back when they are told to, some again and again."""

from __future__ import annotations

import asyncio
import contextlib
import time
from random import Random

Address = tuple[str, int]
TRIES = 4  # of one exchange
MOST_OPEN = 30  # on one connection


class PoliteClient:
    """Sends first tries at a rate by chance; what is denied comes again when it was told to."""

    gap: float | None = None  # seconds until a next try, in place of what was told

    def __init__(self, name: str, address: Address, rate: float, seed: int, patience: float = 2.0) -> None:
        self.name, self.address, self.rate, self.patience = name, address, rate, patience
        self.random = Random(seed)
        self.links: list[NodeConnection] = []
        self.tasks: set[asyncio.Task] = set()
        self.begin()

    def begin(self) -> None:
        """Count from now on."""
        self.sent = self.tries = self.completed = self.returned = self.went_ahead = self.lost = 0

    async def start(self) -> None:
        self._task(self._send())

    async def stop(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        for link in self.links:
            link.writer.close()
        await asyncio.gather(*self.tasks, *(link.task for link in self.links), return_exceptions=True)

    def _task(self, work) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _send(self) -> None:
        due = time.monotonic()
        while True:
            due += self.random.expovariate(self.rate)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            self.sent += 1
            self._task(self._exchange())

    async def _exchange(self) -> None:
        """One exchange with all its tries."""
        told = False
        for number in range(TRIES):
            self.tries += 1
            self.returned += told
            word, fields = await self._try(number > 0)
            if word == b"ok":
                self.completed += 1
                self.went_ahead += told
                return
            if word != b"full":
                self.lost += word == b""
                return
            after = float(
                dict(item.partition(b"=")[::2] for item in fields.split(b",")).get(b"holdoff", b"1000")
            )
            told = self.gap is None and after < 5000  # the most that the node tells stands for no promise
            await asyncio.sleep(after / 1000 if self.gap is None else self.gap)

    async def _try(self, again: bool) -> tuple[bytes, bytes]:
        link = next((each for each in self.links if each.usable), None)
        if link is None:
            link = await NodeConnection.open(self.address)
            self.links = [each for each in self.links if not each.ended] + [link]
        fields = (
            f"req={self.random.getrandbits(64):016x},ts={time.time_ns() // 1_000_000},via=1,"
            f"timeout={int(self.patience * 1000)},need=24.5,level=0.5,client={self.name}"
            + ",resent=1"
            * again
        )
        return await link.call(b"quote", fields.encode())


class CrawlerClient(PoliteClient):
    """Takes no advice: what is denied comes again at once."""

    gap = 0.02


class NodeConnection:
    """One connection to a node."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.open_calls: dict[int, asyncio.Future] = {}
        self.tag, self.last, self.ended = 0, False, False
        self.task = asyncio.ensure_future(self._read())

    @classmethod
    async def open(cls, address: Address) -> NodeConnection:
        return cls(*await asyncio.open_connection(*address))

    @property
    def usable(self) -> bool:
        return not self.last and not self.ended and len(self.open_calls) < MOST_OPEN

    async def call(self, group: bytes, fields: bytes) -> tuple[bytes, bytes]:
        """The word of the answer and its fields; empty ones where the connection ends."""
        self.tag += 1
        words = [b"CALL", b"%d" % self.tag, group, fields, b"what"]
        answer = self.open_calls[self.tag] = asyncio.get_running_loop().create_future()
        self.writer.write(
            b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)
        )
        return await answer

    async def _read(self) -> None:
        with contextlib.suppress(OSError, ValueError, IndexError, asyncio.IncompleteReadError):
            while True:
                words = []
                for _ in range(int((await self.reader.readline())[1:])):
                    length = int((await self.reader.readline())[1:])
                    words.append((await self.reader.readexactly(length + 2))[:-2])
                if words[0] == b"0":
                    self.last = True
                elif (answer := self.open_calls.pop(int(words[0]), None)) and not answer.done():
                    answer.set_result((words[1], words[2] if len(words) > 2 else b""))
                if self.last and not self.open_calls:
                    break
        self.ended = True
        self.writer.close()
        for answer in self.open_calls.values():
            if not answer.done():
                answer.set_result((b"", b""))
