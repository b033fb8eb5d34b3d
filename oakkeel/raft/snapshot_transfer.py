"""Transfer of a snapshot, in chunks, to a member that lacks entries which the log no longer holds."""

from __future__ import annotations

from dataclasses import dataclass, field

from oakkeel.raft.log import Snapshot
from oakkeel.raft.messages import MAX_BATCH_BYTES, Envelope, SnapshotChunk, SnapshotChunkResponse
from oakkeel.raft.state import ReplicaState

MAX_SNAPSHOT_BYTES = 32 * 1024 * 1024


def snapshot_chunk(snapshot: Snapshot, term: int, offset: int, now: int) -> SnapshotChunk:
    """Return the chunk of a snapshot that begins at `offset`, in bytes."""
    return SnapshotChunk(
        term,
        snapshot.index,
        snapshot.term,
        list(snapshot.members),
        offset,
        len(snapshot.content),
        snapshot.content[offset : offset + MAX_BATCH_BYTES],
        now,
    )


@dataclass(slots=True)
class IncomingSnapshot:
    """A snapshot that is being received."""

    index: int
    term: int
    content: bytearray = field(default_factory=bytearray)

    def includes(self, chunk: SnapshotChunk) -> bool:
        """Whether a chunk belongs to this snapshot."""
        return (self.index, self.term) == (chunk.last_included_index, chunk.last_included_term)


class SnapshotReceiver:
    """Receives and installs the leader's snapshot, on the follower's side."""

    def __init__(self, replica: ReplicaState) -> None:
        """`replica` is the state to read and change."""
        self.replica = replica
        self.incoming: IncomingSnapshot | None = None

    def handle_chunk(self, now: int, envelope: Envelope, chunk: SnapshotChunk) -> None:
        """Receive a chunk, and install the snapshot once it is complete."""
        replica = self.replica
        if not replica.accept_leader(now, envelope.sender, chunk.term):
            return
        if chunk.total_bytes > MAX_SNAPSHOT_BYTES:
            return
        if chunk.last_included_index <= replica.commit_index:
            self._respond(envelope.sender, chunk, chunk.total_bytes)
            return
        received = self._add(chunk)
        if len(received) >= chunk.total_bytes:
            self.incoming = None
            self._install(chunk, bytes(received))
        self._respond(envelope.sender, chunk, min(len(received), chunk.total_bytes))

    def _add(self, chunk: SnapshotChunk) -> bytearray:
        """Append the chunk if it is the next one. Returns the part of its snapshot that was received."""
        incoming = self.incoming
        if incoming is None or not incoming.includes(chunk):
            incoming = IncomingSnapshot(chunk.last_included_index, chunk.last_included_term)
            self.incoming = incoming
        if chunk.offset == len(incoming.content):
            incoming.content += chunk.content
        return incoming.content

    def _install(self, chunk: SnapshotChunk, content: bytes) -> None:
        replica = self.replica
        index = chunk.last_included_index
        term = chunk.last_included_term
        snapshot = Snapshot(index, term, tuple(chunk.members), content)
        if replica.log.term_at(index) == term:
            replica.log.compact(index, content)  # the entries that follow are kept
            replica.storage_update.snapshot = snapshot
        else:
            replica.replace_log(snapshot)
        replica.commit_index = index
        replica.applied_index = index
        replica.state_machine.restore(content)

    def _respond(self, sender: str, chunk: SnapshotChunk, next_offset: int) -> None:
        response = SnapshotChunkResponse(
            self.replica.term, chunk.last_included_index, next_offset, chunk.sent_at
        )
        self.replica.send(sender, response)
