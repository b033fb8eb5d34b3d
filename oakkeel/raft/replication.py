"""Replication of the log, on the follower's side. The leader's is in `leader`."""

from __future__ import annotations

from oakkeel.errors import OakkeelError
from oakkeel.raft.log import LogPosition
from oakkeel.raft.messages import AppendEntriesRequest, AppendEntriesResponse, Entry, Envelope
from oakkeel.raft.state import ReplicaState


class CommittedEntryConflictError(OakkeelError, RuntimeError):
    """A leader has another entry where this replica knows one as committed: a defect, or damage."""

    def __init__(self, replica: str, index: int, leader: str) -> None:
        """Name the replica, the index of the entry and the leader."""
        super().__init__(f"{replica}: entry {index} is committed, and {leader} has another")
        self.replica, self.index, self.leader = replica, index, leader


class FollowerReplication:
    """Appends what the leader sends."""

    def __init__(self, replica: ReplicaState) -> None:
        """It acts on the state of that replica."""
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
        previous_index, entries = request.previous_index, request.entries
        if previous_index < log.snapshot.index:  # what the snapshot holds is committed, and so the same
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
        """Return why the file is an older copy; empty where nothing shows that.

        The leader has our acknowledgement of an entry that we do not have: no count of it may include us.
        """
        replica = self.replica
        last = replica.log.last_position
        for acknowledged in request.acknowledgements:
            position = LogPosition(acknowledged.term, acknowledged.index)
            if acknowledged.incarnation == replica.incarnation and position > last:
                return (
                    f"{leader} has its word for entry {position.index} of term {position.term};"
                    f" its file ends with {last.index} of {last.term}"
                )
        return ""

    def _retry_index(self, previous_index: int) -> int:
        """Return where the leader should try next: the log's end, or before the term that differs."""
        replica, log = self.replica, self.replica.log
        index = min(log.last_index, previous_index - 1)
        term = log.term_at(index)
        while (
            index > replica.commit_index and log.term_at(index) == term and previous_index <= log.last_index
        ):
            index -= 1
        return max(index, replica.commit_index)

    def _append(self, leader: str, previous_index: int, entries: list[Entry]) -> None:
        replica, log, update = self.replica, self.replica.log, self.replica.storage_update
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
