"""The report of an agent to the rollout controller, and the response. Both are sent with heartbeats."""

from __future__ import annotations

import msgspec

from oakkeel.rollout.commands import VersionSpec
from oakkeel.rollout.samples import Samples


class TargetStatus(msgspec.Struct, array_like=True):
    """The status of one target, as its agent knows it."""

    name: str
    version: str  # as reported by its process
    generation: int
    phase: str
    age: int  # of the last report of the target, in nanoseconds; -1: none
    backing_off: bool = False  # the process crashed repeatedly, and its restart is delayed
    deaths: int = 0  # crashes since its agent started
    load: float = 0.0  # ratio of its cores in use
    samples: Samples | None = None


class AgentReport(msgspec.Struct, array_like=True):
    """The status of the targets of an agent, and its preparation of the open release."""

    statuses: list[TargetStatus] = []
    prepared: dict[str, str] = {}  # by release: why the host can't run its version; empty if it can
    bases: dict[str, str] = {}  # by target that had no assigned version: version of the copy of its content


class AgentAssignments(msgspec.Struct, array_like=True):
    """The response to a report: the versions of the targets of the agent from their next start on."""

    versions: dict[str, str] = {}
    sources: dict[str, VersionSpec] = {}  # by version: the paths from which to copy its content
    release: str = ""  # ID of the open release, empty if there is none
    spec: VersionSpec = msgspec.field(default_factory=lambda: VersionSpec(""))  # of the open release
    targets: list[str] = []  # of the open release, on this host
    collect_samples: bool = False  # whether reports have to contain samples


_report_decoder = msgspec.msgpack.Decoder(AgentReport)
_assignments_decoder = msgspec.msgpack.Decoder(AgentAssignments)


def encode(message: AgentReport | AgentAssignments) -> bytes:
    """Encode a report or its response."""
    return msgspec.msgpack.encode(message)


def decode_report(content: bytes) -> AgentReport:
    """Decode a report; no content means an empty report. Raises `msgspec.MsgspecError`."""
    return _report_decoder.decode(content) if content else AgentReport()


def decode_assignments(content: bytes) -> AgentAssignments:
    """Decode a response; no content means empty assignments. Raises `msgspec.MsgspecError`."""
    return _assignments_decoder.decode(content) if content else AgentAssignments()
