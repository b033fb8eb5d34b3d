"""The node's link to its engine, which preserves commands and notices when the connection is lost."""

from __future__ import annotations

import asyncio
import socket
import time
from collections.abc import Callable
from itertools import count

from tornado.iostream import IOStream, StreamClosedError

from oakkeel.admission.types import StopKind
from oakkeel.engine.commands import Command, GaugeRequest, UnconfirmedCommands
from oakkeel.engine.identity_checks import IdentityChecks, check_command
from oakkeel.engine.notices import WITH_BODY, NoticeHandler
from oakkeel.engine.restarts import EngineProcess, Greeting
from oakkeel.engine.verbs import FEED, HALT, RUN, SKIP, STAT
from oakkeel.line_protocol import LineParser
from oakkeel.log import EventLog, describe_error
from oakkeel.request import NodeRequest
from oakkeel.request_events import CallReplyUncertain, IdentityChecked
from oakkeel.resource_limits import ResourceLimits
from oakkeel.stream_buffers import BufferPool, MalformedInputError, ReadBuffer, connect, send
from oakkeel.units import SECOND

MAX_GAUGE = 1e12
# Tags of requests for gauges are plain numbers; these prefixes mark the tags of a handover, a reattach and
# the check of a request ID.
HANDOVER_TAG_PREFIX = b"w"
REATTACH_TAG_PREFIX = b"b"
IDENTITY_TAG_PREFIX = b"i"


