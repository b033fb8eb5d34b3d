"""Replication of the log, on the follower's side. The leader's is in `leader`."""

from __future__ import annotations

from oakkeel.errors import OakkeelError
from oakkeel.raft.log import LogPosition
from oakkeel.raft.messages import AppendEntriesRequest, AppendEntriesResponse, Entry, Envelope
from oakkeel.raft.state import ReplicaState


class CommittedEntryConflictError(OakkeelError, RuntimeError):
    """The leader's entry differs from a committed one of this replica: a defect, or damage."""

    def __init__(self, replica: str, index: int, leader: str) -> None:
        """Name the replica, the index of the entry and the leader."""
        super().__init__(f"{replica}: entry {index} is committed, but that of leader {leader} differs")
        self.replica = replica
        self.index = index
        self.leader = leader


class FollowerReplication:
    """Appends the entries that the leader sends."""

    def __init__(self, replica: ReplicaState) -> None:
        """`replica` is the state that it reads and changes."""
        self.replica = replica

    def append_received(self, now: int, envelope: Envelope, request: AppendEntriesRequest) -> None:
        """Append the leader's entries and respond. Raises CommittedEntryConflictError."""
        replica = self.replica
        if not replica.accept_leader(now, envelope.sender, request.term):
            self._respond(envelope, request, False, 0)
            return
        if reason := self._lost_entry(envelope.sender, request):
            replica.become_stale(now, reason)
            return
        log = replica.log
        previous_index = request.previous_index
        entries = request.entries
        if previous_index < log.snapshot.index:  # entries that the snapshot covers are committed: skip them
            entries = entries[log.snapshot.index - previous_index :]
            previous_index = min(log.snapshot.index, previous_index + len(request.entries))
        differs = (
            previous_index == request.previous_index and log.term_at(previous_index) != request.previous_term
        )
        if previous_index > log.last_index or differs:
            self._respond(envelope, request, False, self._retry_index(previous_index))
            return
        self._append(envelope.sender, previous_index, entries)
        stored_index = previous_index + len(entries)
        replica.store_acknowledgements(
            [acknowledged for acknowledged in request.acknowledgements if acknowledged.index <= stored_index]
        )
        replica.commit_index = max(replica.commit_index, min(request.commit_index, stored_index))
        self._respond(envelope, request, True, stored_index)

    def _lost_entry(self, leader: str, request: AppendEntriesRequest) -> str:
        """Return why the file is an older copy; empty if the leader knows of no entry that was lost.

        A lost entry was acknowledged and may count as committed: the replica must not vote or acknowledge
        again.
        """
        replica = self.replica
        last = replica.log.last_position
        for acknowledged in request.acknowledgements:
            position = LogPosition(acknowledged.term, acknowledged.index)
            if acknowledged.incarnation == replica.incarnation and position > last:
                return (
                    f"{leader} has its acknowledgement of entry {position.index} of term {position.term},"
                    f" but its log ends with entry {last.index} of term {last.term}"
                )
        return ""

    def _retry_index(self, previous_index: int) -> int:
        """Return the index after which the leader retries: the log's end, or before the differing term."""
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
