"""A host that records the actions that the admission controller requests."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any

from oakkeel.admission import AdmissionController
from oakkeel.admission.types import (
    DownstreamKind,
    Gauges,
    Idempotency,
    LoadReportKind,
    NodeLimits,
    Outcome,
    Request,
    RequestClass,
    RequestState,
    StopKind,
    Tenant,
)
from oakkeel.units import MS, SECOND

LIMITS = NodeLimits(
    cores=4,
    memory_kb=100_000,
    running_memory_factor=8,
    key_kb=100,
    starts_cold=False,
    slow_start_share=0.25,
    slow_start_time=10 * SECOND,
    overload_multiple=5,
    drain_grace=2 * SECOND,
    marks_retries=True,
    max_retry_after=SECOND,
    stop_kind=StopKind.ABORT,
    peers=1,
    downstream=DownstreamKind.NONE,
    downstream_quota=0,
    downstream_window=5 * SECOND,
    call_linger=200 * MS,
    cache_ttl=0,
    idle_timeout=30 * SECOND,
    load_report=LoadReportKind.NONE,
    excess_allowance_weight=0.1,
    request_classes=[],
    tenants=[],
)


# The default request class of the tests.
REQUEST_CLASS = RequestClass(
    index=0,
    idempotency=Idempotency.IDEMPOTENT,
    priority_weight=1,
    latency_objective=2 * SECOND,
    client_timeout=5 * SECOND,
    idempotency_window=5 * SECOND,
    late_weight=0,
    degraded_weight=0,
)


def make_request(request_class: RequestClass = REQUEST_CLASS, **fields: Any) -> Request:
    """Return an ordinary request that was just read; `fields` override its defaults."""
    defaults = {
        "request_class": request_class,
        "tenant": None,
        "client": 0,
        "memory_kb": 50,
        "retry_attempt": False,
        "remaining_time": request_class.client_timeout,
        "queueing_delay": 0,
        "has_key": False,
        "is_duplicate": False,
    }
    return Request(**(defaults | fields))


class FakeHost:
    """Records every action in `actions` and performs none; timers expire in `run_until`."""

    def __init__(
        self,
        request_classes: list[dict[str, Any]] | None = None,
        tenants: Sequence[float] = (),
        **limits: Any,
    ) -> None:
        classes = [
            replace(REQUEST_CLASS, index=index, **changes)
            for index, changes in enumerate(request_classes or [{}])
        ]
        self.limits = replace(
            LIMITS, request_classes=classes, tenants=[Tenant(*pair) for pair in enumerate(tenants)], **limits
        )
        self.actions: list[tuple[Any, ...]] = []
        self.timers: list[tuple[int, int]] = []
        self.gauges = Gauges()
        self.now = SECOND
        self.admission = AdmissionController(self, self.limits, 7, self.now)

    def __getattr__(self, name: str) -> Callable[..., None]:
        return lambda *arguments: self.actions.append((name, *arguments))

    def set_timer(self, token: int, expires_at: int) -> None:
        self.timers.append((expires_at, token))

    def arrive(
        self, class_index: int = 0, schedule: bool = True, tenant: int | None = None, **fields: Any
    ) -> Request:
        """Let an ordinary request arrive; `fields` override its defaults."""
        request = make_request(
            self.limits.request_classes[class_index],
            tenant=None if tenant is None else self.limits.tenants[tenant],
            **fields,
        )
        self.admission.arrive(self.now, request)
        if schedule:
            self.admission.schedule(self.now)
        return request

    def finish(self, request: Request, outcome: Outcome = Outcome.COMPLETED) -> None:
        self.admission.run_finished(self.now, request, outcome)
        self.admission.schedule(self.now)

    def need_call(self, request: Request) -> None:
        self.admission.call_needed(self.now, request)
        self.admission.schedule(self.now)

    def finish_call(self, request: Request, outcome: Outcome) -> None:
        self.admission.call_finished(self.now, request, outcome)
        self.admission.schedule(self.now)

    def run_until(self, time: int) -> None:
        while self.timers and min(self.timers)[0] <= time:
            self.timers.remove(first := min(self.timers))
            self.now = max(self.now, first[0])
            self.admission.timer_expired(self.now, first[1], self.gauges)
            self.admission.schedule(self.now)
        self.now = max(self.now, time)

    def actions_on(self, request: Request) -> list[str]:
        """Return the names of the actions on a request, in order."""
        return [action[0] for action in self.actions if len(action) > 1 and action[1] is request]

    def in_state(self, requests: list[Request], *states: RequestState) -> list[Request]:
        return [request for request in requests if request.state in states]
