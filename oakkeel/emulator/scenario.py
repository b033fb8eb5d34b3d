"""Runs a scenario in simulated time: a fleet, its clients and injected faults."""

from __future__ import annotations

import hashlib
import json
from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from oakkeel.admission.types import (
    DownstreamKind,
    Idempotency,
    LoadReportKind,
    NodeLimits,
    RequestClass,
    StopKind,
)
from oakkeel.emulator.clients import ClientBehavior, Dispatcher
from oakkeel.emulator.clock import Clock
from oakkeel.emulator.invariants import RuleAudit
from oakkeel.emulator.nodes import SimulatedNode
from oakkeel.units import MS, SECOND

DISCOVERY_DELAY_NS = SECOND  # from a change of the fleet until dispatchers receive it
RESPONSE_TIME_NS = 10 * SECOND  # wait for outstanding responses after the load has ended
DRAIN_TIME_NS = 5 * SECOND  # from the start of a node's drain to its exit, in a release
WARM_UP_STEPS = 8  # of one second each
COLD_SPEED = 0.3  # speed of a cold node, as a share of full speed
PERCENTILES = (0.5, 0.9, 0.99)


class FaultKind(Enum):
    """The kinds of injected faults."""

    SLOW = "slow"  # a node runs at `size` of its speed
    STALL = "still"  # a node stalls
    CRASH = "die"  # a node exits without a drain, and a cold node replaces it
    RELEASE = "release"  # `size` nodes drain one after the other, and a cold node replaces each
    LOAD_SPIKE = "flood"  # the request rate is multiplied by `size`


@dataclass(slots=True, frozen=True)
class FaultEvent:
    """A fault with its start and duration in seconds; faults may overlap."""

    kind: FaultKind
    starts_at: float
    duration: float = 5.0
    size: float = 0.5  # its meaning depends on the kind
    node: int = 0  # index of the affected node, modulo the number of nodes


@dataclass(slots=True, frozen=True)
class RequestClassSpec:
    """A request class of a scenario."""

    priority_weight: float
    cost: int  # nanoseconds of a core
    latency_objective: int  # nanoseconds
    idempotency: Idempotency = Idempotency.IDEMPOTENT


REQUEST_CLASSES = (
    RequestClassSpec(5.0, 30 * MS, 800 * MS),
    RequestClassSpec(1.0, 8 * MS, 400 * MS),
    RequestClassSpec(2.0, 15 * MS, 600 * MS, Idempotency.NON_IDEMPOTENT),
)


@dataclass(slots=True, frozen=True)
class Scenario:
    """A fleet, its load and its faults; runs with the same seed are identical."""

    nodes: int = 4
    cores: int = 4
    load: float = 0.8  # mean load as a share of the capacity of all cores
    seconds: float = 20.0
    dispatchers: int = 4
    request_classes: tuple[RequestClassSpec, ...] = REQUEST_CLASSES
    client_behavior: ClientBehavior = field(default_factory=ClientBehavior)
    events: tuple[FaultEvent, ...] = ()
    seed: int = 1


@dataclass(slots=True)
class ScenarioResult:
    """The result of a scenario; the same scenario gives the same bytes of `record`."""

    requests: int
    goodput: float  # sum of the priority weights of completed requests, reduced for late ones
    max_goodput: float  # the goodput if all requests had completed in time
    counts: dict[str, int]  # requests by result, and other responses by status
    latency_ms: dict[str, float]  # by percentile, such as "0.99"
    breaches: list[str]
    events_processed: int

    def record(self) -> bytes:
        """Return the result as JSON, with the keys of earlier records so that digests stay comparable."""
        values = {
            "asked": self.requests,
            "benefit": self.goodput,
            "of": self.max_goodput,
            "counts": self.counts,
            "latency_ms": self.latency_ms,
            "breaches": self.breaches,
            "happened": self.events_processed,
        }
        return json.dumps(values, sort_keys=True).encode()

    def digest(self) -> str:
        """Return the first 16 hexadecimal digits of the SHA-256 of the JSON record."""
        return hashlib.sha256(self.record()).hexdigest()[:16]


