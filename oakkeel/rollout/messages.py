"""What an agent tells whoever drives a release, and what it hears. It goes along with its polls."""

from __future__ import annotations

import msgspec

from oakkeel.rollout.commands import VersionSpec
from oakkeel.rollout.gates import Samples


class TargetStatus(msgspec.Struct, array_like=True):
    """One thing as its agent knows it."""

    name: str
    version: str  # that its process says it runs
    generation: int
    phase: str
    age: int  # nanoseconds of the report, -1: none
    resting: bool = False  # it keeps ending, and is let alone for a time
    died: int = 0  # by itself, since its agent started
    load: float = 0.0  # of its cores
    figures: Samples | None = None


class AgentReport(msgspec.Struct, array_like=True):
    runs: list[TargetStatus] = []
    ready: dict[str, str] = {}  # by release: why it can't be taken, empty where it can
    bases: dict[str, str] = {}  # by thing: the copy of what it runs now


class AgentAssignments(msgspec.Struct, array_like=True):
    """The answer: what its things run from their next start on."""

    versions: dict[str, str] = {}
    sources: dict[str, VersionSpec] = {}  # of these
    release: str = ""  # that is open and has something here
    what: VersionSpec = msgspec.field(default_factory=lambda: VersionSpec(""))
    things: list[str] = []  # of it, here
    watch: bool = False  # figures are asked for


_report_decoder, _assignments_decoder = (
    msgspec.msgpack.Decoder(AgentReport),
    msgspec.msgpack.Decoder(AgentAssignments),
)


def encode(word: AgentReport | AgentAssignments) -> bytes:
    return msgspec.msgpack.encode(word)


def decode_report(content: bytes) -> AgentReport:
    """Raises `msgspec.MsgspecError`."""
    return _report_decoder.decode(content) if content else AgentReport()


def decode_assignments(content: bytes) -> AgentAssignments:
    """Raises `msgspec.MsgspecError`."""
    return _assignments_decoder.decode(content) if content else AgentAssignments()
