"""Commands of a dispatcher on one connection: calls, cancellations and health checks."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from oakkeel.dispatch import codec
from oakkeel.log import EventLog
from oakkeel.request import NodeRequest, ResponseChannel
from oakkeel.resource_limits import ResourceLimits
from oakkeel.stream_buffers import MalformedInputError, ProtocolViolationError

MAX_TAG_DIGITS = 18
MAX_LOGGED_BYTES = 20  # of a token from the network


class ConnectionOwner(Protocol):
    """The methods of the node that its connections call."""

    reader: codec.RequestReader | None  # None while the node can't accept requests yet

    def on_request_received(self, request: NodeRequest) -> None:
        """Handle a request that the connection has read."""

    def on_client_disconnected(self, request: NodeRequest) -> None:
        """Note that the client no longer waits for the answer."""

    def has_request(self, request_id: bytes) -> bool:
        """Return whether a request with this ID is open or has a run, or has run and must not run again."""

    def repeats_known_request(self, request: NodeRequest) -> bool:
        """Return whether a request repeats one that may have run, by its idempotency key."""

    def is_healthy(self) -> bool:
        """Return whether the node accepts requests, for health checks."""

    def load_report(self) -> float | None:
        """Return the load report for answers; None before the first report."""

    def retry_after(self) -> int:
        """Return the Retry-After of a rejected request, in nanoseconds; 0 for no advice."""


class CommandHandler:
    """Carries out the commands of one connection and holds its open requests."""

    __slots__ = (
        "_channel",
        "_log",
        "_on_idle",
        "_owner",
        "_resource_limits",
        "_write",
        "has_received_request",
        "open_requests",
        "rejects_new_requests",
        "violations",
    )

    def __init__(
        self,
        channel: ResponseChannel,
        write: Callable[[bytes], None],
        resource_limits: ResourceLimits,
        owner: ConnectionOwner,
        log: EventLog,
        on_idle: Callable[[], None],
    ) -> None:
        """Requests are answered on `channel`; `on_idle` is called after the last open request."""
        self._channel = channel
        self._write = write
        self._resource_limits = resource_limits
        self._owner = owner
        self._log = log
        self._on_idle = on_idle
        self.open_requests: dict[int, NodeRequest] = {}  # by tag
        self.has_received_request = False
        self.rejects_new_requests = False  # the connection is over the limit
        self.violations = 0

    def handle(self, tokens: list[bytes]) -> None:
        """Carry out one command. Raises MalformedInputError if the stream must not be read further."""
        verb = tokens[0]
        tag_token = tokens[1] if len(tokens) > 1 else b""
        tag = int(tag_token) if tag_token.isdigit() and len(tag_token) <= MAX_TAG_DIGITS else 0
        if not tag or (tag in self.open_requests and verb != codec.CANCEL):
            raise MalformedInputError(
                f"{verb[:MAX_LOGGED_BYTES]!r} with a tag that is malformed or in use: "
                f"{tag_token[:MAX_LOGGED_BYTES]!r}"
            )
        if verb == codec.CALL:
            self._handle_call(tag, tokens)
        elif verb == codec.CANCEL:
            if tag in self.open_requests:
                self.disconnect(self.open_requests[tag])
        elif verb == codec.CHECK:
            health = codec.HEALTHY if self._owner.is_healthy() else codec.UNHEALTHY
            self._write(codec.encode_answer(tag, health, self._owner.load_report()))
        else:
            self._reject_malformed(tag, f"unknown verb {verb[:MAX_LOGGED_BYTES]!r}")
        if self.violations >= self._resource_limits.max_violations:
            raise ProtocolViolationError(f"{self.violations} malformed requests on one connection")

    def answer(
        self,
        request: NodeRequest,
        status: bytes,
        body: bytes = b"",
        final: bool = False,
        retry_after: int = 0,
    ) -> None:
        """Write the only answer of a request; `retry_after` is in nanoseconds."""
        self._write(
            codec.encode_answer(request.tag, status, self._owner.load_report(), body, final, retry_after)
        )
        # Only after the write: closing the last request shuts down an ending connection.
        self._close_request(request)

    def report_violation(self, event: str, reason: str = "", request_id: bytes = b"") -> None:
        """Log and count a violation: parsing costs time, and too many violations end the connection."""
        self._log.warning(event, reason=reason or None, request_id=request_id.decode() or None)
        self.violations += 1

    def disconnect(self, request: NodeRequest) -> None:
        """Drop a request whose client no longer waits."""
        self._close_request(request)
        self._owner.on_client_disconnected(request)

    def detach(self) -> None:
        """Drop the references to the connection, which would form a cycle; no command may follow."""
        del self._channel, self._on_idle

    def _handle_call(self, tag: int, tokens: list[bytes]) -> None:
        owner = self._owner
        if owner.reader is None:
            self._reject(tag)
            return
        try:
            request = owner.reader.read(tag, tokens, self._channel)
            if owner.has_request(request.request_id):  # a reused ID must not affect the earlier request
                raise codec.MalformedRequestError("req is the ID of another request", request.request_id)
        except codec.MalformedRequestError as error:
            self._reject_malformed(tag, str(error), error.request_id)
            return
        has_room = len(self.open_requests) < self._resource_limits.max_open_requests
        # A request that may have run is never rejected: its client would let it run elsewhere.
        if self.rejects_new_requests and not owner.repeats_known_request(request):
            self._reject(tag)
        elif has_room:
            self.open_requests[tag] = request
            self.has_received_request = True
            owner.on_request_received(request)
        else:
            self._reject_over_limit(tag, request)

    def _reject(self, tag: int) -> None:
        owner = self._owner
        self._write(
            codec.encode_answer(tag, codec.REJECTED, owner.load_report(), retry_after=owner.retry_after())
        )

    def _reject_over_limit(self, tag: int, request: NodeRequest) -> None:
        """Answer a request that exceeds the limit of open requests; raises ProtocolViolationError."""
        status = codec.FAILED if self._owner.repeats_known_request(request) else codec.REJECTED
        self._write(codec.encode_answer(tag, status, self._owner.load_report()))
        raise ProtocolViolationError(
            f"more than {self._resource_limits.max_open_requests} open requests on one connection"
        )

    def _reject_malformed(self, tag: int, reason: str, request_id: bytes = b"") -> None:
        self._write(codec.encode_answer(tag, codec.FAILED, self._owner.load_report()))
        self.report_violation("request_malformed", reason, request_id)

    def _close_request(self, request: NodeRequest) -> None:
        if self.open_requests.pop(request.tag, None) and not self.open_requests:
            self._on_idle()
