"""The `Host` of the admission controller on a node: verdicts go to request handlers."""

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
from oakkeel.units import SECOND


class NodeHost:
    """Carries out the verdicts of `AdmissionController`, and gives it the time, timers and gauges."""

    def __init__(
        self,
        configuration: NodeConfiguration,
        engine: EngineLink,
        listener: Listener,
        directory_reporter: DirectoryReporter,
        response_cache: ResponseCache,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        """Take the parts of the node; admission starts with the engine."""
        self.engine, self.listener, self.directory_reporter = engine, listener, directory_reporter
        self.response_cache, self.configuration = response_cache, configuration
        self.metrics, self.log = metrics, log
        self.loop = asyncio.get_running_loop()
        self.gauges, self.gauges_read_at = Gauges(), 0
        self.healthy = True
        self.advertised_share: float | None = None
        self.schedule_pending = False
        self.timer_tasks: set[asyncio.Task[None]] = set()
        self.admission: AdmissionController  # from `start_admission` on
        self.started = False

    def start_admission(self, cold: bool, age: int) -> None:
        """Start the admission controller: the engine is up, and `age` nanoseconds old.

        A cold engine has just booted: the node is in slow start since then.
        """
        limits = self.configuration.limits
        limits.starts_cold = limits.starts_cold or cold
        self.started = True
        started = time.monotonic_ns() - (age if cold else 0)
        # The requests that it names are those that it was given: each a NodeRequest.
        self.admission = AdmissionController(self, limits, self.configuration.seed, started)  # type: ignore[arg-type]

    def engine_restarted(self, cold: bool, age: int) -> None:
        """Follow a restart of the engine: a node whose engine is cold starts slowly again."""
        if cold:
            self.configuration.limits.starts_cold = True
            self.admission.started = time.monotonic_ns() - age

    def notify(self, method: Callable[..., None], *arguments: object) -> None:
        """Call a method of the admission controller with the time; it schedules once a loop iteration."""
        method(time.monotonic_ns(), *arguments)
        if not self.schedule_pending:
            self.schedule_pending = True
            self.loop.call_soon(self._schedule)

    def _schedule(self) -> None:
        self.schedule_pending = False
        try:
            self.admission.schedule(time.monotonic_ns())
        except Exception as error:  # the node goes on
            self.log.error("settle_failed", error=fault(error))

    # Verdicts of the admission controller, for the handlers of the requests.

    def run(self, request: NodeRequest) -> None:
        """Let the engine run the request."""
        request.post(StartRun())

    def reject(self, request: NodeRequest, last: bool, retry_after: int) -> None:
        """Answer that the request is not admitted; `retry_after` in nanoseconds."""
        request.post(RejectRequest(last, retry_after))

    def fail(self, request: NodeRequest) -> None:
        """Answer that the request failed."""
        request.post(FailRequest())

    def cancel(self, request: NodeRequest) -> None:
        """Stop the run of the request."""
        request.post(CancelRun())

    def call(self, request: NodeRequest, until: int) -> None:
        """Place the call that the run waits for."""
        request.post(PlaceCall(until))

    def skip_call(self, request: NodeRequest) -> None:
        """Let the run go on without its call."""
        request.post(SkipCall())

    def coalesce(self, request: NodeRequest) -> None:
        """Answer with the response of the request that it duplicates."""
        request.post(AwaitSharedResponse())

    def retain_key(self, request: NodeRequest, duration: int) -> None:
        """Keep the key of the request for `duration` nanoseconds."""
        self.response_cache.retain(request, time.monotonic_ns(), duration)

    def release_key(self, request: NodeRequest) -> None:
        """Drop the key of a request that never ran."""
        self.response_cache.release(request)

    # Timers.

    def set_timer(self, token: int, at: int) -> None:
        """Pass `token` back at the time `at`, in nanoseconds of the monotonic clock."""
        self.loop.call_at(at / SECOND, self._timer_due, token, at)

    def _timer_due(self, token: int, at: int) -> None:
        self.metrics.count_timer(time.monotonic_ns() - at)
        task = self.loop.create_task(self._read_gauges_and_notify(token))
        self.timer_tasks.add(task)
        task.add_done_callback(self.timer_tasks.discard)

    async def _read_gauges_and_notify(self, token: int) -> None:
        """Pass a timer on with fresh gauges: the controller compares them with what runs now."""
        try:
            if asked := self.engine.ask_gauges():
                await asyncio.wait(
                    (asked,), timeout=self.configuration.resource_limits.gauges_timeout / SECOND
                )
            if asked and asked.done():
                self.gauges_read_at = time.monotonic_ns()
                for name, value in zip(self.configuration.gauges, asked.result(), strict=False):
                    if name:
                        setattr(self.gauges, name, value)
            else:
                self.metrics.gauges_missed += 1
            self.notify(self.admission.timer_expired, token, self.gauges)
        except Exception as error:  # the node goes on, and so must its poll
            self.log.error("timer_failed", error=fault(error))
            self.set_timer(token, time.monotonic_ns() + self.configuration.resource_limits.timer_retry)

    # What concerns the whole node.

    def set_health(self, good: bool, stored: bool) -> None:
        """Tell whether the node is healthy, to health checks and the directory."""
        self.healthy = good
        if self.configuration.readiness:
            self.directory_reporter.set_accepting(good)

    def report_load(self, value: float) -> None:
        """Advertise the share of traffic that the node wants."""
        self.advertised_share = value

    def close_idle(self, after: int) -> None:
        """Close connections that are idle for `after` nanoseconds."""
        self.listener.close_idle(after)

    def note(self, text: str) -> None:
        """Log a remark of the admission controller."""
        self.log.info("decision_note", text=text)
