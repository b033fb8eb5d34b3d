"""A dispatcher: sends exchanges at a rate whatever comes back, and counts what became of every one."""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import Counter
from collections.abc import Callable
from random import Random

Address = tuple[str, int]
MOST_OPEN = 32  # exchanges on one connection


class SentRequest:
    """One exchange on its way."""

    __slots__ = ("at", "group", "node")

    def __init__(self, node: str, at: float, group: str) -> None:
        self.node, self.at, self.group = node, at, group


class NodeConnection:
    """One connection to one node."""

    def __init__(
        self, owner: Dispatcher, node: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.owner, self.node, self.reader, self.writer = owner, node, reader, writer
        self.open: dict[int, SentRequest] = {}
        self.tag = 0
        self.last = False  # the node takes no more on it
        self.task = asyncio.ensure_future(self._read())

    @property
    def usable(self) -> bool:
        return not self.last and not self.writer.is_closing() and len(self.open) < MOST_OPEN

    def call(self, sent: SentRequest, fields: str, body: bytes) -> None:
        self.tag += 1
        self.open[self.tag] = sent
        words = [b"CALL", b"%d" % self.tag, sent.group.encode(), fields.encode(), body]
        self.writer.write(
            b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)
        )

    async def _read(self) -> None:
        with contextlib.suppress(OSError, ValueError, IndexError, asyncio.IncompleteReadError):
            while True:
                words = []
                for _ in range(int((await self.reader.readline())[1:])):
                    length = int((await self.reader.readline())[1:])
                    words.append((await self.reader.readexactly(length + 2))[:-2])
                if words[0] == b"0":
                    self.last = True
                elif sent := self.open.pop(int(words[0]), None):
                    self.owner.ended(sent, words[1].decode(), words[2] if len(words) > 2 else b"")
                if self.last and not self.open:
                    break
        self.writer.close()
        for sent in self.open.values():
            self.owner.ended(sent, "lost", b"")
        self.owner.gone(self)


class Dispatcher:
    """Sends to the nodes that `addresses` gives, in turn; a node that refuses a connection is passed over."""

    def __init__(
        self,
        number: int,
        addresses: Callable[[], dict[str, Address]],
        rate: float,
        seed: int,
        groups: tuple[str, ...] = ("quote", "card"),
        patience: float = 4.0,
    ) -> None:
        """`rate` in exchanges a second; `patience` in seconds, told to the node and waited for."""
        self.number, self.addresses, self.rate, self.groups = number, addresses, rate, groups
        self.patience, self.random = patience, Random(seed)
        self.links: dict[str, list[NodeConnection]] = {}
        self.counts: Counter[str] = Counter()  # by word; lost and late beside the node's own
        self.by_node: dict[str, Counter[str]] = {}
        self.times: list[float] = []  # seconds, of what was completed
        self.sending: asyncio.Task | None = None
        self.turn = 0
        self.latest = 0.0  # seconds after it was due that an exchange was sent, at most

    def start(self) -> None:
        self.sending = asyncio.ensure_future(self._send())

    async def _send(self) -> None:
        due = time.monotonic()
        while True:
            due += self.random.expovariate(self.rate)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            self.latest = max(self.latest, time.monotonic() - due)
            await self.send_one()

    async def send_one(self) -> None:
        nodes = sorted(self.addresses().items())
        for _ in nodes:
            self.turn += 1
            name, address = nodes[self.turn % len(nodes)]
            if link := await self._link(name, address):
                ident = f"{self.random.getrandbits(64):016x}"
                fields = (
                    f"req={ident},ts={time.time_ns() // 1_000_000},via={self.number},"
                    f"timeout={int(self.patience * 1000)},need=24.5,level=0.5"
                )
                sent = SentRequest(name, time.monotonic(), self.random.choice(self.groups))
                self.going(ident, sent)
                link.call(sent, fields, ident.encode())
                self.counts["sent"] += 1
                return
        self.counts["unsent"] += 1  # no node took a connection

    def going(self, ident: str, sent: SentRequest) -> None:
        """For those who want to know of each exchange that is sent."""

    async def _link(self, name: str, address: Address) -> NodeConnection | None:
        for link in self.links.get(name, ()):
            if link.usable:
                return link
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(*address), 0.25)
        except (TimeoutError, OSError):
            return None
        link = NodeConnection(self, name, reader, writer)
        self.links.setdefault(name, []).append(link)
        return link

    def ended(self, sent: SentRequest, word: str, fields: bytes) -> str:
        """Count what became of a request; returns the outcome that it was counted under."""
        took = time.monotonic() - sent.at
        if word == "ok":
            self.times.append(took)
        if word != "lost" and took > self.patience + 0.05:
            word = "late"
        self.counts[word] += 1
        self.by_node.setdefault(sent.node, Counter())[word] += 1
        return word

    def gone(self, link: NodeConnection) -> None:
        with contextlib.suppress(ValueError, KeyError):
            self.links[link.node].remove(link)

    @property
    def open(self) -> int:
        return sum(len(link.open) for links in self.links.values() for link in links)

    @property
    def answered(self) -> int:
        return sum(self.counts[word] for word in ("ok", "full", "fault"))

    async def stop(self, unanswered: Callable[[str], bool] = lambda node: False) -> None:
        """Send no more, wait for what is owed but by those `unanswered`, and close: the rest is lost."""
        if self.sending:
            self.sending.cancel()
        until = time.monotonic() + self.patience + 0.5
        while time.monotonic() < until and any(
            link.open for node, links in self.links.items() if not unanswered(node) for link in links
        ):
            await asyncio.sleep(0.01)
        for links in list(self.links.values()):
            for link in list(links):
                link.writer.close()
                await asyncio.wait((link.task,), timeout=1.0)
