"""Events of a request that its handler reads; each kind of event has a type."""

from __future__ import annotations

from dataclasses import dataclass

from oakkeel.admission.types import Outcome

# Verdicts of the admission controller.


@dataclass(slots=True)
class StartRun:
    """The request is admitted: pass it to the engine."""


@dataclass(slots=True)
class CancelRun:
    """Stop the run in the engine."""


@dataclass(slots=True)
class IssueCall:
    """Make the downstream call that the run waits for."""

    deadline: int  # nanoseconds of the monotonic clock


@dataclass(slots=True)
class SkipCall:
    """Let the run continue without the downstream call that it waits for."""


@dataclass(slots=True)
class AwaitSharedResponse:
    """Take the response of the request that this one duplicates."""


# Events of connections, engine, catalogue and response cache.


@dataclass(slots=True)
class ClientDisconnected:
    """The client no longer waits for an answer."""


@dataclass(slots=True)
class CallNeeded:
    """The run waits for a downstream call."""

    notice_number: int  # of the engine's notice
    body: bytes


@dataclass(slots=True)
class CallFinished:
    """The downstream call is over."""

    outcome: Outcome
    reply: bytes
    duration: int  # nanoseconds


@dataclass(slots=True)
class CallReplyUncertain:
    """The run may not have received the reply of its call: the link to the engine was lost."""

    notice_number: int  # of the engine's notice that asked for the call


@dataclass(slots=True)
class RunFinished:
    """The run in the engine is over."""

    outcome: Outcome
    result: bytes
    duration: int  # nanoseconds on the cores
    current_at: int  # a time at which the result was surely current, in nanoseconds of the monotonic clock


@dataclass(slots=True)
class IdentityChecked:
    """The engine was asked whether it knows the ID of the request."""

    is_known: bool


@dataclass(slots=True)
class SharedResponse:
    """The request that this one duplicates is over."""

    outcome: Outcome
    result: bytes


@dataclass(slots=True)
class RequestReleased:
    """Nothing is left to wait for: the request is over and not in the engine."""


Verdict = StartRun | CancelRun | IssueCall | SkipCall | AwaitSharedResponse
ExternalEvent = (
    ClientDisconnected
    | CallNeeded
    | CallFinished
    | CallReplyUncertain
    | RunFinished
    | IdentityChecked
    | SharedResponse
)
RequestEvent = Verdict | ExternalEvent
