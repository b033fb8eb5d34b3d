"""The state of a leader for its term: progress of each member, commit index, lease and heartbeats."""

from __future__ import annotations

from dataclasses import dataclass

from oakkeel.raft.messages import (
    Acknowledgement,
    AppendEntriesRequest,
    AppendEntriesResponse,
    Member,
    SnapshotChunkResponse,
)
from oakkeel.raft.snapshot_transfer import snapshot_chunk
from oakkeel.raft.state import ReplicaState

NEVER = 1 << 62


@dataclass(slots=True, eq=False)
class PeerProgress:
    """Another member, as far as its responses tell."""

    name: str
    next_index: int  # to send from
    match_index: int = 0  # it is known to have stored all entries up to there
    sent_at: int = -NEVER
    in_flight: bool = False  # entries were sent, and no response came
    acknowledged_sent_at: int = -NEVER  # the latest `sent_at` that it responded to, by our clock
    snapshot_offset: int = 0  # of the next chunk
    needs_snapshot: bool = False  # it lacks entries that the log does not hold any more


class LeaderState:
    """What a replica keeps only while it leads. Thrown away when it leads no more."""

    def __init__(self, now: int, replica: ReplicaState) -> None:
        """`replica` has just become the leader of its term."""
        self.replica, self.elected_at = replica, now
        self.first_index = replica.log.last_index + 1  # of its own term
        self.peers: dict[str, PeerProgress] = {}  # by incarnation
        self._follow_members(now)

    def _follow_members(self, now: int) -> None:
        replica, known = self.replica, self.peers
        self.peers = {
            member.incarnation: known.get(member.incarnation)
            or PeerProgress(member.name, replica.log.last_index + 1, acknowledged_sent_at=now)
            for member in replica.members
            if member.incarnation != replica.incarnation
        }

    def has_committed(self, commit_index: int) -> bool:
        """Whether an entry of its own term is committed: before, it does not know all that is."""
        return commit_index >= self.first_index

    def _voters(self) -> list[Member]:
        return [member for member in self.replica.members if member.is_voter]

    def _majority_value(self, values: list[int]) -> int:
        """Return what a majority of the voters has reached, given what each has."""
        return sorted(values, reverse=True)[len(values) // 2]

    def next_commit_index(self, commit_index: int) -> int:
        """Return how far a majority has stored the log; only entries of its own term are counted."""
        replica = self.replica
        voters = self._voters()
        if not voters:
            return commit_index
        stored = [
            replica.log.last_index
            if voter.incarnation == replica.incarnation
            else self.peers[voter.incarnation].match_index
            for voter in voters
        ]
        index = self._majority_value(stored)
        if index > commit_index and replica.log.term_at(index) == replica.term:
            return index
        return commit_index

    def _majority_contact(self, now: int) -> int:
        """Return the latest time at which a majority had yet to be sent what it then responded to."""
        voters = self._voters()
        if not voters:
            return now
        contacts = [
            now
            if voter.incarnation == self.replica.incarnation
            else self.peers[voter.incarnation].acknowledged_sent_at
            for voter in voters
        ]
        return self._majority_value(contacts)

    def lease_until(self, now: int) -> int:
        """Return until when nobody else can have been elected."""
        return self._majority_contact(now) + self.replica.timeouts.lease

    def lost_majority(self, now: int) -> bool:
        """Whether a majority has been silent for longer than any election timeout."""
        silent_since = max(self.elected_at, self._majority_contact(now))
        return now - silent_since > self.replica.timeouts.election_max

    def next_tick_at(self) -> int:
        """Return when the next heartbeat is due."""
        heartbeat = self.replica.timeouts.heartbeat
        return min((peer.sent_at + heartbeat for peer in self.peers.values()), default=NEVER)

    def entry_appended(self, now: int) -> None:
        """Follow the members that the entry just appended may name."""
        if self.replica.log.members_index == self.replica.log.last_index:
            self._follow_members(now)

    def tick(self, now: int) -> None:
        """Send the heartbeats that are due."""
        for peer in self.peers.values():
            if now - peer.sent_at >= self.replica.timeouts.heartbeat:
                self._send(now, peer)

    def replicate(self, now: int) -> None:
        """Send new entries at once to the members from which no response is awaited."""
        for peer in self.peers.values():
            has_more = peer.next_index <= self.replica.log.last_index or peer.needs_snapshot
            if not peer.in_flight and has_more:
                self._send(now, peer)

    def _send(self, now: int, peer: PeerProgress) -> None:
        peer.sent_at = now
        if peer.next_index <= self.replica.log.snapshot.index:
            self._send_snapshot_chunk(now, peer)
        else:
            self._send_entries(now, peer)

    def _send_snapshot_chunk(self, now: int, peer: PeerProgress) -> None:
        if not peer.needs_snapshot:
            peer.needs_snapshot, peer.snapshot_offset = True, 0
        peer.in_flight = True
        snapshot = self.replica.log.snapshot
        chunk = snapshot_chunk(snapshot, self.replica.term, peer.snapshot_offset, now)
        self.replica.send(peer.name, chunk)

    def _send_entries(self, now: int, peer: PeerProgress) -> None:
        replica, log = self.replica, self.replica.log
        previous_index = peer.next_index - 1
        entries = log.batch_after(previous_index)
        peer.in_flight = bool(entries)
        request = AppendEntriesRequest(
            replica.term,
            previous_index,
            log.term_at(previous_index),
            entries,
            replica.commit_index,
            now,
            self.acknowledgements(),
        )
        replica.send(peer.name, request)

    def acknowledgements(self) -> list[Acknowledgement]:
        """Return what each member is known to have stored."""
        replica, log = self.replica, self.replica.log
        return [
            Acknowledgement(replica.incarnation, log.last_term, log.last_index),
            *(
                Acknowledgement(incarnation, log.term_at(peer.match_index), peer.match_index)
                for incarnation, peer in self.peers.items()
            ),
        ]

    def append_response_received(self, now: int, incarnation: str, response: AppendEntriesResponse) -> None:
        """Take a member's response to an append entries request of this term."""
        peer = self.peers.get(incarnation)
        if peer is None or response.sent_at > now:
            return
        self._record_response(peer, response.sent_at)
        if response.success:
            if response.index <= self.replica.log.last_index:
                peer.match_index = max(peer.match_index, response.index)
                peer.next_index = peer.match_index + 1
        elif response.index >= peer.match_index:  # else it was sent before a later one that succeeded
            peer.next_index = min(self.replica.log.last_index, response.index) + 1

    def _record_response(self, peer: PeerProgress, sent_at: int) -> bool:
        """Return whether it responds to the latest message to the member.

        Only that one makes room for more at once: were a duplicate of it to do so too, a link that duplicates
        messages would multiply them without end.
        """
        peer.acknowledged_sent_at = max(peer.acknowledged_sent_at, sent_at)
        if sent_at == peer.sent_at:
            peer.in_flight = False
        return sent_at == peer.sent_at

    def snapshot_response_received(self, now: int, incarnation: str, response: SnapshotChunkResponse) -> None:
        """Take a member's response to a snapshot chunk of this term."""
        peer = self.peers.get(incarnation)
        if peer is None or response.sent_at > now:
            return
        is_latest = self._record_response(peer, response.sent_at)
        snapshot = self.replica.log.snapshot
        if response.last_included_index != snapshot.index:
            peer.needs_snapshot = False  # a later snapshot has replaced it: begin anew with that one
        elif response.next_offset >= len(snapshot.content):
            peer.needs_snapshot = False
            peer.match_index = max(peer.match_index, response.last_included_index)
            peer.next_index = peer.match_index + 1
        elif is_latest or response.next_offset > peer.snapshot_offset:
            peer.snapshot_offset = response.next_offset
