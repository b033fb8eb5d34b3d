"""The agent's listening socket: authenticated connections with one request at a time."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import socket
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec
from tornado.iostream import IOStream, StreamClosedError

from oakkeel.agent import messages
from oakkeel.authentication.framing import (
    GREETING_PREFIX,
    MAX_FRAME_BYTES,
    MAX_RESPONSE_BYTES,
    REJECTION,
    FrameError,
    encode_frame,
    read_frame,
)
from oakkeel.authentication.mac import (
    NONCE_BYTES,
    AuthenticationError,
    Key,
    Role,
    ServerAuthenticator,
)
from oakkeel.log import EventLog, describe_error
from oakkeel.units import SECOND

Handler = Callable[[Key, messages.Request], messages.Response | Awaitable[messages.Response]]
DEFAULT_MAX_CONNECTIONS = 64
LISTEN_BACKLOG = 256
FRAME_HEADER_BYTES = 4
MAX_SIGNATURE_BYTES = 256  # upper bound of the bytes that signing adds to a response
# Requests that are rejected if their key may only view.
ORDER_REQUESTS = (
    messages.OrderRequest,
    messages.CancelOrderRequest,
    messages.FleetOrderRequest,
    messages.EndFleetOrderRequest,
    messages.SetVotersRequest,
    messages.StartReleaseRequest,
    messages.ControlReleaseRequest,
)


@dataclass(slots=True, frozen=True)
class ServerLimits:
    """Limits that keep a client from exhausting the agent."""

    max_connections: int = DEFAULT_MAX_CONNECTIONS
    timeout_ns: int = 10 * SECOND  # for a whole request, and for the client to read a response
    max_accepts: int = 16  # new connections in one pass of the event loop
    rejection_log_interval_ns: int = SECOND  # between two log lines of rejections


class AgentServer:
    """The agent's listening socket and its connections."""

    def __init__(
        self,
        address: tuple[str, int],
        keys: Callable[[], dict[str, Key]],
        handler: Handler,
        log: EventLog,
        limits: ServerLimits | None = None,
    ) -> None:
        """Raises OSError if the address is in use. `keys` returns the keys that are valid now."""
        self.keys = keys
        self.handler = handler
        self.log = log
        self.limits = limits or ServerLimits()
        self.connections: dict[IOStream, asyncio.Task[None]] = {}  # oldest first
        self.rejection_logged_at = 0
        self.rejection_count = 0  # since the last log line
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.setblocking(False)
        self.socket.bind(address)
        self.socket.listen(LISTEN_BACKLOG)
        self.address: tuple[str, int] = self.socket.getsockname()

    def open(self) -> None:
        """Accept connections from now on."""
        asyncio.get_running_loop().add_reader(self.socket, self._accept_connections)

    def close(self) -> None:
        """Close the socket and all connections."""
        asyncio.get_running_loop().remove_reader(self.socket)
        self.socket.close()
        for stream in list(self.connections):
            stream.close()

    def _accept_connections(self) -> None:
        with contextlib.suppress(OSError):
            for _ in range(self.limits.max_accepts):
                connection, _ = self.socket.accept()
                connection.setblocking(False)
                if len(self.connections) >= self.limits.max_connections:
                    self._close_oldest()
                stream = IOStream(connection, max_buffer_size=MAX_FRAME_BYTES + FRAME_HEADER_BYTES)
                self.connections[stream] = asyncio.ensure_future(self._serve(stream))

    def _close_oldest(self) -> None:
        """Close the oldest connection, whose client has had the most time to send a request."""
        oldest_stream = next(iter(self.connections))
        del self.connections[oldest_stream]
        oldest_stream.close()

    async def _serve(self, stream: IOStream) -> None:
        try:
            await self._serve_requests(stream)
        except (TimeoutError, StreamClosedError):
            pass
        except FrameError as error:
            self._log_rejection(str(error))
            with contextlib.suppress(StreamClosedError):
                stream.write(encode_frame(REJECTION))
        except Exception as error:  # a fault of one connection must not end the agent
            self.log.error("agent_connection_failed", error=describe_error(error))
        finally:
            stream.close()
            self.connections.pop(stream, None)

    async def _serve_requests(self, stream: IOStream) -> None:
        """Authenticate and respond to requests until one is rejected."""
        timeout = self.limits.timeout_ns / SECOND
        challenge = secrets.token_bytes(NONCE_BYTES)
        authenticator = ServerAuthenticator(
            self.keys(), challenge, time.monotonic_ns(), self.limits.timeout_ns
        )
        stream.write(encode_frame(GREETING_PREFIX + challenge))
        max_bytes = MAX_FRAME_BYTES
        while True:
            async with asyncio.timeout(timeout):
                # Yields to other tasks: a client that always sends must not hold the event loop, and awaiting
                # a done future does not yield.
                await asyncio.sleep(0)
                content = await read_frame(stream, max_bytes)
            try:
                key, request = authenticator.verify(time.monotonic_ns(), time.time_ns(), content)
            except AuthenticationError as error:
                self._log_rejection(str(error))
                await stream.write(
                    encode_frame(REJECTION)
                )  # without the reason, which would help an attacker
                return
            if key.role is Role.AGENT:  # authenticated: replicas send larger requests than operators
                max_bytes = MAX_RESPONSE_BYTES
                stream.max_buffer_size = MAX_RESPONSE_BYTES + FRAME_HEADER_BYTES
            response = messages.encode(await self._respond(key, request))
            if len(response) > MAX_RESPONSE_BYTES - MAX_SIGNATURE_BYTES:
                response = messages.encode(messages.ErrorResponse("the response is too long; ask for less"))
            write_future = stream.write(encode_frame(authenticator.sign(time.time_ns(), response)))
            async with asyncio.timeout(timeout):
                await asyncio.shield(write_future)

    async def _respond(self, key: Key, content: bytes) -> messages.Response:
        try:
            request = messages.decode_request(content)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            return messages.ErrorResponse(f"not a message of this version: {error}")
        if isinstance(request, messages.PeerRequest) != (key.role is Role.AGENT):
            self.log.warning(
                "message_rejected", key=key.key_id, error="the role of the key does not allow it"
            )
            return messages.ErrorResponse(f"the role of key {key.key_id} does not allow that request")
        if isinstance(request, ORDER_REQUESTS) and key.role < Role.ACT:
            self.log.warning(
                "order_rejected", operator=key.operator, key=key.key_id, error="the key may only view"
            )
            return messages.ErrorResponse(f"{key.operator} may only view")
        try:
            response = self.handler(key, request)
            return await response if isinstance(response, Awaitable) else response
        except Exception as error:  # the sender gets an error response, and the agent continues
            self.log.error("agent_request_failed", operator=key.operator, error=describe_error(error))
            return messages.ErrorResponse("internal error of the agent; its log has the cause")

    def _log_rejection(self, why: str) -> None:
        """Log the number of rejections since the last log line of a rejection, at most once per interval."""
        self.rejection_count += 1
        now = time.monotonic_ns()
        is_due = now - self.rejection_logged_at >= self.limits.rejection_log_interval_ns
        if is_due or not self.rejection_logged_at:
            self.log.warning("message_rejected", error=why, refused=self.rejection_count)
            self.rejection_logged_at = now
            self.rejection_count = 0
