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
    has: int = 0  # the version whose content it has
    ready: int = 0  # of a proposed version that all its nodes could take
    refused: int = 0
    why: str = ""


class PolicyAssignment(msgspec.Struct, array_like=True):
    """What it hears."""

    number: int
    good_for: int  # nanoseconds, from when the poll was sent
    content: bytes = b""  # where it does not go by that yet
    proposed: int = 0
    offered: bytes = b""  # content of that, where it is not ready yet


@dataclass(slots=True)
class HostProgress:
    """The last of one host."""

    at: int
    number: int
    ready: int


class PolicyCoordinator:
    """Made when a leader begins, thrown away when it ends. Calls return commands to propose."""

    def __init__(
        self, now: int, register: PolicyStateMachine, hosts: tuple[str, ...], terms: PermitTimeouts
    ) -> None:
        self.register, self.hosts, self.terms, self.began = register, hosts, terms, now
        self.known: dict[str, HostProgress] = {}
        self.decided_at: dict[int, int] = {}  # since when we tell of no earlier one, by number
        self.offered_at: dict[int, int] = {}
        self.asked: set[bytes] = set()

    def heard(self, now: int, host: str, told: PolicyReport, alive_at: int) -> list[PolicyCommand]:
        """`alive_at`: by our clock it is known to have said that after then."""
        if host not in self.hosts:
            return []
        known = self.known.get(host)
        if known is None or alive_at >= known.at:
            self.known[host] = HostProgress(alive_at, told.number, told.ready)
        proposed = self.register.proposed
        if proposed and told.refused == proposed.number:
            return self._once([RejectPolicy(proposed.number, host, told.why)])
        return []

    def answer(self, now: int, host: str, told: PolicyReport) -> PolicyAssignment:
        """To be given only while the leader's lease holds."""
        held, proposed = self.register.state, self.register.proposed
        current = held.policies.get(held.decided)
        content = current.content if current and told.has != held.decided else b""
        heard = PolicyAssignment(held.decided, LEASE, content)
        if proposed:
            heard.proposed = proposed.number
            if told.ready != proposed.number:
                heard.offered = proposed.content
        return heard

    def tick(self, now: int) -> list[PolicyCommand]:
        held, proposed = self.register.state, self.register.proposed
        wanted: list[PolicyCommand] = []
        if proposed:
            began = self.offered_at.setdefault(proposed.number, now)
            waits = [host for host in self.hosts if not self._ready(now, host, proposed.number, began)]
            if not waits:
                wanted.append(CommitPolicy(proposed.number))
        current = held.policies.get(held.decided)
        if current and current.state == "decided":
            since = self.decided_at.setdefault(current.number, now)
            if now - since > self.terms.upper_bound(LEASE) or all(
                (known := self.known.get(host)) and known.number >= current.number and known.at >= since
                for host in self.hosts
            ):
                wanted.append(MarkInForce(current.number))
        return self._once(wanted)

    def _ready(self, now: int, host: str, number: int, began: int) -> bool:
        """It has it, or it is not there: then it has no lease, and learns the version before it serves."""
        known = self.known.get(host)
        if known and known.ready == number:
            return True
        heard_at = max(self.began, began, known.at if known else 0)
        return now - heard_at > self.terms.upper_bound(LOST)

    def _once(self, wanted: list[PolicyCommand]) -> list[PolicyCommand]:
        news = [each for each in wanted if msgspec.msgpack.encode(each) not in self.asked]
        self.asked |= {msgspec.msgpack.encode(each) for each in news}
        return news

    def lost(self, command: PolicyCommand) -> None:
        self.asked.discard(msgspec.msgpack.encode(command))
