"""Proposals of commands to a leader."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from oakkeel.errors import OakkeelError


class ProposalStatus(Enum):
    """The outcome of a proposal."""

    PENDING = "pending"
    COMMITTED = "committed"
    UNKNOWN = "unknown"  # the leader stepped down: the next leader may still commit the command


@dataclass(slots=True, eq=False)
class Proposal:
    """A command that a leader has appended to its log."""

    index: int
    status: ProposalStatus = ProposalStatus.PENDING
    result: object = None  # returned by the state machine, once the command is committed


# Reasons why a leader can't take a proposal or answer a read.
LEASE_EXPIRED_REASON = "this replica leads, but its lease has expired"
NOTHING_COMMITTED_REASON = "this replica leads, but has committed nothing in its term yet"


class NotLeaderError(OakkeelError, ValueError):
    """The replica can't take a proposal. `leader` names the leader; empty if none is known."""

    def __init__(self, leader: str, reason: str = "") -> None:
        """`reason` replaces the default message."""
        super().__init__(reason or (f"{leader} is the leader" if leader else "there is no leader"))
        self.leader = leader


class ProposalLimitError(NotLeaderError):
    """The leader can't take the proposal: the command is too large, or too many are pending."""
