"""Roles of a replica and the transitions between them."""

from __future__ import annotations

from enum import Enum


class Role(Enum):
    """The role of a replica. Operators see the values. Only `ReplicaState.change_role` sets it."""

    RECOVERING = "joining"  # does not know its cluster yet, or its last acknowledged entry
    FOLLOWER = "following"
    PRE_CANDIDATE = "asking"  # in a pre-vote
    CANDIDATE = "standing"
    LEADER = "leading"
    STALE = "outdated"  # its file is an older copy, without entries that it acknowledged


TRANSITIONS = {
    Role.RECOVERING: {Role.FOLLOWER, Role.STALE},
    Role.FOLLOWER: {Role.PRE_CANDIDATE, Role.STALE},
    Role.PRE_CANDIDATE: {Role.FOLLOWER, Role.CANDIDATE},
    Role.CANDIDATE: {Role.FOLLOWER, Role.PRE_CANDIDATE, Role.LEADER},
    Role.LEADER: {Role.FOLLOWER},
    Role.STALE: set(),
}
