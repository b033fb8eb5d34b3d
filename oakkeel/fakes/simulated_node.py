"""One node's decisions in simulated time, with senders that take its advice or do not. No socket, no clock.

Runs share the cores: past one a core each takes as much longer as there are too many. Reading costs
`reading` of a core for each exchange, as it does on a node.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any

from oakkeel.admission import MS, SECOND, AdmissionController
from oakkeel.admission.types import (
    DownstreamKind,
    FairSharingRules,
    Gauges,
    Idempotency,
    LoadReportKind,
    NodeLimits,
    Outcome,
    Request,
    RequestClass,
    StopKind,
    Tenant,
)


@dataclass(eq=False)
class SimulatedClient:
    """Sends at a rate, by chance; retries what is denied as it is told, or at once and again."""

    name: bytes
    rate: float  # first tries a second
    tenant: bytes = b""
    honours_retry_after: bool = True
    max_attempts: int = 4  # of one exchange, at the most
    retry_gap: int = 20 * MS  # until the next try of one that does not heed
    first_attempts: int = 0  # first tries
    counts: Counter[str] = field(default_factory=Counter)
    retry_delays: list[int] = field(default_factory=list)  # return times, nanoseconds
    scheduled_returns: int = 0  # returns exactly as told
    admitted_returns: int = 0  # of those, went ahead


class SimulatedNode:
    """`fair` as an operator tells it; None is the node without fairness."""

    def __init__(
        self,
        fair: FairSharingRules | None,
        seed: int,
        cores: int = 4,
        work: int = 20 * MS,
        slow: float = 1.0,
        slo: int = 500 * MS,
        cold: bool = False,
        most_return: int = 5 * SECOND,
        **limits: Any,
    ) -> None:
        group = RequestClass(0, Idempotency.IDEMPOTENT, 1.0, slo, 4 * slo, 0, 0.0, 0.0)
        given: dict[str, Any] = dict(
            cores=cores,
            memory_kb=200_000.0,
            running_memory_factor=8.0,
            key_kb=0.0,
            starts_cold=cold,
            slow_start_share=0.25,
            slow_start_time=10 * SECOND,
            overload_multiple=8.0,
            drain_grace=2 * SECOND,
            marks_retries=True,
            max_retry_after=most_return,
            stop_kind=StopKind.ABORT,
            peers=1,
            downstream=DownstreamKind.NONE,
            downstream_quota=0.0,
            downstream_window=SECOND,
            call_linger=0,
            cache_ttl=0,
            idle_timeout=SECOND,
            load_report=LoadReportKind.NONE,
            over_allowance_weight=1.0,
            request_classes=[group],
            tenants=[Tenant(0, 0.0)],
            fair_sharing=fair,
        )
        self.limits = NodeLimits(**(given | limits))
        self.random = Random(seed)
        self.now, self.order = 1000 * SECOND, count()
        self.events: list[tuple[int, int, Callable[..., None], tuple]] = []
        self.work, self.slow, self.running = work, slow, 0
        self.clients: list[SimulatedClient] = []
        self.owners: dict[Request, tuple[SimulatedClient, int, bool]] = {}
        self.denying: tuple | None = None
        self.admission = AdmissionController(self, self.limits, seed, self.now)  # type: ignore[arg-type]  # the rest is __getattr__

    def __getattr__(self, name: str) -> Callable[..., None]:
        """What of `Host` means nothing here: health, advice, connections."""
        if name.startswith("_") or name == "admission":
            raise AttributeError(name)
        return lambda *words: None

    # Time.

    def at(self, when: int, act: Callable[..., None], *words: Any) -> None:
        heappush(self.events, (when, next(self.order), act, words))

    def run_until(self, when: int) -> None:
        while self.events and self.events[0][0] <= when:
            self.now, _, act, words = heappop(self.events)
            act(*words)
            self.admission.schedule(self.now)
        self.now = when

    def pass_time(self, seconds: float) -> None:
        self.run_until(self.now + int(seconds * SECOND))

    # Senders.

    def add(self, *clients: SimulatedClient) -> None:
        for client in clients:
            self.clients.append(client)
            self._later(client)

    def _later(self, client: SimulatedClient) -> None:
        if client.rate > 0:
            self.at(self.now + int(self.random.expovariate(client.rate) * SECOND), self._first, client)

    def _first(self, client: SimulatedClient) -> None:
        if client in self.clients:
            client.first_attempts += 1
            self.send(client, 1)
            self._later(client)

    def send(self, client: SimulatedClient, number: int, as_told: bool = False) -> None:
        """One try of an exchange."""
        client.counts["tries"] += 1
        request = Request(self.limits.request_classes[0], None, 0, 10.0, number > 1, 0, 0, False, False)
        if fair := self.limits.fair_sharing:
            labels = {"tenant": client.tenant, "caller": client.name}
            key, who = 0, []
            for level in fair.levels:
                key = hash((key, labels[level])) & (1 << 62) - 1
                who.append((key, labels[level]))
            request.flow_keys = tuple(who)
        self.owners[request] = client, number, as_told
        client.scheduled_returns += as_told
        self.admission.arrive(self.now, request)

    # Host.

    def run(self, request: Request) -> None:
        client, _, as_told = self.owners[request]
        client.admitted_returns += as_told
        self.running += 1
        crowd = max(1.0, self.running / self.limits.cores) * self.slow
        time = self.work * (0.5 + self.random.random()) * crowd
        self.at(self.now + int(time), self._done, request)

    def _done(self, request: Request) -> None:
        self.running -= 1
        self.admission.run_finished(self.now, request, Outcome.COMPLETED, 0)
        if request in self.owners:
            client, _, _ = self.owners.pop(request)
            client.counts["in time" if self.now <= request.objective_end else "late"] += 1

    def reject(self, request: Request, last: bool, retry_after: int) -> None:
        client, number, _ = self.owners.pop(request)
        client.counts["denied"] += 1
        client.retry_delays.append(retry_after)
        if number >= client.max_attempts:
            client.counts["given up"] += 1
        elif client.honours_retry_after:
            told = retry_after < self.limits.max_retry_after
            self.at(self.now + retry_after, self.send, client, number + 1, told)
        else:
            self.at(self.now + client.retry_gap, self.send, client, number + 1)

    def fail(self, request: Request) -> None:
        if request in self.owners:
            self.owners.pop(request)[0].counts["terminated"] += 1

    def set_timer(self, token: int, at: int) -> None:
        self.at(at, self._timer, token)

    def _timer(self, token: int) -> None:
        busy = min(1.0, self.running / self.limits.cores)
        self.admission.timer_expired(self.now, token, Gauges(busy, float(self.running), 0.1, 1.0))


def fair_share(rates: list[float], capacity: float) -> list[float]:
    """What each could have of a capacity by max-min, worked out on its own: by halving, not by sorting."""
    if sum(rates) <= capacity:
        return list(rates)
    low, high = 0.0, max(rates)
    for _ in range(100):
        level = (low + high) / 2
        low, high = (level, high) if sum(min(rate, level) for rate in rates) < capacity else (low, level)
    return [min(rate, low) for rate in rates]


def jain(values: list[float]) -> float:
    """Jain's index: 1 where all are the same (R. Jain, D. Chiu, W. Hawe, DEC TR-301, 1984)."""
    return sum(values) ** 2 / (len(values) * sum(value * value for value in values)) if any(values) else 0.0
