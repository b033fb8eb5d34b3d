"""The file of a host's replica: loading, writing, and quarantine of a file that can't be trusted."""

from __future__ import annotations

import secrets

from oakkeel.log import EventLog
from oakkeel.raft import storage
from oakkeel.raft.durable_state import DurableState, StorageUpdate
from oakkeel.raft.write_counter import WriteCounter
from oakkeel.store import database
from oakkeel.store.database import Database

INCARNATION_BYTES = 8  # of randomness in the name of a file's incarnation


class ReplicaFile:
    """The database of a replica, and the counter of its writes, which detects an older copy."""

    def __init__(self, path: str, name: str, log: EventLog) -> None:
        """Open the file of the replica on host `name`. Raises DatabaseError if it can't be used."""
        self.path = path
        self.name = name
        self.log = log
        self._open()
        if self.store.quarantine_note:
            log.warning("raft_storage_quarantined", file=self.store.quarantine_note)
        if self.store.is_new:
            self._reset_write_counter()
        elif why := self.write_counter.stale_reason():
            self.quarantine(f"the file is an older copy: {why}")

    def _open(self) -> None:
        self.store = Database(self.path, storage.SCHEMA, storage.VERSION, storage.MAX_FILE_BYTES)
        self.write_counter = WriteCounter(self.path + ".count", self.store)

    def _reset_write_counter(self) -> None:
        """Start counting writes from zero, for a new file."""
        self.write_counter.reset()
        self.write_counter = WriteCounter(self.path + ".count", self.store)

    def load(self) -> DurableState:
        """Load the state; quarantine a corrupt file and load an empty state. Raises DatabaseError."""
        try:
            state = storage.load(self.store, self.name, self._new_incarnation())
            storage.check(state)
        except storage.CorruptStateError as error:
            self.quarantine(str(error))
            state = storage.load(self.store, self.name, self._new_incarnation())
        return state

    def _new_incarnation(self) -> str:
        """A unique name for the incarnation of a new file."""
        return f"{self.name}.{secrets.token_hex(INCARNATION_BYTES)}"

    def write(self, state: DurableState, update: StorageUpdate) -> None:
        """Store an update of the state. Raises DatabaseError."""
        storage.write(self.store, state, update, self.write_counter)

    def quarantine(self, why: str) -> None:
        """Rename the file, adding the time, and begin a new incarnation with an empty file."""
        self.store.close()
        self.write_counter.reset()
        quarantined = database.quarantine(self.path)
        self.log.warning("raft_storage_quarantined", file=quarantined, error=why)
        self._open()

    def close(self) -> None:
        """Close the database and the counter."""
        self.write_counter.close()
        self.store.close()
