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

    life: str
    log: ReplicatedLog
    pace: RaftTimeouts
    commit: int
    hellos: dict[str, tuple[str, int, bool]]

    @property
    def term(self) -> int: ...
    @property
    def members(self) -> tuple[Member, ...]: ...
    def wanted(self) -> tuple[str, ...]: ...
    def send(self, name: str, word: Message) -> None: ...


@dataclass(slots=True, eq=False)
class PeerProgress:
    """Another member, as far as its answers tell."""

    name: str
    next: int  # index to send from
    match: int = 0  # it is known to have kept all up to there
    sent_at: int = -NEVER
    waiting: bool = False  # entries were sent, and no answer came
    heard: int = -NEVER  # the latest of our sendings that it answered, by our clock
    piece: int = 0  # of the snapshot that is being sent: offset
    behind: bool = False  # beyond what the log holds: it gets the snapshot


class LeaderState:
    def __init__(self, now: int, replica: LeaderContext) -> None:
        self.replica, self.began = replica, now
        self.first = replica.log.last + 1  # of its own term
        self.peers: dict[str, PeerProgress] = {}  # by life
        self._follow_members(now)

    def _follow_members(self, now: int) -> None:
        replica, known = self.replica, self.peers
        self.peers = {
            each.life: known.get(each.life) or PeerProgress(each.name, replica.log.last + 1, heard=now)
            for each in replica.members
            if each.life != replica.life
        }

    def ready(self, commit: int) -> bool:
        """Whether something of its own term is agreed: before, it does not know all that is."""
        return commit >= self.first

    def _quorum(self, values: list[int]) -> int:
        """What a majority of the voters has reached, given what each has."""
        return sorted(values, reverse=True)[len(values) // 2]

    def agreed(self, commit: int) -> int:
        replica = self.replica
        voters = [each for each in replica.members if each.votes]
        if not voters:
            return commit
        index = self._quorum(
            [
                replica.log.last if each.life == replica.life else self.peers[each.life].match
                for each in voters
            ]
        )
        return index if index > commit and replica.log.term_at(index) == replica.term else commit

    # Lease.

    def _reached(self, now: int) -> int:
        """The latest time at which a majority was still sent what it then answered."""
        voters = [each for each in self.replica.members if each.votes]
        return (
            self._quorum(
                [now if each.life == self.replica.life else self.peers[each.life].heard for each in voters]
            )
            if voters
            else now
        )

    def lease_until(self, now: int) -> int:
        return self._reached(now) + self.replica.pace.lease

    def lost(self, now: int) -> bool:
        """A majority is silent for longer than anybody waits for a leader."""
        return now - max(self.began, self._reached(now)) > self.replica.pace.most

    # Sending.

    def next_at(self) -> int:
        beat = self.replica.pace.beat
        return min((peer.sent_at + beat for peer in self.peers.values()), default=NEVER)

    def appended(self, now: int) -> None:
        if self.replica.log.members_at == self.replica.log.last:
            self._follow_members(now)

    def tick(self, now: int) -> None:
        for peer in self.peers.values():
            if now - peer.sent_at >= self.replica.pace.beat:
                self._send(now, peer)

    def replicate(self, now: int) -> None:
        """Send at once what is new, to those from whom nothing is awaited."""
        for peer in self.peers.values():
            if not peer.waiting and (peer.next <= self.replica.log.last or peer.behind):
                self._send(now, peer)

    def _send(self, now: int, peer: PeerProgress) -> None:
        replica, log = self.replica, self.replica.log
        peer.sent_at, term = now, replica.term
        if peer.next <= log.snapshot.index:
            snapshot = log.snapshot
            if not peer.behind:
                peer.behind, peer.piece = True, 0
            peer.waiting = True
            return replica.send(
                peer.name,
                SnapshotChunk(
                    term,
                    snapshot.index,
                    snapshot.term,
                    list(snapshot.members),
                    peer.piece,
                    len(snapshot.content),
                    snapshot.content[peer.piece : peer.piece + MAX_BATCH_BYTES],
                    now,
                ),
            )
        before = peer.next - 1
        entries = log.after(before)
        peer.waiting = bool(entries)
        replica.send(
            peer.name,
            AppendEntriesRequest(
                term, before, log.term_at(before), entries, replica.commit, now, self.marks()
            ),
        )

    def marks(self) -> list[tuple[str, int, int]]:
        """What each member is known to have kept."""
        log = self.replica.log
        return [
            (self.replica.life, log.last_term, log.last),
            *((life, log.term_at(each.match), each.match) for life, each in self.peers.items()),
        ]

    # Answers.

    def answered(self, now: int, life: str, word: AppendEntriesResponse) -> None:
        peer = self.peers.get(life)
        if peer is None or word.sent > now:
            return
        self._heard(peer, word.sent)
        if word.good:
            if word.index <= self.replica.log.last:
                peer.match = max(peer.match, word.index)
                peer.next = peer.match + 1
        elif word.index >= peer.match:  # else it was sent before a later one that was good
            peer.next = min(self.replica.log.last, word.index) + 1

    def _heard(self, peer: PeerProgress, sent: int) -> bool:
        """Whether it answers what was sent last. Only that makes room for more at once: were a second copy to
        do so too, a link that doubles messages would double them without end."""
        peer.heard = max(peer.heard, sent)
        if sent == peer.sent_at:
            peer.waiting = False
        return sent == peer.sent_at

    def taken(self, now: int, life: str, word: SnapshotChunkResponse) -> None:
        peer = self.peers.get(life)
        if peer is None or word.sent > now:
            return
        latest = self._heard(peer, word.sent)
        snapshot = self.replica.log.snapshot
        if word.index != snapshot.index:
            peer.behind = False  # a later one has taken its place: from its beginning
        elif word.offset >= len(snapshot.content):
            peer.behind, peer.match = False, max(peer.match, word.index)
            peer.next = peer.match + 1
        elif latest or word.offset > peer.piece:
            peer.piece = word.offset

    # Members.

    def wanted_members(self, now: int) -> bytes:
        """The next change of members, one voter at a time, if there is one to make and it may be made."""
        replica = self.replica
        if not self.ready(replica.commit) or replica.log.members_at > replica.commit:
            return b""
        change = self._next_change(now)
        if change is None:
            return b""
        # None that a majority of the new ones could not carry by now.
        voters = [each.life for each in change if each.votes]
        recent = [
            life
            for life in voters
            if life == replica.life
            or (life in self.peers and now - self.peers[life].heard < replica.pace.most)
        ]
        return encode_members(change) if 2 * len(recent) > len(voters) else b""

    def _next_change(self, now: int) -> list[Member] | None:
        replica = self.replica
        members = list(replica.members)
        wanted = set(replica.wanted()) or {each.name for each in members}
        said = {
            name: (life, fresh)
            for name, (life, at, fresh) in replica.hellos.items()
            if now - at < 5 * replica.pace.hello
        }
        for place, each in enumerate(members):
            life, fresh = said.get(each.name, (each.life, False))
            if fresh and life != each.life and each.life != replica.life:  # its file was lost
                members[place] = Member(each.name, life, False)
                return members
        for each in members:
            peer = self.peers.get(each.life)
            if (
                peer
                and not each.votes
                and each.name in wanted
                and peer.match >= replica.commit
                and now - peer.heard < replica.pace.least
            ):
                return [Member(m.name, m.life, m.votes or m is each) for m in members]
        here = {each.name for each in members}
        for name in sorted(wanted - here):
            if name in said:
                return [*members, Member(name, said[name][0], False)]
        if wanted <= {each.name for each in members if each.votes}:  # those who come are there first
            for each in sorted(members, key=lambda each: each.life == replica.life):
                if each.name not in wanted:
                    return [other for other in members if other is not each]
        return None
