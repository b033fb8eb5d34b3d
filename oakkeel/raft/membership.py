"""Changes of the members, one voter at a time, as a leader decides them."""

from __future__ import annotations

from oakkeel.raft.leader import LeaderState
from oakkeel.raft.messages import Member, encode_members
from oakkeel.raft.state import ReplicaState


def next_membership(now: int, leader_state: LeaderState) -> bytes:
    """Return the content of the entry that makes the next change; empty where none can or need be made."""
    replica = leader_state.replica
    uncommitted = replica.log.members_index > replica.commit_index
    if uncommitted or not leader_state.has_committed(replica.commit_index):
        return b""
    members = _next_members(now, leader_state)
    if members is None or not _can_commit(now, leader_state, members):
        return b""
    return encode_members(members)


def _can_commit(now: int, leader_state: LeaderState, members: list[Member]) -> bool:
    """Whether a majority of the voters after the change has been heard from lately."""
    replica, peers = leader_state.replica, leader_state.peers
    voters = [member.incarnation for member in members if member.is_voter]
    recent = [
        incarnation
        for incarnation in voters
        if incarnation == replica.incarnation
        or (
            incarnation in peers
            and now - peers[incarnation].acknowledged_sent_at < replica.timeouts.election_max
        )
    ]
    return 2 * len(recent) > len(voters)


def _next_members(now: int, leader_state: LeaderState) -> list[Member] | None:
    replica = leader_state.replica
    desired = set(replica.state_machine.desired_voters()) or {member.name for member in replica.members}
    return (
        _replace_lost_incarnation(now, replica)
        or _promote_learner(now, leader_state, desired)
        or _add_learner(now, replica, desired)
        or _remove_member(replica, desired)
    )


def _replace_lost_incarnation(now: int, replica: ReplicaState) -> list[Member] | None:
    """Return the members with a learner in place of a member whose file was lost."""
    members = list(replica.members)
    requests = replica.recent_recovery_requests(now)
    for position, member in enumerate(members):
        request = requests.get(member.name)
        if (
            request
            and request.empty
            and request.incarnation != member.incarnation
            and member.incarnation != replica.incarnation
        ):
            members[position] = Member(member.name, request.incarnation, False)
            return members
    return None


def _promote_learner(now: int, leader_state: LeaderState, desired: set[str]) -> list[Member] | None:
    """Return the members with a vote for a desired voter that has all that is committed."""
    replica = leader_state.replica
    for learner in replica.members:
        peer = leader_state.peers.get(learner.incarnation)
        if (
            peer
            and not learner.is_voter
            and learner.name in desired
            and peer.match_index >= replica.commit_index
            and now - peer.acknowledged_sent_at < replica.timeouts.election_min
        ):
            return [
                Member(member.name, member.incarnation, member.is_voter or member is learner)
                for member in replica.members
            ]
    return None


def _add_learner(now: int, replica: ReplicaState, desired: set[str]) -> list[Member] | None:
    """Return the members with a desired voter that has asked to recover, without a vote as yet."""
    requests = replica.recent_recovery_requests(now)
    for name in sorted(desired - {member.name for member in replica.members}):
        if name in requests:
            return [*replica.members, Member(name, requests[name].incarnation, False)]
    return None


def _remove_member(replica: ReplicaState, desired: set[str]) -> list[Member] | None:
    """Return the members without one that is not desired, the leader last; once all desired ones vote."""
    if not desired <= {member.name for member in replica.members if member.is_voter}:
        return None
    for leaving in sorted(replica.members, key=lambda member: member.incarnation == replica.incarnation):
        if leaving.name not in desired:
            return [member for member in replica.members if member is not leaving]
    return None
