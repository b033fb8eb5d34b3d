"""One connection of a dispatcher, from its accept to its end: the table `TRANSITIONS` says what may follow what."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
import time
from collections.abc import Callable
from enum import Enum
from typing import Protocol

from tornado.iostream import StreamClosedError

from oakkeel.dispatch import codec
from oakkeel.dispatch.resp import arrays
from oakkeel.log import EventLog
from oakkeel.request import NodeRequest
from oakkeel.resource_limits import SECOND, ResourceLimits
from oakkeel.stream_buffers import (
    BufferPool,
    HalfClosingStream,
    MalformedInputError,
    ReadBuffer,
    readable,
    send,
)


class ConnectionOwner(Protocol):
    """What connections tell the node, and ask it."""

    reader: codec.RequestReader | None  # None until the node may take exchanges

    def arrived(self, request: NodeRequest) -> None: ...
    def gone(self, request: NodeRequest) -> None: ...
    def holds(self, request_id: bytes) -> bool: ...
    def healthy(self) -> bool: ...
    def signal(self) -> float | None: ...
    def return_after(self) -> int: ...


class Phase(Enum):
    """`Connection._move` alone changes it."""

    OPEN = "open"
    LEAVING = "leaving"  # `0 last` is written; what crossed it is taken like any other
    ENDING = "ending"  # nothing more is taken from it; what is open on it gets its answers
    LINGERING = "lingering"  # our side is shut down; what still comes is dropped, nobody ran it
    CLOSED = "closed"


TRANSITIONS = {
    Phase.OPEN: {Phase.LEAVING, Phase.ENDING, Phase.LINGERING, Phase.CLOSED},
    Phase.LEAVING: {Phase.ENDING, Phase.LINGERING, Phase.CLOSED},
    Phase.ENDING: {Phase.LINGERING, Phase.CLOSED},
    Phase.LINGERING: {Phase.CLOSED},
    Phase.CLOSED: set(),
}


class Connection:
    """Reads arrays, writes answers, and knows what is open on it."""

    def __init__(
        self,
        stream: HalfClosingStream,
        pool: BufferPool,
        resource_limits: ResourceLimits,
        front: ConnectionOwner,
        log: EventLog,
        heard: Callable[[Connection], None],
    ) -> None:
        self.stream, self.resource_limits, self.front, self.log = stream, resource_limits, front, log
        self.heard = heard  # called with the connection after each array, and whenever it gets idle
        self.read_buffer = ReadBuffer(pool)
        self.phase = Phase.OPEN
        self.open: dict[int, NodeRequest] = {}
        self.worked = False  # an exchange came on it
        self.wrote = False  # an answer to something
        self.refusing = False  # there was no room for it: what it brings is denied
        self.faults = 0
        self.awaited = time.monotonic_ns()  # the whole array that is due, since then; 0: none is
        self.taken = 0  # since when a write waits for the dispatcher; 0: none does
        self.backlog, self.sending = bytearray(), 0  # answers to send, and bytes being sent
        self.moved = asyncio.Event()  # set when an exchange on it is over or an answer on its way
        self.timer: asyncio.TimerHandle | None = None  # ends its rest, or its lingering

    async def serve(self) -> None:
        try:
            await self._read()
            # The dispatcher sends no more. Whether it still reads shows when something is written to it: one
            # that has closed both ways resets, and its exchanges are dropped.
            self._end()
            if self.open:
                self.write(codec.LAST)
            while self.open or self.unread:
                await self._moved(self.resource_limits.half_closed_poll)
                if _hung_up(self.stream.socket):
                    break
        except StreamClosedError:
            pass
        finally:
            self.close()
            self._move(Phase.CLOSED)
            self.read_buffer.close()
            for request in list(self.open.values()):
                self._drop(request)

    async def _read(self) -> None:
        """Take what comes until the dispatcher's end of it. What comes when no more is taken is dropped: a
        close with bytes unread would reset the connection, and answers on their way go with that."""
        while True:
            read_at = time.monotonic_ns()
            try:
                await self.read_buffer.fill(self.stream)
            except MalformedInputError as error:
                self._unusable(error)
                continue
            if self.stream.ended:
                self._parse()  # what came before the end
                return
            spent = -time.thread_time_ns()
            self._parse()
            spent += time.thread_time_ns()
            # One that leaves its answers unread gets no more of them until it has taken some.
            while self.unread > self.resource_limits.max_unsent:
                await self._moved()
            # One that always has more to say must not keep the loop: a done future does not yield.
            pause = max(
                read_at + self.resource_limits.read_pause - time.monotonic_ns(),
                spent * self.resource_limits.read_cpu_factor,
            )
            await asyncio.sleep(max(0, pause) / SECOND)

    async def _moved(self, within: int = 0) -> None:
        """Wait until an exchange on it is over or an answer on its way, or `within` nanoseconds are over.
        Raises StreamClosedError where it is closed."""
        if self.stream.closed():
            raise StreamClosedError
        self.moved.clear()
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self.moved.wait(), within / SECOND if within else None)
        if self.stream.closed():
            raise StreamClosedError

    # Its phases.

    def _move(self, phase: Phase) -> None:
        """The one place where the phase changes."""
        if phase not in TRANSITIONS[self.phase]:
            raise RuntimeError(f"a connection can't go from {self.phase.value} to {phase.value}")
        self.phase = phase
        if self.timer:
            self.timer.cancel()
            self.timer = None

    def leave(self, rest: int = 0) -> None:
        """Tell the dispatcher that this connection takes no more; it closes it once all on it is answered.
        One that does not is ended by us after a rest (nanoseconds; 0: as bounded)."""
        if self.phase is Phase.OPEN:
            self._move(Phase.LEAVING)
            self.write(codec.LAST)
            self._rest(rest or self.resource_limits.drain_notice_timeout)

    def _rest(self, rest: int) -> None:
        self.timer = asyncio.get_running_loop().call_later(rest / SECOND, self._rested, rest)

    def _rested(self, rest: int) -> None:
        """The dispatcher did not close it: we do, unless something is open or has come meanwhile."""
        if self.phase is not Phase.LEAVING or self.stream.closed():
            return
        if self.at_rest():
            self._linger()
        else:
            self._rest(rest)

    def at_rest(self) -> bool:
        """Nothing is open on it, half read, unread or still to be sent: a close costs nobody anything."""
        return not (self.open or self.unread or self.read_buffer.waiting or self.comes())

    def comes(self) -> bool:
        """Bytes or an end may be there that we have not read: in the kernel since the loop last looked, or in
        the stream while reading pauses."""
        return not self.stream.reading() or readable(self.stream.socket)

    def end(self) -> None:
        """Take nothing more from it; it is shut down as soon as all on it is answered and on its way."""
        if not self.stream.closed():
            self._end()

    def _end(self) -> None:
        if self.phase in (Phase.OPEN, Phase.LEAVING):
            self._move(Phase.ENDING)
            self.awaited = 0
        self._settled()

    def _settled(self) -> None:
        """What an ending connection waits for may have happened. One that broke has no socket any more: its
        reader closes it, and may not have run yet."""
        self.moved.set()
        if self.phase is Phase.ENDING and not (
            self.open or self.unread or self.stream.ended or self.stream.closed()
        ):
            self._linger()

    def _linger(self) -> None:
        """Shut our side down and read on until the dispatcher closes: an exchange that crosses this was never
        run, and its dispatcher sends it again."""
        self._move(Phase.LINGERING)
        with contextlib.suppress(OSError):  # reset by now
            self.stream.socket.shutdown(socket.SHUT_WR)
        self.timer = asyncio.get_running_loop().call_later(
            self.resource_limits.linger_timeout / SECOND, self.close
        )

    def turn_away(self) -> None:
        """There is no room for it: deny what came with it and what comes within a moment, and end it."""
        self.refusing = True
        with contextlib.suppress(BlockingIOError, OSError):  # nothing came yet; or its reader will see it
            self.read_buffer.take(self.stream.socket)
        self._parse()
        self.leave(self.resource_limits.new_connection_grace)

    def make_room(self) -> bool:
        """End it, as its descriptor is needed; whether it still has one for a moment."""
        if self.phase in (Phase.OPEN, Phase.LEAVING):
            self._end()
        if not self.wrote:  # no answer of it can be lost any more
            self.close()
        return not self.stream.closed()

    def close(self) -> None:
        """Close it now: its coroutine winds up what is open. What came is read first, as far as it is there:
        a close with bytes unread would reset what is on its way."""
        if not self.stream.closed():
            if self.phase is not Phase.OPEN and not self.unread:
                _drop_unread(self.stream.socket)
            self.stream.close()
        if self.timer:
            self.timer.cancel()
        self.moved.set()

    def overdue(self, now: int) -> None:
        """End it where nothing whole came from it for too long, or it takes nothing: its place is for those
        that work. One that left half an array may still wait for answers to others."""
        if self.taken and now - self.taken > self.resource_limits.write_timeout:
            self.close()
        elif (
            self.awaited
            and (late := now - self.awaited - self.resource_limits.array_timeout) > 0
            and (
                not self.comes() or (self.read_buffer.waiting and late > self.resource_limits.sweep_interval)
            )
        ):
            self._end()  # what just comes is read first, but at the second look it is a trickle

    # What comes.

    def _parse(self) -> None:
        if self.phase in (Phase.ENDING, Phase.LINGERING):
            return self.read_buffer.drop()
        taken = False
        try:
            for words in arrays(self.read_buffer, self.resource_limits.max_tokens):
                self._take(words)
                taken = True
                if self.faults >= self.resource_limits.max_violations:
                    raise MalformedInputError("too many exchanges that can't be used")
        except MalformedInputError as error:
            return self._unusable(error)
        if not self.read_buffer.waiting:
            self.awaited = 0
        elif taken or not self.awaited:
            self.awaited = time.monotonic_ns()
        if taken:
            self.heard(self)

    def _unusable(self, error: MalformedInputError) -> None:
        """What it sends can't be read any further; what is open on it is answered all the same."""
        self.log.warning("dispatcher_stream_malformed", error=str(error))
        self.write(codec.BROKEN)
        self.read_buffer.drop()
        self._end()

    def _take(self, words: list[bytes]) -> None:
        verb, tag = words[0], words[1] if len(words) > 1 else b""
        number = int(tag) if tag.isdigit() and len(tag) <= 18 else 0
        if not number or (number in self.open and verb != codec.CANCEL):
            raise MalformedInputError(f"{verb[:20]!r} with no new tag")
        if verb == codec.CALL:
            self._call(number, words)
        elif verb == codec.CANCEL:
            if number in self.open:
                self._drop(self.open[number])
        elif verb == codec.CHECK:
            self.write(
                codec.encode_answer(
                    number, codec.GOOD if self.front.healthy() else codec.BAD, self.front.signal()
                )
            )
        else:
            self._unreadable(number, f"an unknown verb {verb[:20]!r}")

    def _call(self, tag: int, words: list[bytes]) -> None:
        reader = self.front.reader
        if reader is None or self.refusing:
            return self.write(
                codec.encode_answer(
                    tag, codec.DENIED, self.front.signal(), retry_after=self.front.return_after()
                )
            )
        if len(self.open) >= self.resource_limits.max_open_requests:
            self.write(codec.encode_answer(tag, codec.DENIED, self.front.signal()))
            raise MalformedInputError(f"more than {self.resource_limits.max_open_requests} exchanges open")
        try:
            request = reader.read(tag, words, self)
            if self.front.holds(request.request_id):
                raise codec.UnreadableRequestError("an id that is open already")  # the first must not notice
        except codec.UnreadableRequestError as error:
            return self._unreadable(tag, str(error))
        self.open[tag] = request
        self.worked = True
        self.front.arrived(request)

    def _unreadable(self, tag: int, why: str) -> None:
        self.write(codec.encode_answer(tag, codec.TERMINATED, self.front.signal()))
        self.fault("request_malformed", why)

    def fault(self, event: str, why: str = "") -> None:
        """One that goes on sending what nobody can use is read no further: each such exchange costs time."""
        self.log.warning(event, reason=why or None)
        self.faults += 1

    def _drop(self, request: NodeRequest) -> None:
        """Its caller no longer waits."""
        self._close_exchange(request)
        self.front.gone(request)

    def answer(
        self, request: NodeRequest, word: bytes, body: bytes = b"", last: bool = False, retry_after: int = 0
    ) -> None:
        self.write(codec.encode_answer(request.tag, word, self.front.signal(), body, last, retry_after))
        self._close_exchange(
            request
        )  # behind the write: an ending connection is shut down with its last answer

    def _close_exchange(self, request: NodeRequest) -> None:
        if self.open.pop(request.tag, None) and not self.open:
            self.heard(self)
            self._settled()

    def write(self, data: bytes) -> None:
        """Send at once, or behind what is being sent: a write of its own for each small answer to a
        dispatcher that takes none cost ten times its bytes, and more than the node's memory."""
        self.wrote = True
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
        self._settled()

    @property
    def unread(self) -> int:
        """Bytes of answers that are not on their way yet."""
        return self.sending + len(self.backlog)


def _hung_up(opened: socket.socket) -> bool:
    """Whether the other side has closed both ways, which it tells only once something was written to it."""
    poll = select.poll()
    poll.register(opened, 0)
    return bool(poll.poll(0))


def _drop_unread(opened: socket.socket) -> None:
    """Read off what waits in the kernel, as far as it is no flood."""
    with contextlib.suppress(OSError):
        for _ in range(16):
            if not opened.recv(4096):
                break
