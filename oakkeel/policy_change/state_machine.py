"""The replicated versions of the fleet's policy and their states. Free of I/O and time.

    proposed ─> decided ─> in force ─> overtaken
        │          └──────────────────────^
        └─> refused, withdrawn

What is decided stays decided; only a later version takes it back. Of a decision and a withdrawal that cross,
the one that comes first in the log holds.
"""

from __future__ import annotations

import blake3
import msgspec

from oakkeel.disruption.command_registry import CommandRegistry
from oakkeel.disruption.state import Rejection
from oakkeel.rollout.state_machine import RolloutState, RolloutStateMachine

MAX_POLICY_BYTES = 64 * 1024  # of one version
MAX_VERSIONS = 64
TRANSITIONS = {
    "proposed": {"decided", "refused", "withdrawn"},
    "decided": {"in force", "overtaken"},
    "in force": {"overtaken"},
    "overtaken": set(),
    "refused": set(),
    "withdrawn": set(),
}


class ProposePolicy(msgspec.Struct, tag="propose", array_like=True):
    """Propose a new version, made of the one that its maker saw."""

    change_id: str
    operator: str
    created_at: int
    reason: str
    based_on: int  # number
    content: bytes


class WithdrawPolicy(msgspec.Struct, tag="withdraw", array_like=True):
    """Withdraw a version that is proposed."""

    number: int
    operator: str


class RejectPolicy(msgspec.Struct, tag="refuse", array_like=True):
    """End a proposal that a host can't take."""

    number: int
    host: str
    reason: str


class CommitPolicy(msgspec.Struct, tag="decide", array_like=True):
    """Decide a version that all hosts have ready: from now on nobody is given an earlier one."""

    number: int


class MarkInForce(msgspec.Struct, tag="in force", array_like=True):
    """Mark a version as in force: no request is decided under an earlier one any more."""

    number: int


PolicyCommand = ProposePolicy | WithdrawPolicy | RejectPolicy | CommitPolicy | MarkInForce


class PolicyVersion(msgspec.Struct, array_like=True):
    """One version. `PolicyStateMachine._move_version` alone changes its state."""

    number: int
    change_id: str
    operator: str
    created_at: int
    reason: str
    digest: str
    content: bytes
    state: str = "proposed"
    state_reason: str = ""


class PolicyState(RolloutState, array_like=True):
    """The state of the control plane with the versions of the policy."""

    policies: dict[int, PolicyVersion] = msgspec.field(default_factory=dict)
    decided: int = 0  # number of the latest that was; 0: none, as the settings of each host say


class PolicyStateMachine(RolloutStateMachine):
    """Applies commands of policy changes, and all others as its base does."""

    state: PolicyState
    STATE = PolicyState

    @property
    def proposed(self) -> PolicyVersion | None:
        """Return the version that is proposed; there is one at most."""
        versions = self.state.policies.values()
        return next((version for version in versions if version.state == "proposed"), None)

    def _propose(self, index: int, command: ProposePolicy) -> object:
        state = self.state
        digest = blake3.blake3(command.content).hexdigest()[:32]
        for known in state.policies.values():
            if known.change_id == command.change_id:
                same = (known.operator, known.digest) == (command.operator, digest)
                return known if same else Rejection(f"that id is of another change, by {known.operator}")
        if other := self.proposed:
            return Rejection(f"{other.operator}'s change {other.number} is proposed: it has to end first")
        latest = max(state.policies, default=0)
        if command.based_on != state.decided:
            return Rejection(f"version {state.decided} is decided, and this was made of {command.based_on}")
        if not command.change_id or not 0 < len(command.content) <= MAX_POLICY_BYTES:
            return Rejection(f"no id, or not 1 to {MAX_POLICY_BYTES} bytes")
        policy = PolicyVersion(
            latest + 1,
            command.change_id,
            command.operator,
            command.created_at,
            command.reason[:500],
            digest,
            command.content,
        )
        state.policies[policy.number] = policy
        for number in sorted(state.policies)[:-MAX_VERSIONS]:
            if number != state.decided:
                del state.policies[number]
        return policy

    def _withdraw(self, index: int, command: WithdrawPolicy) -> object:
        return self._move_version(command.number, "withdrawn", f"by {command.operator}")

    def _refuse(self, index: int, command: RejectPolicy) -> object:
        return self._move_version(command.number, "refused", f"{command.host}: {command.reason[:300]}")

    def _decide(self, index: int, command: CommitPolicy) -> object:
        result = self._move_version(command.number, "decided", "")
        if isinstance(result, PolicyVersion):
            before, self.state.decided = self.state.decided, command.number
            if before:
                self._move_version(before, "overtaken", f"by version {command.number}")
        return result

    def _in_force(self, index: int, command: MarkInForce) -> object:
        return self._move_version(command.number, "in force", "")

    def _move_version(self, number: int, state: str, why: str) -> PolicyVersion | Rejection:
        """Change the state of a version; nothing else does."""
        policy = self.state.policies.get(number)
        if policy is None:
            return Rejection(f"there is no version {number}")
        if state not in TRANSITIONS[policy.state]:
            return Rejection(f"version {number} is {policy.state}")
        policy.state, policy.state_reason = state, why
        return policy

    COMMANDS = CommandRegistry(
        {
            ProposePolicy: _propose,
            WithdrawPolicy: _withdraw,
            RejectPolicy: _refuse,
            CommitPolicy: _decide,
            MarkInForce: _in_force,
        },
        RolloutStateMachine.COMMANDS,
    )
