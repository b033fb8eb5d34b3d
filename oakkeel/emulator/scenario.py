"""One day in simulated time: a fleet, its callers, what goes wrong, and what came of it."""

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
from oakkeel.emulator.clock import SECOND, Clock
from oakkeel.emulator.invariants import RuleAudit
from oakkeel.emulator.nodes import MS, SimulatedNode

LISTED = SECOND  # until dispatchers see a change of the fleet


class FaultKind(Enum):
    SLOW = "slow"  # a node at `size` of its speed
    STILL = "still"  # a node stands still
    DIE = "die"  # a node ends without a word, and a cold one takes its place
    RELEASE = "release"  # nodes leave one after the other, `size` of them, each followed by a cold one
    FLOOD = "flood"  # `size` times the rate


@dataclass(slots=True, frozen=True)
class FaultEvent:
    """A trouble from a second on, for so many; troubles may overlap."""

    kind: FaultKind
    at: float
    lasts: float = 5.0
    size: float = 0.5
    node: int = 0


@dataclass(slots=True, frozen=True)
class RequestClassSpec:
    benefit: float
    work: int  # nanoseconds of a core
    slo: int
    effect: Idempotency = Idempotency.IDEMPOTENT


REQUEST_CLASSES = (
    RequestClassSpec(5.0, 30 * MS, 800 * MS),
    RequestClassSpec(1.0, 8 * MS, 400 * MS),
    RequestClassSpec(2.0, 15 * MS, 600 * MS, Idempotency.NON_IDEMPOTENT),
)


@dataclass(slots=True, frozen=True)
class Scenario:
    nodes: int = 4
    cores: int = 4
    load: float = 0.8  # of what all cores can do, in the mean
    seconds: float = 20.0
    dispatchers: int = 4
    groups: tuple[RequestClassSpec, ...] = REQUEST_CLASSES
    manners: ClientBehavior = ClientBehavior()
    events: tuple[FaultEvent, ...] = ()
    seed: int = 1


@dataclass(slots=True)
class ScenarioResult:
    """What came of a day; the same day gives the same bytes of `record`."""

    asked: int
    benefit: float
    of: float  # benefit, had all been in time
    counts: dict[str, int]
    latency_ms: dict[str, float]
    breaches: list[str] = field(default_factory=list)
    happened: int = 0  # in the simulation

    def record(self) -> bytes:
        return json.dumps({name: getattr(self, name) for name in self.__slots__}, sort_keys=True).encode()

    def digest(self) -> str:
        return hashlib.sha256(self.record()).hexdigest()[:16]


class ScenarioRun:
    """A day being played."""

    def __init__(self, day: Scenario) -> None:
        self.day, self.clock, self.audit = day, Clock(), RuleAudit()
        self.random = Random(day.seed)
        self.made = 0
        self.nodes = [self._node(cold=False) for _ in range(day.nodes)]
        self.callers = [
            Dispatcher(
                number + 1,
                self.clock,
                self._limits(False),
                [each.work for each in day.groups],
                day.manners,
                self.audit,
                self.random.getrandbits(60),
            )
            for number in range(day.dispatchers)
        ]
        mean = sum(each.work for each in day.groups) / len(day.groups)
        self.rate = day.load * day.nodes * day.cores * SECOND / mean / day.dispatchers

    def _limits(self, cold: bool) -> NodeLimits:
        groups = [
            RequestClass(number, each.effect, each.benefit, each.slo, 3 * each.slo, 0, 0.0, 0.0)
            for number, each in enumerate(self.day.groups)
        ]
        return NodeLimits(
            cores=self.day.cores,
            memory_kb=100_000.0,
            running_memory_factor=8.0,
            key_kb=0.0,
            starts_cold=cold,
            slow_start_share=0.3,
            slow_start_time=8 * SECOND,
            overload_multiple=8.0,
            drain_grace=2 * SECOND,
            marks_retries=True,
            max_retry_after=SECOND,
            stop_kind=StopKind.ABORT,
            peers=self.day.nodes,
            downstream=DownstreamKind.NONE,
            downstream_quota=0.0,
            downstream_window=SECOND,
            call_linger=0,
            cache_ttl=0,
            idle_timeout=15 * SECOND,
            load_report=LoadReportKind.NONE,
            over_allowance_weight=1.0,
            request_classes=groups,
            tenants=[],
        )

    def _node(self, cold: bool) -> SimulatedNode:
        self.made += 1
        node = SimulatedNode(
            f"n{self.made}", self.clock, self._limits(cold), self.random.getrandbits(60), self.audit
        )
        if cold:
            for step in range(8):  # warmer each second
                self.clock.after(step * SECOND, self._warm, node, 0.3 + 0.7 * step / 8)
            self.clock.after(8 * SECOND, self._warm, node, 1.0)
        return node

    def _warm(self, node: SimulatedNode, factor: float) -> None:
        node.machine.change(factor)

    def play(self) -> ScenarioResult:
        for caller in self.callers:
            caller.list(self.nodes)
            caller.start(self.rate)
        for event in self.day.events:
            self.clock.at(int(event.at * SECOND), self._begin, event)
        self.clock.run(int(self.day.seconds * SECOND))
        for caller in self.callers:
            caller.start(0.0)
        self.clock.run(self.clock.now + 10 * SECOND)  # what was sent is owed its answer
        return self._result()

    def _begin(self, event: FaultEvent) -> None:
        node = self.nodes[event.node % len(self.nodes)]
        until = self.clock.now + int(event.lasts * SECOND)
        if event.kind is FaultKind.FLOOD:
            for caller in self.callers:
                caller.start(self.rate * event.size)
                self.clock.at(until, caller.start, self.rate)
        elif event.kind in (FaultKind.SLOW, FaultKind.STILL):
            node.machine.change(event.size if event.kind is FaultKind.SLOW else 0.0)
            self.clock.at(until, node.machine.change, 1.0)
            if event.kind is FaultKind.STILL:
                self.clock.at(until, self.audit.stood_still, node.name, self.clock.now, until)
        elif event.kind is FaultKind.DIE:
            node.die()
            self._replace(node)
        else:
            for number in range(int(event.size)):
                wait = int(number * event.lasts * SECOND / max(1.0, event.size))
                self.clock.after(wait, self._release, self.nodes[number % len(self.nodes)])

    def _release(self, node: SimulatedNode) -> None:
        node.leave(5 * SECOND)
        self._replace(node)

    def _replace(self, node: SimulatedNode) -> None:
        self.nodes[self.nodes.index(node)] = self._node(cold=True)
        self.clock.after(LISTED, self._list)

    def _list(self) -> None:
        for caller in self.callers:
            caller.list(self.nodes)

    def _result(self) -> ScenarioResult:
        counts: Counter[str] = Counter()
        for caller in self.callers:
            counts.update(caller.counts)
        latencies = sorted(each for caller in self.callers for each in caller.latencies)
        shares = {
            f"{share:g}": latencies[int(share * (len(latencies) - 1))] / MS if latencies else 0.0
            for share in (0.5, 0.9, 0.99)
        }
        mean = sum(each.benefit for each in self.day.groups) / len(self.day.groups)
        return ScenarioResult(
            counts["asked"],
            round(sum(each.benefit for each in self.callers), 6),
            round(counts["asked"] * mean, 6),
            dict(sorted(counts.items())),
            shares,
            self.audit.end(self.clock.now),
            self.clock.happened,
        )


def play(day: Scenario) -> ScenarioResult:
    return ScenarioRun(day).play()
