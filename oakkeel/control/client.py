"""The agent's end of a control link."""

from __future__ import annotations

import asyncio
import itertools
import socket
import struct

import msgspec
from tornado.iostream import IOStream

from oakkeel.control.messages import (
    MAX_LINE_BYTES,
    Acknowledgement,
    CancelDrainRequest,
    ClientsRequest,
    ClientsStatus,
    DrainRequest,
    NodeStatus,
    Request,
    Response,
    StatusRequest,
    decode_response,
    encode,
)
from oakkeel.errors import OakkeelError

PEER_CREDENTIALS = struct.Struct("3i")  # `struct ucred`: process, user and group IDs


class ControlError(OakkeelError, OSError):
    """The node did not respond, or its response was not the expected one; the message gives the cause."""


class ControlClient:
    """A link to one node, which reconnects after a failure and sends one request at a time."""

    def __init__(self, path: str) -> None:
        """Use the Unix socket at `path`; the first request connects to it."""
        self.path = path
        self.tags = itertools.count(1)  # number the requests; a response repeats the tag of its request
        self.stream: IOStream | None = None
        self.pid = 0  # process ID of the node, as the kernel reports it; 0 before the first connection

    async def status(self, timeout: float) -> NodeStatus:
        """Fetch the state of the node within `timeout` seconds. Raises ControlError, as all requests do."""
        response = await self._request(StatusRequest(next(self.tags)), timeout)
        if not isinstance(response, NodeStatus):
            raise ControlError(f"received no status report: {getattr(response, 'reason', '')}")
        return response

    async def drain(self, generation: int, timeout: float, drain_timeout: int = 0) -> Acknowledgement:
        """Order a drain of at most `drain_timeout` nanoseconds; 0: the limit that applies after a SIGTERM."""
        return await self._send_order(DrainRequest(next(self.tags), generation, drain_timeout), timeout)

    async def cancel_drain(self, generation: int, timeout: float) -> Acknowledgement:
        """Cancel a drain, so that the node accepts requests again."""
        return await self._send_order(CancelDrainRequest(next(self.tags), generation), timeout)

    async def _send_order(
        self, request: DrainRequest | CancelDrainRequest, timeout: float
    ) -> Acknowledgement:
        response = await self._request(request, timeout)
        if not isinstance(response, Acknowledgement):
            raise ControlError(
                f"received {type(response).__name__}, expected an acknowledgement of the order"
            )
        return response

    async def clients_status(self, limit: int, timeout: float) -> ClientsStatus:
        """Fetch at most `limit` of the heaviest clients."""
        response = await self._request(ClientsRequest(next(self.tags), limit), timeout)
        if not isinstance(response, ClientsStatus):
            raise ControlError("received no list of clients")
        return response

    async def _request(self, request: Request, timeout: float) -> Response:
        try:
            async with asyncio.timeout(timeout):  # before Python 3.12, `wait_for` may lose a cancellation
                return await self._send(request)
        except ControlError:
            self.close()
            raise
        except (TimeoutError, OSError, ValueError, msgspec.MsgspecError) as error:
            self.close()  # a late response must not be read as the response to the next request
            raise ControlError(f"{type(error).__name__}: {error}".rstrip(": ")) from None

    async def _send(self, request: Request) -> Response:
        if self.stream is None:
            self.stream = IOStream(socket.socket(socket.AF_UNIX), max_buffer_size=MAX_LINE_BYTES)
            await self.stream.connect(self.path)  # the address of a Unix socket is its path
            credentials = self.stream.socket.getsockopt(
                socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size
            )
            self.pid = PEER_CREDENTIALS.unpack(credentials)[0]
        self.stream.write(encode(request))
        line = await self.stream.read_until(b"\n", max_bytes=MAX_LINE_BYTES)
        response = decode_response(line)
        if response.tag != request.tag:
            raise ControlError(f"received a response to another request: {getattr(response, 'reason', '')}")
        return response

    def close(self) -> None:
        """Close the link; the next request opens a new one."""
        if self.stream:
            self.stream.close()
        self.stream = None
