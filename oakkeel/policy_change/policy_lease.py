"""The leases of an agent and of a node on a policy version. Free of I/O.

Agent and node run on one host and share its monotonic clock, so that the expiry time is passed on as it is.
"""

from __future__ import annotations

from enum import Enum

from oakkeel.policy_change.coordinator import PolicyAssignment, PolicyReport


class LeaseStatus(Enum):
    """The status of a node's lease. Only `NodePolicyLease` changes it."""

    NONE = "none"  # the node has just started
    HELD = "held"
    EXPIRED = "expired"  # the agent is cut off, or was stopped


class NodePolicyLease:
    """A node's lease, checked before each request. A node switches versions between two requests."""

    def __init__(self) -> None:
        """Start without a lease."""
        self.status = LeaseStatus.NONE
        self.number = 0
        self.expires_at = 0  # monotonic nanoseconds

    def renew(self, now: int, number: int, until: int) -> bool:
        """Extend the lease to `until`; return whether the node switches versions. It never goes back."""
        if number < self.number or (number == self.number and until < self.expires_at):
            return False
        switched = number != self.number
        self.number = number
        self.expires_at = until
        self.status = LeaseStatus.HELD if now < until else LeaseStatus.EXPIRED
        return switched

    def may_decide(self, now: int) -> bool:
        """Return whether the lease is valid; without one a later version may be in force elsewhere."""
        if self.status is LeaseStatus.HELD and now >= self.expires_at:
            self.status = LeaseStatus.EXPIRED
        return self.status is LeaseStatus.HELD


class AgentPolicyLease:
    """An agent's lease, and the versions that its nodes have reported."""

    def __init__(self) -> None:
        """Start without a lease."""
        self.number = 0
        self.content = b""
        self.expires_at = 0  # monotonic nanoseconds
        self.proposed_number = 0
        self.proposed_content = b""
        self.ready_version = 0
        self.refused_version = 0
        self.reason = ""
        self.node_versions: dict[str, int] = {}  # by running node: the number that it reported

    def report(self) -> PolicyReport:
        """Return the report, with the lowest version of the nodes; -1 if one has not reported yet."""
        number = min(self.node_versions.values(), default=self.number)
        return PolicyReport(number, self.number, self.ready_version, self.refused_version, self.reason)

    def receive_assignment(self, sent_at: int, assignment: PolicyAssignment) -> bool:
        """Adopt a response; return whether to renew the nodes' leases.

        The lease counts from when its heartbeat was sent. A version is adopted only with its content.
        """
        if assignment.number < self.number:
            return False  # from an old leader, or overtaken by a later response
        if assignment.number > self.number and assignment.content:
            self.number = assignment.number
            self.content = assignment.content
            self.expires_at = 0
        if assignment.proposed_number != self.proposed_number:
            self.proposed_number = assignment.proposed_number
            self.proposed_content = assignment.proposed_content
            self.ready_version = 0
            self.refused_version = 0
        elif assignment.proposed_content:
            self.proposed_content = assignment.proposed_content
        if assignment.number == self.number:
            self.expires_at = max(self.expires_at, sent_at + assignment.valid_for)
        return True

    def report_trial(self, number: int, why: str) -> None:
        """Record whether all nodes accept a proposed version; `why` is the reason if one does not."""
        if number == self.proposed_number:
            self.ready_version = 0 if why else number
            self.refused_version = number if why else 0
            self.reason = why

    def node_lease(self) -> tuple[int, int]:
        """Return the version to use, and the monotonic time in nanoseconds at which the lease expires."""
        return self.number, self.expires_at

    def node_started(self, name: str) -> None:
        """Record that a node runs: it may use any version until it has reported."""
        self.node_versions.setdefault(name, -1)

    def node_reported(self, name: str, number: int) -> None:
        """Record the version that a node uses."""
        self.node_versions[name] = number

    def node_stopped(self, name: str) -> None:
        """Remove a node that has ended."""
        self.node_versions.pop(name, None)
