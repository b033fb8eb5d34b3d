"""The state of a leader during its term: progress of each member, commit index and lease. Free of I/O."""

from __future__ import annotations

from dataclasses import dataclass

from oakkeel.raft.log import ReplicatedLog
from oakkeel.raft.messages import Acknowledgement, Member
from oakkeel.raft.quorum import majority_value
from oakkeel.raft.timeouts import RaftTimeouts

NEVER = 1 << 62  # later than every instant; `-NEVER` is earlier than every instant


@dataclass(slots=True, eq=False)
class PeerProgress:
    """The progress of another member, by the responses that were received from it."""

    name: str
    next_index: int  # of the first entry that the next append entries request carries
    match_index: int = 0  # the member has stored all entries up to this index
    sent_at: int = -NEVER  # when the last message to the member was sent
    in_flight: bool = False  # a request with entries was sent and has no response yet
    acknowledged_sent_at: int = -NEVER  # latest `sent_at` that the member responded to, by the leader's clock
    snapshot_offset: int = 0  # of the next chunk, in bytes
    needs_snapshot: bool = False  # the log no longer holds the entries that the member lacks


class LeaderState:
    """The state of a replica while it leads, discarded when it steps down."""

    def __init__(
        self, now: int, incarnation: str, term: int, log: ReplicatedLog, timeouts: RaftTimeouts
    ) -> None:
        """`incarnation` identifies the replica that was elected leader of `term`."""
        self.incarnation = incarnation
        self.term = term
        self.log = log
        self.timeouts = timeouts
        self.elected_at = now
        self.first_index = log.last_index + 1  # of the first entry of this term
        self.peers: dict[str, PeerProgress] = {}  # by incarnation
        self._update_peers(now)

    def _update_peers(self, now: int) -> None:
        """Keep the progress of the remaining members, and begin to track new members."""
        previous_peers = self.peers
        self.peers = {
            member.incarnation: previous_peers.get(member.incarnation)
            or PeerProgress(member.name, self.log.last_index + 1, acknowledged_sent_at=now)
            for member in self.log.members
            if member.incarnation != self.incarnation
        }

    def update_members(self, now: int) -> None:
        """Update the peers if the entry that was just appended changes the members."""
        if self.log.members_index == self.log.last_index:
            self._update_peers(now)

    def _voters(self) -> list[Member]:
        return [member for member in self.log.members if member.is_voter]

    def has_committed(self, commit_index: int) -> bool:
        """Whether an entry of this leader's term is committed.

        Until then the leader does not know which entries of earlier terms are committed.
        """
        return commit_index >= self.first_index

    def next_commit_index(self, commit_index: int) -> int:
        """Return the index up to which the log is committed: the rule of commit.

        An entry is committed once a majority of the voters has stored it. Only an entry of the leader's own
        term is counted: a later leader could still replace an entry of an earlier term. No committed entry is
        ever lost.
        """
        voters = self._voters()
        if not voters:
            return commit_index
        stored_indexes = [
            self.log.last_index
            if voter.incarnation == self.incarnation
            else self.peers[voter.incarnation].match_index
            for voter in voters
        ]
        index = majority_value(stored_indexes)
        if index > commit_index and self.log.term_at(index) == self.term:
            return index
        return commit_index

    def _majority_contact_at(self, now: int) -> int:
        """Return the latest instant after which a majority of the voters has responded to a message."""
        voters = self._voters()
        if not voters:
            return now
        contact_times = [
            now
            if voter.incarnation == self.incarnation
            else self.peers[voter.incarnation].acknowledged_sent_at
            for voter in voters
        ]
        return majority_value(contact_times)

    def lease_until(self, now: int) -> int:
        """Return the instant at which the leader's lease ends: the rule of lease validity.

        A majority does not vote within the minimum election timeout after it received a message of the
        leader, so no other leader can have been elected before the lease ends.
        """
        return self._majority_contact_at(now) + self.timeouts.lease_ns

    def has_lost_majority(self, now: int) -> bool:
        """Whether the leader has to step down, as no majority has responded for the maximum election timeout.

        The other voters may have elected a leader that this leader can't reach, so this leader must not
        accept proposals for ever.
        """
        silent_since = max(self.elected_at, self._majority_contact_at(now))
        return now - silent_since > self.timeouts.max_election_timeout_ns

    def next_heartbeat_at(self) -> int:
        """Return the time at which the next heartbeat is due."""
        interval = self.timeouts.heartbeat_interval_ns
        return min((peer.sent_at + interval for peer in self.peers.values()), default=NEVER)

    def acknowledgements(self) -> list[Acknowledgement]:
        """Return the last entry that each member is known to have stored, beginning with the leader."""
        return [
            Acknowledgement(self.incarnation, self.log.last_term, self.log.last_index),
            *(
                Acknowledgement(incarnation, self.log.term_at(peer.match_index), peer.match_index)
                for incarnation, peer in self.peers.items()
            ),
        ]
