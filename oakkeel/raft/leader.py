"""What a leader does for its term: who has kept what, what is agreed, its lease, who should be a member."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from oakkeel.raft.log import ReplicatedLog
from oakkeel.raft.messages import (
    MAX_BATCH_BYTES,
    AppendEntriesRequest,
    AppendEntriesResponse,
    Member,
    Message,
    SnapshotChunk,
    SnapshotChunkResponse,
    encode_members,
)
from oakkeel.raft.timeouts import RaftTimeouts

NEVER = 1 << 62


class LeaderContext(Protocol):
    """What it needs of the keeper that leads."""

    incarnation: str
    log: ReplicatedLog
    timeouts: RaftTimeouts
    commit_index: int
    recovery_requests: dict[str, tuple[str, int, bool]]

    @property
    def term(self) -> int: ...
    @property
    def members(self) -> tuple[Member, ...]: ...
    def desired_voters(self) -> tuple[str, ...]: ...
    def send(self, name: str, message: Message) -> None: ...


@dataclass(slots=True, eq=False)
class PeerProgress:
    """Another member, as far as its answers tell."""

    name: str
    next_index: int  # index to send from
    match_index: int = 0  # it is known to have kept all up to there
    sent_at: int = -NEVER
    in_flight: bool = False  # entries were sent, and no answer came
    acknowledged_sent_at: int = -NEVER  # the latest of our sendings that it answered, by our clock
    snapshot_offset: int = 0  # of the snapshot that is being sent: offset
    needs_snapshot: bool = False  # beyond what the log holds: it gets the snapshot


class LeaderState:
    def __init__(self, now: int, replica: LeaderContext) -> None:
        self.replica, self.elected_at = replica, now
        self.first = replica.log.last_index + 1  # of its own term
        self.peers: dict[str, PeerProgress] = {}  # by incarnation
        self._follow_members(now)

    def _follow_members(self, now: int) -> None:
        replica, known = self.replica, self.peers
        self.peers = {
            each.incarnation: known.get(each.incarnation)
            or PeerProgress(each.name, replica.log.last_index + 1, acknowledged_sent_at=now)
            for each in replica.members
            if each.incarnation != replica.incarnation
        }

    def has_committed(self, commit: int) -> bool:
        """Whether something of its own term is agreed: before, it does not know all that is."""
        return commit >= self.first

    def _quorum(self, values: list[int]) -> int:
        """What a majority of the voters has reached, given what each has."""
        return sorted(values, reverse=True)[len(values) // 2]

    def next_commit_index(self, commit: int) -> int:
        replica = self.replica
        voters = [each for each in replica.members if each.is_voter]
        if not voters:
            return commit
        index = self._quorum(
            [
                replica.log.last_index
                if each.incarnation == replica.incarnation
                else self.peers[each.incarnation].match_index
                for each in voters
            ]
        )
        return index if index > commit and replica.log.term_at(index) == replica.term else commit

    # Lease.

    def _majority_contact(self, now: int) -> int:
        """The latest time at which a majority was still sent what it then answered."""
        voters = [each for each in self.replica.members if each.is_voter]
        return (
            self._quorum(
                [
                    now
                    if each.incarnation == self.replica.incarnation
                    else self.peers[each.incarnation].acknowledged_sent_at
                    for each in voters
                ]
            )
            if voters
            else now
        )

    def lease_until(self, now: int) -> int:
        return self._majority_contact(now) + self.replica.timeouts.lease

    def lost_majority(self, now: int) -> bool:
        """A majority is silent for longer than anybody waits for a leader."""
        return now - max(self.elected_at, self._majority_contact(now)) > self.replica.timeouts.election_max

    # Sending.

    def next_tick_at(self) -> int:
        beat = self.replica.timeouts.heartbeat
        return min((peer.sent_at + beat for peer in self.peers.values()), default=NEVER)

    def entry_appended(self, now: int) -> None:
        if self.replica.log.members_index == self.replica.log.last_index:
            self._follow_members(now)

    def tick(self, now: int) -> None:
        for peer in self.peers.values():
            if now - peer.sent_at >= self.replica.timeouts.heartbeat:
                self._send(now, peer)

    def replicate(self, now: int) -> None:
        """Send at once what is new, to those from whom nothing is awaited."""
        for peer in self.peers.values():
            if not peer.in_flight and (peer.next_index <= self.replica.log.last_index or peer.needs_snapshot):
                self._send(now, peer)

    def _send(self, now: int, peer: PeerProgress) -> None:
        replica, log = self.replica, self.replica.log
        peer.sent_at, term = now, replica.term
        if peer.next_index <= log.snapshot.index:
            snapshot = log.snapshot
            if not peer.needs_snapshot:
                peer.needs_snapshot, peer.snapshot_offset = True, 0
            peer.in_flight = True
            return replica.send(
                peer.name,
                SnapshotChunk(
                    term,
                    snapshot.index,
                    snapshot.term,
                    list(snapshot.members),
                    peer.snapshot_offset,
                    len(snapshot.content),
                    snapshot.content[peer.snapshot_offset : peer.snapshot_offset + MAX_BATCH_BYTES],
                    now,
                ),
            )
        before = peer.next_index - 1
        entries = log.batch_after(before)
        peer.in_flight = bool(entries)
        replica.send(
            peer.name,
            AppendEntriesRequest(
                term, before, log.term_at(before), entries, replica.commit_index, now, self.acknowledgements()
            ),
        )

    def acknowledgements(self) -> list[tuple[str, int, int]]:
        """What each member is known to have kept."""
        log = self.replica.log
        return [
            (self.replica.incarnation, log.last_term, log.last_index),
            *(
                (incarnation, log.term_at(each.match_index), each.match_index)
                for incarnation, each in self.peers.items()
            ),
        ]

    # Answers.

    def append_response_received(self, now: int, incarnation: str, message: AppendEntriesResponse) -> None:
        peer = self.peers.get(incarnation)
        if peer is None or message.sent_at > now:
            return
        self._record_response(peer, message.sent_at)
        if message.success:
            if message.index <= self.replica.log.last_index:
                peer.match_index = max(peer.match_index, message.index)
                peer.next_index = peer.match_index + 1
        elif message.index >= peer.match_index:  # else it was sent before a later one that was good
            peer.next_index = min(self.replica.log.last_index, message.index) + 1

    def _record_response(self, peer: PeerProgress, sent: int) -> bool:
        """Whether it answers what was sent last. Only that makes room for more at once: were a second copy to
        do so too, a link that doubles messages would double them without end."""
        peer.acknowledged_sent_at = max(peer.acknowledged_sent_at, sent)
        if sent == peer.sent_at:
            peer.in_flight = False
        return sent == peer.sent_at

    def snapshot_response_received(self, now: int, incarnation: str, message: SnapshotChunkResponse) -> None:
        peer = self.peers.get(incarnation)
        if peer is None or message.sent_at > now:
            return
        latest = self._record_response(peer, message.sent_at)
        snapshot = self.replica.log.snapshot
        if message.last_included_index != snapshot.index:
            peer.needs_snapshot = False  # a later one has taken its place: from its beginning
        elif message.next_offset >= len(snapshot.content):
            peer.needs_snapshot, peer.match_index = False, max(peer.match_index, message.last_included_index)
            peer.next_index = peer.match_index + 1
        elif latest or message.next_offset > peer.snapshot_offset:
            peer.snapshot_offset = message.next_offset

    # Members.

    def next_membership(self, now: int) -> bytes:
        """The next change of members, one voter at a time, if there is one to make and it may be made."""
        replica = self.replica
        if not self.has_committed(replica.commit_index) or replica.log.members_index > replica.commit_index:
            return b""
        change = self._next_change(now)
        if change is None:
            return b""
        # None that a majority of the new ones could not carry by now.
        voters = [each.incarnation for each in change if each.is_voter]
        recent = [
            incarnation
            for incarnation in voters
            if incarnation == replica.incarnation
            or (
                incarnation in self.peers
                and now - self.peers[incarnation].acknowledged_sent_at < replica.timeouts.election_max
            )
        ]
        return encode_members(change) if 2 * len(recent) > len(voters) else b""

    def _next_change(self, now: int) -> list[Member] | None:
        replica = self.replica
        members = list(replica.members)
        wanted = set(replica.desired_voters()) or {each.name for each in members}
        said = {
            name: (incarnation, fresh)
            for name, (incarnation, at, fresh) in replica.recovery_requests.items()
            if now - at < 5 * replica.timeouts.recovery_interval
        }
        for place, each in enumerate(members):
            incarnation, fresh = said.get(each.name, (each.incarnation, False))
            if (
                fresh and incarnation != each.incarnation and each.incarnation != replica.incarnation
            ):  # its file was lost
                members[place] = Member(each.name, incarnation, False)
                return members
        for each in members:
            peer = self.peers.get(each.incarnation)
            if (
                peer
                and not each.is_voter
                and each.name in wanted
                and peer.match_index >= replica.commit_index
                and now - peer.acknowledged_sent_at < replica.timeouts.election_min
            ):
                return [Member(m.name, m.incarnation, m.is_voter or m is each) for m in members]
        here = {each.name for each in members}
        for name in sorted(wanted - here):
            if name in said:
                return [*members, Member(name, said[name][0], False)]
        if wanted <= {each.name for each in members if each.is_voter}:  # those who come are there first
            for each in sorted(members, key=lambda each: each.incarnation == replica.incarnation):
                if each.name not in wanted:
                    return [other for other in members if other is not each]
        return None
