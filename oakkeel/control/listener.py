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
    LONGEST,
    Answer,
    Ask,
    AskClients,
    ClientsTold,
    Report,
    Stay,
    Told,
    encode,
    read_wish,
)
from oakkeel.log import Log, fault
from oakkeel.resource_limits import SECOND, Bounds
from oakkeel.stream_buffers import BufferPool, Malformed, ReadBuffer, send

MOST_CLIENTS = 25  # in one answer, so that it is no longer than a line may be


class Controlled(Protocol):
    """What a control link needs of the node."""

    def report(self, tag: int) -> Report: ...
    def clients(self, tag: int, most: int) -> ClientsTold: ...
    def ordered_to_leave(self, generation: int, within: int) -> str: ...  # why not; empty where it leaves
    def ordered_to_stay(self, generation: int) -> str: ...


class ControlListener:
    """The Unix socket and the links that came through it."""

    def __init__(self, path: str, node: Controlled, bounds: Bounds, log: Log) -> None:
        self.path, self.node, self.bounds, self.log = path, node, bounds, log
        self.links: dict[ControlLink, asyncio.Task] = {}  # the one heard longest ago first
        self.pool = BufferPool(LONGEST, 2 * bounds.control_links)
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
            if len(self.links) >= self.bounds.control_links:  # the one silent for longest makes room
                oldest = next(iter(self.links))
                oldest.stream.close()
                del self.links[oldest]
            link = ControlLink(IOStream(accepted, max_write_buffer_size=8 * LONGEST), self)
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
        bounds, read_buffer = self.listener.bounds, self.read_buffer
        try:
            while True:
                began = time.monotonic_ns()
                if read_buffer.start == read_buffer.end:
                    await read_buffer.fill(self.stream)  # one with nothing to say may stay
                else:
                    await asyncio.wait_for(read_buffer.fill(self.stream), bounds.control_half / SECOND)
                spent = -time.thread_time_ns()
                while (at := read_buffer.buffer.find(b"\n", read_buffer.start, read_buffer.end)) >= 0:
                    line = bytes(read_buffer.buffer[read_buffer.start : at])
                    read_buffer.start = at + 1
                    written = send(self.stream, encode(self._answer(line)))
                    if written is None:
                        return
                    await asyncio.wait_for(asyncio.shield(written), bounds.control_half / SECOND)
                    spent += time.thread_time_ns()
                    # Its share of the loop is fixed, however fast it asks.
                    pause = max(bounds.control_pause, spent * bounds.control_share)
                    await asyncio.sleep(pause / SECOND)
                    spent = -time.thread_time_ns()
                self.listener.heard(self)
                await asyncio.sleep(max(0, began + bounds.control_pause - time.monotonic_ns()) / SECOND)
        except Malformed:
            send(self.stream, encode(Told(0, False, f"a line of more than {LONGEST} bytes")))
        except TimeoutError:
            send(self.stream, encode(Told(0, False, "half a message, or an answer not taken, for too long")))
        except StreamClosedError:
            pass
        finally:
            self.stream.close()
            read_buffer.close()
            self.listener.gone(self)

    def _answer(self, line: bytes) -> Answer:
        try:
            wish = read_wish(line)
        except msgspec.MsgspecError as error:
            return Told(0, False, str(error))
        try:
            if isinstance(wish, Ask):
                return self.listener.node.report(wish.tag)
            if isinstance(wish, AskClients):
                return self.listener.node.clients(wish.tag, max(1, min(wish.most, MOST_CLIENTS)))
            node = self.listener.node
            why = (
                node.ordered_to_stay(wish.generation)
                if isinstance(wish, Stay)
                else node.ordered_to_leave(wish.generation, wish.within)
            )
            return Told(wish.tag, not why, why)
        except Exception as error:  # an error of ours answers it, and the node lives on
            self.listener.log.say("a control message failed", error=fault(error))
            return Told(wish.tag, False, "an error of the node")
