"""The plan of a soak run: settings of the node, requests and disruptions, all drawn from one seed.

This module does no I/O: one seed always gives the same plan.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum
from random import Random
from typing import Any

from oakkeel.fakes.flood import FloodKind
from oakkeel.units import MS, SECOND

REQUESTS_PER_S = (25.0, 60.0)
MEAN_WORK_S = (0.02, 0.06)
BODY_BYTES = (0, 600)
SUBJECTS = 12  # distinct subjects: few, so that reads are often shared
REPEAT_RATIO = 0.25  # of the requests with an idempotency key, that repeat an earlier key
MAX_REPEAT_AGE_S = 1.0  # of the request that is repeated
QUIET_START_S = 1.0  # before the first disruption
DISRUPTION_EVERY_S = (0.4, 1.6)
MAX_LOSS_S = 0.05  # commands of this time may be lost with the engine's link
MAX_PAUSE_S = 0.5  # of the node's process
LONG_RUN_RATIO = 0.02  # of the requests, with work of a large part of their timeout
LONG_RUN_TIMEOUT_RATIO = (0.3, 0.9)


MEMORY_MB = 64  # limit of the node: "32 to 192 MB by language and day"
FLOOD_CLIENTS = (20, 300)
FLOOD_LENGTH_S = (1.0, 5.0)
FLOODED_DRAIN_RATIO = 0.5  # of the runs, whose drain is flooded
FLOOD_BEFORE_DRAIN_S = 1.0  # from the start of such a flood to the drain
FLOOD_SEED = 4096  # added to the seed: floods are drawn apart, and leave all else of a plan as it is

# Kinds that need more occasions than others to meet the requests that they could harm.
FREQUENT_RATIO = 0.5


class Effect(Enum):
    """Whether a request may run again; the values are those of the settings."""

    READ = "read_like"
    KEYED = "idempotency_key"
    MUTATING = "non_idempotent"


class DisruptionKind(Enum):
    """What a disruption does; the values name it on the command line."""

    ENGINE_BREAK = "engine-break"  # the link is reset again and again, and the last commands may be lost
    ENGINE_PIECES = "engine-pieces"  # notices in pieces, some twice, remarks between them
    ENGINE_RESTART = "engine-restart"  # another process at the same address, which knows no earlier run
    CATALOGUE_FAULTS = "catalogue-faults"  # replies missing, doubled, refused, under other IDs, resets
    DISPATCHER_RESET = "dispatcher-reset"
    HALF_CLOSE = "half-close"  # the dispatcher ends its side of its connections, and reads on
    CANCELS = "cancels"  # requests that are taken back
    SLOW_WRITE = "slow-write"  # requests whose bytes come one after the other for up to 3 s
    UNKNOWN_IDS = "unknown-ids"  # clients with IDs that the engine does not know
    MALFORMED = "malformed"  # clients whose bytes can't be read, or whose fields are out of range
    SILENT_FLOOD = "silent-flood"
    RELOAD = "reload"  # new addresses of engine and catalogue with SIGHUP, up to three within 0.2 s
    PAUSE = "pause"  # SIGSTOP and SIGCONT
    FLOOD = "flood"  # up to 300 clients that send at full speed, or that hold their connections


# Floods are drawn apart: they last for seconds and take most of a node's time.
INTERLEAVED_KINDS: tuple[DisruptionKind, ...] = tuple(
    kind for kind in DisruptionKind if kind is not DisruptionKind.FLOOD
)
FREQUENT_KINDS: tuple[DisruptionKind, ...] = (
    DisruptionKind.ENGINE_BREAK,
    DisruptionKind.SLOW_WRITE,
    DisruptionKind.UNKNOWN_IDS,
)


@dataclass(frozen=True, slots=True)
class Group:
    """An endpoint group."""

    name: str
    effect: Effect
    objective_s: float
    timeout_s: float
    window_s: float
    skip_weight: float  # 0: its calls are not optional
    max_calls: int


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A request to send; times are seconds, `due_s` from the start of the load."""

    number: int
    due_s: float
    dispatcher: int
    group: Group
    body: bytes
    key: str  # idempotency key or subject; empty: none
    work_s: float
    calls: int


