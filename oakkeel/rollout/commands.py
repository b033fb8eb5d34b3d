"""Replicated commands of releases. A command with a fencing token needs the lease of the controller."""

from __future__ import annotations

import msgspec

from oakkeel.disruption import commands as permit_commands

MAX_TARGETS = permit_commands.MAX_TARGETS


class VersionSpec(msgspec.Struct, array_like=True):
    """The released version, and the paths from which hosts copy its content."""

    version: str  # hash of the content; for services any text
    program: str = ""  # folder
    patch: str = ""  # file, merged into each instance's configuration
    services: bool = False  # the targets are downstream services, which operators replace by hand
    from_settings: bool = False  # parts not named are taken from the settings, not from the last release


class RolloutPolicy(msgspec.Struct, array_like=True):
    """How a release proceeds. Times in nanoseconds."""

    canary: int = 1  # targets of the first batch
    growth: float = 2.0  # each batch multiplies the number of updated targets by this factor
    max_batch: int = 0  # targets of one batch; 0: as the disruption budgets allow
    control: bool = True  # restart as many old targets together with the canaries, to compare cold processes
    gated: bool = True
    auto_roll_back: bool = False  # roll back automatically after the gates have halted the release
    soak: int = 60_000_000_000  # minimum time after each batch
    verdict_timeout: int = 600_000_000_000  # maximum time without a verdict of the gates
    batch_timeout: int = 120_000_000_000
    margin: float = 0.02  # the loss to rule out, as a ratio of the earned weight
    max_load: float = 0.85  # ratio of the cores of the remaining targets of a site


class StartRelease(msgspec.Struct, tag="begin", array_like=True):
    """An operator starts a release."""

    ident: str
    operator: str
    unix: int
    spec: VersionSpec
    policy: RolloutPolicy
    targets: list[str]


class ControlRelease(msgspec.Struct, tag="turn", array_like=True):
    """An operator's control: pause, resume, abort, undo (roll back) or leave (abandon)."""

    ident: str
    operator: str
    action: str


class ReportPrepared(msgspec.Struct, tag="ready", array_like=True):
    """A host has copies of the new and of the running version, or reports why it has none."""

    ident: str
    fence: int
    host: str
    why: str
    bases: dict[str, str]  # by target: the version of the copy of its running program


class BeginRollout(msgspec.Struct, tag="go", array_like=True):
    """All hosts are prepared: the first batch may start."""

    ident: str
    fence: int
    step: int


class StartBatch(msgspec.Struct, tag="batch", array_like=True):
    """Change these targets now, each with its observed generation; `comparison_targets` restart unchanged."""

    ident: str
    fence: int
    step: int
    unix: int
    targets: list[tuple[str, int]]
    comparison_targets: list[tuple[str, int]] = []


class FinishBatch(msgspec.Struct, tag="settle", array_like=True):
    """The open batch has finished: `updated` targets run the new version, the others the old one."""

    ident: str
    fence: int
    step: int
    updated: list[str]


class RecordVerdict(msgspec.Struct, tag="judge", array_like=True):
    """The state of the gates, for the next controller; with a reason the release halts."""

    ident: str
    fence: int
    step: int
    gate_state: bytes
    summary: str  # for display
    why: str = ""  # the reason to halt the release; empty: the release continues


class FinishRelease(msgspec.Struct, tag="finish", array_like=True):
    """All targets have reached the end state of the release."""

    ident: str
    fence: int
    step: int


ControllerCommand = BeginRollout | StartBatch | FinishBatch | RecordVerdict | FinishRelease

Command = (
    StartRelease
    | ControlRelease
    | ReportPrepared
    | BeginRollout
    | StartBatch
    | FinishBatch
    | RecordVerdict
    | FinishRelease
)
