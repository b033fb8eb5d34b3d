"""The replicated versions of the fleet's policy and their states. Free of I/O and clocks.

    proposed ─> decided ─> in force ─> overtaken
        │          └──────────────────────^
        └─> refused, withdrawn

A decided version stays decided until a later one replaces it. If a decision and a withdrawal are proposed at
the same time, the first in the log is applied and the other rejected.
"""

from __future__ import annotations

import blake3
import msgspec

from oakkeel.disruption.command_registry import CommandRegistry
from oakkeel.disruption.state import Rejection
from oakkeel.rollout.release import RolloutState
from oakkeel.rollout.state_machine import RolloutStateMachine

MAX_POLICY_BYTES = 64 * 1024  # of one version
MAX_VERSIONS = 64
DIGEST_LENGTH = 32  # hexadecimal digits
MAX_REASON_LENGTH = 500
MAX_REFUSAL_LENGTH = 300
TRANSITIONS = {
    "proposed": {"decided", "refused", "withdrawn"},
    "decided": {"in force", "overtaken"},
    "in force": {"overtaken"},
    "overtaken": set(),
    "refused": set(),
    "withdrawn": set(),
}


class ProposePolicy(msgspec.Struct, tag="propose", array_like=True):
    """Propose a new version of the policy."""

    change_id: str
    operator: str
    created_at: int
    reason: str
    based_on: int  # number of the decided version that the operator edited
    content: bytes


class WithdrawPolicy(msgspec.Struct, tag="withdraw", array_like=True):
    """Withdraw a proposed version."""

    number: int
    operator: str


class RejectPolicy(msgspec.Struct, tag="refuse", array_like=True):
    """Reject a proposed version that a host does not accept."""

    number: int
    host: str
    reason: str


class CommitPolicy(msgspec.Struct, tag="decide", array_like=True):
    """Decide a version that all hosts are ready for: no earlier version is assigned after it."""

    number: int


class MarkInForce(msgspec.Struct, tag="in force", array_like=True):
    """Mark a version as in force: no request is decided under an earlier one any more."""

    number: int


PolicyCommand = ProposePolicy | WithdrawPolicy | RejectPolicy | CommitPolicy | MarkInForce


class PolicyVersion(msgspec.Struct, array_like=True):
    """One version. Only `PolicyStateMachine._move_version` changes its state."""

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
    decided: int = 0  # number of the latest decided version; 0: none, the settings of each host apply


class PolicyStateMachine(RolloutStateMachine):
    """Applies commands of policy changes; the base class applies all others."""

    state: PolicyState
    STATE = PolicyState

    @property
    def proposed(self) -> PolicyVersion | None:
        """Return the proposed version, if any; there is at most one."""
        versions = self.state.policies.values()
        return next((version for version in versions if version.state == "proposed"), None)

    def _propose(self, index: int, command: ProposePolicy) -> PolicyVersion | Rejection:
        state = self.state
        digest = blake3.blake3(command.content).hexdigest()[:DIGEST_LENGTH]
        for existing in state.policies.values():
            if existing.change_id == command.change_id:
                is_same_change = (existing.operator, existing.digest) == (command.operator, digest)
                return (
                    existing
                    if is_same_change
                    else Rejection(f"the ID belongs to another change, proposed by {existing.operator}")
                )
        if proposed := self.proposed:
            return Rejection(
                f"{proposed.operator}'s change {proposed.number} is proposed: it has to end first"
            )
        latest_number = max(state.policies, default=0)
        if command.based_on != state.decided:
            return Rejection(
                f"version {state.decided} is decided, and the proposal is based on {command.based_on}"
            )
        if not command.change_id or not 0 < len(command.content) <= MAX_POLICY_BYTES:
            return Rejection(f"a change needs an ID and 1 to {MAX_POLICY_BYTES} bytes of content")
        policy = PolicyVersion(
            latest_number + 1,
            command.change_id,
            command.operator,
            command.created_at,
            command.reason[:MAX_REASON_LENGTH],
            digest,
            command.content,
        )
        state.policies[policy.number] = policy
        for number in sorted(state.policies)[:-MAX_VERSIONS]:
            if number != state.decided:
                del state.policies[number]
        return policy

    def _withdraw(self, index: int, command: WithdrawPolicy) -> PolicyVersion | Rejection:
        return self._move_version(command.number, "withdrawn", f"by {command.operator}")

    def _reject(self, index: int, command: RejectPolicy) -> PolicyVersion | Rejection:
        return self._move_version(
            command.number, "refused", f"{command.host}: {command.reason[:MAX_REFUSAL_LENGTH]}"
        )

    def _commit(self, index: int, command: CommitPolicy) -> PolicyVersion | Rejection:
        result = self._move_version(command.number, "decided", "")
        if isinstance(result, PolicyVersion):
            previous_number = self.state.decided
            self.state.decided = command.number
            if previous_number:
                self._move_version(previous_number, "overtaken", f"by version {command.number}")
        return result

    def _mark_in_force(self, index: int, command: MarkInForce) -> PolicyVersion | Rejection:
        return self._move_version(command.number, "in force", "")

    def _move_version(self, number: int, state: str, reason: str) -> PolicyVersion | Rejection:
        """Change the state of a version if the transition is allowed; no other code changes the state."""
        policy = self.state.policies.get(number)
        if policy is None:
            return Rejection(f"there is no version {number}")
        if state not in TRANSITIONS[policy.state]:
            return Rejection(f"version {number} is {policy.state}")
        policy.state = state
        policy.state_reason = reason
        return policy

    COMMANDS = CommandRegistry(
        {
            ProposePolicy: _propose,
            WithdrawPolicy: _withdraw,
            RejectPolicy: _reject,
            CommitPolicy: _commit,
            MarkInForce: _mark_in_force,
        },
        RolloutStateMachine.COMMANDS,
    )
