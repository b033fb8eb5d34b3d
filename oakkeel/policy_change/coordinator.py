"""The leader's part of a policy change: it is made ready on all hosts, decided, and known to be in force.

An agent is given the decided version with a time for which it may use it, counted by its own clock from
when it asked. From the decision on no earlier version is given. So no node goes by an earlier one after the
longest such time, by any clock within the drift, whoever gave it and whatever became of it since: that is
when the change is in force at the latest. It is sooner where every host has shown to go by it. Free of I/O.
"""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from oakkeel.disruption.timeouts import PermitTimeouts
from oakkeel.policy_change.state_machine import (
    CommitPolicy,
    MarkInForce,
    PolicyCommand,
    PolicyStateMachine,
    RejectPolicy,
)
from oakkeel.units import SECOND

LEASE = 3 * SECOND
LOST = 5 * SECOND  # a host that is not heard for so long is not waited for: it has no lease by then


class PolicyReport(msgspec.Struct, array_like=True):
    """What an agent reports with its heartbeat."""

    number: int  # under which every node of it decides by now, and no other
    held_version: int = 0  # the version whose content it has
    ready_version: int = 0  # of a proposed version that all its nodes could take
    refused_version: int = 0
    reason: str = ""


class PolicyAssignment(msgspec.Struct, array_like=True):
    """What an agent is assigned in response."""

    number: int
    valid_for: int  # nanoseconds, from when the poll was sent
    content: bytes = b""  # where it does not go by that yet
    proposed_number: int = 0
    proposed_content: bytes = b""  # content of that, where it is not ready yet


@dataclass(slots=True)
class HostProgress:
    """What one host reported last."""

    reported_at: int
    number: int
    ready_version: int


class PolicyCoordinator:
    """Made when a leader begins, dropped when it ends. Calls return commands to propose."""

    def __init__(
        self, now: int, state_machine: PolicyStateMachine, hosts: tuple[str, ...], timeouts: PermitTimeouts
    ) -> None:
        """It waits for all of `hosts`."""
        self.state_machine, self.hosts, self.timeouts = state_machine, hosts, timeouts
        self.started_at = now
        self.progress: dict[str, HostProgress] = {}
        self.decided_since: dict[int, int] = {}  # since when we tell of no earlier one, by number
        self.offered_since: dict[int, int] = {}
        self.pending: set[bytes] = set()

    def receive_report(self, now: int, host: str, report: PolicyReport, alive_at: int) -> list[PolicyCommand]:
        """Take in a report, known to have been made after `alive_at` by our clock."""
        if host not in self.hosts:
            return []
        known = self.progress.get(host)
        if known is None or alive_at >= known.reported_at:
            self.progress[host] = HostProgress(alive_at, report.number, report.ready_version)
        proposed = self.state_machine.proposed
        if proposed and report.refused_version == proposed.number:
            return self._deduplicate([RejectPolicy(proposed.number, host, report.reason)])
        return []

    def assign(self, now: int, host: str, report: PolicyReport) -> PolicyAssignment:
        """Return the assignment of a host. To be given only while the leader's lease holds."""
        state, proposed = self.state_machine.state, self.state_machine.proposed
        current = state.policies.get(state.decided)
        content = current.content if current and report.held_version != state.decided else b""
        assignment = PolicyAssignment(state.decided, LEASE, content)
        if proposed:
            assignment.proposed_number = proposed.number
            if report.ready_version != proposed.number:
                assignment.proposed_content = proposed.content
        return assignment

    def tick(self, now: int) -> list[PolicyCommand]:
        """Return what to commit, and what to mark as in force."""
        state, proposed = self.state_machine.state, self.state_machine.proposed
        wanted: list[PolicyCommand] = []
        if proposed:
            offered_at = self.offered_since.setdefault(proposed.number, now)
            missing = [host for host in self.hosts if not self._ready(now, host, proposed.number, offered_at)]
            if not missing:
                wanted.append(CommitPolicy(proposed.number))
        current = state.policies.get(state.decided)
        if current and current.state == "decided":
            since = self.decided_since.setdefault(current.number, now)
            if now - since > self.timeouts.upper_bound(LEASE) or all(
                (known := self.progress.get(host))
                and known.number >= current.number
                and known.reported_at >= since
                for host in self.hosts
            ):
                wanted.append(MarkInForce(current.number))
        return self._deduplicate(wanted)

    def _ready(self, now: int, host: str, number: int, offered_at: int) -> bool:
        """Return whether a host has it, or is not there.

        One that is not there has no lease, and learns the version before it serves.
        """
        known = self.progress.get(host)
        if known and known.ready_version == number:
            return True
        last_seen_at = max(self.started_at, offered_at, known.reported_at if known else 0)
        return now - last_seen_at > self.timeouts.upper_bound(LOST)

    def _deduplicate(self, wanted: list[PolicyCommand]) -> list[PolicyCommand]:
        new = [command for command in wanted if msgspec.msgpack.encode(command) not in self.pending]
        self.pending |= {msgspec.msgpack.encode(command) for command in new}
        return new

    def lost(self, command: PolicyCommand) -> None:
        """Forget a command that will never be committed."""
        self.pending.discard(msgspec.msgpack.encode(command))
