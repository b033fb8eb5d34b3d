"""The node's end of its control links: few, and read slowly, so that they take no time from requests."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
import time
from typing import Protocol

import msgspec
from tornado.iostream import IOStream, StreamClosedError

from oakkeel.control.messages import (
    MAX_LINE_BYTES,
    Acknowledgement,
    CancelDrainRequest,
    ClientsRequest,
    ClientsStatus,
    NodeStatus,
    Response,
    StatusRequest,
    decode_request,
    encode,
)
from oakkeel.errors import OrderRefusedError
from oakkeel.log import EventLog, describe_error
from oakkeel.resource_limits import BUFFERS_PER_STREAM, ResourceLimits
from oakkeel.stream_buffers import BufferPool, MalformedInputError, ReadBuffer, send
from oakkeel.units import SECOND

MAX_CLIENTS = 25  # in one response, which must fit a line
MAX_WAITING_LINKS = 64  # for an accept, in the kernel
MAX_UNSENT_BYTES = 8 * MAX_LINE_BYTES
PRIVATE_UMASK = 0o077  # other users of the host must not connect


class ControlTarget(Protocol):
    """What a control link needs of the node."""

    def status(self, tag: int) -> NodeStatus:
        """Return the state of the node, for the request with this tag."""

    def clients_status(self, tag: int, limit: int) -> ClientsStatus:
        """Return the heaviest clients, for the request with this tag."""

    def request_drain(self, generation: int, timeout: int) -> None:
        """Start a drain of `timeout` nanoseconds. Raises `OrderRefusedError`."""

    def cancel_drain(self, generation: int) -> None:
        """Cancel the drain. Raises `OrderRefusedError`."""


class ControlListener:
    """The Unix socket and the links that were accepted on it."""

    def __init__(
        self, path: str, node: ControlTarget, resource_limits: ResourceLimits, log: EventLog
    ) -> None:
        """Bind the socket, for this user alone; raises OSError."""
        self.path = path
        self.node = node
        self.resource_limits = resource_limits
        self.log = log
        self.links: dict[ControlLink, asyncio.Task[None]] = {}  # by last activity, the oldest first
        self.pool = BufferPool(MAX_LINE_BYTES, BUFFERS_PER_STREAM * resource_limits.max_control_links)
        with contextlib.suppress(FileNotFoundError):
            os.unlink(path)  # left by a node that was killed
        self.socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.socket.setblocking(False)
        umask = os.umask(PRIVATE_UMASK)
        try:
            self.socket.bind(path)
        finally:
            os.umask(umask)
        self.socket.listen(MAX_WAITING_LINKS)

    def open(self) -> None:
        """Accept links from now on."""
        asyncio.get_running_loop().add_reader(self.socket, self._accept)

    def _accept(self) -> None:
        with contextlib.suppress(BlockingIOError, OSError):
            accepted, _ = self.socket.accept()
            accepted.setblocking(False)
            if len(self.links) >= self.resource_limits.max_control_links:
                oldest = next(iter(self.links))  # by last activity
                oldest.stream.close()
                del self.links[oldest]
            link = ControlLink(IOStream(accepted, max_write_buffer_size=MAX_UNSENT_BYTES), self)
            self.links[link] = asyncio.ensure_future(link.serve())

    def mark_active(self, link: ControlLink) -> None:
        """Note that a link has just been read."""
        if link in self.links:
            self.links[link] = self.links.pop(link)

    def remove(self, link: ControlLink) -> None:
        """Forget a link that is closed."""
        self.links.pop(link, None)

    def close(self) -> None:
        """Close the socket and all links, and remove the socket's file."""
        asyncio.get_running_loop().remove_reader(self.socket)
        self.socket.close()
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self.path)
        for link in list(self.links):
            link.stream.close()


class ControlLink:
    """One client: read at a limited pace, and closed with a reason if a message stays incomplete."""

    def __init__(self, stream: IOStream, listener: ControlListener) -> None:
        """Take an accepted stream; `serve` reads it."""
        self.stream = stream
        self.listener = listener
        self.read_buffer = ReadBuffer(listener.pool)

    async def serve(self) -> None:
        """Read and answer the client until the link ends."""
        try:
            while True:
                await self._read()
        except MalformedInputError:
            self._refuse(f"a line of more than {MAX_LINE_BYTES} bytes")
        except TimeoutError:
            self._refuse("a message stayed incomplete, or a response unread, for too long")
        except StreamClosedError:
            pass
        finally:
            self.stream.close()
            self.read_buffer.close()
            self.listener.remove(self)

    def _refuse(self, reason: str) -> None:
        send(self.stream, encode(Acknowledgement(0, False, reason)))

    async def _read(self) -> None:
        """Answer the messages of one read, then pause: a fast client gets no more of the event loop."""
        limits = self.listener.resource_limits
        read_buffer = self.read_buffer
        started = time.monotonic_ns()
        if not read_buffer.has_data:
            await read_buffer.fill(self.stream)  # an idle link may stay open
        else:
            async with asyncio.timeout(limits.control_timeout / SECOND):
                await read_buffer.fill(self.stream)
        spent = -time.thread_time_ns()
        while (at := read_buffer.buffer.find(b"\n", read_buffer.start, read_buffer.end)) >= 0:
            line = bytes(read_buffer.buffer[read_buffer.start : at])
            read_buffer.start = at + 1
            written = send(self.stream, encode(self._answer(line)))
            if written is None:
                raise StreamClosedError
            async with asyncio.timeout(limits.control_timeout / SECOND):
                await asyncio.shield(written)
            spent += time.thread_time_ns()
            await asyncio.sleep(max(limits.control_pause, spent * limits.control_cpu_factor) / SECOND)
            spent = -time.thread_time_ns()
        self.listener.mark_active(self)
        await asyncio.sleep(max(0, started + limits.control_pause - time.monotonic_ns()) / SECOND)

    def _answer(self, line: bytes) -> Response:
        try:
            request = decode_request(line)
        except msgspec.MsgspecError as error:
            return Acknowledgement(0, False, str(error))
        try:
            if isinstance(request, StatusRequest):
                return self.listener.node.status(request.tag)
            if isinstance(request, ClientsRequest):
                return self.listener.node.clients_status(request.tag, max(1, min(request.limit, MAX_CLIENTS)))
            if isinstance(request, CancelDrainRequest):
                self.listener.node.cancel_drain(request.generation)
            else:
                self.listener.node.request_drain(request.generation, request.timeout)
            return Acknowledgement(request.tag, True)
        except OrderRefusedError as refusal:
            return Acknowledgement(request.tag, False, str(refusal))
        except Exception as error:  # a defect must not end the link or the node
            self.listener.log.error("control_request_failed", error=describe_error(error))
            return Acknowledgement(request.tag, False, "an internal error of the node: see its log")
