"""A release and its targets in the replicated state, with their states and transitions. Free of I/O."""

from __future__ import annotations

from enum import StrEnum

import msgspec

from oakkeel.disruption.state import ControlPlaneState
from oakkeel.rollout.commands import RolloutPolicy, VersionSpec


class ReleaseState(StrEnum):
    """The state of a release, as it is stored and shown."""

    PREPARING = "preparing"  # hosts make their copies
    RUNNING = "running"
    PAUSED = "paused"
    HALTED = "halted"  # no further batch starts until an operator decides
    ROLLING_BACK = "undoing"
    DONE = "done"
    ROLLED_BACK = "undone"
    ABANDONED = "left"


TRANSITIONS: dict[ReleaseState, set[ReleaseState]] = {
    ReleaseState.PREPARING: {ReleaseState.RUNNING, ReleaseState.ABANDONED},
    ReleaseState.RUNNING: {
        ReleaseState.PAUSED,
        ReleaseState.HALTED,
        ReleaseState.ROLLING_BACK,
        ReleaseState.DONE,
    },
    ReleaseState.PAUSED: {ReleaseState.RUNNING, ReleaseState.HALTED, ReleaseState.ROLLING_BACK},
    ReleaseState.HALTED: {ReleaseState.RUNNING, ReleaseState.ROLLING_BACK, ReleaseState.ABANDONED},
    ReleaseState.ROLLING_BACK: {ReleaseState.HALTED, ReleaseState.ROLLED_BACK},
    ReleaseState.DONE: set(),
    ReleaseState.ROLLED_BACK: set(),
    ReleaseState.ABANDONED: set(),
}
FINAL_STATES = (ReleaseState.DONE, ReleaseState.ROLLED_BACK, ReleaseState.ABANDONED)
MOVING_STATES = (ReleaseState.RUNNING, ReleaseState.ROLLING_BACK)  # batches start and finish
STOPPED_STATES = (ReleaseState.PAUSED, ReleaseState.HALTED)


class TargetState(StrEnum):
    """The state of a target in a release, as it is stored and shown."""

    OLD = "old"
    CHANGING = "changing"
    NEW = "new"


TARGET_TRANSITIONS: dict[TargetState, set[TargetState]] = {
    TargetState.OLD: {TargetState.CHANGING},
    TargetState.CHANGING: {TargetState.OLD, TargetState.NEW},
    TargetState.NEW: {TargetState.CHANGING},
}


class ReleaseTarget(msgspec.Struct, array_like=True):
    """One target of a release. Only `RolloutStateMachine._move_target` changes its state."""

    previous: str  # the assigned version before the release; empty: none
    state: TargetState = TargetState.OLD
    base: str = ""  # version of the copy of the program that ran before the release; for the rollback
    attempts: int = 0  # batches that included the target since the last `reset_progress`


class Release(msgspec.Struct, array_like=True):
    """One release and its progress."""

    ident: str
    operator: str
    unix: int  # wall-clock time of the start, in nanoseconds
    index: int  # of the command that started the release, in the replicated log
    spec: VersionSpec
    policy: RolloutPolicy
    targets: dict[str, ReleaseTarget]
    state: ReleaseState = ReleaseState.PREPARING
    step: int = 0  # increased by every command of a controller
    batch: int = 0  # number of the last batch
    in_progress: list[str] = []  # targets of the open batch
    comparison_targets: list[str] = []  # targets that restart unchanged with the open batch
    prepared_hosts: list[str] = []  # hosts that have made their copies
    rolling_back: bool = False  # also while the rollback is halted
    why: str = ""  # the reason for the state, for display
    gate_state: bytes = b""
    summary: str = ""  # of the gates, for display
    operator_actions: int = 0  # number of accepted operator actions
    batch_forward: bool = True  # whether the last batch changes its targets to the new version

    @property
    def is_finished(self) -> bool:
        """Return whether the release is in a final state."""
        return self.state in FINAL_STATES

    @property
    def order_id(self) -> str:
        """Return the ID of the order of the last batch."""
        return f"{self.ident}.{self.batch}"

    @property
    def end_state(self) -> TargetState:
        """Return the state that all targets have to reach in the direction of the release."""
        return TargetState.OLD if self.rolling_back else TargetState.NEW

    def reset_progress(self) -> None:
        """Drop the state of the gates, and the number of attempts of each target."""
        self.gate_state = b""
        for target in self.targets.values():
            target.attempts = 0

    def version_to_assign(self, name: str) -> str:
        """Return the version to assign to a target in the direction of the release."""
        target = self.targets[name]
        return target.base or target.previous if self.rolling_back else self.spec.version


class RolloutState(ControlPlaneState, array_like=True):
    """The replicated state of the control plane, with releases."""

    releases: dict[str, Release] = msgspec.field(default_factory=dict)
    versions: dict[str, str] = msgspec.field(default_factory=dict)  # by target, for its next start
    sources: dict[str, VersionSpec] = msgspec.field(default_factory=dict)  # by version in use
