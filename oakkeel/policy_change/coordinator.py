"""What the leader does for a change: has it made ready on all, decides it, and knows when it is in force.

An agent is told the decided version with a time for which it may go by that, counted by its own clock from
when it asked. From the decision on no earlier one is told. So no node goes by an earlier one after the
longest such time, by any clock within the drift, whoever gave it and whatever became of it since: that is
when the change is in force at the latest. It is sooner where every host has shown to go by it. Free of I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from oakkeel.disruption.allocator import PermitTimeouts
from oakkeel.policy_change.state_machine import (
    CommitPolicy,
    MarkInForce,
    PolicyCommand,
    PolicyStateMachine,
    RejectPolicy,
)

MS = 1_000_000
SECOND = 1000 * MS
LEASE = 3 * SECOND
LOST = 5 * SECOND  # a host that is not heard for so long is not waited for: it has no lease by then


class PolicyReport(msgspec.Struct, array_like=True):
    """What an agent says with its poll."""

    number: int  # under which every node of it decides by now, and no other
    held_version: int = 0  # the version whose content it has
    ready_version: int = 0  # of a proposed version that all its nodes could take
    refused_version: int = 0
    reason: str = ""


class PolicyAssignment(msgspec.Struct, array_like=True):
    """What it hears."""

    number: int
    valid_for: int  # nanoseconds, from when the poll was sent
    content: bytes = b""  # where it does not go by that yet
    proposed_number: int = 0
    proposed_content: bytes = b""  # content of that, where it is not ready yet


@dataclass(slots=True)
class HostProgress:
    """The last of one host."""

    reported_at: int
    number: int
    ready_version: int


class PolicyCoordinator:
    """Made when a leader begins, thrown away when it ends. Calls return commands to propose."""

    def __init__(
        self, now: int, register: PolicyStateMachine, hosts: tuple[str, ...], terms: PermitTimeouts
    ) -> None:
        self.state_machine, self.hosts, self.timeouts, self.started_at = register, hosts, terms, now
        self.progress: dict[str, HostProgress] = {}
        self.decided_since: dict[int, int] = {}  # since when we tell of no earlier one, by number
        self.offered_since: dict[int, int] = {}
        self.pending: set[bytes] = set()

    def receive_report(self, now: int, host: str, told: PolicyReport, alive_at: int) -> list[PolicyCommand]:
        """`alive_at`: by our clock it is known to have said that after then."""
        if host not in self.hosts:
            return []
        known = self.progress.get(host)
        if known is None or alive_at >= known.reported_at:
            self.progress[host] = HostProgress(alive_at, told.number, told.ready_version)
        proposed = self.state_machine.proposed
        if proposed and told.refused_version == proposed.number:
            return self._once([RejectPolicy(proposed.number, host, told.reason)])
        return []

    def assign(self, now: int, host: str, told: PolicyReport) -> PolicyAssignment:
        """To be given only while the leader's lease holds."""
        held, proposed = self.state_machine.state, self.state_machine.proposed
        current = held.policies.get(held.decided)
        content = current.content if current and told.held_version != held.decided else b""
        heard = PolicyAssignment(held.decided, LEASE, content)
        if proposed:
            heard.proposed_number = proposed.number
            if told.ready_version != proposed.number:
                heard.proposed_content = proposed.content
        return heard

    def tick(self, now: int) -> list[PolicyCommand]:
        held, proposed = self.state_machine.state, self.state_machine.proposed
        wanted: list[PolicyCommand] = []
        if proposed:
            began = self.offered_since.setdefault(proposed.number, now)
            waits = [host for host in self.hosts if not self._ready(now, host, proposed.number, began)]
            if not waits:
                wanted.append(CommitPolicy(proposed.number))
        current = held.policies.get(held.decided)
        if current and current.state == "decided":
            since = self.decided_since.setdefault(current.number, now)
            if now - since > self.timeouts.upper_bound(LEASE) or all(
                (known := self.progress.get(host))
                and known.number >= current.number
                and known.reported_at >= since
                for host in self.hosts
            ):
                wanted.append(MarkInForce(current.number))
        return self._once(wanted)

    def _ready(self, now: int, host: str, number: int, began: int) -> bool:
        """It has it, or it is not there: then it has no lease, and learns the version before it serves."""
        known = self.progress.get(host)
        if known and known.ready_version == number:
            return True
        heard_at = max(self.started_at, began, known.reported_at if known else 0)
        return now - heard_at > self.timeouts.upper_bound(LOST)

    def _once(self, wanted: list[PolicyCommand]) -> list[PolicyCommand]:
        news = [each for each in wanted if msgspec.msgpack.encode(each) not in self.pending]
        self.pending |= {msgspec.msgpack.encode(each) for each in news}
        return news

    def lost(self, command: PolicyCommand) -> None:
        self.pending.discard(msgspec.msgpack.encode(command))
