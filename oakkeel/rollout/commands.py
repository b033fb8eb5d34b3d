"""Replicated commands of releases.

Some fields have the same meaning in all commands: `ident` is the ID of the release, `fence` the fencing
token of the rollout controller's lease, `step` the last step of the release that the controller observed,
and `unix` a wall-clock time in nanoseconds. A command with a fencing token is rejected if the lease has
passed to another controller.
"""

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
    # Parts not named are returned to the settings; without it, a release that leaves out a released part is
    # refused.
    from_settings: bool = False


class RolloutPolicy(msgspec.Struct, array_like=True):
    """How a release proceeds. Times in nanoseconds."""

    canary: int = 1  # targets of the first batch
    growth: float = 2.0  # each batch multiplies the number of updated targets by this factor
    max_batch: int = 0  # maximum number of targets of one batch; 0: only the disruption budgets limit it
    control: bool = True  # restart as many old targets together with the canaries, to compare cold processes
    gated: bool = True  # whether the gates compare the versions, and halt the release if the new one is worse
    auto_roll_back: bool = False  # roll back automatically after the gates have halted the release
    soak: int = 60_000_000_000  # minimum time after each batch
    verdict_timeout: int = 600_000_000_000  # maximum time without a verdict of the gates
    batch_timeout: int = 120_000_000_000
    margin: float = 0.02  # the loss of earned weight to rule out, as a ratio of that of the old version
    max_load: float = 0.85  # maximum load of the remaining targets of a site, as a ratio of their cores


class StartRelease(msgspec.Struct, tag="begin", array_like=True):
    """An operator starts a release."""

    ident: str
    operator: str
    unix: int
    spec: VersionSpec
    policy: RolloutPolicy
    targets: list[str]


class ControlRelease(msgspec.Struct, tag="turn", array_like=True):
    """Pause, resume, abort, roll back (undo) or abandon (leave) a release, as its operator decides."""

    ident: str
    operator: str
    action: str


class ReportPrepared(msgspec.Struct, tag="ready", array_like=True):
    """A host has made the copies for a release, or reports why it can't run the new version."""

    ident: str
    fence: int
    host: str
    why: str  # the reason why the host can't run the new version; empty if it can
    bases: dict[str, str]  # by target: the version of the copy of its running program


class BeginRollout(msgspec.Struct, tag="go", array_like=True):
    """Start the rollout of a prepared release: all its hosts have made their copies."""

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
    """Finish the open batch: the targets in `updated` run the new version, its other targets the old one."""

    ident: str
    fence: int
    step: int
    updated: list[str]


class RecordVerdict(msgspec.Struct, tag="judge", array_like=True):
    """Store the state of the gates for the next controller; with a reason, also halt the release."""

    ident: str
    fence: int
    step: int
    gate_state: bytes
    summary: str  # for display
    why: str = ""  # the reason to halt the release; empty: the release continues


class FinishRelease(msgspec.Struct, tag="finish", array_like=True):
    """Finish the release: all its targets have reached its end state."""

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