@dataclass(frozen=True, slots=True)
class Flood:
    """What the clients of a flood send, and their number."""

    kind: FloodKind
    clients: int


@dataclass(frozen=True, slots=True)
class Disruption:
    """A disruption; times are seconds, `start_s` from the start of the load."""

    start_s: float
    length_s: float
    kind: DisruptionKind
    size: float  # 0 to 1; the kind defines its meaning
    flood: Flood | None = None


@dataclass(frozen=True, slots=True)
class Plan:
    """All that a soak run does."""

    seed: int
    duration_s: float
    groups: tuple[Group, ...]
    can_stop_runs: bool
    fresh_s: float  # time for which the result of a read may be shared
    grace_s: float
    stop_s: float
    dispatchers: int
    memory_mb: int
    requests: tuple[PlannedRequest, ...]
    disruptions: tuple[Disruption, ...]

    def without(self, disruption: Disruption) -> Plan:
        """Return the plan without one of its disruptions."""
        return replace(self, disruptions=tuple(other for other in self.disruptions if other != disruption))

    def longest_group(self) -> Group:
        """Return the group whose requests may stay open for longest."""
        return max(self.groups, key=lambda group: group.timeout_s)

    def settings(self) -> dict[str, Any]:
        """Return the `settings` object of the node's configuration."""
        return {
            "extra": {
                "cores": 4,
                "heap-kb": 90000.0,
                "run-factor": 8.0,
                "halt": "abort" if self.can_stop_runs else "silent",
                "depends-on": "tier",
                "gauges": ["core_use", "on_cores", "heap_share", "links"],
                "say": "share_of",
                "readiness": True,
                "fresh": int(self.fresh_s * SECOND),
                "key-kb": 8.0,
                "linger": 200 * MS,
                "passes-deadline": True,
                "hangup-seen": True,
                "class-skip-worth": [group.skip_weight for group in self.groups],
            },
            "obligations": {
                "fall-multiple": 8.0,
                "drain-grace": int(self.grace_s * SECOND),
                "cold": 10 * SECOND,
                "cold-from": 0.25,
            },
            "ceilings": {"retry-after": True, "max-retry-after": SECOND},
            "clients": {"marks-retry": True},
            "peers-total": 4,
            "classes": [
                {
                    "name": group.name,
                    "effect": group.effect.value,
                    "aim": int(group.objective_s * SECOND),
                    "hard-limit": int(group.timeout_s * SECOND),
                    "window": int(group.window_s * SECOND),
                    "worth": 1.0,
                }
                for group in self.groups
            ],
        }


def draw_plan(seed: int, duration_s: float, without: frozenset[DisruptionKind] = frozenset()) -> Plan:
    """Draw a plan; the kinds in `without` are left out and change nothing else."""
    random = Random(seed)
    groups = _draw_groups(random)
    dispatchers = random.randint(2, 4)
    can_stop_runs = random.random() < 0.75
    fresh_s = random.choice((0.0, 0.3, 1.0))
    grace_s = random.choice((0.3, 1.0, 2.0))
    stop_s = grace_s + random.choice((0.5, 1.2))
    requests = _draw_requests(random, duration_s, groups, dispatchers)
    disruptions = _draw_disruptions(random, duration_s) + _draw_floods(seed, duration_s, stop_s)
    return Plan(
        seed=seed,
        duration_s=duration_s,
        groups=groups,
        can_stop_runs=can_stop_runs,
        fresh_s=fresh_s,
        grace_s=grace_s,
        stop_s=stop_s,
        dispatchers=dispatchers,
        memory_mb=MEMORY_MB,
        requests=requests,
        disruptions=tuple(disruption for disruption in disruptions if disruption.kind not in without),
    )


