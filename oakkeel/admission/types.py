"""The types between the decisions (`oakkeel.admission`) and their host.

A host (`oakkeel.node`, `oakkeel.simulator_adapter`) makes one `AdmissionController` for each node, from
`NodeLimits`, a seed and the time. It calls `arrive`, `run_finished`, `call_needed`, `call_finished`,
`client_disconnected`, `drain` and `timer_expired` for what happens, and `schedule` once after all that
happened at one moment; it carries out what the decisions ask of `Host`. Instants and limits are whole
nanoseconds, estimates of durations are floats in nanoseconds, memory is in kilobytes. Nothing here decides.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum, auto
from typing import TYPE_CHECKING, Protocol

from oakkeel.units import SECOND

if TYPE_CHECKING:  # loaded only where an operator asks for fair sharing
    from oakkeel.fair_sharing.heavy_hitters import Flow
    from oakkeel.fair_sharing.reservations import Reservation


# The values of these enums are not the settings' words: the tables of `oakkeel/node_limits.py` map those.


class Idempotency(Enum):
    """Whether a request may take effect more than once."""

    IDEMPOTENT = "repeatable"
    IDEMPOTENCY_KEY = "deduplicated"
    NON_IDEMPOTENT = "mutating"


class StopKind(Enum):
    """What a host can do to running work."""

    NONE = "none"
    ABORT = "abort"
    SUSPEND = "suspend"


class LoadReportKind(Enum):
    """What the value given to `Host.report_load` means to clients."""

    NONE = "silent"
    MINIMUM_RANK = "level"  # no request ranked below the value is sent here
    CONCURRENCY_LIMIT = "window"  # the maximum of requests that a client may have open here
    ADVERTISED_SHARE = "share"  # the probability that a client does not skip this node


class DownstreamKind(Enum):
    """What the requests of this node call."""

    NONE = "nothing"
    SHARED = "shared"
    TIER = "tier"


class Outcome(Enum):
    """How a run or a call ended; the values are labels of metrics."""

    COMPLETED = "completed"
    ERROR = "error"
    REJECTED = "denied"  # without lasting effect: it never ran, or it is idempotent
    TIMED_OUT = "given up"
    CONNECT_FAILED = "unreached"  # never ran
    RESET = "reset"
    CANCELLED = "stopped"
    NEVER_STARTED = "moot"  # never ran


class Admission(Enum):
    """How a request is admitted on arrival."""

    COALESCE = auto()  # it waits for the result of the request that it duplicates
    QUEUE = auto()
    DELAY = auto()  # it is queued after the delay of the backpressure stage


class Rejection(Enum):
    """How a request is rejected that had no lasting effect: it never ran, or it is idempotent."""

    RETRY_ELSEWHERE = auto()  # another node may have capacity
    FINAL = auto()  # a retry elsewhere is not worth its parsing


class RequestState(IntEnum):
    """The states of a request; only `Occupancy.move` changes them."""

    READ = 0  # read, not yet decided
    DELAYED = 1  # queued, under the delay of the backpressure stage
    QUEUED = 2  # may start
    COALESCED = 3  # waits for the result of the one that it duplicates
    RUNNING = 4  # on the cores
    AWAITING_CALL = 5  # paused until its call is placed; it holds its run slot
    CALLING = 6  # paused, its call placed; it holds no run slot
    ORPHANED = 7  # answered, its run still on the cores, in its run slot
    RELEASING = 8  # answered during its call, its memory not yet free
    FINISHED = 9


@dataclass(slots=True, eq=False)
class RequestClass:
    """A class of requests, with weights and time limits."""

    index: int
    idempotency: Idempotency
    priority_weight: float
    latency_objective: int
    client_timeout: int
    idempotency_window: int  # for how long a retry with its idempotency key may come
    late_weight: float  # of the priority weight, for an answer after the latency objective
    degraded_weight: float  # of the priority weight, where the optional call is skipped

    @property
    def at_most_once(self) -> bool:
        """Return whether a request of this class may take effect only once."""
        return self.idempotency is not Idempotency.IDEMPOTENT

    @property
    def is_call_optional(self) -> bool:
        """Return whether a request of this class has weight without its downstream call."""
        return bool(self.degraded_weight)


@dataclass(slots=True, eq=False)
class Tenant:
    """A tenant and the rate that it may send to the whole fleet (0: not limited)."""

    index: int
    allowance_per_s: float


class ShareStatus(IntEnum):
    """How a request stands to the fair share of its flow; the value is added to its rank."""

    EXCEEDED = -1  # its flow has used its share
    WITHIN_SHARE = 0
    RESERVED = 1  # its flow came at the time of a reservation


@dataclass(slots=True, eq=False)
class FairSharingRules:
    """What counts as one flow, and the weight of each, as the operator sets it."""

    levels: tuple[str, ...]  # one or two, the outermost first: tenant, client, subject or a field's name
    weights: dict[bytes, float]  # by the value of the level's field; 1 where none is set
    max_flows: int = 256  # known at one time, at each level
    max_reservations: int = 1024  # open at one time
    half_life: int = 4 * SECOND  # the age at which service time counts half


@dataclass(slots=True, eq=False)
class NodeLimits:
    """The limits and rules of a node, known from its start."""

    cores: int
    memory_kb: float
    running_memory_factor: float  # memory of a running request over that of a queued one
    key_kb: float
    starts_cold: bool
    slow_start_share: float  # share of full speed that a cold node starts at
    slow_start_time: int
    overload_multiple: float  # running requests for each core that a warm node survives
    drain_grace: int
    marks_retries: bool  # dispatchers mark retries
    max_retry_after: int  # 0: clients ignore Retry-After
    stop_kind: StopKind
    peers: int
    downstream: DownstreamKind
    downstream_quota: float  # mean calls in flight downstream; 0: no bound
    downstream_window: int
    call_linger: int
    cache_ttl: int  # how long an answer may serve other reads; 0: never
    idle_timeout: int
    load_report: LoadReportKind
    over_allowance_weight: float  # of the priority weight, above the allowance of its tenant
    request_classes: list[RequestClass]
    tenants: list[Tenant]
    fair_sharing: FairSharingRules | None = None  # None: fair sharing is off

    def warmth(self, age: int) -> float:
        """Return the minimum share of full speed of a node that is `age` nanoseconds old (slow start)."""
        if not self.starts_cold or not self.slow_start_time:
            return 1.0
        warmed = min(1.0, age / self.slow_start_time)
        return self.slow_start_share + (1 - self.slow_start_share) * warmed


@dataclass(slots=True, eq=False)
class Request:
    """One request: the host sets the first block of fields, the decisions the rest."""

    request_class: RequestClass
    tenant: Tenant | None
    client: int
    memory_kb: float
    retry_attempt: bool
    remaining_time: int  # until its client times out; 0 where unknown
    queueing_delay: int  # since it reached the machine, until it was read
    has_key: bool  # reads of its key may be shared
    is_duplicate: bool  # the host retains the key of an earlier request with its key

    state: RequestState = RequestState.READ
    objective_end: int = 0
    deadline: int = 0
    state_since: int = 0  # when it entered its state
    arrived_at: int = 0
    service_time: int = 0  # on the cores so far
    rank: float = 0.0  # 0 lowest to 1 highest, plus the share status: -1 to 2
    failed_calls: int = 0
    committed_call_time: int = 0  # booked for a call in flight
    key_retained: bool = False

    # For fair sharing: a key and a label for each level, the outermost first.
    flow_keys: tuple[tuple[int, bytes], ...] = ()
    flow: Flow | None = None
    reservation: Reservation | None = None  # that it uses
    share_status: ShareStatus = ShareStatus.WITHIN_SHARE
    expected_work: float = 0.0  # service time in nanoseconds that its flow was charged


@dataclass(slots=True)
class Gauges:
    """The gauges of a node, as last read."""

    core_busy: float = 0.0
    run_queue: float = 0.0
    memory_share: float = 0.0
    connections: float = 0.0


class Host(Protocol):
    """What the decisions may ask of the node."""

    def run(self, request: Request) -> None:
        """Start the request on the cores."""

    def reject(self, request: Request, final: bool, retry_after: int) -> None:
        """Answer that the request had no lasting effect: it never ran, or it is idempotent.

        `final` if a retry elsewhere is not worth its parsing.
        """

    def fail(self, request: Request) -> None:
        """Answer that the request failed: it may have taken effect."""

    def cancel(self, request: Request) -> None:
        """Stop the run of the request."""

    def call(self, request: Request, until: int) -> None:
        """Place the downstream call of the request, which ends by `until`."""

    def skip_call(self, request: Request) -> None:
        """Let the run of the request go on without the call."""

    def coalesce(self, request: Request) -> None:
        """Let the request wait for the result of the one that it duplicates."""

    def retain_key(self, request: Request, duration: int) -> None:
        """Treat later requests with the same key as duplicates for `duration` nanoseconds."""

    def release_key(self, request: Request) -> None:
        """Drop the key of the request: it never ran."""

    def set_timer(self, token: int, at: int) -> None:
        """Call `AdmissionController.timer_expired` with the token at `at`."""

    def set_health(self, good: bool, stored: bool) -> None:
        """Set the answer to health checks; `stored` if checks do no work."""

    def report_load(self, value: float) -> None:
        """Give clients the value; `NodeLimits.load_report` tells its meaning."""

    def set_idle_timeout(self, timeout: int) -> None:
        """Close connections that are idle for `timeout` nanoseconds, from now on."""

    def note(self, text: str) -> None:
        """Log a remark."""
