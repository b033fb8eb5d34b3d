"""One lasting link to the engine: commands out, notices in, both kept through the loss of a connection."""

from __future__ import annotations

import asyncio
import socket
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from itertools import count

from tornado.iostream import IOStream, StreamClosedError

from oakkeel.admission.types import Outcome
from oakkeel.line_protocol import LineParser, parse_integer, parse_milliseconds
from oakkeel.log import EventLog, fault
from oakkeel.request import NodeRequest
from oakkeel.request_events import CallNeeded, RunFinished
from oakkeel.resource_limits import SECOND, ResourceLimits
from oakkeel.stream_buffers import BufferPool, MalformedInputError, ReadBuffer, connect, send

WITH_BODY = frozenset({(0, b"DONE"), (0, b"NEED")})
ENDS = {
    b"success": Outcome.COMPLETED,
    b"failure": Outcome.ERROR,
    b"interrupted": Outcome.CANCELLED,
    b"nothing": Outcome.NEVER_STARTED,
}


@dataclass(slots=True, eq=False)
class Command:
    """A command whose effect may still be lost with the link."""

    line: bytes
    request: NodeRequest | None  # None for a mark: the gauges were asked for here
    verb: bytes
    heard: int = 0  # the number of the last notice for the exchange when it was given
    written: bool = False

    def owed(self) -> bool:
        """Whether it may be sent again on a new link.

        A later notice for the exchange tells that a RUN, FEED or SKIP was carried out. What may not take
        effect twice is not run again where the first command may have been read, only never written ones are.
        """
        request = self.request
        if request is None or not request.in_engine:
            return False
        if self.verb == b"HALT" or not self.written:
            return True
        return self.heard == request.last_notice and not self.doubtful()

    def doubtful(self) -> bool:
        """Nothing proves that this run was started, nor that it was not, and it may not be started twice."""
        request = self.request
        return bool(
            request
            and request.in_engine
            and self.written
            and self.verb == b"RUN"
            and request.request_class.at_most_once
            and self.heard == request.last_notice
        )


@dataclass(slots=True, eq=False)
class GaugeRequest:
    """Gauges that were asked for: whoever waits for them, and the mark among the commands."""

    future: asyncio.Future[list[float]]
    mark: Command
    at: int


