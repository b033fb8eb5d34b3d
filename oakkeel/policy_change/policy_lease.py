"""The agent's and the node's part of a policy change: the version in use and until when.

Agent and node are on one host and share its monotonic clock, so that the time itself is handed on. Free of
I/O.
"""

from __future__ import annotations

from enum import Enum

from oakkeel.policy_change.coordinator import PolicyAssignment, PolicyReport


class LeaseStatus(Enum):
    """The status of a node's lease. `NodePolicyLease` alone changes it."""

    NONE = "untold"  # it has just started
    HELD = "holds"
    EXPIRED = "lapsed"  # its agent is cut off, or it was stopped


class NodePolicyLease:
    """Asked before each decision. One switch is one call, between two requests."""

    def __init__(self) -> None:
        """Hold no lease at first."""
        self.status, self.number, self.expires_at = LeaseStatus.NONE, 0, 0

    def renew(self, now: int, number: int, until: int) -> bool:
        """Return whether the node switches to another version; it never goes back to an earlier one."""
        if number < self.number or (number == self.number and until < self.expires_at):
            return False
        switched = number != self.number
        self.number, self.expires_at = number, until
        self.status = LeaseStatus.HELD if now < until else LeaseStatus.EXPIRED
        return switched

    def may_decide(self, now: int) -> bool:
        """Return whether requests may be decided; else they are rejected, as there may be a later version."""
        if self.status is LeaseStatus.HELD and now >= self.expires_at:
            self.status = LeaseStatus.EXPIRED
        return self.status is LeaseStatus.HELD


class AgentPolicyLease:
    """Nodes are given `node_lease`; a node counts as using a version once it has reported so."""

    def __init__(self) -> None:
        """Hold no lease at first."""
        self.number, self.expires_at, self.content = 0, 0, b""
        self.proposed_number, self.ready_version, self.refused_version, self.reason = 0, 0, 0, ""
        self.proposed_content = b""
        self.node_versions: dict[str, int] = {}  # by running node: the number that it reported

    def report(self) -> PolicyReport:
        """Return the report. The least of its nodes counts; one that has not reported yet uses none."""
        number = min(self.node_versions.values(), default=self.number)
        return PolicyReport(number, self.number, self.ready_version, self.refused_version, self.reason)

    def receive_assignment(self, sent_at: int, assignment: PolicyAssignment) -> bool:
        """Return whether to renew the nodes' leases. A response counts from when its heartbeat was sent."""
        if assignment.number < self.number:
            return False  # of a leader that does not know yet, or that was overtaken
        if assignment.number > self.number and assignment.content:
            self.number, self.content, self.expires_at = assignment.number, assignment.content, 0
        if assignment.proposed_number != self.proposed_number:
            self.proposed_number, self.proposed_content = (
                assignment.proposed_number,
                assignment.proposed_content,
            )
            self.ready_version = self.refused_version = 0
        elif assignment.proposed_content:
            self.proposed_content = assignment.proposed_content
        if assignment.number == self.number:
            self.expires_at = max(self.expires_at, sent_at + assignment.valid_for)
        return True

    def report_trial(self, number: int, why: str) -> None:
        """Note whether all nodes here can take a proposed version; with a reason one can't."""
        if number == self.proposed_number:
            self.ready_version, self.refused_version, self.reason = (
                (0, number, why) if why else (number, 0, "")
            )

    def node_lease(self) -> tuple[int, int]:
        """Return what nodes are given: the version and until when, by the clock of the host."""
        return self.number, self.expires_at

    def node_started(self, name: str) -> None:
        """Note a running process of a node: it may use any version until it has reported."""
        self.node_versions.setdefault(name, -1)

    def node_reported(self, name: str, number: int) -> None:
        """Note the version that a node uses."""
        self.node_versions[name] = number

    def node_stopped(self, name: str) -> None:
        """Forget a node that has ended."""
        self.node_versions.pop(name, None)
