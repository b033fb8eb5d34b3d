"""The node's end of its control links: few, slow to read, and of no concern to its exchanges."""

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
from oakkeel.log import EventLog, fault
from oakkeel.resource_limits import SECOND, ResourceLimits
from oakkeel.stream_buffers import BufferPool, MalformedInputError, ReadBuffer, send

MAX_CONNECTIONS = 25  # in one answer, so that it is no longer than a line may be


class ControlTarget(Protocol):
    """What a control link needs of the node."""

    def report(self, tag: int) -> NodeStatus: ...
    def clients(self, tag: int, most: int) -> ClientsStatus: ...
    def ordered_to_leave(self, generation: int, within: int) -> str: ...  # why not; empty where it leaves
    def ordered_to_stay(self, generation: int) -> str: ...


class ControlListener:
    """The Unix socket and the links that came through it."""

    def __init__(
        self, path: str, node: ControlTarget, resource_limits: ResourceLimits, log: EventLog
    ) -> None:
        self.path, self.node, self.resource_limits, self.log = path, node, resource_limits, log
        self.links: dict[ControlLink, asyncio.Task[None]] = {}  # the one heard longest ago first
        self.pool = BufferPool(MAX_LINE_BYTES, 2 * resource_limits.control_links)
        with contextlib.suppress(FileNotFoundError):
            os.unlink(path)  # left by one that was killed
        self.socket = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.socket.setblocking(False)
        before = os.umask(0o077)  # whoever else is on the host has no business here
        try:
            self.socket.bind(path)
        finally:
            os.umask(before)
        self.socket.listen(64)

    def open(self) -> None:
        asyncio.get_running_loop().add_reader(self.socket, self._accept)

    def _accept(self) -> None:
        with contextlib.suppress(BlockingIOError, OSError):
            accepted, _ = self.socket.accept()
            accepted.setblocking(False)
            if len(self.links) >= self.resource_limits.control_links:  # the one silent for longest makes room
                oldest = next(iter(self.links))
                oldest.stream.close()
                del self.links[oldest]
            link = ControlLink(IOStream(accepted, max_write_buffer_size=8 * MAX_LINE_BYTES), self)
            self.links[link] = asyncio.ensure_future(link.serve())

    def heard(self, link: ControlLink) -> None:
        if link in self.links:
            self.links[link] = self.links.pop(link)

    def gone(self, link: ControlLink) -> None:
        self.links.pop(link, None)

    def close(self) -> None:
        asyncio.get_running_loop().remove_reader(self.socket)
        self.socket.close()
        with contextlib.suppress(FileNotFoundError):
            os.unlink(self.path)
        for link in list(self.links):
            link.stream.close()


class ControlLink:
    """One client. It is read once in a while, told what is wrong, and closed where it leaves things half."""

    def __init__(self, stream: IOStream, listener: ControlListener) -> None:
        self.stream, self.listener = stream, listener
        self.read_buffer = ReadBuffer(listener.pool)

    async def serve(self) -> None:
        resource_limits, read_buffer = self.listener.resource_limits, self.read_buffer
        try:
            while True:
                began = time.monotonic_ns()
                if read_buffer.start == read_buffer.end:
                    await read_buffer.fill(self.stream)  # one with nothing to say may stay
                else:
                    await asyncio.wait_for(
                        read_buffer.fill(self.stream), resource_limits.control_timeout / SECOND
                    )
                spent = -time.thread_time_ns()
                while (at := read_buffer.buffer.find(b"\n", read_buffer.start, read_buffer.end)) >= 0:
                    line = bytes(read_buffer.buffer[read_buffer.start : at])
                    read_buffer.start = at + 1
                    written = send(self.stream, encode(self._answer(line)))
                    if written is None:
                        return
                    await asyncio.wait_for(asyncio.shield(written), resource_limits.control_timeout / SECOND)
                    spent += time.thread_time_ns()
                    # Its share of the loop is fixed, however fast it asks.
                    pause = max(resource_limits.control_pause, spent * resource_limits.control_cpu_factor)
                    await asyncio.sleep(pause / SECOND)
                    spent = -time.thread_time_ns()
                self.listener.heard(self)
                await asyncio.sleep(
                    max(0, began + resource_limits.control_pause - time.monotonic_ns()) / SECOND
                )
        except MalformedInputError:
            send(
                self.stream, encode(Acknowledgement(0, False, f"a line of more than {MAX_LINE_BYTES} bytes"))
            )
        except TimeoutError:
            send(
                self.stream,
                encode(Acknowledgement(0, False, "half a message, or an answer not taken, for too long")),
            )
        except StreamClosedError:
            pass
        finally:
            self.stream.close()
            read_buffer.close()
            self.listener.gone(self)

    def _answer(self, line: bytes) -> Response:
        try:
            wish = decode_request(line)
        except msgspec.MsgspecError as error:
            return Acknowledgement(0, False, str(error))
        try:
            if isinstance(wish, StatusRequest):
                return self.listener.node.report(wish.tag)
            if isinstance(wish, ClientsRequest):
                return self.listener.node.clients(wish.tag, max(1, min(wish.most, MAX_CONNECTIONS)))
            node = self.listener.node
            why = (
                node.ordered_to_stay(wish.generation)
                if isinstance(wish, CancelDrainRequest)
                else node.ordered_to_leave(wish.generation, wish.within)
            )
            return Acknowledgement(wish.tag, not why, why)
        except Exception as error:  # an error of ours answers it, and the node lives on
            self.listener.log.error("control_request_failed", error=fault(error))
            return Acknowledgement(wish.tag, False, "an error of the node")
