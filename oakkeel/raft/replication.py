"""Replication of the log, on the follower's side. The leader's side is in `leader`."""

from __future__ import annotations

from oakkeel.errors import OakkeelError
from oakkeel.raft.log import LogPosition
from oakkeel.raft.messages import AppendEntriesRequest, AppendEntriesResponse, Entry, Envelope
from oakkeel.raft.state import ReplicaState


class CommittedEntryConflictError(OakkeelError, RuntimeError):
    """The leader's entry differs from a committed entry of this replica, by a defect or damaged data."""

    def __init__(self, replica: str, index: int, leader: str) -> None:
        """Name the replica, the index of the entry and the leader."""
        super().__init__(f"{replica}: entry {index} is committed, but leader {leader} sent a different one")
        self.replica = replica
        self.index = index
        self.leader = leader


class FollowerReplication:
    """Appends the entries that the leader sends."""

    def __init__(self, replica: ReplicaState) -> None:
        """`replica` is the state to read and change."""
        self.replica = replica

    def handle_append_request(self, now: int, envelope: Envelope, request: AppendEntriesRequest) -> None:
        """Append the leader's entries and respond. Raises CommittedEntryConflictError."""
        replica = self.replica
        if not replica.accept_leader(now, envelope.sender, request.term):
            self._respond(envelope, request, False, 0)
            return
        if lost_position := self._lost_entry(request):
            self._become_stale(now, envelope.sender, lost_position)
            return
        previous_index, entries = self._entries_after_snapshot(request)
        if not self._has_previous_entry(request, previous_index):
            self._respond(envelope, request, False, self._retry_index(previous_index))
            return
        self._append(envelope.sender, previous_index, entries)
        stored_index = previous_index + len(entries)
        replica.store_acknowledgements(
            [acknowledged for acknowledged in request.acknowledgements if acknowledged.index <= stored_index]
        )
        replica.commit_index = max(replica.commit_index, min(request.commit_index, stored_index))
        self._respond(envelope, request, True, stored_index)

    def _entries_after_snapshot(self, request: AppendEntriesRequest) -> tuple[int, list[Entry]]:
        """Return the entries of a request that the snapshot does not cover, and the index before them.

        Entries that the snapshot covers are committed, and so the same as the leader's.
        """
        snapshot_index = self.replica.log.snapshot.index
        if request.previous_index >= snapshot_index:
            return request.previous_index, request.entries
        previous_index = min(snapshot_index, request.previous_index + len(request.entries))
        return previous_index, request.entries[snapshot_index - request.previous_index :]

    def _has_previous_entry(self, request: AppendEntriesRequest, previous_index: int) -> bool:
        """Whether the log has the entry before the new entries, with the leader's term."""
        log = self.replica.log
        if previous_index > log.last_index:
            return False
        is_covered = previous_index != request.previous_index  # by the snapshot
        return is_covered or log.term_at(previous_index) == request.previous_term

    def _become_stale(self, now: int, leader: str, lost_position: LogPosition) -> None:
        last_position = self.replica.log.last_position
        self.replica.become_stale(
            now,
            f"{leader} has its acknowledgement of entry {lost_position.index} of term {lost_position.term},"
            f" but its log ends with entry {last_position.index} of term {last_position.term}",
        )

    def _lost_entry(self, request: AppendEntriesRequest) -> LogPosition | None:
        """Return the entry that this replica acknowledged and lost, if the leader names such an entry.

        Such an entry may count as committed: the replica is stale and must not vote or acknowledge again.
        """
        replica = self.replica
        for acknowledged in request.acknowledgements:
            position = LogPosition(acknowledged.term, acknowledged.index)
            if acknowledged.incarnation == replica.incarnation and position > replica.log.last_position:
                return position
        return None

    def _retry_index(self, previous_index: int) -> int:
        """Return the index after which the leader retries: the log's end, or before the conflicting term."""
        replica = self.replica
        log = replica.log
        index = min(log.last_index, previous_index - 1)
        term = log.term_at(index)
        while (
            index > replica.commit_index and log.term_at(index) == term and previous_index <= log.last_index
        ):
            index -= 1
        return max(index, replica.commit_index)

    def _append(self, leader: str, previous_index: int, entries: list[Entry]) -> None:
        replica = self.replica
        log = replica.log
        update = replica.storage_update
        for index, entry in enumerate(entries, previous_index + 1):
            if index <= log.last_index:
                if log.term_at(index) == entry.term:
                    continue
                if index <= replica.commit_index:
                    raise CommittedEntryConflictError(replica.name, index, leader)
                log.truncate_from(index)
                update.truncate_from = min(index, update.truncate_from or index)
            log.append(entry)
            update.entries.append((index, entry))

    def _respond(self, envelope: Envelope, request: AppendEntriesRequest, success: bool, index: int) -> None:
        response = AppendEntriesResponse(self.replica.term, success, index, request.sent_at)
        self.replica.send(envelope.sender, response)
