"""The node's end of its control links. Limits on links and on their reads keep CPU time for requests."""

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

MAX_CLIENTS = 25  # in one response, which must fit in a line of MAX_LINE_BYTES
LISTEN_BACKLOG = 64  # connections that the kernel queues until they are accepted
MAX_UNSENT_BYTES = 8 * MAX_LINE_BYTES
PRIVATE_UMASK = 0o077  # other users of the host must not connect


class ControlTarget(Protocol):
    """The operations of the node that a control link calls."""

    def status(self, tag: int) -> NodeStatus:
        """Return the state of the node, for the request with this tag."""

    def clients_status(self, tag: int, limit: int) -> ClientsStatus:
        """Return the heaviest clients, for the request with this tag."""

    def request_drain(self, generation: int, timeout: int) -> None:
        """Start a drain with a timeout in nanoseconds. Raises `OrderRefusedError`."""

    def cancel_drain(self, generation: int) -> None:
        """Cancel the drain. Raises `OrderRefusedError`."""


class ControlListener:
    """The Unix socket and the links that were accepted on it."""

    def __init__(
        self, path: str, node: ControlTarget, resource_limits: ResourceLimits, log: EventLog
    ) -> None:
        """Bind the socket, which only this user can connect to. Raises OSError."""
        self.path = path
        self.node = node
        self.resource_limits = resource_limits
        self.log = log
        self.links: dict[ControlLink, asyncio.Task[None]] = {}  # in order of last activity, oldest first
        self.pool = BufferPool(MAX_LINE_BYTES, BUFFERS_PER_STREAM * resource_limits.max_control_links)
        with contextlib.suppress(FileNotFoundError):
            os.unlink(path)  # a node that was killed leaves its socket file
        self.socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.socket.setblocking(False)
        umask = os.umask(PRIVATE_UMASK)
        try:
            self.socket.bind(path)
        finally:
            os.umask(umask)
        self.socket.listen(LISTEN_BACKLOG)

    def open(self) -> None:
        """Start to accept links."""
        asyncio.get_running_loop().add_reader(self.socket, self._accept)

    def _accept(self) -> None:
        with contextlib.suppress(BlockingIOError, OSError):
            connection, _ = self.socket.accept()
            connection.setblocking(False)
            if len(self.links) >= self.resource_limits.max_control_links:
                least_active = next(iter(self.links))
                least_active.stream.close()
                del self.links[least_active]
            link = ControlLink(IOStream(connection, max_write_buffer_size=MAX_UNSENT_BYTES), self)
            self.links[link] = asyncio.ensure_future(link.serve())

    def mark_active(self, link: ControlLink) -> None:
        """Move a link that has just been read to the end of `links`, as the most recently active one."""
        if link in self.links:
            self.links[link] = self.links.pop(link)

    def remove(self, link: ControlLink) -> None:
        """Remove a closed link."""
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
    """The link of one client: read at a limited rate, and closed if a message stays incomplete."""

    def __init__(self, stream: IOStream, listener: ControlListener) -> None:
        """Wrap an accepted stream; `serve` reads it."""
        self.stream = stream
        self.listener = listener
        self.read_buffer = ReadBuffer(listener.pool)

    async def serve(self) -> None:
        """Read and answer requests until the link is closed."""
        try:
            while True:
                await self._read_and_answer()
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

    async def _read_and_answer(self) -> None:
        """Answer the messages of one read, then pause, so that a fast client can't occupy the event loop."""
        limits = self.listener.resource_limits
        read_buffer = self.read_buffer
        started_at = time.monotonic_ns()
        if not read_buffer.has_data:
            await read_buffer.fill(self.stream)  # without a timeout: an idle link may stay open
        else:
            async with asyncio.timeout(limits.control_timeout / SECOND):
                await read_buffer.fill(self.stream)
        cpu_time = -time.thread_time_ns()
        while (newline := read_buffer.buffer.find(b"\n", read_buffer.start, read_buffer.end)) >= 0:
            line = bytes(read_buffer.buffer[read_buffer.start : newline])
            read_buffer.start = newline + 1
            write = send(self.stream, encode(self._answer(line)))
            if write is None:
                raise StreamClosedError
            async with asyncio.timeout(limits.control_timeout / SECOND):
                await asyncio.shield(write)
            cpu_time += time.thread_time_ns()
            await asyncio.sleep(max(limits.control_pause, cpu_time * limits.control_cpu_factor) / SECOND)
            cpu_time = -time.thread_time_ns()
        self.listener.mark_active(self)
        await asyncio.sleep(max(0, started_at + limits.control_pause - time.monotonic_ns()) / SECOND)

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