class EngineLink:
    """Commands are written at once while the link is open; else they wait for it."""

    def __init__(
        self,
        address: tuple[str, int],
        pool: BufferPool,
        resource_limits: ResourceLimits,
        log: EventLog,
        started: Callable[[bool, int], None],
    ) -> None:
        self.address, self.pool, self.resource_limits, self.log, self.started = (
            address,
            pool,
            resource_limits,
            log,
            started,
        )
        self.runs: dict[bytes, NodeRequest] = {}
        self.unconfirmed: deque[Command] = deque()
        self.marks: deque[tuple[int, Command]] = deque()  # with the time when the engine had read so far
        self.doubtful: dict[NodeRequest, int] = {}  # their run may be lost; when they were seen answered
        self.asked: dict[bytes, GaugeRequest] = {}  # gauges, by tag, the oldest first
        self.tags = count(1)
        self.heard = 0  # the number of the last notice read
        self.up = False  # the engine has said how it started
        self.attached_at = 0  # on this link
        self.began = 0  # the latest time at which the engine can have begun, by what it said
        self.barrier, self.barrier_at = b"", 0  # the tag of the gauges that end the taking up of a link
        self.swap = b""  # the tag of the gauges that end an old link
        self.stream: IOStream | None = None
        self.trying: IOStream | None = None  # the same from before it is connected
        self.patience: asyncio.TimerHandle | None = None  # ends a link that is not taken, or not greeted
        self.open = False  # attached, and all that was missed is read
        self.losses = 0

    async def serve(self) -> None:
        """Attach and read, again and again."""
        loop = asyncio.get_running_loop()
        while True:
            tried, read_buffer = time.monotonic_ns(), None
            # An address may take the connection and say nothing, or not even take it, for as long as TCP has
            # patience. An engine that was never up may hold its HELLO back for as long as it likes.
            try:
                stream = self.trying = IOStream(
                    socket.socket(), max_write_buffer_size=self.resource_limits.max_write_backlog
                )
                read_buffer = ReadBuffer(self.pool)
                self.patience = loop.call_later(self.resource_limits.engine_timeout / SECOND, stream.close)
                await connect(stream, self.address)
                if not self.up and self.patience:
                    self.patience.cancel()
                self.stream, self.attached_at = stream, time.monotonic_ns()
                send(stream, b"ATTACH %d\r\n" % self.heard)
                parser = LineParser(read_buffer, WITH_BODY, self.resource_limits.max_tokens)
                while True:
                    await read_buffer.fill(stream)
                    for words, body in parser.messages():
                        self._notice(words, body)
                    await asyncio.sleep(0)  # one that always has more to say must not keep the loop
            except StreamClosedError:
                pass
            except MalformedInputError as error:
                self.log.warning("engine_stream_malformed", error=str(error))
            except Exception as error:  # a node without its engine's notices would answer nothing more
                self.log.error("engine_link_failed", error=fault(error))
            finally:
                if self.patience:
                    self.patience.cancel()
                if self.trying:
                    self.trying.close()
                if read_buffer:
                    read_buffer.close()
                if self.stream and not self.swap:
                    self.losses += 1
                    self.log.warning("engine_link_lost")
                self.stream, self.open, self.barrier, self.swap = None, False, b"", b""
                self.trying = None
            wait = tried + self.resource_limits.engine_retry - time.monotonic_ns()
            await asyncio.sleep(max(0, wait) / SECOND)

    def move(self, address: tuple[str, int]) -> None:
        """Go over to another address as soon as the engine has read all that was written so far."""
        if address == self.address:
            return
        self.address = address
        if self.swap:
            return  # the old link ends as it was about to, and the next one goes there
        if (stream := self.stream) is None or not self.open:
            if self.trying:
                self.trying.close()  # also one that only tries to connect: it may be left waiting
            return
        self.open = False  # commands wait for the new link
        self.swap = b"w%d" % next(self.tags)
        send(stream, b"STAT %s\r\n" % self.swap)
        asyncio.get_running_loop().call_later(
            self.resource_limits.engine_handover_timeout / SECOND, stream.close
        )

    # Commands.

    def run(self, request: NodeRequest) -> None:
        request.in_engine = request.may_have_run = True
        self.runs[request.request_id] = request
        self._command(request, b"RUN", b"%s %d" % (request.class_name, len(request.body)), request.body)

    def halt(self, request: NodeRequest) -> None:
        self._command(request, b"HALT")

    def feed(self, request: NodeRequest, reply: bytes) -> None:
        self._command(request, b"FEED", b"%d" % len(reply), reply)

    def skip(self, request: NodeRequest, notice: int) -> None:
        self._command(request, b"SKIP", b"%d" % notice)

    def _command(
        self, request: NodeRequest, verb: bytes, rest: bytes = b"", body: bytes | None = None
    ) -> None:
        line = b" ".join((verb, request.request_id, rest)).rstrip() + b"\r\n"
        if body is not None:
            line += body + b"\r\n"
        self._send(Command(line, request, verb, heard=request.last_notice))

    def _send(self, command: Command) -> None:
        if len(self.unconfirmed) >= self.resource_limits.max_unconfirmed_commands:
            self.unconfirmed = deque(old for old in self.unconfirmed if old.request is None or old.owed())
        self.unconfirmed.append(command)
        if self.open:
            self._write(command)

    def _write(self, command: Command) -> None:
        if self.stream and send(self.stream, command.line):
            command.written = True

    def ask_gauges(self) -> asyncio.Future[list[float]] | None:
        """Ask for the gauges; None while there is no link to ask on."""
        now = time.monotonic_ns()
        oldest = next(iter(self.asked.values())).at if self.asked and self.open else now
        since = self.barrier_at if self.barrier else oldest
        if self.stream and now - since > self.resource_limits.engine_timeout:
            self.log.warning("engine_link_timed_out")
            self.stream.close()
        if not self.open:
            return None
        self._settle_doubts(now)
        tag = b"%d" % next(self.tags)
        mark = Command(b"STAT %s\r\n" % tag, None, b"STAT")
        asked = GaugeRequest(asyncio.get_running_loop().create_future(), mark, now)
        self.asked[tag] = asked
        self._send(mark)
        return asked.future

    def _settle_doubts(self, now: int) -> None:
        """Ask to run once more what was answered long since: a run that is over or was lost is told as
        `nothing`, one that is there goes on. Without it the decisions would count a lost run for ever."""
        for request, since in list(self.doubtful.items()):
            if not request.in_engine:
                del self.doubtful[request]
            elif request.answered and not since:
                self.doubtful[request] = now
            elif since and now - since > self.resource_limits.engine_timeout:
                del self.doubtful[request]
                self.run(request)

    # Notices.

    def _notice(self, words: list[bytes], body: bytes) -> None:
        verb = words[0]
        try:
            if verb == b"HELLO":
                self._hello(words[1], parse_milliseconds(words[2]))
            elif verb == b"STATS":
                self._stats(words[1], [float(word) for word in words[2:]])
            elif verb in (b"DONE", b"NEED", b"NOTE"):
                numbered = parse_integer(words[1])
                if numbered <= self.heard:
                    return  # told once already, before the link was lost
                self.heard = numbered
                if verb == b"DONE":
                    self._done(words[2], ENDS[words[3]], parse_milliseconds(words[4]), body)
                elif verb == b"NEED" and (request := self.runs.get(words[2])):
                    request.last_notice = numbered
                    request.post(CallNeeded(numbered, body))
            elif verb == b"NO":
                self._not_carried_out(words[1], words[2])
            else:
                raise MalformedInputError(f"an unknown notice {verb[:20]!r}")
        except (IndexError, KeyError, ValueError) as error:
            raise MalformedInputError(f"a notice {b' '.join(words)[:60]!r}") from error

    def _done(self, request_id: bytes, outcome: Outcome, spent: int, result: bytes) -> None:
        if request := self.runs.pop(request_id, None):
            request.in_engine = False
            request.may_have_run = outcome is not Outcome.NEVER_STARTED
            request.post(RunFinished(outcome, result, spent))

    def _not_carried_out(self, verb: bytes, request_id: bytes) -> None:
        """A run that the engine does not know is over; of the other commands nothing hangs on."""
        self.log.warning("engine_command_rejected", command=verb.decode(errors="replace"))
        if verb in (b"RUN", b"HALT"):
            request = self.runs.get(request_id)
            self._done(request_id, Outcome.ERROR, 0, b"")
            if request and verb == b"RUN":
                request.unknown_to_engine, request.may_have_run = (
                    True,
                    False,
                )  # its key stays free for the exchange that it belongs to

    def _hello(self, state: bytes, age: int) -> None:
        """Attached: what was missed follows, and the answer to a STAT sent now comes after all of it."""
        if self.patience:
            self.patience.cancel()
        latest = time.monotonic_ns() - age
        if not self.up:
            self.up, self.began = True, latest
            self.started(state == b"booting", age)
        elif self.attached_at - age > self.began + self.resource_limits.engine_restart_margin:
            self.began = latest
            self.started(state == b"booting", age)
            return self._lose_runs()
        self.began = min(self.began, latest)
        self.barrier, self.barrier_at = b"b%d" % next(self.tags), time.monotonic_ns()
        if self.stream:
            send(self.stream, b"STAT %s\r\n" % self.barrier)

    def _lose_runs(self) -> None:
        """The engine began anew: it knows of nothing that was told to the one before, and numbers its notices
        from 1 again. What that one may have run is over with no result; what it was never told waits."""
        waiting = {each.request for each in self.unconfirmed if each.verb == b"RUN" and not each.written}
        self.log.warning("engine_restarted", runs_lost=len(self.runs) - len(waiting))
        self.unconfirmed = deque(command for command in self.unconfirmed if command.request in waiting)
        self.doubtful.clear()
        self.heard = 0
        for request_id, request in list(self.runs.items()):
            if request not in waiting:
                self._done(request_id, Outcome.ERROR, 0, b"")
        if self.stream:
            self.stream.close()  # that one was told of notices that this one never sent

    def _stats(self, tag: bytes, values: list[float]) -> None:
        if not all(0 <= value < 1e12 for value in values):
            raise MalformedInputError(f"gauges {values}")  # the decisions would go by them
        now = time.monotonic_ns()
        if tag == self.barrier:
            self.barrier = b""
            self._take_up()
        elif tag == self.swap and self.stream:
            # All that was written is read: none of it is owed on the new link.
            self.unconfirmed = deque(command for command in self.unconfirmed if not command.written)
            self.stream.close()
        elif asked := self.asked.pop(tag, None):
            if not asked.future.done():
                asked.future.set_result(values)
            # The engine read all that was written before the question, but a break may still take the
            # youngest with it.
            self.marks.append((now, asked.mark))
            while self.marks and self.marks[0][0] <= now - self.resource_limits.engine_loss_window:
                _, mark = self.marks.popleft()
                while self.unconfirmed and self.unconfirmed.popleft() is not mark:
                    pass

    def _take_up(self) -> None:
        """Send again what is still owed, now that all that was missed is known."""
        self.asked.clear()  # who waits for gauges that were lost stops waiting by itself
        self.marks.clear()
        self.doubtful |= {
            command.request: 0 for command in self.unconfirmed if command.request and command.doubtful()
        }
        self.unconfirmed = deque(command for command in self.unconfirmed if command.owed())
        self.open = True
        for command in self.unconfirmed:
            self._write(command)
