"""A fake catalogue, which answers or rejects calls."""

from __future__ import annotations

import asyncio
import contextlib

from oakkeel.fakes.faults import FakeWithFaults, Fault
from oakkeel.fakes.stream_server import StreamServer


class Catalogue(FakeWithFaults):
    """Answers each call with its body, or rejects all calls while `rejects_calls` is set."""

    def __init__(self, work: float = 0.005, rejects_calls: bool = False) -> None:
        """`work`: seconds that each call takes; `rejects_calls`: whether all calls are rejected."""
        super().__init__()
        self.work = work
        self.rejects_calls = rejects_calls
        self.call_count = 0  # number of calls received
        self.server = StreamServer(self._serve)

    async def open(self, port: int = 0) -> int:
        """Listen on loopback; returns the port."""
        return await self.server.open(port)

    def stop_listening(self) -> None:
        """Accept no more connections; open connections stay until `close`."""
        self.server.stop_listening()

    async def close(self) -> None:
        """Close the listener and the connections, and wait for their tasks."""
        await self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, ValueError, IndexError, asyncio.IncompleteReadError):
            while line := (await reader.readline()).split():
                if self.fault is Fault.CRASH:
                    break
                if line[0] != b"FETCH":
                    continue
                body = (await reader.readexactly(int(line[3]) + 2))[:-2]
                self.call_count += 1
                await asyncio.sleep(self.work * self.slowdown)
                if self.fault is Fault.HANG:
                    continue
                reply = (
                    b"LATER\r\n"
                    if self.rejects_calls
                    else b"DATA %d\r\n%s\r\n" % (len(body) + 4, b"for " + body)
                )
                data, connection_ends = self.truncate(line[1] + b" " + reply)
                writer.write(data)
                if connection_ends:
                    break
