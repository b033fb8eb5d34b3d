"""One node put together: its start, its drain, its end."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import time

from oakkeel.catalogue.links import Catalogue
from oakkeel.directory.reports import DirectoryReporter
from oakkeel.dispatch.codec import RequestReader
from oakkeel.dispatch.listener import Listener
from oakkeel.engine.link import EngineLink
from oakkeel.log import EventLog
from oakkeel.node.configuration import NodeConfiguration, read_configuration
from oakkeel.node.drain import Drain
from oakkeel.node.host import NodeHost
from oakkeel.node.metrics import Metrics
from oakkeel.node.request_handler import RequestHandler
from oakkeel.node.response_cache import ResponseCache
from oakkeel.node_limits import LimitsError
from oakkeel.request import NodeRequest
from oakkeel.request_events import ClientDisconnected
from oakkeel.resource_limits import SECOND
from oakkeel.stream_buffers import BufferPool

SIGNALS = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)


class Node:
    """The front of all connections, and the order in which the parts start and end."""

    def __init__(self, start: NodeConfiguration) -> None:
        resource_limits = start.resource_limits
        self.start, self.resource_limits = start, resource_limits
        self.log = EventLog(start.name, resource_limits.log_lines_per_second, start.log_form)
        self.measures = Metrics()
        self.pool = BufferPool(resource_limits.buffer_size, resource_limits.max_buffers)
        self.reader: RequestReader | None = None
        self.open: dict[bytes, asyncio.Task[None]] = {}  # by the ids of their exchanges
        self.came_up: tuple[bool, int, int] | None = None  # the engine, while the node was leaving
        self.done = asyncio.Event()
        self.listener = Listener(start.listen, self.pool, resource_limits, self, self.log)
        self.reports = DirectoryReporter(start.lookup, start.name, resource_limits)
        self.engine = EngineLink(start.engine, self.pool, resource_limits, self.log, self._engine_up)
        self.catalogue = Catalogue(start.catalogue, self.pool, resource_limits, self.log)
        self.results = ResponseCache(resource_limits, start.limits.cache_ttl)
        self.host = NodeHost(
            start, self.engine, self.listener, self.reports, self.results, self.measures, self.log
        )
        self.draining = Drain(self, start.limits.drain_grace, resource_limits.stop_after)
        self.fairly = None
        if start.limits.fair_sharing:
            from oakkeel.node.fair_sharing import (
                NodeFairSharing,  # it brings libraries that a plain node spares
            )

            self.fairly = NodeFairSharing(self, start.limits.fair_sharing, start.snapshot)
        self.control = None
        if start.control:
            from oakkeel.node.control_endpoint import (
                open_control,  # it brings libraries that a plain node spares
            )

            self.control = open_control(self)
        self.handler = RequestHandler(
            self.host, self.engine, self.catalogue, self.results, self.measures, self.log
        )

    async def run(self) -> None:
        """From the start to the end of the drain."""
        loop = asyncio.get_running_loop()
        self.log.take_others(loop)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.leave)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)  # one that came before there was a loop comes now
        self.listener.open()
        if self.control:
            self.control.open()
        serving = asyncio.ensure_future(self.engine.serve())
        loop.call_later(self.resource_limits.metrics_interval / SECOND, self._measure)
        gc.collect()
        gc.freeze()  # what is loaded by now lives as long as the process
        host, port = self.listener.address
        self.log.info("listening", address=f"{host}:{port}")
        await self.done.wait()
        signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)  # one that comes from now on must not end it badly
        serving.cancel()
        self.reports.close()
        if self.fairly:
            self.fairly.end()
        if self.control:
            self.control.close()
        self.log.info("metrics", **self._measured())
        self.log.info("node_stopped")

    def _engine_up(self, cold: bool, age: int) -> None:
        if self.host.begun:
            return self.host.begin_anew(cold, age)
        if self.draining:  # it leaves without having taken anything, or is told to stay after all
            self.came_up = (cold, age, time.monotonic_ns())
            return None
        self.host.begin(cold, age)
        self.reports.start()
        who = None
        if self.fairly:
            self.fairly.begin()
            who = self.fairly.keys.who
        self.reader = RequestReader(
            self.start.limits, self.start.groups, self.start.tenants, self.resource_limits, flow_keys=who
        )
        self.log.info("engine_ready", state="cold" if cold else "steady", age_s=round(age / SECOND, 1))

    def stay(self) -> None:
        """A drain was taken back: take exchanges, where the engine came up meanwhile."""
        if self.came_up:
            cold, age, at = self.came_up
            self.came_up = None
            self._engine_up(cold, age + time.monotonic_ns() - at)

    def reload(self) -> None:
        """Go over to the engine, catalogue and directory that the file names by now, or stay as it is."""
        try:
            start = read_configuration(os.environ)
        except (LimitsError, OSError) as error:
            return self.log.error("configuration_rejected", error=str(error))
        self.engine.move(start.engine)
        self.catalogue.move(start.catalogue)
        self.reports.move(start.lookup)
        if self.fairly:
            self.fairly.reload(start.limits.fair_sharing)
        self.log.info("configuration_reloaded")

    # The front of the connections.

    def request_received(self, request: NodeRequest) -> None:
        self.measures.read += 1
        task = asyncio.ensure_future(self.handler.handle(request))
        self.open[request.request_id] = task
        task.add_done_callback(lambda _: self.open.pop(request.request_id))

    def has_request(self, request_id: bytes) -> bool:
        """Whether an exchange of that id is open, or its run is."""
        return request_id in self.open

    def client_disconnected(self, request: NodeRequest) -> None:
        if not request.answered:
            request.answered = True  # nothing is owed any more
            request.post(ClientDisconnected())

    def healthy(self) -> bool:
        return self.host.good and self.host.begun and not self.draining

    def load_report(self) -> float | None:
        return self.host.signal

    def retry_after(self) -> int:
        """When one that is denied at the door may come back, in nanoseconds; 0: it takes no such advice."""
        return self.host.admission.return_after() if self.host.begun else 0

    def leave(self) -> None:
        """The notice to leave for good; a second one changes nothing."""
        self.draining.leave()

    # Measures.

    def _measure(self) -> None:
        self.log.info("metrics", **self._measured())
        asyncio.get_running_loop().call_later(self.resource_limits.metrics_interval / SECOND, self._measure)

    def _measured(self) -> dict[str, object]:
        return self.measures.facts(len(self.listener.connections), len(self.open), self.engine.losses)
