"""One soak run: starts the node as the platform does, carries out a plan and returns the record."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import shlex
import signal
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from random import Random
from typing import TextIO

from oakkeel.fakes.directory import Directory
from oakkeel.fakes.site import free_port
from oakkeel.fakes.stream_server import StreamServer
from oakkeel.soak.bad_clients import BadClients
from oakkeel.soak.catalogue import SoakCatalogue
from oakkeel.soak.dispatchers import SoakDispatcher
from oakkeel.soak.engine import SoakEngine
from oakkeel.soak.plan import MAX_LOSS_S, MAX_PAUSE_S, Disruption, DisruptionKind, Plan
from oakkeel.soak.record import (
    Disrupted,
    Event,
    NodeExited,
    NodeLogged,
    NodeMeasured,
    NodePaused,
    NodeSignalled,
    Record,
)
from oakkeel.soak.world import World

NODE_COMMAND = f"exec {shlex.quote(sys.executable)} -m oakkeel"
READY_TIMEOUT_S = 30.0
EXIT_SLACK_S = 0.3  # on a busy machine, after all connections are closed
MAX_RELOADS = 3
RELOAD_INTERVAL_S = 0.06
OLD_ADDRESS_S = 1.5  # after a reload, the connections to the earlier addresses are closed
MIN_SLOW_WRITE_S = 0.8
MAX_SLOW_WRITE_S = 2.9  # a client without an open request is ended before
BREAK_EVERY_S = (0.08, 0.3)
PIECES_RATIO = 0.7  # of the breaks, after which notices come in pieces
MAX_FLOOD = 60  # silent connections
MAX_CLIENTS_PER_PROCESS = 100  # of a flood
FAULT_RATIO = 0.3  # of the replies to calls, during catalogue faults
DEFECT_WORDS = ("Traceback", " error ")


def peak_resident_mb(pid: int) -> float:
    """Return the most memory that a process has had resident, in MB; 0 if it has ended."""
    with contextlib.suppress(OSError), open(f"/proc/{pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
    return 0.0


class NodeNotReadyError(Exception):
    """The node did not become ready; the message is its log."""


class NodeRun:
    """The node process and its stand-ins, from the start to the end of one run."""

    def __init__(self, plan: Plan, folder: Path, file: TextIO | None = None) -> None:
        """Write the node's files to a folder, and the record to `file` if there is one."""
        self.plan = plan
        self.folder = folder
        self.world = World(plan, Record(file), Random(plan.seed))
        self.port = free_port()
        self.engine = SoakEngine(self.world)
        self.catalogue = SoakCatalogue(self.world)
        self.directory = Directory()
        self.dispatchers = [
            SoakDispatcher(self.world, number, self.port) for number in range(plan.dispatchers)
        ]
        self.bad_clients = BadClients(self.world, self.port)
        self.earlier_servers: list[StreamServer] = []  # at addresses that the node has left
        self.directory_port = 0
        self.config_path = folder / "node.json"
        self.log_path = folder / "node.log"
        self._actions: dict[DisruptionKind, Callable[[Disruption], Awaitable[None]]] = {
            DisruptionKind.ENGINE_BREAK: self._break_engine_link,
            DisruptionKind.ENGINE_PIECES: self._send_pieces,
            DisruptionKind.ENGINE_RESTART: self._restart_engine,
            DisruptionKind.HALF_CLOSE: self._half_close,
            DisruptionKind.CATALOGUE_FAULTS: self._spoil_replies,
            DisruptionKind.DISPATCHER_RESET: self._reset_connections,
            DisruptionKind.CANCELS: self._cancel_requests,
            DisruptionKind.SLOW_WRITE: self._write_slowly,
            DisruptionKind.UNKNOWN_IDS: self._send_unknown_ids,
            DisruptionKind.MALFORMED: self._send_malformed,
            DisruptionKind.SILENT_FLOOD: self._flood_silently,
            DisruptionKind.RELOAD: self._reload,
            DisruptionKind.PAUSE: self._pause,
            DisruptionKind.FLOOD: self._flood,
        }
        self.floods: list[asyncio.subprocess.Process] = []
        self.process: asyncio.subprocess.Process

    async def play(self) -> list[Event]:
        """Carry out the plan; return the events of all sides in the order in which they were seen."""
        self._write_configuration(
            await self.engine.open(), await self.catalogue.open(), await self.directory.open()
        )
        with open(self.log_path, "wb") as log:
            self.process = await asyncio.create_subprocess_shell(
                NODE_COMMAND, stderr=log, env={**os.environ, "PROXY_CONFIG": str(self.config_path)}
            )
        try:
            await self._wait_until_ready()
            await self._play_load()
        finally:
            for process in (self.process, *self.floods):
                if process.returncode is None:
                    process.kill()
                    await process.wait()
            await self._close_peers()
        return self.world.record.events

    def _write_configuration(self, engine: int, catalogue: int, directory: int) -> None:
        """Replace the node's configuration file as a whole; the arguments are the ports of its peers."""
        self.directory_port = directory
        configuration = {
            "name": "n1",
            "listen": f"127.0.0.1:{self.port}",
            "engine": f"127.0.0.1:{engine}",
            "catalog": f"127.0.0.1:{catalogue}",
            "lookup": f"127.0.0.1:{directory}",
            "seed": f"{self.plan.seed:016x}",
            "stop_ms": int(self.plan.stop_s * 1000),
            "limits": {"cores": 1.0, "memory_mb": self.plan.memory_mb, "sockets": 512},
            "settings": self.plan.settings(),
        }
        written = self.config_path.with_suffix(".new")
        written.write_text(json.dumps(configuration))
        written.replace(self.config_path)

    async def _close_peers(self) -> None:
        await self.engine.close()
        await self.catalogue.close()
        await self.directory.close()
        for server in self.earlier_servers:
            await server.close()

    async def _wait_until_ready(self) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        while "n1" not in self.directory.open_nodes():
            if time.monotonic() > deadline or self.process.returncode is not None:
                raise NodeNotReadyError(self.log_path.read_text(errors="replace"))
            await asyncio.sleep(0.02)

    async def _play_load(self) -> None:
        started_at = time.monotonic()
        load = [asyncio.ensure_future(dispatcher.run(started_at)) for dispatcher in self.dispatchers]
        disruptions = [
            asyncio.ensure_future(self._disrupt(started_at, disruption))
            for disruption in self.plan.disruptions
        ]
        stop_at = started_at + max(0.0, self.plan.duration_s - self.plan.stop_s)
        await asyncio.sleep(stop_at - time.monotonic())
        for disruption in disruptions:
            disruption.cancel()  # those that have not ended
        await self._stop_node()
        await asyncio.gather(*load, *disruptions, return_exceptions=True)
        await asyncio.gather(*(dispatcher.finish() for dispatcher in self.dispatchers))
        await self.bad_clients.finish()
        self._log_defects()

    async def _stop_node(self) -> None:
        """Send SIGTERM, and SIGKILL once the time to the stop is over.

        The node closes its last connections just before the stop, and may end a moment later.
        """
        self.world.log(NodeMeasured(time.time(), peak_resident_mb(self.process.pid)))
        self._signal(signal.SIGTERM)
        try:
            async with asyncio.timeout(self.plan.stop_s + EXIT_SLACK_S):
                code: int | None = await self.process.wait()
        except TimeoutError:
            code = None
        self.world.log(NodeExited(time.time(), code))
        if code is None:
            self.process.kill()

    def _signal(self, number: signal.Signals) -> None:
        self.world.log(NodeSignalled(time.time(), number.name))
        self.process.send_signal(number)

    async def _disrupt(self, started_at: float, disruption: Disruption) -> None:
        await asyncio.sleep(max(0.0, started_at + disruption.start_s - time.monotonic()))
        detail = f"{disruption.flood.clients} {disruption.flood.kind.value}" if disruption.flood else ""
        self.world.log(
            Disrupted(time.time(), disruption.kind.value, disruption.length_s, disruption.size, detail)
        )
        await self._actions[disruption.kind](disruption)

    async def _break_engine_link(self, disruption: Disruption) -> None:
        until = time.monotonic() + disruption.length_s
        while time.monotonic() < until:
            # Between two breaks, the notices that were missed may come in pieces.
            self.engine.sends_pieces = self.world.random.random() < PIECES_RATIO
            await self.engine.break_link(max(0.0, 2 * disruption.size - 1) * MAX_LOSS_S)
            await asyncio.sleep(self.world.random.uniform(*BREAK_EVERY_S))
        self.engine.sends_pieces = False

    async def _restart_engine(self, disruption: Disruption) -> None:
        await self.engine.restart()

    async def _half_close(self, disruption: Disruption) -> None:
        for connection in self._dispatcher_of(disruption).connections:
            connection.half_close()

    async def _send_pieces(self, disruption: Disruption) -> None:
        self.engine.sends_pieces = True
        await asyncio.sleep(disruption.length_s)
        self.engine.sends_pieces = False

    async def _spoil_replies(self, disruption: Disruption) -> None:
        self.catalogue.fault_ratio = FAULT_RATIO
        await asyncio.sleep(disruption.length_s)
        self.catalogue.fault_ratio = 0.0

    def _dispatcher_of(self, disruption: Disruption) -> SoakDispatcher:
        return self.dispatchers[int(disruption.size * len(self.dispatchers))]

    async def _reset_connections(self, disruption: Disruption) -> None:
        for connection in self._dispatcher_of(disruption).connections:
            connection.reset()

    async def _cancel_requests(self, disruption: Disruption) -> None:
        self._dispatcher_of(disruption).cancels_until = time.time() + disruption.length_s

    async def _write_slowly(self, disruption: Disruption) -> None:
        for dispatcher in self.dispatchers:
            dispatcher.slow_write_s = MIN_SLOW_WRITE_S + disruption.size * (
                MAX_SLOW_WRITE_S - MIN_SLOW_WRITE_S
            )

    async def _send_unknown_ids(self, disruption: Disruption) -> None:
        self.bad_clients.send_unknown_ids()

    async def _send_malformed(self, disruption: Disruption) -> None:
        self.bad_clients.send_malformed()

    async def _flood_silently(self, disruption: Disruption) -> None:
        self.bad_clients.flood_silently(int(disruption.size * MAX_FLOOD))

    async def _flood(self, disruption: Disruption) -> None:
        """Start the processes of a flood, which end by themselves."""
        if flood := disruption.flood:
            process_count = -(-flood.clients // MAX_CLIENTS_PER_PROCESS)
            for _ in range(process_count):
                self.floods.append(
                    await asyncio.create_subprocess_exec(
                        sys.executable,
                        "-m",
                        "oakkeel.fakes.flood",
                        str(self.port),
                        str(flood.clients // process_count),
                        str(disruption.length_s),
                        flood.kind.value,
                        self.world.plan.groups[int(disruption.size * len(self.world.plan.groups))].name,
                    )
                )

    async def _reload(self, disruption: Disruption) -> None:
        earlier = []
        for _ in range(1 + int(disruption.size * MAX_RELOADS)):
            earlier += [self.engine.server, self.catalogue.server]
            self.engine.server = self.engine.server.successor()
            self.catalogue.server = self.catalogue.server.successor()
            self._write_configuration(
                await self.engine.server.open(), await self.catalogue.server.open(), self.directory_port
            )
            self.earlier_servers += earlier[-2:]
            self._signal(signal.SIGHUP)
            for server in earlier:
                server.stop_listening()
            await asyncio.sleep(RELOAD_INTERVAL_S)
        await asyncio.sleep(OLD_ADDRESS_S)
        for server in earlier:
            await server.close()

    async def _pause(self, disruption: Disruption) -> None:
        self._signal(signal.SIGSTOP)
        stopped_at = time.time()
        try:
            await asyncio.sleep(disruption.size * MAX_PAUSE_S)
        finally:
            self._signal(signal.SIGCONT)
            self.world.log(NodePaused(stopped_at, time.time() - stopped_at))

    def _log_defects(self) -> None:
        for line in self.log_path.read_text(errors="replace").splitlines():
            if any(word in line for word in DEFECT_WORDS):
                self.world.log(NodeLogged(time.time(), line))
