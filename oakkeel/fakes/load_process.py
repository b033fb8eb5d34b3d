"""Starts a load generator in a separate process, sends it commands and reads its reports."""

from __future__ import annotations

import asyncio
import sys

import msgspec

from oakkeel.errors import OakkeelError
from oakkeel.fakes.load_generator import LoadCommand, LoadSummary, RequestReport
from oakkeel.fakes.node_connection import Address

STOP_TIMEOUT_S = 30.0


class LoadProcessError(OakkeelError):
    """The load generator is not started, or has no output."""


class LoadProcess:
    """A load generator in a separate process, with the reports of its requests."""

    def __init__(self) -> None:
        """The process is started by `start`."""
        self.reports: list[RequestReport] = []
        # monotonic seconds of the last request that succeeded, by node
        self.last_success: dict[str, float] = {}
        self.summary: LoadSummary | None = None
        self._addresses: dict[str, Address] = {}
        self._process: asyncio.subprocess.Process | None = None
        self._read_task: asyncio.Task[None] | None = None

    async def start(self, rate: float, seed: int) -> None:
        """Start the process; once it has addresses, each dispatcher sends `rate` requests a second."""
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
        self._read_task = asyncio.ensure_future(self._read(self._process, output))

    def set_addresses(self, addresses: dict[str, Address]) -> None:
        """Set the nodes to send to."""
        if addresses != self._addresses:
            self._addresses = dict(addresses)
            self._send(LoadCommand(addresses=addresses))

    def set_rate(self, rate: float) -> None:
        """Set the rate in requests a second, for each dispatcher."""
        self._send(LoadCommand(rate=rate))

    async def stop(self) -> LoadSummary:
        """Let the process wait for outstanding responses and end; raises EOFError if it sends no summary."""
        self._send(LoadCommand(stop=True))
        if self._read_task is not None:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await self._read_task
        if self.summary is None:
            raise EOFError("the load generator ended without a summary")
        return self.summary

    async def close(self) -> None:
        """Kill the process if it still runs, and wait for its end."""
        if self._process is not None:
            if self._process.returncode is None:
                self._process.kill()
            await self._process.wait()
        if self._read_task is not None:
            await asyncio.gather(self._read_task, return_exceptions=True)

    def _send(self, command: LoadCommand) -> None:
        if self._process is None or self._process.stdin is None:
            raise LoadProcessError("the load generator is not started: call start() first")
        self._process.stdin.write(msgspec.json.encode(command) + b"\n")

    async def _read(self, process: asyncio.subprocess.Process, output: asyncio.StreamReader) -> None:
        decoder = msgspec.json.Decoder(RequestReport | LoadSummary)
        while line := await output.readline():
            message = decoder.decode(line)
            if isinstance(message, LoadSummary):
                self.summary = message
                continue
            self.reports.append(message)
            if message.outcome == "ok":
                self.last_success[message.node] = max(
                    message.ended_at, self.last_success.get(message.node, 0.0)
                )
        await process.wait()
