"""The side of a load generator's process that gives it commands and reads its reports."""

from __future__ import annotations

import asyncio
import sys

import msgspec

from oakkeel.fakes.load_generator import LoadCommand, LoadSummary, RequestReport
from oakkeel.fakes.node_connection import Address

STOP_TIMEOUT = 30.0  # seconds


class LoadProcess:
    """A load generator in a process of its own, with what became of each of its requests."""

    def __init__(self) -> None:
        """Not started yet."""
        self.reports: list[RequestReport] = []
        self.last_success: dict[
            str, float
        ] = {}  # monotonic seconds of the last request that succeeded, by node
        self.summary: LoadSummary | None = None
        self._addresses: dict[str, Address] = {}
        self._process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None

    async def start(self, rate: float, seed: int) -> None:
        """Start the process; it sends from the first addresses on, `rate` a second and dispatcher."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "oakkeel.fakes.load_generator",
            str(rate),
            str(seed),
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        self._reading = asyncio.ensure_future(self._read())

    def set_addresses(self, addresses: dict[str, Address]) -> None:
        """The nodes to send to from now on."""
        if addresses != self._addresses:
            self._addresses = dict(addresses)
            self._send(LoadCommand(addresses=addresses))

    def set_rate(self, rate: float) -> None:
        """Requests a second of each dispatcher from now on."""
        self._send(LoadCommand(rate=rate))

    async def stop(self) -> LoadSummary:
        """Let it wait for its answers and end; raises EOFError where it ends without a summary."""
        assert self._reading is not None
        self._send(LoadCommand(stop=True))
        await asyncio.wait_for(self._reading, STOP_TIMEOUT)
        if self.summary is None:
            raise EOFError("the load generator ended without a summary")
        return self.summary

    async def close(self) -> None:
        """End the process, also where it was not stopped, and wait for it."""
        if self._process is not None:
            if self._process.returncode is None:
                self._process.kill()
            await self._process.wait()
        if self._reading is not None:
            await asyncio.gather(self._reading, return_exceptions=True)

    def _send(self, command: LoadCommand) -> None:
        assert self._process is not None and self._process.stdin is not None
        self._process.stdin.write(msgspec.json.encode(command) + b"\n")

    async def _read(self) -> None:
        assert self._process is not None and self._process.stdout is not None
        decoder = msgspec.json.Decoder(RequestReport | LoadSummary)
        while line := await self._process.stdout.readline():
            item = decoder.decode(line)
            if isinstance(item, LoadSummary):
                self.summary = item
                continue
            self.reports.append(item)
            if item.outcome == "ok":
                self.last_success[item.node] = max(item.ended_at, self.last_success.get(item.node, 0.0))
        await self._process.wait()
