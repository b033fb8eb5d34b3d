"""The leader's part of a policy change: it collects reports and assigns versions. Free of I/O.

All hosts prepare a proposed version; then it is decided, and after that in force. The leader assigns the
decided version to an agent with a lease, which starts, by the agent's clock, when the agent sent its
heartbeat. After the decision no leader assigns an earlier version. So once the longest lease has expired, by
any clock within the maximum drift, no node uses an earlier version, and the decided version is in force. It
is in force earlier if all hosts have reported that they use it.
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

POLICY_LEASE_NS = 3 * SECOND
HOST_TIMEOUT_NS = 5 * SECOND  # longer than the lease, so that the lease of a silent host has expired


class PolicyReport(msgspec.Struct, array_like=True):
    """The policy versions of an agent, reported with its heartbeat."""

    number: int  # the lowest version that a node of the agent uses; -1: a node has not reported yet
    held_version: int = 0  # the version whose content the agent has
    ready_version: int = 0  # the proposed version that all its nodes accept; 0: none
    refused_version: int = 0  # the proposed version that a node does not accept; 0: none
    reason: str = ""  # why the version is refused


class PolicyAssignment(msgspec.Struct, array_like=True):
    """The response to an agent: the decided version with its lease, and the proposed version."""

    number: int  # the decided version
    valid_for: int  # duration of the lease in nanoseconds, from when the heartbeat was sent
    content: bytes = b""  # empty if the agent already has it
    proposed_number: int = 0  # 0: no version is proposed
    proposed_content: bytes = b""  # empty if the agent is ready


@dataclass(slots=True)
class HostProgress:
    """The versions that a host last reported, and when it did."""

    reported_at: int  # earliest time at which the report was sent, in nanoseconds of the leader's clock
    number: int  # the lowest version that a node of the host uses; -1: a node has not reported yet
    ready_version: int  # the proposed version that the host accepts; 0: none


class PolicyCoordinator:
    """Coordinates policy changes for one term of a leader. Calls return the commands to propose."""

    def __init__(
        self, now: int, state_machine: PolicyStateMachine, hosts: tuple[str, ...], timeouts: PermitTimeouts
    ) -> None:
        """Start at `now`, in nanoseconds of the leader's clock; all `hosts` must be ready for a version."""
        self.state_machine = state_machine
        self.hosts = hosts
        self.timeouts = timeouts
        self.started_at = now
        self.progress: dict[str, HostProgress] = {}
        # By version number: the time after which this leader assigns no earlier version.
        self.decision_seen_at: dict[int, int] = {}
        # By version number: the time at which this leader first offered the version to the hosts.
        self.first_offered_at: dict[int, int] = {}
        self.pending: set[bytes] = set()  # encoded commands that a call has returned

    def receive_report(
        self, now: int, host: str, report: PolicyReport, sent_after: int
    ) -> list[PolicyCommand]:
        """Record a report; the host sent it later than `sent_after`, by the leader's clock."""
        if host not in self.hosts:
            return []
        previous = self.progress.get(host)
        if previous is None or sent_after >= previous.reported_at:
            self.progress[host] = HostProgress(sent_after, report.number, report.ready_version)
        proposed = self.state_machine.proposed
        if proposed and report.refused_version == proposed.number:
            return self._deduplicate([RejectPolicy(proposed.number, host, report.reason)])
        return []

    def assign(self, now: int, host: str, report: PolicyReport) -> PolicyAssignment:
        """Return the assignment of a host. The caller sends it only while the leader's lease is valid."""
        state = self.state_machine.state
        proposed = self.state_machine.proposed
        current = state.policies.get(state.decided)
        content = current.content if current and report.held_version != state.decided else b""
        assignment = PolicyAssignment(state.decided, POLICY_LEASE_NS, content)
        if proposed:
            assignment.proposed_number = proposed.number
            if report.ready_version != proposed.number:
                assignment.proposed_content = proposed.content
        return assignment

    def tick(self, now: int) -> list[PolicyCommand]:
        """Return the commands that commit the proposed version, and mark the decided one as in force."""
        state = self.state_machine.state
        proposed = self.state_machine.proposed
        commands: list[PolicyCommand] = []
        if proposed:
            offered_at = self.first_offered_at.setdefault(proposed.number, now)
            if all(self._is_ready(now, host, proposed.number, offered_at) for host in self.hosts):
                commands.append(CommitPolicy(proposed.number))
        current = state.policies.get(state.decided)
        if current and current.state == "decided":
            seen_at = self.decision_seen_at.setdefault(current.number, now)
            if self._is_in_force(now, current.number, seen_at):
                commands.append(MarkInForce(current.number))
        return self._deduplicate(commands)

    def _is_in_force(self, now: int, number: int, seen_at: int) -> bool:
        """Return whether no request is decided under an earlier version any more.

        All leases on earlier versions were assigned before `seen_at`. The version is in force once they have
        expired, or once all hosts have reported since then that they use it.
        """
        if now - seen_at > self.timeouts.upper_bound(POLICY_LEASE_NS):
            return True
        return all(
            (progress := self.progress.get(host))
            and progress.number >= number
            and progress.reported_at >= seen_at
            for host in self.hosts
        )

    def _is_ready(self, now: int, host: str, number: int, offered_at: int) -> bool:
        """Return whether a host is ready for a version, or silent for longer than its lease.

        A silent host does not block a change: it has no lease, and gets the version before it serves again.
        """
        progress = self.progress.get(host)
        if progress and progress.ready_version == number:
            return True
        last_seen_at = max(self.started_at, offered_at, progress.reported_at if progress else 0)
        return now - last_seen_at > self.timeouts.upper_bound(HOST_TIMEOUT_NS)

    def _deduplicate(self, commands: list[PolicyCommand]) -> list[PolicyCommand]:
        """Return the commands that are not pending, and add them to the pending commands."""
        new_commands = [
            command for command in commands if msgspec.msgpack.encode(command) not in self.pending
        ]
        self.pending |= {msgspec.msgpack.encode(command) for command in new_commands}
        return new_commands

    def handle_lost_command(self, command: PolicyCommand) -> None:
        """Forget a command that was not committed, so that it may be proposed again."""
        self.pending.discard(msgspec.msgpack.encode(command))
