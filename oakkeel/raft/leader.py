"""Replication of the log, on the leader's side. The follower's side is in `replication`."""

from __future__ import annotations

from oakkeel.raft.leader_state import LeaderState, PeerProgress
from oakkeel.raft.messages import (
    AppendEntriesRequest,
    AppendEntriesResponse,
    Envelope,
    SnapshotChunkResponse,
)
from oakkeel.raft.snapshot_transfer import snapshot_chunk
from oakkeel.raft.state import ReplicaState


class LeaderReplication:
    """Sends heartbeats, entries and snapshot chunks, and records the responses."""

    def __init__(self, replica: ReplicaState) -> None:
        """`replica` is the state to read and change."""
        self.replica = replica

    def send_heartbeats(self, now: int, leader_state: LeaderState) -> None:
        """Send the heartbeats that are due."""
        for peer in leader_state.peers.values():
            if now - peer.sent_at >= self.replica.timeouts.heartbeat_interval_ns:
                self._send(now, leader_state, peer)

    def replicate(self, now: int, leader_state: LeaderState) -> None:
        """Send new entries to the members that have no request in flight."""
        for peer in leader_state.peers.values():
            has_unsent_content = peer.next_index <= self.replica.log.last_index or peer.needs_snapshot
            if not peer.in_flight and has_unsent_content:
                self._send(now, leader_state, peer)

    def _send(self, now: int, leader_state: LeaderState, peer: PeerProgress) -> None:
        peer.sent_at = now
        if peer.next_index <= self.replica.log.snapshot.index:
            self._send_snapshot_chunk(now, peer)
        else:
            self._send_entries(now, leader_state, peer)

    def _send_snapshot_chunk(self, now: int, peer: PeerProgress) -> None:
        if not peer.needs_snapshot:
            peer.needs_snapshot = True
            peer.snapshot_offset = 0
        peer.in_flight = True
        chunk = snapshot_chunk(self.replica.log.snapshot, self.replica.term, peer.snapshot_offset, now)
        self.replica.send(peer.name, chunk)

    def _send_entries(self, now: int, leader_state: LeaderState, peer: PeerProgress) -> None:
        replica = self.replica
        previous_index = peer.next_index - 1
        entries = replica.log.batch_after(previous_index)
        peer.in_flight = bool(entries)
        request = AppendEntriesRequest(
            replica.term,
            previous_index,
            replica.log.term_at(previous_index),
            entries,
            replica.commit_index,
            now,
            leader_state.acknowledgements(),
        )
        replica.send(peer.name, request)

    def handle_append_response(self, now: int, envelope: Envelope, response: AppendEntriesResponse) -> None:
        """Record a member's response to an append entries request. Steps down on a later term."""
        replica = self.replica
        if response.term > replica.term:
            replica.become_follower(now, response.term, "")
            return
        peer = self._responding_peer(now, envelope, response)
        if peer is None:
            return
        _record_contact(peer, response.sent_at)
        if response.success:
            if response.index <= replica.log.last_index:
                _record_match_index(peer, response.index)
        elif response.index >= peer.match_index:  # else a later request has already succeeded
            peer.next_index = min(replica.log.last_index, response.index) + 1

    def handle_snapshot_response(self, now: int, envelope: Envelope, response: SnapshotChunkResponse) -> None:
        """Record a member's response to a snapshot chunk."""
        peer = self._responding_peer(now, envelope, response)
        if peer is None:
            return
        is_latest = _record_contact(peer, response.sent_at)
        snapshot = self.replica.log.snapshot
        if response.last_included_index != snapshot.index:
            # A later snapshot has replaced the snapshot of the chunk: restart the transfer.
            peer.needs_snapshot = False
        elif response.next_offset >= len(snapshot.content):
            peer.needs_snapshot = False
            _record_match_index(peer, response.last_included_index)
        elif is_latest or response.next_offset > peer.snapshot_offset:
            peer.snapshot_offset = response.next_offset

    def _responding_peer(
        self, now: int, envelope: Envelope, response: AppendEntriesResponse | SnapshotChunkResponse
    ) -> PeerProgress | None:
        """Return the member that sent a response; None if the response is invalid or of another term."""
        leader_state = self.replica.leader_state
        if leader_state is None or response.term != self.replica.term or response.sent_at > now:
            return None
        return leader_state.peers.get(envelope.incarnation)


def _record_contact(peer: PeerProgress, sent_at: int) -> bool:
    """Record that a member received the message of `sent_at`. Returns whether it is the latest message.

    Only a response to the latest message allows the next message. If duplicates of earlier responses allowed
    further messages, a link that duplicates messages would multiply them without end.
    """
    peer.acknowledged_sent_at = max(peer.acknowledged_sent_at, sent_at)
    if sent_at != peer.sent_at:
        return False
    peer.in_flight = False
    return True


def _record_match_index(peer: PeerProgress, index: int) -> None:
    peer.match_index = max(peer.match_index, index)
    peer.next_index = peer.match_index + 1
