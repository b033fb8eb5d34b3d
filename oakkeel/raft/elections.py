"""Elections of a leader, each with a pre-vote."""

from __future__ import annotations

from enum import Enum

from oakkeel.raft.leader_state import LeaderState
from oakkeel.raft.log import LogPosition
from oakkeel.raft.messages import EntryKind, Envelope, VoteRequest, VoteResponse
from oakkeel.raft.roles import Role
from oakkeel.raft.state import ReplicaState


class VoteDecision(Enum):
    """Whether a replica votes for a candidate; each value but `GRANT` is the reason of a refusal."""

    GRANT = "granted"
    RECOVERING = "this replica does not know yet what it voted for"
    REPLACED = "another incarnation has replaced the candidate"
    LEADER_ALIVE = "a leader was in contact within the minimum election timeout"
    LOG_BEHIND = "the candidate's log is behind"
    TERM_ENDED = "the candidate's term is over"
    ALREADY_VOTED = "this replica voted for another candidate in this term"


def decide_vote(now: int, replica: ReplicaState, envelope: Envelope, request: VoteRequest) -> VoteDecision:
    """Decide whether a replica votes for the sender of a request: the rule of the vote.

    A replica has one vote in a term and grants it only to a candidate whose log is at least as up to date as
    its own. So a term has at most one leader, and each leader has all committed entries. While a leader is in
    contact, no vote is granted: the leader's lease relies on this. `now` is in monotonic nanoseconds.
    """
    if replica.role is Role.RECOVERING:
        return VoteDecision.RECOVERING
    if _is_replaced(replica, envelope):
        return VoteDecision.REPLACED
    since_contact = now - replica.leader_contact_at
    if since_contact < replica.timeouts.min_election_timeout_ns or replica.holds_lease(now):
        return VoteDecision.LEADER_ALIVE
    if LogPosition(request.last_term, request.last_index) < replica.log.last_position:
        return VoteDecision.LOG_BEHIND
    if request.term < replica.term or (request.pre_vote and request.term == replica.term):
        return VoteDecision.TERM_ENDED
    may_vote_for_sender = replica.durable.voted_for in ("", envelope.incarnation)
    if request.term == replica.term and not may_vote_for_sender:
        return VoteDecision.ALREADY_VOTED
    return VoteDecision.GRANT


def _is_replaced(replica: ReplicaState, envelope: Envelope) -> bool:
    return any(
        member.name == envelope.sender and member.incarnation != envelope.incarnation
        for member in replica.members
    )


class Elections:
    """The elections of one replica: its candidacies, and its votes for other candidates."""

    def __init__(self, replica: ReplicaState) -> None:
        """`replica` is the state to read and change."""
        self.replica = replica
        self.votes_received: set[str] = set()  # incarnations of the voters that granted a vote

    def start_pre_vote(self, now: int) -> None:
        """Ask whether a majority would vote for this replica.

        Without a pre-vote, a replica that was partitioned would return with a higher term and so depose a
        working leader.
        """
        replica = self.replica
        if replica.role is not Role.PRE_CANDIDATE:
            replica.change_role(now, Role.PRE_CANDIDATE)
        replica.leader = ""
        self.votes_received = {replica.incarnation}
        replica.reset_election_timer(now)
        self._request_votes(now)

    def _request_votes(self, now: int) -> None:
        """Request the votes of the other voters. A pre-vote asks for votes in the next term."""
        replica = self.replica
        if replica.has_majority(self.votes_received):
            self._advance_election(now)
            return
        pre_vote = replica.role is Role.PRE_CANDIDATE
        term = replica.term + 1 if pre_vote else replica.term
        request = VoteRequest(term, pre_vote, replica.log.last_term, replica.log.last_index)
        for member in replica.members:
            if member.is_voter and member.incarnation != replica.incarnation:
                replica.send(member.name, request)

    def _advance_election(self, now: int) -> None:
        """Take the next step of the election, after a majority has voted for this replica."""
        if self.replica.role is Role.PRE_CANDIDATE:
            self._become_candidate(now)
        else:
            self._become_leader(now)

    def _become_candidate(self, now: int) -> None:
        replica = self.replica
        replica.change_role(now, Role.CANDIDATE)
        replica.set_term(replica.term + 1, replica.incarnation)
        self.votes_received = {replica.incarnation}
        replica.reset_election_timer(now)
        self._request_votes(now)

    def _become_leader(self, now: int) -> None:
        replica = self.replica
        replica.change_role(now, Role.LEADER)
        replica.leader = replica.name
        replica.elections_won += 1
        replica.leader_state = LeaderState(
            now, replica.incarnation, replica.term, replica.log, replica.timeouts
        )
        replica.append(now, EntryKind.NO_OP, b"")

    def handle_vote_request(self, now: int, envelope: Envelope, request: VoteRequest) -> None:
        """Respond to a vote request; a pre-vote changes nothing."""
        replica = self.replica
        granted = decide_vote(now, replica, envelope, request) is VoteDecision.GRANT
        if request.pre_vote:
            term = request.term if granted else replica.term
            replica.send(envelope.sender, VoteResponse(term, True, granted))
            return
        if granted:
            self._grant_vote(now, envelope, request)
        replica.send(envelope.sender, VoteResponse(replica.term, False, granted))

    def _grant_vote(self, now: int, envelope: Envelope, request: VoteRequest) -> None:
        replica = self.replica
        if request.term > replica.term:
            replica.become_follower(now, request.term, "")
        if not replica.durable.voted_for:
            replica.set_term(request.term, envelope.incarnation)
            replica.reset_election_timer(now)

    def handle_vote_response(self, now: int, envelope: Envelope, response: VoteResponse) -> None:
        """Count a vote, and take the next step of the election once there is a majority."""
        replica = self.replica
        if not response.granted:
            if response.term > replica.term:
                # A leader that steps down must not send its own clients to itself.
                known_leader = "" if replica.leader == replica.name else replica.leader
                replica.become_follower(now, response.term, known_leader)
            return
        if not self._belongs_to_election(response):
            return
        self.votes_received.add(envelope.incarnation)
        if replica.has_majority(self.votes_received):
            self._advance_election(now)

    def _belongs_to_election(self, response: VoteResponse) -> bool:
        """Whether a vote is for the current candidacy of this replica."""
        replica = self.replica
        if response.pre_vote:
            return replica.role is Role.PRE_CANDIDATE and response.term == replica.term + 1
        return replica.role is Role.CANDIDATE and response.term == replica.term
