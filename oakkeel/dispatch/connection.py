"""One connection of a dispatcher, from its accept to its end."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Protocol

from tornado.iostream import IOStream, StreamClosedError

from oakkeel.bounds import SECOND, Bounds
from oakkeel.dispatch import codec
from oakkeel.dispatch.resp import arrays
from oakkeel.exchange import LiveExchange
from oakkeel.log import Log
from oakkeel.streams import BufferPool, Malformed, ReadBuffer, send


class Front(Protocol):
    """What connections tell the node, and ask it."""

    reader: codec.ExchangeReader | None  # None until the node may take exchanges

    def arrived(self, ex: LiveExchange) -> None: ...
    def gone(self, ex: LiveExchange) -> None: ...
    def holds(self, ident: bytes) -> bool: ...
    def healthy(self) -> bool: ...
    def signal(self) -> float | None: ...


class Connection:
    """Reads arrays, writes answers, and knows what is open on it."""

    def __init__(self, stream: IOStream, pool: BufferPool, bounds: Bounds, front: Front, log: Log,
                 heard: Callable[[Connection], None]) -> None:
        self.stream, self.bounds, self.front, self.log = stream, bounds, front, log
        self.heard = heard  # called with the connection after each array, and whenever it gets idle
        self.read_buffer = ReadBuffer(pool)
        self.open: dict[int, LiveExchange] = {}
        self.worked = False  # an exchange came on it
        self.leaving = False  # `0 last` is sent
        self.faults = 0
        self.awaited = time.monotonic_ns()  # the whole array that is due, since then; 0: none is
        self.taken = 0  # since when a write waits for the dispatcher; 0: none does
        self.backlog, self.sending = bytearray(), 0  # answers to send, and bytes being sent
        self.moved = asyncio.Event()  # set when an exchange on it is over or an answer on its way

    async def serve(self) -> None:
        try:
            while True:
                read_at = time.monotonic_ns()
                await self.read_buffer.fill(self.stream)
                spent = -time.thread_time_ns()
                self._parse()
                spent += time.thread_time_ns()
                # One that leaves its answers unread gets no more of them until it has taken some.
                await self._until(lambda: self.unread <= self.bounds.unread)
                # One that always has more to say must not keep the loop: a done future does not yield.
                pause = max(read_at + self.bounds.read_pause - time.monotonic_ns(),
                            spent * self.bounds.read_share)
                await asyncio.sleep(max(0, pause) / SECOND)
        except Malformed as error:
            self.log.say("a dispatcher's connection can't be read", error=str(error))
            self.write(codec.BROKEN)
            asyncio.get_running_loop().call_later(self.bounds.broken / SECOND, self.close)
            await self._until(lambda: not self.open and not self.unread)
        except StreamClosedError:
            pass
        finally:
            self.stream.close()
            self.read_buffer.close()
            for ex in list(self.open.values()):
                self._drop(ex)

    def close(self) -> None:
        """End it now: its coroutine winds up what is open."""
        self.stream.close()
        self.moved.set()

    def _parse(self) -> None:
        taken = False
        for words in arrays(self.read_buffer, self.bounds.words):
            self._take(words)
            taken = True
            if self.faults >= self.bounds.faults:
                raise Malformed("too many exchanges that can't be used")
        if self.read_buffer.start == self.read_buffer.end:
            self.awaited = 0
        elif taken or not self.awaited:
            self.awaited = time.monotonic_ns()
        if taken:
            self.heard(self)

    def overdue(self, now: int) -> bool:
        """Nothing whole came from it for too long, or it takes nothing: its place is for those that work."""
        bounds = self.bounds
        return bool(self.awaited and now - self.awaited > bounds.silent
                    or self.taken and now - self.taken > bounds.untaken)

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
        if reader is None:
            return self.write(codec.answer(tag, codec.DENIED, self.front.signal()))
        if len(self.open) >= self.bounds.open_exchanges:
            self.write(codec.answer(tag, codec.DENIED, self.front.signal()))
            raise Malformed(f"more than {self.bounds.open_exchanges} exchanges open")
        try:
            ex = reader.read(tag, words, self)
            if self.front.holds(ex.ident):
                raise codec.Unreadable("an id that is open already")  # the first must not notice
        except codec.Unreadable as error:
            return self._unreadable(tag, str(error))
        self.open[tag] = ex
        self.worked = True
        self.front.arrived(ex)

    def _unreadable(self, tag: int, why: str) -> None:
        self.write(codec.answer(tag, codec.TERMINATED, self.front.signal()))
        self.fault(f"an exchange can't be read: {why}")

    def fault(self, why: str) -> None:
        """One that goes on sending what nobody can use is read no further: each such exchange costs time."""
        self.log.say(why)
        self.faults += 1

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
            self.heard(self)
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
            self.sending, self.taken = len(data), time.monotonic_ns()
            written.add_done_callback(self._pushed)

    def _pushed(self, _: asyncio.Future) -> None:
        self.sending = self.taken = 0
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
