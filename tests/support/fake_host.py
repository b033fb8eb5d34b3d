"""A host that records what the admission controller asks of it."""

from __future__ import annotations

from dataclasses import replace

from oakkeel.admission import MS, SECOND, AdmissionController
from oakkeel.admission.types import (
    DownstreamKind,
    Effect,
    Gauges,
    LoadReportKind,
    NodeLimits,
    Outcome,
    Request,
    RequestClass,
    RequestState,
    StopKind,
    Tenant,
)

LIMITS = NodeLimits(
    cores=4,
    memory_kb=100_000,
    run_factor=8,
    key_kb=100,
    cold=False,
    cold_from=0.25,
    cold_time=10 * SECOND,
    crowd_multiple=5,
    drain_grace=2 * SECOND,
    marks_retries=True,
    max_retry_after=SECOND,
    stop_kind=StopKind.ABORT,
    peers=1,
    below=DownstreamKind.NOTHING,
    call_share=0,
    call_window=5 * SECOND,
    call_linger=200 * MS,
    fresh=0,
    idle=30 * SECOND,
    advice=LoadReportKind.SILENT,
    over_share=0.1,
    groups=[],
    tenants=[],
)


GROUP = RequestClass(
    index=0,
    effect=Effect.REPEATABLE,
    benefit=1,
    slo_time=2 * SECOND,
    async_timeout=5 * SECOND,
    window=5 * SECOND,
    late_share=0,
    skip_share=0,
)


class FakeHost:
    """Carries nothing out: every wish lands in `said`, timers wait for `run_until`."""

    def __init__(self, groups: list[dict] | None = None, tenants: list[float] = (), **limits) -> None:
        rows = [replace(GROUP, index=index, **row) for index, row in enumerate(groups or [{}])]
        self.limits = replace(
            LIMITS, groups=rows, tenants=[Tenant(*pair) for pair in enumerate(tenants)], **limits
        )
        self.said: list[tuple] = []
        self.timers: list[tuple[int, int]] = []
        self.gauges = Gauges()
        self.now = SECOND
        self.admission = AdmissionController(self, self.limits, 7, self.now)

    def __getattr__(self, name: str):
        return lambda *words: self.said.append((name, *words))

    def set_timer(self, token: int, at: int) -> None:
        self.timers.append((at, token))

    def arrive(self, group: int = 0, settle: bool = True, tenant: int | None = None, **fields) -> Request:
        row = self.limits.groups[group]
        given = dict(
            group=row,
            tenant=None if tenant is None else self.limits.tenants[tenant],
            caller=0,
            memory_kb=50,
            marked_retry=False,
            left=row.async_timeout,
            backlog=0,
            has_key=False,
            repeats=False,
        )
        request = Request(**(given | fields))
        self.admission.arrive(self.now, request)
        if settle:
            self.admission.settle(self.now)
        return request

    def done(self, request: Request, outcome: Outcome = Outcome.COMPLETED) -> None:
        self.admission.run_done(self.now, request, outcome, 0)
        self.admission.settle(self.now)

    def at_call(self, request: Request) -> None:
        self.admission.at_call(self.now, request)
        self.admission.settle(self.now)

    def call_done(self, request: Request, outcome: Outcome) -> None:
        self.admission.call_done(self.now, request, outcome, 0)
        self.admission.settle(self.now)

    def run_until(self, time: int) -> None:
        while self.timers and min(self.timers)[0] <= time:
            self.timers.remove(first := min(self.timers))
            self.now = max(self.now, first[0])
            self.admission.timer(self.now, first[1], self.gauges)
            self.admission.settle(self.now)
        self.now = max(self.now, time)

    def words(self, request: Request) -> list[str]:
        """What was asked about an exchange, in order."""
        return [wish[0] for wish in self.said if len(wish) > 1 and wish[1] is request]

    def in_state(self, exchanges: list[Request], *states: RequestState) -> list[Request]:
        return [request for request in exchanges if request.state in states]
