"""The decisions of one node in simulated time, with clients that honour its retry times or do not.

No socket and no clock. Runs share the cores: past one a core, all take as much longer as there are too many.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial
from heapq import heappop, heappush
from itertools import count
from random import Random
from typing import Any, TypeVarTuple

from oakkeel.admission import AdmissionController
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
from oakkeel.units import MS, SECOND

Arguments = TypeVarTuple("Arguments")
Event = tuple[int, int, Callable[[], None]]  # time in nanoseconds, order of scheduling, what happens

LIMITS = NodeLimits(
    cores=4,
    memory_kb=200_000.0,
    running_memory_factor=8.0,
    key_kb=0.0,
    starts_cold=False,
    slow_start_share=0.25,
    slow_start_time=10 * SECOND,
    overload_multiple=8.0,
    drain_grace=2 * SECOND,
    marks_retries=True,
    max_retry_after=5 * SECOND,
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
    request_classes=[],
    tenants=[Tenant(0, 0.0)],
)


@dataclass(eq=False)
class SimulatedClient:
    """Sends at a random rate; retries what is rejected when it may, or at once and again."""

    name: bytes
    rate: float  # first attempts a second
    tenant: bytes = b""
    honours_retry_after: bool = True
    max_attempts: int = 4  # of one request
    retry_gap: int = 20 * MS  # nanoseconds, of one that does not honour retry times
    first_attempts: int = 0
    counts: Counter[str] = field(default_factory=Counter)
    retry_delays: list[int] = field(default_factory=list)  # given to it, nanoseconds
    scheduled_returns: int = 0  # retries at exactly the time given
    admitted_returns: int = 0  # of those, admitted


class SimulatedNode:
    """A node and its machine; `fair` as an operator sets it, None without fair sharing."""

    def __init__(
        self,
        fair: FairSharingRules | None,
        seed: int,
        cores: int = 4,
        work: int = 20 * MS,
        slow: float = 1.0,
        objective: int = 500 * MS,
        starts_cold: bool = False,
        max_retry_after: int = 5 * SECOND,
        **limits: Any,
    ) -> None:
        """Start a node; `work` and `objective` in nanoseconds, `slow` times slower than it could be."""
        base = replace(LIMITS, cores=cores, starts_cold=starts_cold, max_retry_after=max_retry_after)
        row = RequestClass(0, Idempotency.IDEMPOTENT, 1.0, objective, 4 * objective, 0, 0.0, 0.0)
        self.limits = replace(base, request_classes=[row], fair_sharing=fair, **limits)
        self.random = Random(seed)
        self.now = 1000 * SECOND
        self.order = count()
        self.events: list[Event] = []
        self.work = work
        self.slow = slow
        self.running = 0
        self.clients: list[SimulatedClient] = []
        self.owners: dict[Request, tuple[SimulatedClient, int, bool]] = {}
        self.admission = AdmissionController(self, self.limits, seed, self.now)

    def __getattr__(self, name: str) -> Callable[..., None]:
        """Ignore what of `Host` means nothing here: health, load reports, connections."""
        if name.startswith("_") or name == "admission":
            raise AttributeError(name)
        return lambda *words: None

    def at(self, when: int, callback: Callable[[*Arguments], None], *arguments: *Arguments) -> None:
        """Call something at a time, in nanoseconds."""
        event: Event = (when, next(self.order), partial(callback, *arguments))
        heappush(self.events, event)

    def run_until(self, when: int) -> None:
        """Play all events up to a time, in nanoseconds."""
        while self.events and self.events[0][0] <= when:
            self.now, _, callback = heappop(self.events)
            callback()
            self.admission.schedule(self.now)
        self.now = when

    def pass_time(self, seconds: float) -> None:
        """Play the time from now on."""
        self.run_until(self.now + int(seconds * SECOND))

    def add(self, *clients: SimulatedClient) -> None:
        """Let clients send from now on."""
        for client in clients:
            self.clients.append(client)
            self._schedule_first(client)

    def _schedule_first(self, client: SimulatedClient) -> None:
        if client.rate > 0:
            self.at(self.now + int(self.random.expovariate(client.rate) * SECOND), self._send_first, client)

    def _send_first(self, client: SimulatedClient) -> None:
        if client in self.clients:
            client.first_attempts += 1
            self.send(client, 1)
            self._schedule_first(client)

    def send(self, client: SimulatedClient, number: int, as_given: bool = False) -> None:
        """Send one attempt of a request."""
        client.counts["tries"] += 1
        request = Request(self.limits.request_classes[0], None, 0, 10.0, number > 1, 0, 0, False, False)
        if fair := self.limits.fair_sharing:
            labels = {"tenant": client.tenant, "caller": client.name}
            key = 0
            flow_keys = []
            for level in fair.levels:
                key = hash((key, labels[level])) & (1 << 62) - 1
                flow_keys.append((key, labels[level]))
            request.flow_keys = tuple(flow_keys)
        self.owners[request] = client, number, as_given
        client.scheduled_returns += as_given
        self.admission.arrive(self.now, request)

    def run(self, request: Request) -> None:
        """Start it on the cores: the more there are, the longer it takes."""
        client, _, as_given = self.owners[request]
        client.admitted_returns += as_given
        self.running += 1
        crowd = max(1.0, self.running / self.limits.cores) * self.slow
        time = self.work * (0.5 + self.random.random()) * crowd
        self.at(self.now + int(time), self._done, request)

    def _done(self, request: Request) -> None:
        self.running -= 1
        self.admission.run_finished(self.now, request, Outcome.COMPLETED)
        if request in self.owners:
            client, _, _ = self.owners.pop(request)
            client.counts["in time" if self.now <= request.objective_end else "late"] += 1

    def reject(self, request: Request, final: bool, retry_after: int) -> None:
        """Count the rejection, and retry as the client does."""
        client, number, _ = self.owners.pop(request)
        client.counts["denied"] += 1
        client.retry_delays.append(retry_after)
        if number >= client.max_attempts:
            client.counts["given up"] += 1
        elif client.honours_retry_after:
            given = retry_after < self.limits.max_retry_after
            self.at(self.now + retry_after, self.send, client, number + 1, given)
        else:
            self.at(self.now + client.retry_gap, self.send, client, number + 1)

    def fail(self, request: Request) -> None:
        """Count a failed request."""
        if request in self.owners:
            self.owners.pop(request)[0].counts["terminated"] += 1

    def set_timer(self, token: int, at: int) -> None:
        """Call `timer_expired` with the token at this time."""
        self.at(at, self._timer, token)

    def _timer(self, token: int) -> None:
        busy = min(1.0, self.running / self.limits.cores)
        self.admission.timer_expired(self.now, token, Gauges(busy, float(self.running), 0.1, 1.0))


def fair_share(rates: list[float], capacity: float) -> list[float]:
    """Return max-min shares of a capacity, worked out independently: by halving, not by sorting."""
    if sum(rates) <= capacity:
        return list(rates)
    low = 0.0
    high = max(rates)
    for _ in range(100):
        level = (low + high) / 2
        low, high = (level, high) if sum(min(rate, level) for rate in rates) < capacity else (low, level)
    return [min(rate, low) for rate in rates]


def jain(values: list[float]) -> float:
    """Return Jain's index: 1 where all are the same (R. Jain, D. Chiu, W. Hawe, DEC TR-301, 1984)."""
    return sum(values) ** 2 / (len(values) * sum(value * value for value in values)) if any(values) else 0.0
