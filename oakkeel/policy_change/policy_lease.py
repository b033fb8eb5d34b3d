"""The leases of an agent and of a node on a policy version. Free of I/O.

An agent and its nodes run on one host and share its monotonic clock, so the agent passes the expiry time on
unchanged.
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
        self.number = 0  # the version that the node uses; 0: none
        self.expires_at = 0  # monotonic nanoseconds

    def renew(self, now: int, number: int, expires_at: int) -> bool:
        """Extend the lease, and return whether the node switches versions.

        An earlier version, or an earlier expiry time of the same version, is ignored.
        """
        if number < self.number or (number == self.number and expires_at < self.expires_at):
            return False
        is_switch = number != self.number
        self.number = number
        self.expires_at = expires_at
        self.status = LeaseStatus.HELD if now < expires_at else LeaseStatus.EXPIRED
        return is_switch

    def may_decide(self, now: int) -> bool:
        """Return whether the lease is valid; after its expiry a later version may be in force elsewhere."""
        if self.status is LeaseStatus.HELD and now >= self.expires_at:
            self.status = LeaseStatus.EXPIRED
        return self.status is LeaseStatus.HELD


class AgentPolicyLease:
    """An agent's lease, and the versions that its nodes have reported."""

    def __init__(self) -> None:
        """Start without a lease."""
        self.number = 0  # the version that the agent last adopted; 0: none
        self.content = b""  # of that version
        self.expires_at = 0  # monotonic nanoseconds
        self.proposed_number = 0  # 0: no version is proposed
        self.proposed_content = b""
        self.ready_version = 0  # the proposed version, if all nodes accept it; otherwise 0
        self.refused_version = 0  # the proposed version, if a node does not accept it; otherwise 0
        self.reason = ""  # why the version is refused
        self.node_versions: dict[str, int] = {}  # by name of a running node; -1: it has not reported yet

    def report(self) -> PolicyReport:
        """Return the report, with the lowest version of the nodes; -1 if a node has not reported yet."""
        number = min(self.node_versions.values(), default=self.number)
        return PolicyReport(number, self.number, self.ready_version, self.refused_version, self.reason)

    def receive_assignment(self, sent_at: int, assignment: PolicyAssignment) -> bool:
        """Adopt an assignment; return whether to renew the nodes' leases.

        The lease starts when the heartbeat was sent, at `sent_at`. A version is adopted only with its
        content.
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

    def record_acceptance(self, number: int, refusal_reason: str) -> None:
        """Record whether all nodes accept a proposed version; `refusal_reason` is empty if they do."""
        if number == self.proposed_number:
            self.ready_version = 0 if refusal_reason else number
            self.refused_version = number if refusal_reason else 0
            self.reason = refusal_reason

    def node_lease(self) -> tuple[int, int]:
        """Return the version to use, and the monotonic time in nanoseconds at which the lease expires."""
        return self.number, self.expires_at

    def record_node_start(self, name: str) -> None:
        """Record that a node runs: it may use any version until it has reported."""
        self.node_versions.setdefault(name, -1)

    def record_node_version(self, name: str, number: int) -> None:
        """Record the version that a node uses."""
        self.node_versions[name] = number

    def remove_node(self, name: str) -> None:
        """Remove a node that has ended."""
        self.node_versions.pop(name, None)
