"""All versions of the fleet's policy, and where the last one is, in the record. Free of I/O and time.

    proposed ─> decided ─> in force ─> overtaken
        │          └──────────────────────^
        └─> refused, withdrawn

What is decided stays decided; only a later version takes it back. Of a decision and a withdrawal that cross,
the one that comes first in the record holds.
"""

from __future__ import annotations

from typing import Any, ClassVar

import blake3
import msgspec

from oakkeel.disruption import commands as places
from oakkeel.disruption.state_machine import Refusal
from oakkeel.rollout import commands as releases
from oakkeel.rollout.state_machine import Book, HeldMore

MOST_BYTES = 64 * 1024  # of one version
MOST_KEPT = 64  # versions
NEXT = {
    "proposed": {"decided", "refused", "withdrawn"},
    "decided": {"in force", "overtaken"},
    "in force": {"overtaken"},
    "overtaken": set(),
    "refused": set(),
    "withdrawn": set(),
}


class Propose(msgspec.Struct, tag="propose", array_like=True):
    """A new version, made of the one that its maker saw."""

    ident: str
    operator: str
    unix: int
    why: str
    based_on: int  # number
    content: bytes


class Withdraw(msgspec.Struct, tag="withdraw", array_like=True):
    number: int
    operator: str


class Refuse(msgspec.Struct, tag="refuse", array_like=True):
    """A host can't take it, and says why: that is the end of it."""

    number: int
    host: str
    why: str


class Decide(msgspec.Struct, tag="decide", array_like=True):
    """All hosts have it ready: from now on nobody is told of an earlier one."""

    number: int


class InForce(msgspec.Struct, tag="in force", array_like=True):
    """No exchange is decided under an earlier one anywhere any more."""

    number: int


Change = Propose | Withdraw | Refuse | Decide | InForce
_commands = msgspec.msgpack.Decoder(Change | releases.Command | places.Command)


class Policy(msgspec.Struct, array_like=True):
    """One version. `Register._turn_version` alone changes its state."""

    number: int
    ident: str
    operator: str
    unix: int
    reason: str
    digest: str
    content: bytes
    state: str = "proposed"
    why: str = ""


class HeldPolicies(HeldMore, array_like=True):
    policies: dict[int, Policy] = {}
    decided: int = 0  # number of the latest that was; 0: none, as the settings of each host say


_snapshots = msgspec.msgpack.Decoder(HeldPolicies)


class Register(Book):
    held: HeldPolicies

    def read(self, content: bytes) -> Any:
        return _commands.decode(content)

    def taken_up(self, content: bytes) -> HeldPolicies:
        return _snapshots.decode(content) if content else HeldPolicies()

    @property
    def proposed(self) -> Policy | None:
        """There is one at most."""
        return next((each for each in self.held.policies.values() if each.state == "proposed"), None)

    def _propose(self, index: int, command: Propose) -> object:
        held = self.held
        digest = blake3.blake3(command.content).hexdigest()[:32]
        for known in held.policies.values():
            if known.ident == command.ident:
                same = (known.operator, known.digest) == (command.operator, digest)
                return known if same else Refusal(f"that id is of another change, by {known.operator}")
        if other := self.proposed:
            return Refusal(f"{other.operator}'s change {other.number} is proposed: it has to end first")
        latest = max(held.policies, default=0)
        if command.based_on != held.decided:
            return Refusal(f"version {held.decided} is decided, and this was made of {command.based_on}")
        if not command.ident or not 0 < len(command.content) <= MOST_BYTES:
            return Refusal(f"no id, or not 1 to {MOST_BYTES} bytes")
        policy = Policy(
            latest + 1,
            command.ident,
            command.operator,
            command.unix,
            command.why[:500],
            digest,
            command.content,
        )
        held.policies[policy.number] = policy
        for number in sorted(held.policies)[:-MOST_KEPT]:
            if number != held.decided:
                del held.policies[number]
        return policy

    def _withdraw(self, index: int, command: Withdraw) -> object:
        return self._turn_version(command.number, "withdrawn", f"by {command.operator}")

    def _refuse(self, index: int, command: Refuse) -> object:
        return self._turn_version(command.number, "refused", f"{command.host}: {command.why[:300]}")

    def _decide(self, index: int, command: Decide) -> object:
        result = self._turn_version(command.number, "decided", "")
        if isinstance(result, Policy):
            before, self.held.decided = self.held.decided, command.number
            if before:
                self._turn_version(before, "overtaken", f"by version {command.number}")
        return result

    def _in_force(self, index: int, command: InForce) -> object:
        return self._turn_version(command.number, "in force", "")

    def _turn_version(self, number: int, state: str, why: str) -> Policy | Refusal:
        """The one place where the state of a version changes."""
        policy = self.held.policies.get(number)
        if policy is None:
            return Refusal(f"there is no version {number}")
        if state not in NEXT[policy.state]:
            return Refusal(f"version {number} is {policy.state}")
        policy.state, policy.why = state, why
        return policy

    ACTS: ClassVar[dict[type, Any]] = {
        **Book.ACTS,
        Propose: _propose,
        Withdraw: _withdraw,
        Refuse: _refuse,
        Decide: _decide,
        InForce: _in_force,
    }
