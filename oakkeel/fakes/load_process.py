"""Starts a load generator in a process of its own, sends it commands and reads its reports."""

from __future__ import annotations

import asyncio
import sys

import msgspec

from oakkeel.errors import OakkeelError
from oakkeel.fakes.load_generator import LoadCommand, LoadSummary, RequestReport
from oakkeel.fakes.node_connection import Address

STOP_TIMEOUT_S = 30.0


class LoadProcessError(OakkeelError):
    """The load generator cannot be used as it is."""


class LoadProcess:
    """A load generator in a process of its own, with the outcome of each of its requests."""

    def __init__(self) -> None:
        """Not started yet."""
        self.reports: list[RequestReport] = []
        # monotonic seconds of the last request that succeeded, by node
        self.last_success: dict[str, float] = {}
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
        output = self._process.stdout
        if output is None:
            raise LoadProcessError("the load generator has no standard output")
        self._reading = asyncio.ensure_future(self._read(self._process, output))

    def set_addresses(self, addresses: dict[str, Address]) -> None:
        """Set the nodes to send to."""
        if addresses != self._addresses:
            self._addresses = dict(addresses)
            self._send(LoadCommand(addresses=addresses))

    def set_rate(self, rate: float) -> None:
        """Set the requests a second of each dispatcher."""
        self._send(LoadCommand(rate=rate))

    async def stop(self) -> LoadSummary:
        """Let it wait for its responses and end. Raises EOFError if it ends without a summary."""
        self._send(LoadCommand(stop=True))
        if self._reading is not None:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await self._reading
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
        if self._process is None or self._process.stdin is None:
            raise LoadProcessError("the load generator is not started: call start() first")
        self._process.stdin.write(msgspec.json.encode(command) + b"\n")

    async def _read(self, process: asyncio.subprocess.Process, output: asyncio.StreamReader) -> None:
        decoder = msgspec.json.Decoder(RequestReport | LoadSummary)
        while line := await output.readline():
            item = decoder.decode(line)
            if isinstance(item, LoadSummary):
                self.summary = item
                continue
            self.reports.append(item)
            if item.outcome == "ok":
                self.last_success[item.node] = max(item.ended_at, self.last_success.get(item.node, 0.0))
        await process.wait()
