"""The types between the decisions (`oakkeel.admission`) and whatever hosts them.

A front (today `oakkeel.simulator_adapter`) fills in `NodeLimits`, `RequestClass` rows and `Request` objects, calls
the methods of `policy.Keel`, and carries out what comes back through `Host`. Times are whole nanoseconds,
memory is in kilobytes. Nothing here decides or tunes.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Any, Protocol


class Idempotency(Enum):
    """Whether an exchange may take effect again."""

    IDEMPOTENT = "repeatable"
    IDEMPOTENCY_KEY = "deduplicated"
    NON_IDEMPOTENT = "mutating"


class StopKind(Enum):
    """What a host can do to running work."""

    NONE = "none"
    ABORT = "abort"
    SUSPEND = "suspend"


class LoadReportKind(Enum):
    """How callers read the value given to `Host.advise`."""

    NONE = "silent"
    MINIMUM_RANK = "level"  # no exchange ranked below the value is sent here
    CONCURRENCY_LIMIT = "window"  # the most exchanges a caller may have out here
    ADVERTISED_SHARE = "share"  # the chance that a caller does not skip this node


class DownstreamKind(Enum):
    """What the exchanges of this node call."""

    NONE = "nothing"
    SHARED = "shared"
    TIER = "tier"


class Outcome(Enum):
    """How a run or a call ended."""

    COMPLETED = "completed"
    ERROR = "error"
    REJECTED = "denied"  # never ran
    TIMED_OUT = "given up"
    CONNECT_FAILED = "unreached"  # never ran
    RESET = "reset"
    CANCELLED = "stopped"
    NEVER_STARTED = "moot"  # never ran


class RequestState(IntEnum):
    """The states of an exchange; `policy.Keel` alone moves one on."""

    READ = 0  # read, not yet decided
    DELAYED = 1  # in the hold, under the Backpressure wait
    QUEUED = 2  # in the hold, may start
    COALESCED = 3  # waits for the result of the one that it repeats
    RUNNING = 4  # on the cores
    AWAITING_CALL = 5  # off the cores, its call not placed
    CALLING = 6  # off the cores, its call placed
    ORPHANED = 7  # answered, its run still on the cores
    RELEASING = 8  # answered at a call, its memory not yet free
    FINISHED = 9


@dataclass(slots=True, eq=False)
class RequestClass:
    """A row of the table of endpoint groups."""

    index: int
    idempotency: Idempotency
    priority_weight: float
    latency_objective: int
    client_timeout: int
    idempotency_window: int  # a deduplicated exchange may come again within this
    late_weight: float  # of the benefit, for an answer after the SLO time
    degraded_weight: float  # of the benefit, where a call is left out

    @property
    def at_most_once(self) -> bool:
        """It may not take effect again."""
        return self.idempotency is not Idempotency.IDEMPOTENT


@dataclass(slots=True, eq=False)
class Tenant:
    """A tenant and the rate that it may send to the whole fleet (0: not limited)."""

    index: int
    allowance_per_s: float


class ShareStanding(IntEnum):
    """Where an exchange stands among those of all senders: below FAIR denied first, above it run first."""

    OVER_SHARE = -1  # its sender had its share
    WITHIN_SHARE = 0
    RESERVED = 1  # its sender came when it was told to


@dataclass(slots=True, eq=False)
class FairSharingRules:
    """Who counts as one sender, and what each may have; told by the operator."""

    levels: tuple[
        str, ...
    ]  # one level or two, the outermost first: tenant, caller, subject or a field's name
    weights: dict[bytes, float]  # by the value of the level's field; 1 where none is told
    max_flows: int = 256  # senders known at one time, at each level
    max_reservations: int = 1024  # open at one time
    half_life: int = 4_000_000_000  # the age at which what was sent counts half


@dataclass(slots=True, eq=False)
class NodeLimits:
    """What a node is told of itself and its rules when it starts."""

    cores: int
    memory_kb: float
    running_memory_factor: float  # memory of a running exchange over that of a held one
    key_kb: float
    starts_cold: bool
    slow_start_share: float  # share of full speed that a cold node starts at
    slow_start_time: int
    overload_multiple: float  # running exchanges a core that a warm node survives
    drain_grace: int
    marks_retries: bool  # later tries come marked
    max_retry_after: int  # 0: callers take no such advice
    stop_kind: StopKind
    peers: int
    downstream: DownstreamKind
    downstream_quota: float  # mean calls in the hands of what lies below; 0: no bound
    downstream_window: int
    call_linger: int
    cache_ttl: int  # how long an answer may serve other reads; 0: never
    idle_timeout: int
    load_report: LoadReportKind
    over_allowance_weight: float  # benefit of an exchange above its tenant's share
    request_classes: list[RequestClass]
    tenants: list[Tenant]
    fair_sharing: FairSharingRules | None = None  # None: no flow is told from another

    def warmth(self, age: int) -> float:
        """Return the least share of full speed of a node that started so long ago (slow start)."""
        if not self.starts_cold or not self.slow_start_time:
            return 1.0
        warmed = min(1.0, age / self.slow_start_time)
        return self.slow_start_share + (1 - self.slow_start_share) * warmed


@dataclass(slots=True, eq=False)
class Request:
    """One exchange read by this node: the host fills in the first block, the decisions keep the second."""

    request_class: RequestClass
    tenant: Tenant | None
    client: int
    memory_kb: float
    retry_attempt: bool
    remaining_time: int  # until its caller gives up, 0 where not told
    queueing_delay: int  # since it reached the machine
    has_key: bool  # reads of its key may be shared
    is_duplicate: bool  # it repeats an exchange that the host remembers

    state: RequestState = RequestState.READ
    objective_end: int = 0
    deadline: int = 0
    state_since: int = 0  # when it entered its state
    arrived_at: int = 0
    service_time: int = 0  # time spent on the cores so far
    rank: float = 0.0
    failed_calls: int = 0
    committed_call_time: int = 0  # call time booked for a call in flight
    key_retained: bool = False

    flow_keys: tuple[
        tuple[int, bytes], ...
    ] = ()  # its senders by level, as keys and labels; told where shares are fair
    flow: Any = None
    reservation: Any = None  # that it comes by
    share_standing: ShareStanding = ShareStanding.WITHIN_SHARE
    expected_work: float = 0.0  # time on the cores that it was counted with


@dataclass(slots=True)
class Gauges:
    """A node's own gauges, as last read."""

    core_busy: float = 0.0
    run_queue: float = 0.0
    memory_share: float = 0.0
    connections: float = 0.0


class Host(Protocol):
    """What the decisions may ask of the node."""

    def run(self, request: Request) -> None: ...
    def reject(self, request: Request, last: bool, retry_after: int) -> None: ...
    def fail(self, request: Request) -> None: ...
    def cancel(self, request: Request) -> None: ...
    def call(self, request: Request, until: int) -> None: ...
    def skip_call(self, request: Request) -> None: ...
    def coalesce(self, request: Request) -> None: ...
    def retain_key(self, request: Request, duration: int) -> None: ...
    def release_key(self, request: Request) -> None: ...
    def set_timer(self, token: int, at: int) -> None: ...
    def set_health(self, good: bool, stored: bool) -> None: ...
    def report_load(self, value: float) -> None: ...
    def close_idle(self, after: int) -> None: ...
    def note(self, text: str) -> None: ...
