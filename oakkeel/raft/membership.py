"""The leader's decisions on membership changes, one member at a time."""

from __future__ import annotations

from oakkeel.raft.leader_state import LeaderState
from oakkeel.raft.messages import Member
from oakkeel.raft.quorum import is_majority
from oakkeel.raft.state import ReplicaState


def next_membership(now: int, replica: ReplicaState, leader_state: LeaderState) -> list[Member] | None:
    """Return the members after the next change; None if no change is needed or possible.

    One member changes at a time, and the next change waits until the previous one is committed, so that two
    majorities always have a voter in common. `now` is in monotonic nanoseconds.
    """
    has_uncommitted_change = replica.log.members_index > replica.commit_index
    if has_uncommitted_change or not leader_state.has_committed(replica.commit_index):
        return None
    members = _next_members(now, replica, leader_state)
    if members is None or not _can_commit(now, replica, leader_state, members):
        return None
    return members


def _can_commit(now: int, replica: ReplicaState, leader_state: LeaderState, members: list[Member]) -> bool:
    """Whether a majority of the voters after the change responded within the maximum election timeout."""
    peers = leader_state.peers
    voters = {member.incarnation for member in members if member.is_voter}
    recent_voters = {
        incarnation
        for incarnation in voters
        if incarnation == replica.incarnation
        or (
            incarnation in peers
            and now - peers[incarnation].acknowledged_sent_at < replica.timeouts.max_election_timeout_ns
        )
    }
    return is_majority(recent_voters, voters)


def _next_members(now: int, replica: ReplicaState, leader_state: LeaderState) -> list[Member] | None:
    desired_names = set(replica.state_machine.desired_voters()) or {member.name for member in replica.members}
    return (
        _replace_lost_incarnation(now, replica)
        or _promote_learner(now, replica, leader_state, desired_names)
        or _add_learner(now, replica, desired_names)
        or _remove_member(replica, desired_names)
    )


def _replace_lost_incarnation(now: int, replica: ReplicaState) -> list[Member] | None:
    """Return the members with a learner that replaces a member whose file was lost."""
    members = list(replica.members)
    requests = replica.recent_recovery_requests(now)
    for position, member in enumerate(members):
        request = requests.get(member.name)
        if (
            request
            and request.has_empty_file
            and request.incarnation != member.incarnation
            and member.incarnation != replica.incarnation
        ):
            members[position] = Member(member.name, request.incarnation, False)
            return members
    return None


def _promote_learner(
    now: int, replica: ReplicaState, leader_state: LeaderState, desired_names: set[str]
) -> list[Member] | None:
    """Return the members with a desired learner made a voter, once it has stored all committed entries."""
    for learner in replica.members:
        peer = leader_state.peers.get(learner.incarnation)
        if (
            peer
            and not learner.is_voter
            and learner.name in desired_names
            and peer.match_index >= replica.commit_index
            and now - peer.acknowledged_sent_at < replica.timeouts.min_election_timeout_ns
        ):
            return [
                Member(member.name, member.incarnation, member.is_voter or member is learner)
                for member in replica.members
            ]
    return None


def _add_learner(now: int, replica: ReplicaState, desired_names: set[str]) -> list[Member] | None:
    """Return the members with a desired voter added as a learner, once its recovery request has arrived."""
    requests = replica.recent_recovery_requests(now)
    for name in sorted(desired_names - {member.name for member in replica.members}):
        if name in requests:
            return [*replica.members, Member(name, requests[name].incarnation, False)]
    return None


def _remove_member(replica: ReplicaState, desired_names: set[str]) -> list[Member] | None:
    """Return the members without an undesired member; the leader is removed last.

    No member is removed before all desired members are voters.
    """
    if not desired_names <= {member.name for member in replica.members if member.is_voter}:
        return None
    for leaving_member in sorted(
        replica.members, key=lambda member: member.incarnation == replica.incarnation
    ):
        if leaving_member.name not in desired_names:
            return [member for member in replica.members if member is not leaving_member]
    return None
