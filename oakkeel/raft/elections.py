"""Elections with a pre-vote."""

from __future__ import annotations

from oakkeel.raft.leader import LeaderState
from oakkeel.raft.log import LogPosition
from oakkeel.raft.messages import EntryKind, Envelope, VoteRequest, VoteResponse
from oakkeel.raft.roles import Role
from oakkeel.raft.state import ReplicaState


class Elections:
    """Stands for election, and votes."""

    def __init__(self, replica: ReplicaState) -> None:
        """It acts on the state of that replica."""
        self.replica = replica
        self.votes_received: set[str] = set()  # incarnations

    def start_pre_vote(self, now: int) -> None:
        """Ask whether a majority would vote for it.

        A replica that is cut off must not unseat a good leader by the terms that it counts up.
        """
        replica = self.replica
        if replica.role is not Role.PRE_CANDIDATE:
            replica.change_role(now, Role.PRE_CANDIDATE)
        replica.leader, self.votes_received = "", {replica.incarnation}
        replica.reset_election_timer(now)
        self._request_votes(now, True)

    def _request_votes(self, now: int, pre_vote: bool) -> None:
        replica = self.replica
        if replica.has_majority(self.votes_received):
            self._won(now, pre_vote)
            return
        log = replica.log
        request = VoteRequest(replica.term + pre_vote, pre_vote, log.last_term, log.last_index)
        for member in replica.members:
            if member.is_voter and member.incarnation != replica.incarnation:
                replica.send(member.name, request)

    def _won(self, now: int, pre_vote: bool) -> None:
        if pre_vote:
            self._stand(now)
        else:
            self._lead(now)

    def _stand(self, now: int) -> None:
        replica = self.replica
        replica.change_role(now, Role.CANDIDATE)
        replica.set_term(replica.term + 1, replica.incarnation)
        self.votes_received = {replica.incarnation}
        replica.reset_election_timer(now)
        self._request_votes(now, False)

    def _lead(self, now: int) -> None:
        replica = self.replica
        replica.change_role(now, Role.LEADER)
        replica.leader = replica.name
        replica.elections_won += 1
        replica.leader_state = LeaderState(now, replica)
        replica.append(now, EntryKind.NO_OP, b"")

    def vote_requested(self, now: int, envelope: Envelope, request: VoteRequest) -> None:
        """Vote for the sender, or tell whether it would."""
        replica, durable = self.replica, self.replica.durable
        may_vote = self._may_vote_for(now, envelope, request)
        if request.pre_vote:
            granted = may_vote and request.term > durable.term
            term = request.term if granted else durable.term
            replica.send(envelope.sender, VoteResponse(term, True, granted))
            return
        if may_vote and request.term > durable.term:
            replica.become_follower(now, request.term, "")
        granted = (
            may_vote and request.term == durable.term and durable.voted_for in ("", envelope.incarnation)
        )
        if granted and not durable.voted_for:
            replica.set_term(request.term, envelope.incarnation)
            replica.reset_election_timer(now)
        replica.send(envelope.sender, VoteResponse(durable.term, False, granted))

    def _may_vote_for(self, now: int, envelope: Envelope, request: VoteRequest) -> bool:
        replica = self.replica
        is_replaced = any(
            member.name == envelope.sender and member.incarnation != envelope.incarnation
            for member in replica.members
        )
        since_contact = now - replica.leader_contact_at
        has_leader = since_contact < replica.timeouts.election_min or replica.holds_lease(now)
        is_current = LogPosition(request.last_term, request.last_index) >= replica.log.last_position
        return (
            replica.role is not Role.RECOVERING
            and not is_replaced
            and not has_leader
            and is_current
            and request.term >= replica.term
        )

    def vote_received(self, now: int, envelope: Envelope, response: VoteResponse) -> None:
        """Count a vote, and lead or stand once there is a majority."""
        replica = self.replica
        if not response.granted:
            if response.term > replica.term:
                replica.become_follower(now, response.term, replica.leader)
            return
        role, term = (
            (Role.PRE_CANDIDATE, replica.term + 1) if response.pre_vote else (Role.CANDIDATE, replica.term)
        )
        if (replica.role, response.term) == (role, term):
            self.votes_received.add(envelope.incarnation)
            if replica.has_majority(self.votes_received):
                self._won(now, response.pre_vote)
