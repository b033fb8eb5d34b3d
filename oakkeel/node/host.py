"""The `Host` of one node's decisions: verdicts go to the handlers of exchanges, the rest to the links."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from oakkeel.admission import AdmissionController
from oakkeel.admission.types import Gauges
from oakkeel.directory.reports import DirectoryReporter
from oakkeel.dispatch.listener import Listener
from oakkeel.engine.link import EngineLink
from oakkeel.log import EventLog, fault
from oakkeel.node.configuration import NodeConfiguration
from oakkeel.node.metrics import Metrics
from oakkeel.node.response_cache import ResponseCache
from oakkeel.request import NodeRequest
from oakkeel.request_events import (
    AwaitSharedResponse,
    CancelRun,
    FailRequest,
    PlaceCall,
    RejectRequest,
    SkipCall,
    StartRun,
)
from oakkeel.resource_limits import SECOND


class NodeHost:
    """Carries out what `AdmissionController` asks, and brings it the time, the timers and the gauges."""

    def __init__(
        self,
        start: NodeConfiguration,
        engine: EngineLink,
        listener: Listener,
        reports: DirectoryReporter,
        response_cache: ResponseCache,
        measures: Metrics,
        log: EventLog,
    ) -> None:
        self.engine, self.listener, self.reports, self.response_cache = (
            engine,
            listener,
            reports,
            response_cache,
        )
        self.start, self.measures, self.log = start, measures, log
        self.loop = asyncio.get_running_loop()
        self.gauges, self.gauges_at = Gauges(), 0
        self.good = True
        self.signal: float | None = None
        self.settling = False
        self.timers: set[asyncio.Task[None]] = set()
        self.admission: AdmissionController  # from `begin` on
        self.begun = False

    def begin(self, cold: bool, age: int) -> None:
        """The engine is up: where it has just booted, the node is cold since then."""
        limits = self.start.limits
        limits.starts_cold = limits.starts_cold or cold
        self.begun = True
        started = time.monotonic_ns() - (age if cold else 0)
        # Each exchange that it names is one that we gave it, a LiveExchange.
        self.admission = AdmissionController(self, limits, self.start.seed, started)  # type: ignore[arg-type]

    def begin_anew(self, cold: bool, age: int) -> None:
        """Another engine is up in the place of the first: the node is as cold as that is."""
        if cold:
            self.start.limits.starts_cold = True
            self.admission.started = time.monotonic_ns() - age

    def tell(self, act: Callable[..., None], *words: object) -> None:
        """Tell the decisions what happened; they settle once for what one pass of the loop brought."""
        act(time.monotonic_ns(), *words)
        if not self.settling:
            self.settling = True
            self.loop.call_soon(self._settle)

    def _settle(self) -> None:
        self.settling = False
        try:
            self.admission.schedule(time.monotonic_ns())
        except Exception as error:  # the node lives on
            self.log.error("settle_failed", error=fault(error))

    # Verdicts.

    def run(self, request: NodeRequest) -> None:
        request.post(StartRun())

    def reject(self, request: NodeRequest, last: bool, retry_after: int) -> None:
        request.post(RejectRequest(last, retry_after))

    def fail(self, request: NodeRequest) -> None:
        request.post(FailRequest())

    def cancel(self, request: NodeRequest) -> None:
        request.post(CancelRun())

    def call(self, request: NodeRequest, until: int) -> None:
        request.post(PlaceCall(until))

    def skip_call(self, request: NodeRequest) -> None:
        request.post(SkipCall())

    def coalesce(self, request: NodeRequest) -> None:
        request.post(AwaitSharedResponse())

    def retain_key(self, request: NodeRequest, duration: int) -> None:
        self.response_cache.retain(request, time.monotonic_ns(), duration)

    def release_key(self, request: NodeRequest) -> None:
        self.response_cache.release(request)

    # Timers.

    def set_timer(self, token: int, at: int) -> None:
        self.loop.call_at(at / SECOND, self._due, token, at)

    def _due(self, token: int, at: int) -> None:
        self.measures.timer_late(time.monotonic_ns() - at)
        task = self.loop.create_task(self._ring(token))
        self.timers.add(task)
        task.add_done_callback(self.timers.discard)

    async def _ring(self, token: int) -> None:
        """The decisions compare the gauges with what they run now: gauges of a second ago mislead them."""
        try:
            if asked := self.engine.ask_gauges():
                await asyncio.wait((asked,), timeout=self.start.resource_limits.gauges_timeout / SECOND)
            if asked and asked.done():
                self.gauges_at = time.monotonic_ns()
                for name, value in zip(self.start.gauges, asked.result(), strict=False):
                    if name:
                        setattr(self.gauges, name, value)
            else:
                self.measures.gauges_missed += 1
            self.tell(self.admission.timer_expired, token, self.gauges)
        except Exception as error:  # the node lives on, and so must its poll
            self.log.error("timer_failed", error=fault(error))
            self.set_timer(token, time.monotonic_ns() + self.start.resource_limits.timer_retry)

    # The node as a whole.

    def set_health(self, good: bool, stored: bool) -> None:
        self.good = good
        if self.start.readiness:
            self.reports.set_taking(good)

    def report_load(self, value: float) -> None:
        self.signal = value

    def close_idle(self, after: int) -> None:
        self.listener.close_idle(after)

    def note(self, text: str) -> None:
        self.log.info("decision_note", text=text)
