"""The types between the decisions (`oakkeel.admission`) and whatever hosts them.

A front (today `oakkeel.simulator_adapter`) fills in `NodeLimits`, `RequestClass` rows and `Request` objects, calls
the methods of `policy.Keel`, and carries out what comes back through `Host`. Times are whole nanoseconds,
memory is in kilobytes. Nothing here decides or tunes.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, IntEnum
from typing import Any, Protocol


class Effect(Enum):
    """Whether an exchange may take effect again."""

    REPEATABLE = "repeatable"
    DEDUPLICATED = "deduplicated"
    MUTATING = "mutating"


class StopKind(Enum):
    """What a host can do to running work."""

    NONE = "none"
    ABORT = "abort"
    SUSPEND = "suspend"


class LoadReportKind(Enum):
    """How callers read the value given to `Host.advise`."""

    SILENT = "silent"
    LEVEL = "level"  # no exchange ranked below the value is sent here
    WINDOW = "window"  # the most exchanges a caller may have out here
    SHARE = "share"  # the chance that a caller does not skip this node


class DownstreamKind(Enum):
    """What the exchanges of this node call."""

    NOTHING = "nothing"
    SHARED = "shared"
    TIER = "tier"


class Outcome(Enum):
    """How a run or a call ended."""

    COMPLETED = "completed"
    ERROR = "error"
    DENIED = "denied"  # never ran
    GIVEN_UP = "given up"
    UNREACHED = "unreached"  # never ran
    RESET = "reset"
    STOPPED = "stopped"
    MOOT = "moot"  # never ran


class RequestState(IntEnum):
    """The states of an exchange; `policy.Keel` alone moves one on."""

    READ = 0  # read, not yet decided
    DELAYED = 1  # in the hold, under the Backpressure wait
    HELD = 2  # in the hold, may start
    SHARING = 3  # waits for the result of the one that it repeats
    RUNNING = 4  # on the cores
    AT_CALL = 5  # off the cores, its call not placed
    CALLING = 6  # off the cores, its call placed
    ORPHANED = 7  # answered, its run still on the cores
    ENDING = 8  # answered at a call, its memory not yet free
    OVER = 9


@dataclass(slots=True, eq=False)
class RequestClass:
    """A row of the table of endpoint groups."""

    index: int
    effect: Effect
    benefit: float
    slo_time: int
    async_timeout: int
    window: int  # a deduplicated exchange may come again within this
    late_share: float  # of the benefit, for an answer after the SLO time
    skip_share: float  # of the benefit, where a call is left out

    @property
    def once(self) -> bool:
        """It may not take effect again."""
        return self.effect is not Effect.REPEATABLE


@dataclass(slots=True, eq=False)
class Tenant:
    """A tenant and the rate that it may send to the whole fleet (0: not limited)."""

    index: int
    allowance_per_s: float


class ShareStanding(IntEnum):
    """Where an exchange stands among those of all senders: below FAIR denied first, above it run first."""

    OVER = -1  # its sender had its share
    FAIR = 0
    PROMISED = 1  # its sender came when it was told to


@dataclass(slots=True, eq=False)
class FairSharingRules:
    """Who counts as one sender, and what each may have; told by the operator."""

    by: tuple[str, ...]  # one level or two, the outermost first: tenant, caller, subject or a field's name
    weights: dict[bytes, float]  # by the value of the level's field; 1 where none is told
    places: int = 256  # senders known at one time, at each level
    promises: int = 1024  # open at one time
    half: int = 4_000_000_000  # the age at which what was sent counts half


@dataclass(slots=True, eq=False)
class NodeLimits:
    """What a node is told of itself and its rules when it starts."""

    cores: int
    memory_kb: float
    run_factor: float  # memory of a running exchange over that of a held one
    key_kb: float
    cold: bool
    cold_from: float  # share of full speed that a cold node starts at
    cold_time: int
    crowd_multiple: float  # running exchanges a core that a warm node survives
    drain_grace: int
    marks_retries: bool  # later tries come marked
    max_retry_after: int  # 0: callers take no such advice
    stop_kind: StopKind
    peers: int
    below: DownstreamKind
    call_share: float  # mean calls in the hands of what lies below; 0: no bound
    call_window: int
    call_linger: int
    fresh: int  # how long an answer may serve other reads; 0: never
    idle: int
    advice: LoadReportKind
    over_share: float  # benefit of an exchange above its tenant's share
    groups: list[RequestClass]
    tenants: list[Tenant]
    fair: FairSharingRules | None = None  # None: no sender is told from another


@dataclass(slots=True, eq=False)
class Request:
    """One exchange read by this node: the host fills in the first block, the decisions keep the second."""

    group: RequestClass
    tenant: Tenant | None
    caller: int
    memory_kb: float
    marked_retry: bool
    left: int  # until its caller gives up, 0 where not told
    backlog: int  # since it reached the machine
    has_key: bool  # reads of its key may be shared
    repeats: bool  # it repeats an exchange that the host remembers

    state: RequestState = RequestState.READ
    slo_end: int = 0
    give_up_at: int = 0
    since: int = 0  # when it entered its state
    arrived: int = 0
    on_cores: int = 0  # time spent on the cores so far
    rank: float = 0.0
    calls_failed: int = 0
    call_commit: int = 0  # call time booked for a call in flight
    remembered: bool = False

    who: tuple[
        tuple[int, bytes], ...
    ] = ()  # its senders by level, as keys and labels; told where shares are fair
    sender: Any = None
    promise: Any = None  # that it comes by
    place: ShareStanding = ShareStanding.FAIR
    work: float = 0.0  # time on the cores that it was counted with


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
    def deny(self, request: Request, last: bool, retry_after: int) -> None: ...
    def terminate(self, request: Request) -> None: ...
    def stop(self, request: Request) -> None: ...
    def call(self, request: Request, until: int) -> None: ...
    def leave_out(self, request: Request) -> None: ...
    def share(self, request: Request) -> None: ...
    def remember(self, request: Request, duration: int) -> None: ...
    def forget(self, request: Request) -> None: ...
    def set_timer(self, token: int, at: int) -> None: ...
    def set_health(self, good: bool, stored: bool) -> None: ...
    def advise(self, value: float) -> None: ...
    def close_idle(self, after: int) -> None: ...
    def note(self, text: str) -> None: ...
