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


class ControlError(OSError):
    """The node did not answer, or not what was asked; the text says how."""


class ControlClient:
    """One link to one node, made anew where it broke. One question at a time."""

    def __init__(self, path: str) -> None:
        self.path = path
        self.tags = itertools.count(1)
        self.stream: IOStream | None = None
        self.pid = 0  # of the process at the other end, as the kernel says

    async def ask(self, timeout: float) -> NodeStatus:
        """Raises ControlError; `timeout` in seconds."""
        answer = await self._exchange(StatusRequest(next(self.tags)), timeout)
        if not isinstance(answer, NodeStatus):
            raise ControlError(f"no report: {getattr(answer, 'why', '')}")
        return answer

    async def leave(self, generation: int, timeout: float, within: int = 0) -> Acknowledgement:
        """`within`: nanoseconds until it ends, 0 as after a SIGTERM."""
        return await self._order(DrainRequest(next(self.tags), generation, within), timeout)

    async def stay(self, generation: int, timeout: float) -> Acknowledgement:
        return await self._order(CancelDrainRequest(next(self.tags), generation), timeout)

    async def _order(self, wish: DrainRequest | CancelDrainRequest, timeout: float) -> Acknowledgement:
        answer = await self._exchange(wish, timeout)
        if not isinstance(answer, Acknowledgement):
            raise ControlError("a report in place of an answer to an order")
        return answer

    async def clients(self, most: int, timeout: float) -> ClientsStatus:
        answer = await self._exchange(ClientsRequest(next(self.tags), most), timeout)
        if not isinstance(answer, ClientsStatus):
            raise ControlError("no list of clients")
        return answer

    async def _exchange(self, wish: Request, timeout: float) -> Response:
        try:
            return await asyncio.wait_for(self._try(wish), timeout)
        except ControlError:
            self.close()
            raise
        except (TimeoutError, OSError, ValueError, msgspec.MsgspecError) as error:
            self.close()  # an answer that comes late must not be taken for that of the next question
            raise ControlError(f"{type(error).__name__}: {error}".rstrip(": ")) from None

    async def _try(self, wish: Request) -> Response:
        if self.stream is None:
            self.stream = IOStream(socket.socket(socket.AF_UNIX), max_buffer_size=MAX_LINE_BYTES)
            await self.stream.connect(self.path)  # a path is an address as well
            peer = self.stream.socket.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12)
            self.pid = struct.unpack("3i", peer)[0]
        self.stream.write(encode(wish))
        line = await self.stream.read_until(b"\n", max_bytes=MAX_LINE_BYTES)
        answer = decode_response(line)
        if answer.tag != wish.tag:
            raise ControlError(f"an answer to another question: {getattr(answer, 'why', '')}")
        return answer

    def close(self) -> None:
        if self.stream:
            self.stream.close()
        self.stream = None
