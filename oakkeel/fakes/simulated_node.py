"""A node in simulated time, with clients that honour or ignore Retry-After, without sockets or a clock.

Runs share the cores: with more than one run a core, the time of each run grows in proportion.
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
Event = tuple[int, int, Callable[[], None]]  # time in nanoseconds, order of scheduling, callback

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
    excess_allowance_weight=1.0,
    request_classes=[],
    tenants=[Tenant(0, 0.0)],
)


@dataclass(eq=False)
class SimulatedClient:
    """Sends requests at random intervals; retries a rejected one as the node asks or after a fixed delay."""

    name: bytes
    rate: float  # first attempts a second
    tenant: bytes = b""
    honors_retry_after: bool = True
    max_attempts: int = 4  # of one request
    fixed_retry_delay: int = 20 * MS  # nanoseconds, if the client does not honour Retry-After
    first_attempts: int = 0  # number of requests sent
    counts: Counter[str] = field(default_factory=Counter)  # attempts ("tries") and outcomes
    retry_delays: list[int] = field(default_factory=list)  # delays that the node gave, nanoseconds
    scheduled_returns: int = 0  # retries at exactly the time that the node gave
    admitted_returns: int = 0  # scheduled returns that were admitted


class SimulatedNode:
    """The admission of a node, with simulated cores.

    `fair` holds the rules of fair sharing; None: no fair sharing.
    """

    def __init__(
        self,
        fair: FairSharingRules | None,
        seed: int,
        cores: int = 4,
        work: int = 20 * MS,
        slowdown: float = 1.0,
        objective: int = 500 * MS,
        starts_cold: bool = False,
        max_retry_after: int = 5 * SECOND,
        **limits: Any,
    ) -> None:
        """Start a node; `work` and `objective` in nanoseconds; `slowdown` multiplies the time of each run."""
        base = replace(LIMITS, cores=cores, starts_cold=starts_cold, max_retry_after=max_retry_after)
        request_class = RequestClass(0, Idempotency.IDEMPOTENT, 1.0, objective, 4 * objective, 0, 0.0, 0.0)
        self.limits = replace(base, request_classes=[request_class], fair_sharing=fair, **limits)
        self.random = Random(seed)
        self.now = 1000 * SECOND
        self.event_order = count()
        self.events: list[Event] = []
        self.work = work
        self.slowdown = slowdown
        self.running_count = 0
        self.clients: list[SimulatedClient] = []
        self.attempts_by_request: dict[Request, tuple[SimulatedClient, int, bool]] = {}
        self.admission = AdmissionController(self, self.limits, seed, self.now)

    def __getattr__(self, name: str) -> Callable[..., None]:
        """Ignore the methods of `Host` that are not simulated: health, load reports, connections."""
        if name.startswith("_") or name == "admission":
            raise AttributeError(name)
        return lambda *arguments: None

    def schedule_at(
        self, time_ns: int, callback: Callable[[*Arguments], None], *arguments: *Arguments
    ) -> None:
        """Schedule a callback at a time, in nanoseconds."""
        event: Event = (time_ns, next(self.event_order), partial(callback, *arguments))
        heappush(self.events, event)

    def run_until(self, time_ns: int) -> None:
        """Run all events up to a time, in nanoseconds."""
        while self.events and self.events[0][0] <= time_ns:
            self.now, _, callback = heappop(self.events)
            callback()
            self.admission.schedule(self.now)
        self.now = time_ns

    def run_for(self, seconds: float) -> None:
        """Run all events of the next `seconds`."""
        self.run_until(self.now + int(seconds * SECOND))

    def add_clients(self, *clients: SimulatedClient) -> None:
        """Add clients, which start to send."""
        for client in clients:
            self.clients.append(client)
            self._schedule_first(client)

    def _schedule_first(self, client: SimulatedClient) -> None:
        if client.rate > 0:
            self.schedule_at(
                self.now + int(self.random.expovariate(client.rate) * SECOND), self._send_first, client
            )

    def _send_first(self, client: SimulatedClient) -> None:
        if client in self.clients:
            client.first_attempts += 1
            self.send(client, 1)
            self._schedule_first(client)

    def send(self, client: SimulatedClient, attempt: int, is_scheduled_return: bool = False) -> None:
        """Send one attempt of a request."""
        client.counts["tries"] += 1
        request = Request(self.limits.request_classes[0], None, 0, 10.0, attempt > 1, 0, 0, False, False)
        if fair := self.limits.fair_sharing:
            labels = {"tenant": client.tenant, "caller": client.name}
            key = 0
            flow_keys = []
            for level in fair.levels:
                key = hash((key, labels[level])) & (1 << 62) - 1
                flow_keys.append((key, labels[level]))
            request.flow_keys = tuple(flow_keys)
        self.attempts_by_request[request] = client, attempt, is_scheduled_return
        client.scheduled_returns += is_scheduled_return
        self.admission.arrive(self.now, request)

    def run(self, request: Request) -> None:
        """Run a request on the cores; its time grows with the number of runs."""
        client, _, is_scheduled_return = self.attempts_by_request[request]
        client.admitted_returns += is_scheduled_return
        self.running_count += 1
        slowdown = max(1.0, self.running_count / self.limits.cores) * self.slowdown
        run_time = self.work * (0.5 + self.random.random()) * slowdown
        self.schedule_at(self.now + int(run_time), self._finish_run, request)

    def _finish_run(self, request: Request) -> None:
        self.running_count -= 1
        self.admission.run_finished(self.now, request, Outcome.COMPLETED)
        if request in self.attempts_by_request:
            client, _, _ = self.attempts_by_request.pop(request)
            client.counts["in time" if self.now <= request.objective_end else "late"] += 1

    def reject(self, request: Request, is_final: bool, retry_after: int) -> None:
        """Count a rejection, and schedule the retry of the client."""
        client, attempt, _ = self.attempts_by_request.pop(request)
        client.counts["denied"] += 1
        client.retry_delays.append(retry_after)
        if attempt >= client.max_attempts:
            client.counts["given up"] += 1
        elif client.honors_retry_after:
            has_reservation = retry_after < self.limits.max_retry_after
            self.schedule_at(self.now + retry_after, self.send, client, attempt + 1, has_reservation)
        else:
            self.schedule_at(self.now + client.fixed_retry_delay, self.send, client, attempt + 1)

    def fail(self, request: Request) -> None:
        """Count a failed request."""
        if request in self.attempts_by_request:
            self.attempts_by_request.pop(request)[0].counts["terminated"] += 1

    def set_timer(self, token: int, due_at: int) -> None:
        """Call `timer_expired` with the token at a time."""
        self.schedule_at(due_at, self._on_timer, token)

    def _on_timer(self, token: int) -> None:
        busy = min(1.0, self.running_count / self.limits.cores)
        self.admission.timer_expired(self.now, token, Gauges(busy, float(self.running_count), 0.1, 1.0))


def max_min_shares(rates: list[float], capacity: float) -> list[float]:
    """Return max-min shares of a capacity by bisection, independently of the algorithm under test."""
    if sum(rates) <= capacity:
        return list(rates)
    low = 0.0
    high = max(rates)
    for _ in range(100):
        level = (low + high) / 2
        low, high = (level, high) if sum(min(rate, level) for rate in rates) < capacity else (low, level)
    return [min(rate, low) for rate in rates]


def jain_index(values: list[float]) -> float:
    """Return Jain's fairness index: 1 if all values are equal (Jain, Chiu, Hawe, DEC TR-301, 1984)."""
    return sum(values) ** 2 / (len(values) * sum(value * value for value in values)) if any(values) else 0.0
