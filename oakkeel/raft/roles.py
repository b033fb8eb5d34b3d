"""Roles of a replica and the transitions between them."""

from __future__ import annotations

from enum import Enum


class Role(Enum):
    """The role of a replica; the strings are shown to operators. `ReplicaState.change_role` alone sets it."""

    RECOVERING = "joining"  # it has yet to learn what it may have forgotten, or which cluster it belongs to
    FOLLOWER = "following"
    PRE_CANDIDATE = "asking"  # whether others would vote for it
    CANDIDATE = "standing"
    LEADER = "leading"
    STALE = "outdated"  # its file is an older copy than others know it to have had


TRANSITIONS = {
    Role.RECOVERING: {Role.FOLLOWER, Role.STALE},
    Role.FOLLOWER: {Role.PRE_CANDIDATE, Role.STALE},
    Role.PRE_CANDIDATE: {Role.FOLLOWER, Role.CANDIDATE},
    Role.CANDIDATE: {Role.FOLLOWER, Role.PRE_CANDIDATE, Role.LEADER},
    Role.LEADER: {Role.FOLLOWER},
    Role.STALE: set(),
}
