"""The interface between the decisions (`oakkeel.admission`) and their host.

A host (`oakkeel.node`, `oakkeel.simulator_adapter`) makes one `AdmissionController` for each node, from
`NodeLimits`, a seed and the time. It calls `arrive`, `run_finished`, `call_needed`, `call_finished`,
`client_disconnected`, `drain` and `timer_expired` for events, and `schedule` once after all events of one
moment; it implements `Host`, through which the decisions take effect. Instants and time limits are whole
nanoseconds, estimates of durations are floats in nanoseconds, memory is in kilobytes. This module makes no
decisions.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum, auto
from typing import TYPE_CHECKING, Protocol

from oakkeel.units import SECOND

if TYPE_CHECKING:  # loaded only if an operator enables fair sharing
    from oakkeel.fair_sharing.heavy_hitters import Flow
    from oakkeel.fair_sharing.reservations import Reservation


# The values of these enums are not the values in the settings; `oakkeel/node_limits.py` translates those.


class Idempotency(Enum):
    """Whether a request may take effect more than once."""

    IDEMPOTENT = "repeatable"  # it may run any number of times
    IDEMPOTENCY_KEY = "deduplicated"  # it may take effect once; its key identifies duplicates
    NON_IDEMPOTENT = "mutating"  # it may take effect once


class StopKind(Enum):
    """The way in which a host can stop running work."""

    NONE = "none"  # a run can't be stopped
    ABORT = "abort"
    SUSPEND = "suspend"


class LoadReportKind(Enum):
    """What the value passed to `Host.report_load` means to clients."""

    NONE = "silent"
    MINIMUM_RANK = "level"  # no request ranked below the value is sent here
    CONCURRENCY_LIMIT = "window"  # the maximum number of requests that a client may have open here
    ADVERTISED_SHARE = "share"  # the probability that a client does not skip this node


class DownstreamKind(Enum):
    """The kind of downstream service that the requests of this node call."""

    NONE = "nothing"
    SHARED = "shared"  # calls keep within the downstream quota of the node
    TIER = "tier"  # calls have no quota


class Outcome(Enum):
    """How a run or a call ended; the values are labels of metrics."""

    COMPLETED = "completed"
    ERROR = "error"
    REJECTED = "denied"  # it had no lasting effect: it never ran, or its request is idempotent
    TIMED_OUT = "given up"
    CONNECT_FAILED = "unreached"  # it never ran: there was no connection
    RESET = "reset"
    CANCELLED = "stopped"
    NEVER_STARTED = "moot"  # it never ran


class Admission(Enum):
    """How a request is admitted on arrival."""

    COALESCE = auto()  # the request waits for the result of the request that it duplicates
    QUEUE = auto()
    DELAY = auto()  # the request is queued after the delay of the backpressure stage


class Rejection(Enum):
    """Whether the client of a rejected request may retry on another node.

    A rejected request had no lasting effect: it never ran, or it is idempotent.
    """

    RETRY_ON_OTHER_NODE = auto()  # another node may have capacity
    FINAL = auto()  # a retry on another node would only add parsing work there


class RequestState(IntEnum):
    """The states of a request; only `Occupancy.move` changes them."""

    READ = 0  # read, not yet admitted or rejected
    DELAYED = 1  # admitted; queued after the delay of the backpressure stage
    QUEUED = 2  # may start
    COALESCED = 3  # waits for the result of the request that it duplicates
    RUNNING = 4  # on the cores
    AWAITING_CALL = 5  # paused until its call is placed; it holds its run slot
    CALLING = 6  # paused during its call; it holds no run slot
    ORPHANED = 7  # answered, but its run is still on the cores and holds its run slot
    RELEASING = 8  # answered during its call; its memory is not free yet
    FINISHED = 9


@dataclass(slots=True, eq=False)
class RequestClass:
    """A class of requests, with weights and time limits."""

    index: int  # position in `NodeLimits.request_classes`
    idempotency: Idempotency
    priority_weight: float
    latency_objective: int
    client_timeout: int
    idempotency_window: int  # time for which a retry with its idempotency key may arrive
    late_weight: float  # factor on the priority weight for an answer after the latency objective
    degraded_weight: float  # factor on the priority weight if the optional call is skipped

    @property
    def at_most_once(self) -> bool:
        """Return whether a request of this class may take effect only once."""
        return self.idempotency is not Idempotency.IDEMPOTENT

    @property
    def is_call_optional(self) -> bool:
        """Return whether a request of this class still has weight without its downstream call."""
        return bool(self.degraded_weight)


@dataclass(slots=True, eq=False)
class Tenant:
    """A tenant and the rate of requests that it may send to the whole fleet."""

    index: int  # position in `NodeLimits.tenants`
    allowance_per_s: float  # requests per second; 0: not limited


class ShareStatus(IntEnum):
    """The relation of a request to the fair share of its flow; the value is added to its rank."""

    EXCEEDED = -1  # its flow has used its share
    WITHIN_SHARE = 0
    RESERVED = 1  # its flow retried at the time of a reservation


@dataclass(slots=True, eq=False)
class FairSharingRules:
    """The fields that define a flow, the weights of flows and the bounds on memory."""

    levels: tuple[str, ...]  # one or two, the outermost first: tenant, client, subject or a field's name
    weights: dict[bytes, float]  # by the value of the level's field; 1 where none is set
    max_flows: int = 256  # in the table of each level at one time
    max_reservations: int = 1024  # open at one time
    half_life: int = 4 * SECOND  # age at which service time has half its weight


@dataclass(slots=True, eq=False)
class NodeLimits:
    """The limits and rules of a node, known from its start."""

    cores: int
    memory_kb: float
    running_memory_factor: float  # memory of a running request divided by its memory when queued
    key_kb: float  # memory of one retained idempotency key
    starts_cold: bool
    slow_start_share: float  # share of full speed at the start of a cold node
    slow_start_time: int  # time from the start of a cold node to full speed
    overload_multiple: float  # running requests for each core that a warm node survives
    drain_grace: int  # time for which a draining node still admits requests
    marks_retries: bool  # dispatchers mark retries
    max_retry_after: int  # 0: clients ignore Retry-After
    stop_kind: StopKind
    peers: int  # number of nodes in the fleet, this node included
    downstream: DownstreamKind
    downstream_quota: float  # maximum mean of calls in flight downstream; 0: no bound
    downstream_window: int  # time over which that mean is taken
    call_linger: int  # time for which a call that is given up may still occupy the service
    cache_ttl: int  # time for which an answer may serve other reads; 0: none
    idle_timeout: int  # maximum idle time of a connection
    load_report: LoadReportKind
    excess_allowance_weight: float  # factor on the priority weight above the allowance of the tenant
    request_classes: list[RequestClass]
    tenants: list[Tenant]
    fair_sharing: FairSharingRules | None = None  # None: fair sharing is off

    def warmth(self, age: int) -> float:
        """Return the minimum share of full speed of a node of this age, in nanoseconds (slow start)."""
        if not self.starts_cold or not self.slow_start_time:
            return 1.0
        progress = min(1.0, age / self.slow_start_time)
        return self.slow_start_share + (1 - self.slow_start_share) * progress


@dataclass(slots=True, eq=False)
class Request:
    """One request: the host sets the first block of fields, the decisions set the others."""

    request_class: RequestClass
    tenant: Tenant | None
    client: int
    memory_kb: float
    retry_attempt: bool
    remaining_time: int  # until its client times out; 0 if unknown
    queueing_delay: int  # from its arrival at the machine until it was read
    has_key: bool  # duplicates can be recognized by its key
    is_duplicate: bool  # the host retains the same key from an earlier request

    state: RequestState = RequestState.READ
    objective_end: int = 0  # latest time for an answer that meets the latency objective
    deadline: int = 0  # latest time for any answer
    state_since: int = 0  # when it entered its state
    arrived_at: int = 0
    service_time: int = 0  # time on the cores so far
    rank: float = 0.0  # 0 (lowest) to 1 (highest) plus the share status, so -1 to 2
    failed_calls: int = 0
    committed_call_time: int = 0  # downstream time booked for its call in flight
    is_key_retained: bool = False

    # For fair sharing; `flow_keys` has a key and a label for each level, the outermost first.
    flow_keys: tuple[tuple[int, bytes], ...] = ()
    flow: Flow | None = None
    reservation: Reservation | None = None  # the reservation that this request uses
    share_status: ShareStatus = ShareStatus.WITHIN_SHARE
    expected_work: float = 0.0  # service time in nanoseconds that its flow was charged


@dataclass(slots=True)
class Gauges:
    """The gauges of a node, as last read."""

    core_busy: float = 0.0  # share of the cores that is busy
    run_queue: float = 0.0  # number of tasks that run on a core or wait for one
    memory_share: float = 0.0  # share of the memory that is in use
    connections: float = 0.0  # number of open connections


class Host(Protocol):
    """The actions that the decisions may request from the node."""

    def run(self, request: Request) -> None:
        """Start the request on the cores."""

    def reject(self, request: Request, is_final: bool, retry_after: int) -> None:
        """Answer that the request had no lasting effect: it never ran, or it is idempotent.

        `is_final` is true if a retry on another node would only add parsing work there.
        """

    def fail(self, request: Request) -> None:
        """Answer that the request failed: it may have taken effect."""

    def cancel(self, request: Request) -> None:
        """Stop the run of the request."""

    def call(self, request: Request, call_end: int) -> None:
        """Place the downstream call of the request, which ends by `call_end`."""

    def skip_call(self, request: Request) -> None:
        """Continue the run of the request without the call."""

    def coalesce(self, request: Request) -> None:
        """Let the request wait for the result of the request that it duplicates."""

    def retain_key(self, request: Request, duration: int) -> None:
        """Treat later requests with the same key as duplicates for `duration` nanoseconds."""

    def release_key(self, request: Request) -> None:
        """Drop the key of a request that never ran."""

    def set_timer(self, token: int, due_at: int) -> None:
        """Call `AdmissionController.timer_expired` with the token at `due_at`."""

    def set_health(self, is_healthy: bool, is_stored: bool) -> None:
        """Set the answer to health checks; if `is_stored`, a check returns it without computing anything."""

    def report_load(self, value: float) -> None:
        """Send clients the value; `NodeLimits.load_report` defines its meaning."""

    def set_idle_timeout(self, timeout: int) -> None:
        """From now on, close connections that are idle for `timeout` nanoseconds."""

    def note(self, text: str) -> None:
        """Log a remark."""
