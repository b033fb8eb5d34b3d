"""The agent's part and the node's: which version of the policy an exchange is decided under, until when.

Agent and node are on one host and share its monotonic clock, so that the time itself is handed on. Free of
I/O.
"""

from __future__ import annotations

from enum import Enum

from oakkeel.policy_change.coordinator import PolicyAssignment, PolicyReport


class LeaseStatus(Enum):
    """Of a node. `NodePolicyLease` alone changes it."""

    UNTOLD = "untold"  # it has just begun
    HOLDS = "holds"
    LAPSED = "lapsed"  # its agent is cut off, or it was stopped


class NodePolicyLease:
    """Asked before each decision. One switch is one call, between two exchanges."""

    def __init__(self) -> None:
        self.status, self.number, self.expires_at = LeaseStatus.UNTOLD, 0, 0

    def renew(self, now: int, number: int, until: int) -> bool:
        """Whether it goes by another version from now on. It never goes back to an earlier one."""
        if number < self.number or (number == self.number and until < self.expires_at):
            return False
        switched = number != self.number
        self.number, self.expires_at = number, until
        self.status = LeaseStatus.HOLDS if now < until else LeaseStatus.LAPSED
        return switched

    def may_decide(self, now: int) -> bool:
        """Else what comes is denied at once, with when to come back: there may be a later version."""
        if self.status is LeaseStatus.HOLDS and now >= self.expires_at:
            self.status = LeaseStatus.LAPSED
        return self.status is LeaseStatus.HOLDS


class AgentPolicyLease:
    """`nodes` are told what `hand_on` says; a node counts as going by a version once it has said so."""

    def __init__(self) -> None:
        self.number, self.expires_at, self.content = 0, 0, b""
        self.proposed_number, self.ready_version, self.refused_version, self.reason = 0, 0, 0, ""
        self.proposed_content = b""
        self.node_versions: dict[str, int] = {}  # by node that is there: the number that it said it goes by

    def report(self) -> PolicyReport:
        """With the next poll. The least of its nodes counts, and one that has not said yet goes by none."""
        number = min(self.node_versions.values(), default=self.number)
        return PolicyReport(number, self.number, self.ready_version, self.refused_version, self.reason)

    def receive_assignment(self, sent_at: int, heard: PolicyAssignment) -> bool:
        """Whether nodes are to be told. Later answers count from when their polls were sent."""
        if heard.number < self.number:
            return False  # of a leader that does not know yet, or that was overtaken
        if heard.number > self.number and heard.content:
            self.number, self.content, self.expires_at = heard.number, heard.content, 0
        if heard.proposed_number != self.proposed_number:
            self.proposed_number, self.proposed_content = heard.proposed_number, heard.proposed_content
            self.ready_version = self.refused_version = 0
        elif heard.proposed_content:
            self.proposed_content = heard.proposed_content
        if heard.number == self.number:
            self.expires_at = max(self.expires_at, sent_at + heard.valid_for)
        return True

    def report_trial(self, number: int, why: str) -> None:
        """All nodes here have said whether they could take a proposed version; with a reason one can't."""
        if number == self.proposed_number:
            self.ready_version, self.refused_version, self.reason = (
                (0, number, why) if why else (number, 0, "")
            )

    def node_lease(self) -> tuple[int, int]:
        """What nodes are told: the version and until when, by the clock of the host."""
        return self.number, self.expires_at

    def node_started(self, name: str) -> None:
        """A process of it is there, whoever made it: it may go by anything until it has said."""
        self.node_versions.setdefault(name, -1)

    def node_reported(self, name: str, number: int) -> None:
        self.node_versions[name] = number

    def node_stopped(self, name: str) -> None:
        self.node_versions.pop(name, None)