def _draw_groups(random: Random) -> tuple[Group, ...]:
    scale = random.choice((0.4, 1.0, 1.0))
    drawn = []
    for name, effect, max_calls in (
        ("read", Effect.READ, 0),
        ("lookup", Effect.READ, 4),
        ("order", Effect.KEYED, 2),
        ("pay", Effect.MUTATING, 3),
    ):
        objective_s = scale * random.uniform(1.5, 3.0)
        drawn.append(
            Group(
                name=name,
                effect=effect,
                objective_s=objective_s,
                timeout_s=objective_s * random.uniform(1.5, 3.0),
                window_s=random.uniform(1.0, 4.0),
                skip_weight=random.choice((0.0, 0.5)),
                max_calls=max_calls,
            )
        )
    return tuple(drawn)


def _draw_requests(
    random: Random, duration_s: float, groups: tuple[Group, ...], dispatchers: int
) -> tuple[PlannedRequest, ...]:
    rate = random.uniform(*REQUESTS_PER_S)
    mean_work_s = random.uniform(*MEAN_WORK_S)
    requests: list[PlannedRequest] = []
    due_s = random.expovariate(rate)
    while due_s < duration_s:
        group = random.choice(groups)
        request = PlannedRequest(
            number=len(requests),
            due_s=due_s,
            dispatcher=random.randrange(dispatchers),
            group=group,
            body=random.randbytes(random.randint(*BODY_BYTES)),
            key=_draw_key(random, group, len(requests)),
            work_s=_draw_work(random, group, mean_work_s),
            calls=random.randint(group.max_calls // 2, group.max_calls),
        )
        requests.append(_repeat_earlier(random, request, requests))
        due_s += random.expovariate(rate)
    return tuple(requests)


def _draw_work(random: Random, group: Group, mean_work_s: float) -> float:
    if random.random() < LONG_RUN_RATIO:
        return group.timeout_s * random.uniform(*LONG_RUN_TIMEOUT_RATIO)
    return mean_work_s * random.lognormvariate(-0.2, 0.63)


def _draw_key(random: Random, group: Group, number: int) -> str:
    if group.effect is Effect.READ:
        return f"s{random.randrange(SUBJECTS)}"
    return f"k{number}" if group.effect is Effect.KEYED else ""


def _repeat_earlier(
    random: Random, request: PlannedRequest, requests: list[PlannedRequest]
) -> PlannedRequest:
    """Return the request, or a repeat of an earlier one with an idempotency key of the same group."""
    earlier = [
        other
        for other in requests[-60:]
        if other.group == request.group and request.due_s - other.due_s < MAX_REPEAT_AGE_S
    ]
    if request.group.effect is not Effect.KEYED or not earlier or random.random() > REPEAT_RATIO:
        return request
    original = random.choice(earlier)
    return replace(request, key=original.key, body=original.body, dispatcher=original.dispatcher)


def _draw_disruptions(random: Random, duration_s: float) -> list[Disruption]:
    disruptions = []
    start_s = QUIET_START_S
    while (start_s := start_s + random.uniform(*DISRUPTION_EVERY_S)) < duration_s:
        for _ in range(random.choice((1, 1, 2))):
            kind: DisruptionKind = random.choice(INTERLEAVED_KINDS)
            if random.random() < FREQUENT_RATIO:
                kind = random.choice(FREQUENT_KINDS)
            disruptions.append(Disruption(start_s, random.uniform(0.1, 2.0), kind, random.random()))
    return disruptions


def _draw_floods(seed: int, duration_s: float, stop_s: float) -> list[Disruption]:
    """Draw a flood under load and, in some runs, one that goes on through the drain."""
    random = Random(seed + FLOOD_SEED)
    starts_s = [random.uniform(QUIET_START_S, max(QUIET_START_S, duration_s - stop_s))]
    if random.random() < FLOODED_DRAIN_RATIO:
        starts_s.append(max(QUIET_START_S, duration_s - stop_s - FLOOD_BEFORE_DRAIN_S))
    return [
        Disruption(
            start_s,
            random.uniform(*FLOOD_LENGTH_S),
            DisruptionKind.FLOOD,
            random.random(),
            Flood(random.choice(list(FloodKind)), random.randint(*FLOOD_CLIENTS)),
        )
        for start_s in starts_s
    ]
