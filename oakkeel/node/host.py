"""The `Host` on a node: passes the verdicts of the admission controller to the request handlers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Protocol, TypeVarTuple

from oakkeel.admission import AdmissionController
from oakkeel.admission.types import Gauges
from oakkeel.log import describe_error
from oakkeel.node.components import NodeComponents
from oakkeel.node.configuration import NodeConfiguration
from oakkeel.request import NodeRequest
from oakkeel.request_events import (
    AwaitSharedResponse,
    CancelRun,
    IssueCall,
    SkipCall,
    StartRun,
)
from oakkeel.units import SECOND

Arguments = TypeVarTuple("Arguments")


class EarlyAnswers(Protocol):
    """Answers requests at once, before their handlers run again: a flood must not delay a due answer."""

    def reject(self, request: NodeRequest, is_final: bool, retry_after: int) -> None:
        """Answer that the request is not admitted; `retry_after` is in nanoseconds."""

    def fail(self, request: NodeRequest) -> None:
        """Answer that the request failed."""


class NodeHost:
    """Carries out the verdicts of `AdmissionController`, and provides time, timers and gauges to it."""

    def __init__(self, configuration: NodeConfiguration, components: NodeComponents) -> None:
        """Take the components of the node; `start_admission` starts admission when the engine is up."""
        self.configuration = configuration
        self.engine = components.engine
        self.listener = components.listener
        self.directory_reporter = components.directory_reporter
        self.response_cache = components.response_cache
        self.metrics = components.metrics
        self.log = components.log
        self.loop = asyncio.get_running_loop()
        self.gauges = Gauges()
        self.gauges_read_at = 0  # nanoseconds of the monotonic clock; 0 for never
        self.is_healthy = True  # last verdict of the admission controller
        self.load_report_value: float | None = None  # `NodeLimits.load_report` defines its meaning
        self.is_schedule_pending = False
        self.timer_tasks: set[asyncio.Task[None]] = set()
        self.early_answers: EarlyAnswers  # set by the request handler
        self.admission: AdmissionController  # set by `start_admission`
        self.is_started = False

    def start_admission(self, is_cold: bool, engine_age: int) -> None:
        """Start the admission controller; the engine booted `engine_age` nanoseconds ago.

        With a cold engine, which has just booted, slow start counts from the boot of the engine.
        """
        limits = self.configuration.limits
        limits.starts_cold = limits.starts_cold or is_cold
        self.is_started = True
        started_at = time.monotonic_ns() - (engine_age if is_cold else 0)
        # The controller passes back the requests that it was given, which are of the type NodeRequest.
        self.admission = AdmissionController(self, limits, self.configuration.seed, started_at)  # type: ignore[arg-type]

    def on_engine_restart(self, is_cold: bool, engine_age: int) -> None:
        """Begin slow start again if the engine is cold; it booted `engine_age` nanoseconds ago."""
        if is_cold:
            self.configuration.limits.starts_cold = True
            self.admission.started_at = time.monotonic_ns() - engine_age

    def notify(self, method: Callable[[int, *Arguments], None], *arguments: *Arguments) -> None:
        """Call a method of the admission controller with the time; schedule once per event loop iteration."""
        method(time.monotonic_ns(), *arguments)
        if not self.is_schedule_pending:
            self.is_schedule_pending = True
            self.loop.call_soon(self._schedule)

    def _schedule(self) -> None:
        self.is_schedule_pending = False
        try:
            self.admission.schedule(time.monotonic_ns())
        except Exception as error:  # a defect must not stop the node
            self.log.error("schedule_failed", error=describe_error(error))

    # Verdicts of the admission controller, for the handlers of the requests.

    def run(self, request: NodeRequest) -> None:
        """Run the request in the engine."""
        request.post(StartRun())

    def reject(self, request: NodeRequest, is_final: bool, retry_after: int) -> None:
        """Answer that the request is not admitted.

        With `is_final`, no other node should be tried. `retry_after` is in nanoseconds; 0 for none.
        """
        self.early_answers.reject(request, is_final, retry_after)

    def fail(self, request: NodeRequest) -> None:
        """Answer that the request failed."""
        self.early_answers.fail(request)

    def cancel(self, request: NodeRequest) -> None:
        """Stop the run of the request."""
        request.post(CancelRun())

    def call(self, request: NodeRequest, call_end: int) -> None:
        """Place the downstream call that the run waits for; `call_end` is its deadline."""
        request.post(IssueCall(call_end))

    def skip_call(self, request: NodeRequest) -> None:
        """Let the run continue without its downstream call."""
        request.post(SkipCall())

    def coalesce(self, request: NodeRequest) -> None:
        """Answer with the response of the request that it duplicates."""
        request.post(AwaitSharedResponse())

    def retain_key(self, request: NodeRequest, duration: int) -> None:
        """Treat later requests with the same key as duplicates for `duration` nanoseconds."""
        self.response_cache.retain(request, time.monotonic_ns(), duration)

    def release_key(self, request: NodeRequest) -> None:
        """Drop the key of a request that never ran."""
        self.response_cache.release(request)

    # Timers.

    def set_timer(self, token: int, due_at: int) -> None:
        """Pass `token` to `AdmissionController.timer_expired` at `due_at`, in monotonic nanoseconds."""
        self.loop.call_at(due_at / SECOND, self._on_timer_due, token, due_at)

    def _on_timer_due(self, token: int, due_at: int) -> None:
        """Answer the requests whose deadline has passed, then act on the others with fresh gauges.

        No wait stands between a deadline and its answer.
        """
        self.metrics.count_timer(time.monotonic_ns() - due_at)
        try:
            if overdue := self.admission.overdue_requests(time.monotonic_ns(), token):
                self.notify(self.admission.end_overdue, overdue)
        except Exception as error:  # a defect must not stop the other timers
            self.log.error("timer_failed", error=describe_error(error))
        task = self.loop.create_task(self._read_gauges_and_notify(token))
        self.timer_tasks.add(task)
        task.add_done_callback(self.timer_tasks.discard)

    async def _read_gauges_and_notify(self, token: int) -> None:
        """Read the gauges, which the controller compares with present runs, and notify it of the timer."""
        try:
            reply = self.engine.maintain_and_request_gauges()
            if reply:
                await asyncio.wait(
                    (reply,), timeout=self.configuration.resource_limits.gauges_timeout / SECOND
                )
            if reply and reply.done():
                self.gauges_read_at = time.monotonic_ns()
                for name, value in zip(self.configuration.gauges, reply.result(), strict=False):
                    if name:
                        setattr(self.gauges, name, value)
            else:
                self.metrics.gauges_missed += 1
            self.notify(self.admission.timer_expired, token, self.gauges)
        except Exception as error:  # timers also drive the polls of the gauges, which a defect must not stop
            self.log.error("timer_failed", error=describe_error(error))
            self.set_timer(token, time.monotonic_ns() + self.configuration.resource_limits.timer_retry_delay)

    # Verdicts about the whole node.

    def set_health(self, is_healthy: bool, is_stored: bool) -> None:
        """Set whether the node is healthy, for health checks and, with `readiness`, the directory.

        `is_stored` is not used: a node answers every health check from the value set here.
        """
        self.is_healthy = is_healthy
        if self.configuration.readiness:
            self.directory_reporter.set_accepting(is_healthy)

    def report_load(self, value: float) -> None:
        """Report this value with each answer; `NodeLimits.load_report` defines its meaning."""
        self.load_report_value = value

    def set_idle_timeout(self, timeout: int) -> None:
        """Set the time in nanoseconds after which idle connections are closed; 0 for never."""
        self.listener.set_idle_timeout(timeout)

    def note(self, text: str) -> None:
        """Log a message of the admission controller."""
        self.log.info("decision_note", text=text)
