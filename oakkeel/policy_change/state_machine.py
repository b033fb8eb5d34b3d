"""All versions of the fleet's policy, and where the last one is, in the record. Free of I/O and time.

    proposed ─> decided ─> in force ─> overtaken
        │          └──────────────────────^
        └─> refused, withdrawn

What is decided stays decided; only a later version takes it back. Of a decision and a withdrawal that cross,
the one that comes first in the record holds.
"""

from __future__ import annotations

import blake3
import msgspec

from oakkeel.disruption.command_registry import CommandRegistry
from oakkeel.disruption.state import Rejection
from oakkeel.rollout.state_machine import RolloutState, RolloutStateMachine

MAX_POLICY_BYTES = 64 * 1024  # of one version
MAX_VERSIONS = 64  # versions
TRANSITIONS = {
    "proposed": {"decided", "refused", "withdrawn"},
    "decided": {"in force", "overtaken"},
    "in force": {"overtaken"},
    "overtaken": set(),
    "refused": set(),
    "withdrawn": set(),
}


class ProposePolicy(msgspec.Struct, tag="propose", array_like=True):
    """A new version, made of the one that its maker saw."""

    ident: str
    operator: str
    unix: int
    why: str
    based_on: int  # number
    content: bytes


class WithdrawPolicy(msgspec.Struct, tag="withdraw", array_like=True):
    number: int
    operator: str


class RejectPolicy(msgspec.Struct, tag="refuse", array_like=True):
    """A host can't take it, and says why: that is the end of it."""

    number: int
    host: str
    why: str


class CommitPolicy(msgspec.Struct, tag="decide", array_like=True):
    """All hosts have it ready: from now on nobody is told of an earlier one."""

    number: int


class MarkInForce(msgspec.Struct, tag="in force", array_like=True):
    """No exchange is decided under an earlier one anywhere any more."""

    number: int


PolicyCommand = ProposePolicy | WithdrawPolicy | RejectPolicy | CommitPolicy | MarkInForce


class PolicyVersion(msgspec.Struct, array_like=True):
    """One version. `PolicyStateMachine._turn_version` alone changes its state."""

    number: int
    ident: str
    operator: str
    unix: int
    reason: str
    digest: str
    content: bytes
    state: str = "proposed"
    why: str = ""


class PolicyState(RolloutState, array_like=True):
    policies: dict[int, PolicyVersion] = {}
    decided: int = 0  # number of the latest that was; 0: none, as the settings of each host say


class PolicyStateMachine(RolloutStateMachine):
    state: PolicyState
    STATE = PolicyState

    @property
    def proposed(self) -> PolicyVersion | None:
        """There is one at most."""
        return next((each for each in self.state.policies.values() if each.state == "proposed"), None)

    def _propose(self, index: int, command: ProposePolicy) -> object:
        held = self.state
        digest = blake3.blake3(command.content).hexdigest()[:32]
        for known in held.policies.values():
            if known.ident == command.ident:
                same = (known.operator, known.digest) == (command.operator, digest)
                return known if same else Rejection(f"that id is of another change, by {known.operator}")
        if other := self.proposed:
            return Rejection(f"{other.operator}'s change {other.number} is proposed: it has to end first")
        latest = max(held.policies, default=0)
        if command.based_on != held.decided:
            return Rejection(f"version {held.decided} is decided, and this was made of {command.based_on}")
        if not command.ident or not 0 < len(command.content) <= MAX_POLICY_BYTES:
            return Rejection(f"no id, or not 1 to {MAX_POLICY_BYTES} bytes")
        policy = PolicyVersion(
            latest + 1,
            command.ident,
            command.operator,
            command.unix,
            command.why[:500],
            digest,
            command.content,
        )
        held.policies[policy.number] = policy
        for number in sorted(held.policies)[:-MAX_VERSIONS]:
            if number != held.decided:
                del held.policies[number]
        return policy

    def _withdraw(self, index: int, command: WithdrawPolicy) -> object:
        return self._turn_version(command.number, "withdrawn", f"by {command.operator}")

    def _refuse(self, index: int, command: RejectPolicy) -> object:
        return self._turn_version(command.number, "refused", f"{command.host}: {command.why[:300]}")

    def _decide(self, index: int, command: CommitPolicy) -> object:
        result = self._turn_version(command.number, "decided", "")
        if isinstance(result, PolicyVersion):
            before, self.state.decided = self.state.decided, command.number
            if before:
                self._turn_version(before, "overtaken", f"by version {command.number}")
        return result

    def _in_force(self, index: int, command: MarkInForce) -> object:
        return self._turn_version(command.number, "in force", "")

    def _turn_version(self, number: int, state: str, why: str) -> PolicyVersion | Rejection:
        """The one place where the state of a version changes."""
        policy = self.state.policies.get(number)
        if policy is None:
            return Rejection(f"there is no version {number}")
        if state not in TRANSITIONS[policy.state]:
            return Rejection(f"version {number} is {policy.state}")
        policy.state, policy.why = state, why
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
