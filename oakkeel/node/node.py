"""The node process with all its components: start, reload, drain and shutdown."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from oakkeel.catalogue.links import Catalogue
from oakkeel.directory.reports import DirectoryReporter
from oakkeel.dispatch.codec import RequestReader
from oakkeel.dispatch.listener import Listener
from oakkeel.engine.link import EngineLink
from oakkeel.log import EventLog, LogFields
from oakkeel.node.components import NodeComponents
from oakkeel.node.configuration import NodeConfiguration, read_configuration
from oakkeel.node.drain import Drain
from oakkeel.node.host import NodeHost
from oakkeel.node.metrics import Metrics
from oakkeel.node.recent_requests import RecentRequestIds
from oakkeel.node.request_handler import RequestHandler
from oakkeel.node.response_cache import ResponseCache
from oakkeel.node_limits import LimitsError
from oakkeel.request import NodeRequest
from oakkeel.request_events import ClientDisconnected
from oakkeel.stream_buffers import BufferPool
from oakkeel.units import SECOND

if TYPE_CHECKING:
    from oakkeel.control.listener import ControlListener
    from oakkeel.node.fair_sharing import NodeFairSharing

SIGNALS = (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)


@dataclass(slots=True, frozen=True)
class PendingEngine:
    """An engine that came up while the node was draining."""

    is_cold: bool
    age: int  # nanoseconds from the boot of the engine to `came_up_at`
    came_up_at: int  # nanoseconds of the monotonic clock


class Node:
    """The `ConnectionOwner` of all connections; starts and stops the components in order."""

    def __init__(self, configuration: NodeConfiguration) -> None:
        """Make the components of a node; `run` starts them."""
        resource_limits = configuration.resource_limits
        self.configuration = configuration
        self.resource_limits = resource_limits
        self.log = EventLog(
            configuration.name, resource_limits.log_lines_per_second, configuration.log_format
        )
        self.metrics = Metrics()
        self.pool = BufferPool(resource_limits.buffer_size, resource_limits.max_buffers)
        self.reader: RequestReader | None = None
        self.open_requests: dict[bytes, asyncio.Task[None]] = {}  # handlers by request ID
        self.recent_request_ids = RecentRequestIds(resource_limits.max_recent_request_ids)
        self.pending_engine: PendingEngine | None = None
        self.drained = asyncio.Event()  # set at the end of the drain
        self.listener = Listener(configuration.listen, self.pool, resource_limits, self, self.log)
        self.directory_reporter = DirectoryReporter(
            configuration.directory, configuration.name, resource_limits
        )
        self.engine = EngineLink(
            configuration.engine,
            self.pool,
            resource_limits,
            self.log,
            self._on_engine_up,
            configuration.limits.stop_kind,
        )
        self.catalogue = Catalogue(configuration.catalogue, self.pool, resource_limits, self.log)
        self.response_cache = ResponseCache(resource_limits, configuration.limits.cache_ttl)
        components = NodeComponents(
            self.engine,
            self.listener,
            self.directory_reporter,
            self.catalogue,
            self.response_cache,
            self.metrics,
            self.log,
        )
        self.host = NodeHost(configuration, components)
        self.drain = Drain(self, configuration.limits.drain_grace, resource_limits.stop_after)
        self.fair_sharing = self._make_fair_sharing()
        self.control = self._open_control()
        self.handler = RequestHandler(self.host, components)

    def _make_fair_sharing(self) -> NodeFairSharing | None:
        rules = self.configuration.limits.fair_sharing
        if not rules:
            return None
        # A node without fair sharing must not import the libraries of this module: they cost memory.
        from oakkeel.node.fair_sharing import NodeFairSharing

        return NodeFairSharing(self.host, self.log, rules, self.configuration.snapshot_path)

    def _open_control(self) -> ControlListener | None:
        if not self.configuration.control_path:
            return None
        # A node without a control link must not import the libraries of this module: they cost memory.
        from oakkeel.node.control_endpoint import open_control

        return open_control(self)

    async def run(self) -> None:
        """Serve until the end of the drain."""
        loop = asyncio.get_running_loop()
        self.log.capture_library_logs(loop)
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self.reload)
        # Unblocking delivers the signals that arrived before the event loop ran.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
        self.listener.open()
        if self.control:
            self.control.open()
        engine_task = asyncio.ensure_future(self.engine.serve())
        loop.call_later(self.resource_limits.metrics_interval / SECOND, self._log_metrics)
        gc.collect()
        gc.freeze()  # the objects loaded so far live as long as the process
        host, port = self.listener.address
        self.log.info("listening", address=f"{host}:{port}")
        await self.drained.wait()
        # A further signal must not end the process with an error code during the shutdown.
        signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
        engine_task.cancel()
        self.directory_reporter.close()
        if self.fair_sharing:
            self.fair_sharing.stop()
        if self.control:
            self.control.close()
        self.log.info("metrics", **self._metric_fields())
        self.log.info("node_stopped")

    def _on_engine_up(self, is_cold: bool, engine_age: int) -> None:
        if self.host.is_started:
            self.host.on_engine_restart(is_cold, engine_age)
            return
        if self.drain.is_started:  # no request is read unless the drain is cancelled
            self.pending_engine = PendingEngine(is_cold, engine_age, time.monotonic_ns())
            return
        self.host.start_admission(is_cold, engine_age)
        self.directory_reporter.start()
        flow_keys = None
        if self.fair_sharing:
            self.fair_sharing.start()
            flow_keys = self.fair_sharing.keys.flow_keys
        self.reader = RequestReader(
            self.configuration.limits,
            self.configuration.class_names,
            self.configuration.tenant_names,
            self.resource_limits,
            flow_keys=flow_keys,
        )
        self.log.info(
            "engine_ready", state="cold" if is_cold else "steady", age_s=round(engine_age / SECOND, 1)
        )

    def resume_serving(self) -> None:
        """Serve again after a cancelled drain; use an engine that came up during the drain."""
        if pending := self.pending_engine:
            self.pending_engine = None
            self._on_engine_up(pending.is_cold, pending.age + time.monotonic_ns() - pending.came_up_at)

    def reload(self) -> None:
        """Read the configuration again and apply its engine, catalogue, directory and flow weights."""
        try:
            configuration = read_configuration(os.environ)
        except (LimitsError, OSError) as error:
            self.log.error("configuration_rejected", error=str(error))
            return
        self.engine.change_address(configuration.engine)
        self.catalogue.change_address(configuration.catalogue)
        self.directory_reporter.change_address(configuration.directory)
        if self.fair_sharing:
            self.fair_sharing.reload(configuration.limits.fair_sharing)
        self.log.info("configuration_reloaded")

    # Methods of the `ConnectionOwner` of all connections.

    def on_request_received(self, request: NodeRequest) -> None:
        """Start the handler for a request that was read."""
        self.metrics.requests_read += 1
        task = asyncio.ensure_future(self.handler.handle(request))
        self.open_requests[request.request_id] = task
        task.add_done_callback(lambda _: self._on_request_ended(request))

    def _on_request_ended(self, request: NodeRequest) -> None:
        del self.open_requests[request.request_id]
        self.recent_request_ids.add(request)

    def has_request(self, request_id: bytes) -> bool:
        """Return whether a request with this ID or its run is open, or has run and must not run again."""
        return request_id in self.open_requests or request_id in self.recent_request_ids

    def repeats_known_request(self, request: NodeRequest) -> bool:
        """Return whether a request repeats one that may have run, by its idempotency key."""
        return self.response_cache.repeats_known_request(request, time.monotonic_ns())

    def on_client_disconnected(self, request: NodeRequest) -> None:
        """Notify the handler that the client no longer waits."""
        if request.awaits_answer:
            request.awaits_answer = False
            request.post(ClientDisconnected())

    def is_healthy(self) -> bool:
        """Return whether the node accepts requests, for health checks."""
        return self.host.is_healthy and self.host.is_started and not self.drain.is_started

    def load_report(self) -> float | None:
        """Return the value to report with each answer; None before the admission controller has set one."""
        return self.host.load_report_value

    def retry_after(self) -> int:
        """Return the Retry-After of a request rejected on arrival, in nanoseconds; 0 for none."""
        return self.host.admission.retry_after() if self.host.is_started else 0

    def stop(self) -> None:
        """Drain and stop after SIGTERM or SIGINT; a second call has no effect."""
        self.drain.start_final()

    # Metrics.

    def _log_metrics(self) -> None:
        self.log.info("metrics", **self._metric_fields())
        asyncio.get_running_loop().call_later(
            self.resource_limits.metrics_interval / SECOND, self._log_metrics
        )

    def _metric_fields(self) -> LogFields:
        return self.metrics.collect(
            len(self.listener.connections), len(self.open_requests), self.engine.loss_count
        )
