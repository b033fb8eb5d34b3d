"""A tiny host that writes down what the decisions ask of it."""

from __future__ import annotations

from dataclasses import replace

from oakkeel.interface import (AdviceKind, Below, Effect, EndpointGroup, Exchange, Gauges, NodeLimits,
                               Outcome, State, StopKind, Tenant)
from oakkeel.policy import MS, SECOND, Keel

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
    below=Below.NOTHING,
    call_share=0,
    call_window=5 * SECOND,
    call_linger=200 * MS,
    fresh=0,
    idle=30 * SECOND,
    advice=AdviceKind.SILENT,
    over_share=0.1,
    groups=[],
    tenants=[],
)
GROUP = EndpointGroup(
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
        self.keel = Keel(self, self.limits, 7, self.now)

    def __getattr__(self, name: str):
        return lambda *words: self.said.append((name, *words))

    def set_timer(self, token: int, at: int) -> None:
        self.timers.append((at, token))

    def arrive(self, group: int = 0, settle: bool = True, tenant: int | None = None, **fields) -> Exchange:
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
        ex = Exchange(**(given | fields))
        self.keel.arrive(self.now, ex)
        if settle:
            self.keel.settle(self.now)
        return ex

    def done(self, ex: Exchange, outcome: Outcome = Outcome.COMPLETED) -> None:
        self.keel.run_done(self.now, ex, outcome, 0)
        self.keel.settle(self.now)

    def at_call(self, ex: Exchange) -> None:
        self.keel.at_call(self.now, ex)
        self.keel.settle(self.now)

    def call_done(self, ex: Exchange, outcome: Outcome) -> None:
        self.keel.call_done(self.now, ex, outcome, 0)
        self.keel.settle(self.now)

    def run_until(self, time: int) -> None:
        while self.timers and min(self.timers)[0] <= time:
            self.timers.remove(first := min(self.timers))
            self.now = max(self.now, first[0])
            self.keel.timer(self.now, first[1], self.gauges)
            self.keel.settle(self.now)
        self.now = max(self.now, time)

    def words(self, ex: Exchange) -> list[str]:
        """What was asked about an exchange, in order."""
        return [wish[0] for wish in self.said if len(wish) > 1 and wish[1] is ex]

    def in_state(self, exchanges: list[Exchange], *states: State) -> list[Exchange]:
        return [ex for ex in exchanges if ex.state in states]