class EngineLink:
    """A link that reconnects; commands are written at once while it is open and queued otherwise."""

    def __init__(
        self,
        address: tuple[str, int],
        pool: BufferPool,
        resource_limits: ResourceLimits,
        log: EventLog,
        on_engine_started: Callable[[bool, int], None],
        stop_kind: StopKind = StopKind.NONE,
    ) -> None:
        """Prepare a link; `serve` connects it.

        `on_engine_started` is called with whether the engine is booting and its age in nanoseconds, at its
        first greeting and after each restart. `stop_kind` is how the engine stops runs.
        """
        self.address = address
        self.pool = pool
        self.resource_limits = resource_limits
        self.log = log
        self.on_engine_started = on_engine_started
        self.stop_kind = stop_kind
        self.identity_checks = IdentityChecks()
        self.notices = NoticeHandler(
            log, self.identity_checks, self._on_hello, self._on_gauges, self._result_time
        )
        self.unconfirmed = UnconfirmedCommands(resource_limits)
        self.gauge_requests: dict[bytes, GaugeRequest] = {}  # by tag, the oldest first
        self.tags = count(1)  # numbers of the requests for gauges on this link
        self.process = EngineProcess(resource_limits.engine_restart_margin)
        self.attached_at = 0  # time of the ATTACH on this connection, in monotonic nanoseconds
        self.last_read_at = 0  # time of the last read while the link was open, in monotonic nanoseconds
        self.reattach_tag = b""  # of the gauges that follow all missed notices
        self.reattach_at = 0  # time at which these gauges were asked for
        self.handover_tag = b""  # of the gauges that end the connection to the earlier address
        self.stream: IOStream | None = None
        self.connecting: IOStream | None = None  # the stream in use, also while it connects
        self.hello_timer: asyncio.TimerHandle | None = None  # closes a connection without a greeting
        self.is_open = False  # attached, and all missed notices are read
        self.loss_count = 0  # number of lost connections
        self.loss_reason = ""  # of this connection, for the log; empty: the other side closed it

    async def serve(self) -> None:
        """Attach and read notices until cancelled, with a new connection after each loss."""
        while True:
            attempted_at = time.monotonic_ns()
            try:
                await self._attach_and_read()
            except StreamClosedError as error:
                if error.real_error:
                    self._note_loss(describe_error(error.real_error))
            except MalformedInputError as error:
                self._note_loss("stream_malformed")
                self.log.warning("engine_stream_malformed", error=str(error))
            except asyncio.CancelledError:
                self._note_loss("node_stopping")
                raise
            except Exception as error:  # a defect must not end the link: no request could be answered
                self._note_loss("defect")
                self.log.error("engine_link_failed", error=describe_error(error))
            finally:
                self._detach()
            retry_delay = attempted_at + self.resource_limits.engine_retry_delay - time.monotonic_ns()
            await asyncio.sleep(max(0, retry_delay) / SECOND)

    async def _attach_and_read(self) -> None:
        stream = self.connecting = IOStream(
            socket.socket(), max_write_buffer_size=self.resource_limits.max_write_backlog
        )
        read_buffer = ReadBuffer(self.pool)
        try:
            # A peer may leave the connection unaccepted, or accept it and send nothing, for as long as TCP
            # allows. The first HELLO has no time limit, as the engine may still be starting.
            timeout = self.resource_limits.engine_timeout / SECOND
            self.hello_timer = asyncio.get_running_loop().call_later(timeout, self._close_ungreeted, stream)
            await connect(stream, self.address)
            if not self.process.has_greeted and self.hello_timer:
                self.hello_timer.cancel()
            self.stream = stream
            self.attached_at = time.monotonic_ns()
            send(stream, b"ATTACH %d\r\n" % self.notices.last_number)
            parser = LineParser(read_buffer, WITH_BODY, self.resource_limits.max_tokens)
            while True:
                await read_buffer.fill(stream)
                if self.is_open:
                    self.last_read_at = time.monotonic_ns()
                for tokens, body in parser.messages():
                    self.notices.handle(tokens, body)
                await asyncio.sleep(0)  # a peer that sends without pause must not block the event loop
        finally:
            stream.close()
            read_buffer.close()

    def _result_time(self) -> int:
        """Return a time at which the result of a notice that is read now was surely current.

        A notice that was missed while the link was lost may be as old as the last read before the loss.
        """
        return time.monotonic_ns() if self.is_open else self.last_read_at

    def _close_ungreeted(self, stream: IOStream) -> None:
        self._note_loss("no_greeting")
        stream.close()

    def _detach(self) -> None:
        """Reset the state of the ended connection."""
        if self.hello_timer:
            self.hello_timer.cancel()
        if self.connecting:
            self.connecting.close()
        if self.stream and not self.handover_tag:
            self.loss_count += 1
            self.log.warning("engine_link_lost", reason=self.loss_reason or "closed_by_peer")
        self.loss_reason = ""
        self.stream = None
        self.connecting = None
        self.is_open = False
        self.reattach_tag = b""
        self.handover_tag = b""

    def _note_loss(self, reason: str) -> None:
        """Store the reason for the end of the connection, unless one is stored already."""
        self.loss_reason = self.loss_reason or reason

    def change_address(self, address: tuple[str, int]) -> None:
        """Move to another address once the engine has read all commands written so far."""
        if address == self.address:
            return
        self.address = address
        if self.handover_tag:
            return  # the old connection is ending already, and the next one uses the new address
        if (stream := self.stream) is None or not self.is_open:
            if self.connecting:
                self.connecting.close()  # a connection attempt may never be accepted
            return
        self.is_open = False  # commands wait for the new connection
        self.handover_tag = HANDOVER_TAG_PREFIX + b"%d" % next(self.tags)
        send(stream, b"STAT %s\r\n" % self.handover_tag)
        asyncio.get_running_loop().call_later(
            self.resource_limits.engine_handover_timeout / SECOND, stream.close
        )

    def run(self, request: NodeRequest) -> None:
        """Start the run of a request; `RunFinished` is posted to it at the end."""
        request.in_engine = request.may_have_run = True
        self.notices.runs[request.request_id] = request
        self._send_command(request, RUN, b"%s %d" % (request.class_name, len(request.body)), request.body)

    def cancel_run(self, request: NodeRequest) -> None:
        """Cancel the run of a request."""
        self._send_command(request, HALT)

    def send_call_reply(self, request: NodeRequest, reply: bytes) -> None:
        """Give a run the reply of the downstream call that it waits for."""
        self._send_command(request, FEED, b"%d" % len(reply), reply)

    def skip_call(self, request: NodeRequest, notice_number: int) -> None:
        """Let a run continue without the call that it asked for in a notice."""
        self._send_command(request, SKIP, b"%d" % notice_number)

    def can_check_identity(self, request: NodeRequest) -> bool:
        """Return whether the settings allow a command that checks the ID of the request."""
        return check_command(request, self.stop_kind) is not None

    def check_identity(self, request: NodeRequest) -> None:
        """Ask whether the engine knows a request without a run; `IdentityChecked` is posted to it.

        Where no command can check that, the ID counts as known.
        """
        command = check_command(request, self.stop_kind)
        if command is None:
            request.post(IdentityChecked(is_known=True))
            return
        self.identity_checks.add(request, command)
        if self.is_open:
            self._send_identity_check(request.request_id)

    def _send_identity_check(self, request_id: bytes) -> None:
        if self.stream:
            tag = IDENTITY_TAG_PREFIX + b"%d" % next(self.tags)
            send(self.stream, self.identity_checks.encode(request_id, tag))

    def discard_identity_check(self, request: NodeRequest) -> None:
        """Drop the check of a request that no longer waits for it, if there is one."""
        self.identity_checks.discard(request)

    def _send_command(
        self, request: NodeRequest, verb: bytes, arguments: bytes = b"", body: bytes | None = None
    ) -> None:
        line = b" ".join((verb, request.request_id, arguments)).rstrip() + b"\r\n"
        if body is not None:
            line += body + b"\r\n"
        command = Command(line, request, verb, last_notice_number=request.last_notice_number)
        self.unconfirmed.add(command)
        if self.is_open:
            self._write(command)

    def _write(self, command: Command) -> None:
        if self.stream and send(self.stream, command.line):
            command.is_written = True

    def maintain_and_request_gauges(self) -> asyncio.Future[list[float]] | None:
        """Close an unresponsive link, resend overdue runs, ask for the gauges; None while it is not open."""
        now = time.monotonic_ns()
        self._close_if_unanswered(now)
        if not self.is_open:
            return None
        self._resend_overdue_runs(now)
        return self._ask_gauges(now)

    def _resend_overdue_runs(self, now: int) -> None:
        """Resend runs that may be lost, as admission counts each run until its end is reported.

        The engine continues a run in progress, and answers 'nothing' for a run that has ended or was lost.
        """
        for request in self.unconfirmed.take_overdue_runs(now):
            self.run(request)

    def _ask_gauges(self, now: int) -> asyncio.Future[list[float]]:
        tag = b"%d" % next(self.tags)
        command = Command(b"STAT %s\r\n" % tag, None, STAT)
        gauge_request = GaugeRequest(asyncio.get_running_loop().create_future(), command, now)
        self.gauge_requests[tag] = gauge_request
        self.unconfirmed.add(command)
        self._write(command)
        return gauge_request.future

    def _close_if_unanswered(self, now: int) -> None:
        """Close a connection whose oldest request for gauges is older than the timeout."""
        if self.reattach_tag:
            waiting_since = self.reattach_at
        elif self.gauge_requests and self.is_open:
            waiting_since = next(iter(self.gauge_requests.values())).sent_at
        else:
            return
        if self.stream and now - waiting_since > self.resource_limits.engine_timeout:
            self._note_loss("timed_out")
            self.log.warning("engine_link_timed_out")
            self.stream.close()

    def _on_hello(self, state: bytes, age: int) -> None:
        """Handle a greeting: missed notices follow it, then the answer to a STAT sent now."""
        if self.hello_timer:
            self.hello_timer.cancel()
        greeting = self.process.greet(time.monotonic_ns(), self.attached_at, age)
        if greeting is not Greeting.SAME_PROCESS:
            self.on_engine_started(state == b"booting", age)
        if greeting is Greeting.RESTARTED:
            self._engine_restarted()
            return
        self.reattach_tag = REATTACH_TAG_PREFIX + b"%d" % next(self.tags)
        self.reattach_at = time.monotonic_ns()
        if self.stream:
            send(self.stream, b"STAT %s\r\n" % self.reattach_tag)

    def _engine_restarted(self) -> None:
        """Fail the runs that the earlier engine may have started; other runs wait for the new engine."""
        unwritten = self.unconfirmed.keep_unwritten_runs()
        self.log.warning("engine_restarted", runs_lost=len(self.notices.runs) - len(unwritten))
        self.notices.handle_engine_restart(unwritten)
        if self.stream:
            self._note_loss("engine_restarted")
            self.stream.close()  # its ATTACH named a notice that this engine never sent

    def _on_gauges(self, tag: bytes, values: list[float]) -> None:
        if not all(0 <= value < MAX_GAUGE for value in values):
            raise MalformedInputError(f"gauges out of range: {values}")  # admission decisions depend on them
        if tag == self.reattach_tag:
            self.reattach_tag = b""
            self._reattach()
        elif tag == self.handover_tag and self.stream:
            self.unconfirmed.drop_written()
            self.stream.close()
        elif self.identity_checks.confirm(tag):
            pass
        elif gauge_request := self.gauge_requests.pop(tag, None):
            if not gauge_request.future.done():
                gauge_request.future.set_result(values)
            self.unconfirmed.confirm(gauge_request.command, gauge_request.sent_at, time.monotonic_ns())

    def _reattach(self) -> None:
        """Open the link and resend the lost commands, after all missed notices were read."""
        self.gauge_requests.clear()  # the callers that wait for lost gauges have a timeout
        uncertain_replies = self.unconfirmed.prepare_resend()
        self.is_open = True
        for command in self.unconfirmed.commands:
            self._write(command)
        if uncertain_replies:
            self.log.warning("engine_call_replies_uncertain", count=len(uncertain_replies))
        for reply in uncertain_replies:
            reply.request.post(CallReplyUncertain(reply.notice_number))
        for request_id in self.identity_checks.restart():
            self._send_identity_check(request_id)
