"""A catalogue: answers calls, or turns them away."""

from __future__ import annotations

import asyncio
import contextlib

from oakkeel.fakes.faults import Fault, Faulty


class Catalogue(Faulty):
    def __init__(self, work: float = 0.005, full: bool = False) -> None:
        super().__init__()
        self.work, self.full = work, full
        self.calls = 0
        self.server: asyncio.Server | None = None

    async def open(self, port: int = 0) -> int:
        """Listen on loopback; returns the port."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        return self.server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        if self.server:
            self.server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(
            OSError, ValueError, IndexError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):  # by the end of the loop
            while line := (await reader.readline()).split():
                if self.fault is Fault.CRASH:
                    break
                if line[0] != b"FETCH":
                    continue
                body = (await reader.readexactly(int(line[3]) + 2))[:-2]
                self.calls += 1
                await asyncio.sleep(self.work * self.factor)
                if self.fault is Fault.HANG:
                    continue
                reply = b"LATER\r\n" if self.full else b"DATA %d\r\n%s\r\n" % (len(body) + 4, b"for " + body)
                data, ends = self.cut(line[1] + b" " + reply)
                writer.write(data)
                if ends:
                    break
        writer.close()
