"""Proposals of commands to a leader."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from oakkeel.errors import OakkeelError


class ProposalStatus(Enum):
    """What has become of a proposal."""

    PENDING = "pending"
    COMMITTED = "committed"
    UNKNOWN = "unknown"  # its leader leads no more: it may yet be committed


@dataclass(slots=True, eq=False)
class Proposal:
    """A command that a leader has appended to its log."""

    index: int
    status: ProposalStatus = ProposalStatus.PENDING
    result: object = None  # of the state machine, once it is committed


class NotLeaderError(OakkeelError, ValueError):
    """The replica can't take a proposal. `leader` is whom it takes for the leader, or empty."""

    def __init__(self, leader: str, reason: str = "") -> None:
        """`reason` is given where there is more to say than who leads."""
        super().__init__(reason or (f"{leader} leads" if leader else "there is no leader"))
        self.leader = leader
