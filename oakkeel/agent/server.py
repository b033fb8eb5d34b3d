"""Where operators' messages reach the agent: a listening socket, few links, sealed messages in turn."""

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
    HELLO,
    MAX_FRAME_BYTES,
    MAX_RESPONSE_BYTES,
    REFUSED,
    FrameError,
    frame,
    read_frame,
)
from oakkeel.authentication.mac import (
    NONCE_BYTES,
    AuthenticationError,
    Key,
    Role,
    ServerAuthenticator,
)
from oakkeel.log import EventLog, fault
from oakkeel.units import SECOND

Handler = Callable[[Key, messages.Request], messages.Response | Awaitable[messages.Response]]
ACTS = (
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
    """Times in nanoseconds."""

    connections: int = 64
    timeout: int = 10 * SECOND  # for a whole message, and for an answer to be taken
    accepts: int = 16  # new links in one pass of the loop
    rejection_log_interval: int = SECOND  # one line of the log in that time


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
        """Raises OSError where the address can't be listened on. `keys` gives those that hold by now."""
        self.keys, self.handler, self.log, self.limits = keys, handler, log, limits or ServerLimits()
        self.connections: dict[IOStream, asyncio.Task[None]] = {}  # the oldest first
        self.rejection_logged_at = self.rejected = 0
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.setblocking(False)
        self.socket.bind(address)
        self.socket.listen(256)
        self.address: tuple[str, int] = self.socket.getsockname()

    def open(self) -> None:
        """Accept connections from now on."""
        asyncio.get_running_loop().add_reader(self.socket, self._accept_some)

    def close(self) -> None:
        """Close the socket and all connections."""
        asyncio.get_running_loop().remove_reader(self.socket)
        self.socket.close()
        for stream in list(self.connections):
            stream.close()

    def _accept_some(self) -> None:
        with contextlib.suppress(OSError):
            for _ in range(self.limits.accepts):
                accepted, _ = self.socket.accept()
                accepted.setblocking(False)
                if len(self.connections) >= self.limits.connections:  # the oldest had its time
                    oldest = next(iter(self.connections))
                    del self.connections[oldest]
                    oldest.close()
                stream = IOStream(accepted, max_buffer_size=MAX_FRAME_BYTES + 4)
                self.connections[stream] = asyncio.ensure_future(self._serve(stream))

    async def _serve(self, stream: IOStream) -> None:
        wait = self.limits.timeout / SECOND
        try:
            challenge = secrets.token_bytes(NONCE_BYTES)
            authenticator = ServerAuthenticator(
                self.keys(), challenge, time.monotonic_ns(), self.limits.timeout
            )
            stream.write(frame(HELLO + challenge))
            most = MAX_FRAME_BYTES
            while True:
                content = await asyncio.wait_for(read_frame(stream, most), wait)
                try:
                    key, request = authenticator.verify(time.monotonic_ns(), time.time_ns(), content)
                except AuthenticationError as error:
                    self._log_rejection(str(error))
                    await stream.write(frame(REFUSED))  # and no reason: a stranger learns nothing
                    return
                if key.role is Role.AGENT:  # it has shown whose it is: keepers send each other more
                    most, stream.max_buffer_size = MAX_RESPONSE_BYTES, MAX_RESPONSE_BYTES + 4
                answer = messages.encode(await self._answer(key, request))
                if len(answer) > MAX_RESPONSE_BYTES - 256:
                    answer = messages.encode(messages.ErrorResponse("the answer is too long; ask for less"))
                written = stream.write(frame(authenticator.sign(time.time_ns(), answer)))
                await asyncio.wait_for(asyncio.shield(written), wait)
        except (TimeoutError, StreamClosedError):
            pass
        except FrameError as error:
            self._log_rejection(str(error))
            with contextlib.suppress(StreamClosedError):
                stream.write(frame(REFUSED))
        except Exception as error:  # one link must not end the agent
            self.log.error("agent_connection_failed", error=fault(error))
        finally:
            stream.close()
            self.connections.pop(stream, None)

    async def _answer(self, key: Key, content: bytes) -> messages.Response:
        try:
            request = messages.decode_request(content)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            return messages.ErrorResponse(f"no message of this version: {error}")
        if isinstance(request, messages.PeerRequest) != (key.role is Role.AGENT):
            self.log.warning("message_rejected", key=key.ident, error="not for that key")
            return messages.ErrorResponse(f"key {key.ident} is not for that")
        if isinstance(request, ACTS) and key.role < Role.ACT:
            self.log.warning("order_rejected", operator=key.operator, key=key.ident, error="it views only")
            return messages.ErrorResponse(f"{key.operator} may view and not act")
        try:
            answer = self.handler(key, request)
            return await answer if isinstance(answer, Awaitable) else answer
        except Exception as error:  # an error of ours answers it, and the agent lives on
            self.log.error("agent_request_failed", operator=key.operator, error=fault(error))
            return messages.ErrorResponse("an error of the agent")

    def _log_rejection(self, why: str) -> None:
        """Told once a second at most, with how many there were."""
        self.rejected += 1
        now = time.monotonic_ns()
        if (
            now - self.rejection_logged_at >= self.limits.rejection_log_interval
            or not self.rejection_logged_at
        ):
            self.log.warning("message_rejected", error=why, refused=self.rejected)
            self.rejection_logged_at, self.rejected = now, 0
