"""One connection of a dispatcher, from its accept to its end."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Protocol

from tornado.iostream import IOStream, StreamClosedError

from oakkeel.bounds import SECOND, Bounds
from oakkeel.dispatch import codec
from oakkeel.dispatch.resp import arrays
from oakkeel.exchange import LiveExchange
from oakkeel.log import Log
from oakkeel.streams import BufferPool, Intake, Malformed, send


class Front(Protocol):
    """What connections tell the node, and ask it."""

    reader: codec.ExchangeReader | None  # None until the node may take exchanges

    def arrived(self, ex: LiveExchange) -> None: ...
    def gone(self, ex: LiveExchange) -> None: ...
    def healthy(self) -> bool: ...
    def signal(self) -> float | None: ...


class Connection:
    """Reads arrays, writes answers, and knows what is open on it."""

    def __init__(self, stream: IOStream, pool: BufferPool, bounds: Bounds, front: Front, log: Log,
                 idle_changed: Callable[[Connection], None]) -> None:
        self.stream, self.bounds, self.front, self.log = stream, bounds, front, log
        self.idle_changed = idle_changed  # called with the connection whenever it gets busy or idle
        self.intake = Intake(pool)
        self.open: dict[int, LiveExchange] = {}
        self.leaving = False  # `0 last` is sent
        self.backlog, self.sending = bytearray(), 0  # answers to send, and bytes being sent
        self.moved = asyncio.Event()  # set when an exchange on it is over or an answer on its way

    async def serve(self) -> None:
        try:
            while True:
                for words in arrays(self.intake, self.bounds.words):
                    self._take(words)
                # One that leaves its answers unread gets no more of them until it has taken some.
                await self._until(lambda: self.unread <= self.bounds.unread)
                await self.intake.fill(self.stream)
        except Malformed as error:
            self.log.say(f"a dispatcher's connection can't be read: {error}")
            await self._until(lambda: not self.open and not self.unread)
        except StreamClosedError:
            pass
        finally:
            self.stream.close()
            self.intake.close()
            for ex in list(self.open.values()):
                self._drop(ex)

    def _take(self, words: list[bytes]) -> None:
        verb, tag = words[0], words[1] if len(words) > 1 else b""
        number = int(tag) if tag.isdigit() and len(tag) <= 18 else 0
        if not number or number in self.open and verb != codec.CANCEL:
            raise Malformed(f"{verb[:20]!r} with no new tag")
        if verb == codec.CALL:
            self._call(number, words)
        elif verb == codec.CANCEL:
            if number in self.open:
                self._drop(self.open[number])
        elif verb == codec.CHECK:
            self.write(codec.answer(number, codec.GOOD if self.front.healthy() else codec.BAD,
                                    self.front.signal()))
        else:
            self._unreadable(number, f"an unknown verb {verb[:20]!r}")

    def _call(self, tag: int, words: list[bytes]) -> None:
        reader = self.front.reader
        if reader is None or len(self.open) >= self.bounds.open_exchanges:
            return self.write(codec.answer(tag, codec.DENIED, self.front.signal()))
        try:
            ex = reader.read(tag, words, self)
        except codec.Unreadable as error:
            return self._unreadable(tag, str(error))
        self.open[tag] = ex
        self.idle_changed(self)
        self.front.arrived(ex)

    def _unreadable(self, tag: int, why: str) -> None:
        self.log.say(f"an exchange can't be read: {why}")
        self.write(codec.answer(tag, codec.TERMINATED, self.front.signal()))

    def _drop(self, ex: LiveExchange) -> None:
        """Its caller no longer waits."""
        self._close_exchange(ex)
        self.front.gone(ex)

    def answer(self, ex: LiveExchange, word: bytes, body: bytes = b"", last: bool = False,
               retry_after: int = 0) -> None:
        self._close_exchange(ex)
        self.write(codec.answer(ex.tag, word, self.front.signal(), body, last, retry_after))

    def _close_exchange(self, ex: LiveExchange) -> None:
        if self.open.pop(ex.tag, None) and not self.open:
            self.idle_changed(self)
            self.moved.set()

    def write(self, data: bytes) -> None:
        """Send at once, or behind what is being sent: a write of its own for each small answer to a
        dispatcher that takes none cost ten times its bytes, and more than the node's memory."""
        self.backlog += data
        if not self.sending:
            self._push()

    def _push(self) -> None:
        data = bytes(self.backlog)
        self.backlog.clear()
        if written := send(self.stream, data):
            self.sending = len(data)
            written.add_done_callback(self._pushed)

    def _pushed(self, _: asyncio.Future) -> None:
        self.sending = 0
        if self.backlog:
            self._push()
        self.moved.set()

    @property
    def unread(self) -> int:
        """Bytes of answers that are not on their way yet."""
        return self.sending + len(self.backlog)

    async def _until(self, done: Callable[[], bool]) -> None:
        while not done() and not self.stream.closed():
            self.moved.clear()
            await self.moved.wait()

    def leave(self) -> None:
        """Tell the dispatcher that this connection takes no more; it closes it once all on it is answered."""
        if not self.leaving:
            self.leaving = True
            self.write(codec.LAST)
            loop = asyncio.get_running_loop()
            loop.call_later(self.bounds.last_wait / SECOND, self._close_left)

    def _close_left(self) -> None:
        """The dispatcher did not close it: we do, as soon as nothing is open."""
        if self.stream.closed():
            return
        if self.open or self.unread:
            asyncio.get_running_loop().call_later(self.bounds.last_wait / SECOND, self._close_left)
        else:
            self.stream.close()
