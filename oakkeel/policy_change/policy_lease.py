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
        self.standing, self.number, self.until = LeaseStatus.UNTOLD, 0, 0

    def told(self, now: int, number: int, until: int) -> bool:
        """Whether it goes by another version from now on. It never goes back to an earlier one."""
        if number < self.number or (number == self.number and until < self.until):
            return False
        switched = number != self.number
        self.number, self.until = number, until
        self.standing = LeaseStatus.HOLDS if now < until else LeaseStatus.LAPSED
        return switched

    def may_decide(self, now: int) -> bool:
        """Else what comes is denied at once, with when to come back: there may be a later version."""
        if self.standing is LeaseStatus.HOLDS and now >= self.until:
            self.standing = LeaseStatus.LAPSED
        return self.standing is LeaseStatus.HOLDS


class AgentPolicyLease:
    """`nodes` are told what `hand_on` says; a node counts as going by a version once it has said so."""

    def __init__(self) -> None:
        self.number, self.until, self.content = 0, 0, b""
        self.proposed, self.ready, self.refused, self.why = 0, 0, 0, ""
        self.offered = b""
        self.nodes: dict[str, int] = {}  # by node that is there: the number that it said it goes by

    def told(self) -> PolicyReport:
        """With the next poll. The least of its nodes counts, and one that has not said yet goes by none."""
        number = min(self.nodes.values(), default=self.number)
        return PolicyReport(number, self.number, self.ready, self.refused, self.why)

    def heard(self, sent_at: int, heard: PolicyAssignment) -> bool:
        """Whether nodes are to be told. Later answers count from when their polls were sent."""
        if heard.number < self.number:
            return False  # of a leader that does not know yet, or that was overtaken
        if heard.number > self.number and heard.content:
            self.number, self.content, self.until = heard.number, heard.content, 0
        if heard.proposed != self.proposed:
            self.proposed, self.offered = heard.proposed, heard.offered
            self.ready = self.refused = 0
        elif heard.offered:
            self.offered = heard.offered
        if heard.number == self.number:
            self.until = max(self.until, sent_at + heard.good_for)
        return True

    def tried(self, number: int, why: str) -> None:
        """All nodes here have said whether they could take a proposed version; with a reason one can't."""
        if number == self.proposed:
            self.ready, self.refused, self.why = (0, number, why) if why else (number, 0, "")

    def hand_on(self) -> tuple[int, int]:
        """What nodes are told: the version and until when, by the clock of the host."""
        return self.number, self.until

    def node_there(self, name: str) -> None:
        """A process of it is there, whoever made it: it may go by anything until it has said."""
        self.nodes.setdefault(name, -1)

    def node_said(self, name: str, number: int) -> None:
        self.nodes[name] = number

    def node_gone(self, name: str) -> None:
        self.nodes.pop(name, None)