class ScenarioRun:
    """The fleet, dispatchers and clock of one run of a scenario."""

    def __init__(self, scenario: Scenario) -> None:
        """Create the fleet and its dispatchers."""
        self.scenario = scenario
        self.clock = Clock()
        self.audit = RuleAudit()
        self.random = Random(scenario.seed)
        self.nodes_created = 0
        self.nodes = [self._create_node(starts_cold=False) for _ in range(scenario.nodes)]
        costs: list[float] = [spec.cost for spec in scenario.request_classes]
        self.dispatchers = [
            Dispatcher(
                number + 1,
                self.clock,
                self._limits(starts_cold=False),
                costs,
                scenario.client_behavior,
                self.audit,
                self.random.getrandbits(60),
            )
            for number in range(scenario.dispatchers)
        ]
        mean_cost = sum(costs) / len(costs)
        total_cores = scenario.load * scenario.nodes * scenario.cores
        self.dispatcher_rate = total_cores * SECOND / mean_cost / scenario.dispatchers

    def _limits(self, starts_cold: bool) -> NodeLimits:
        return NodeLimits(
            cores=self.scenario.cores,
            memory_kb=100_000.0,
            running_memory_factor=8.0,
            key_kb=0.0,
            starts_cold=starts_cold,
            slow_start_share=COLD_SPEED,
            slow_start_time=WARM_UP_STEPS * SECOND,
            overload_multiple=8.0,
            drain_grace=2 * SECOND,
            marks_retries=True,
            max_retry_after=SECOND,
            stop_kind=StopKind.ABORT,
            peers=self.scenario.nodes,
            downstream=DownstreamKind.NONE,
            downstream_quota=0.0,
            downstream_window=SECOND,
            call_linger=0,
            cache_ttl=0,
            idle_timeout=15 * SECOND,
            load_report=LoadReportKind.NONE,
            excess_allowance_weight=1.0,
            request_classes=self._request_classes(),
            tenants=[],
        )

    def _request_classes(self) -> list[RequestClass]:
        return [
            RequestClass(
                number,
                spec.idempotency,
                spec.priority_weight,
                spec.latency_objective,
                3 * spec.latency_objective,
                0,
                0.0,
                0.0,
            )
            for number, spec in enumerate(self.scenario.request_classes)
        ]

    def _create_node(self, starts_cold: bool) -> SimulatedNode:
        self.nodes_created += 1
        node = SimulatedNode(
            f"n{self.nodes_created}",
            self.clock,
            self._limits(starts_cold),
            self.random.getrandbits(60),
            self.audit,
        )
        if starts_cold:
            for step in range(WARM_UP_STEPS):
                speed = COLD_SPEED + 0.7 * step / WARM_UP_STEPS
                self.clock.call_after(step * SECOND, node.machine.set_speed, speed)
            self.clock.call_after(WARM_UP_STEPS * SECOND, node.machine.set_speed, 1.0)
        return node

    def run(self) -> ScenarioResult:
        """Run the scenario to its end; may be called only once."""
        for dispatcher in self.dispatchers:
            dispatcher.set_nodes(self.nodes)
            dispatcher.set_rate(self.dispatcher_rate)
        for event in self.scenario.events:
            self.clock.call_at(int(event.starts_at * SECOND), self._inject, event)
        self.clock.run(int(self.scenario.seconds * SECOND))
        for dispatcher in self.dispatchers:
            dispatcher.set_rate(0.0)
        self.clock.run(self.clock.now + RESPONSE_TIME_NS)
        return self._result()

    def _inject(self, event: FaultEvent) -> None:
        node = self.nodes[event.node % len(self.nodes)]
        until = self.clock.now + int(event.duration * SECOND)
        match event.kind:
            case FaultKind.LOAD_SPIKE:
                self._spike_load(event.size, until)
            case FaultKind.SLOW:
                self._slow_down(node, event.size, until)
            case FaultKind.STALL:
                self._slow_down(node, 0.0, until)
                self.clock.call_at(until, self.audit.node_stalled, node.name, self.clock.now, until)
            case FaultKind.CRASH:
                node.crash()
                self._replace(node)
            case FaultKind.RELEASE:
                self._start_release(event)

    def _spike_load(self, factor: float, until: int) -> None:
        for dispatcher in self.dispatchers:
            dispatcher.set_rate(self.dispatcher_rate * factor)
            self.clock.call_at(until, dispatcher.set_rate, self.dispatcher_rate)

    def _slow_down(self, node: SimulatedNode, speed: float, until: int) -> None:
        node.machine.set_speed(speed)
        self.clock.call_at(until, node.machine.set_speed, 1.0)

    def _start_release(self, event: FaultEvent) -> None:
        for number in range(int(event.size)):
            delay = int(number * event.duration * SECOND / max(1.0, event.size))
            self.clock.call_after(delay, self._drain, self.nodes[number % len(self.nodes)])

    def _drain(self, node: SimulatedNode) -> None:
        node.drain(DRAIN_TIME_NS)
        self._replace(node)

    def _replace(self, node: SimulatedNode) -> None:
        self.nodes[self.nodes.index(node)] = self._create_node(starts_cold=True)
        self.clock.call_after(DISCOVERY_DELAY_NS, self._publish_nodes)

    def _publish_nodes(self) -> None:
        for dispatcher in self.dispatchers:
            dispatcher.set_nodes(self.nodes)

    def _result(self) -> ScenarioResult:
        counts: Counter[str] = Counter()
        for dispatcher in self.dispatchers:
            counts.update(dispatcher.counts)
        weights = [spec.priority_weight for spec in self.scenario.request_classes]
        mean_weight = sum(weights) / len(weights)
        return ScenarioResult(
            requests=counts["asked"],
            goodput=round(sum(dispatcher.goodput for dispatcher in self.dispatchers), 6),
            max_goodput=round(counts["asked"] * mean_weight, 6),
            counts={str(name): count for name, count in sorted(counts.items())},
            latency_ms=self._latency_percentiles(),
            breaches=self.audit.end(self.clock.now),
            events_processed=self.clock.events_processed,
        )

    def _latency_percentiles(self) -> dict[str, float]:
        latencies = sorted(latency for dispatcher in self.dispatchers for latency in dispatcher.latencies)
        return {
            f"{share:g}": latencies[int(share * (len(latencies) - 1))] / MS if latencies else 0.0
            for share in PERCENTILES
        }


def run_scenario(scenario: Scenario) -> ScenarioResult:
    """Run a scenario and return its result."""
    return ScenarioRun(scenario).run()
