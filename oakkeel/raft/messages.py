"""Messages between replicas. Each is sent in an `Envelope`, whose sender the connection has authenticated.

Structs are encoded as arrays: fields may be renamed, but never reordered. The tags are part of the wire
format.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec

MAX_COMMAND_BYTES = 4 * 1024 * 1024
MAX_BATCH_BYTES = 64 * 1024  # of the entries or the snapshot chunk in one message
MAX_BATCH_ENTRIES = 64  # in one message


class EntryKind(IntEnum):
    """The kind of content of a log entry."""

    NO_OP = 0  # appended by a new leader: its commit also commits all earlier entries
    MEMBERS = 1
    COMMAND = 2


class Member(msgspec.Struct, array_like=True, frozen=True):
    """One incarnation of a replica. A replica that lost its file becomes another member of the same name."""

    name: str
    incarnation: str
    is_voter: bool = True


class Entry(msgspec.Struct, array_like=True, frozen=True):
    """A log entry."""

    term: int
    kind: int
    content: bytes


class Acknowledgement(msgspec.Struct, array_like=True, frozen=True):
    """The last entry that the replica of an incarnation is known to have stored."""

    incarnation: str
    term: int
    index: int


class RecoveryRequest(msgspec.Struct, tag="hello", array_like=True):
    """Asks for the last entry that the sender acknowledged before its start."""

    nonce: int  # drawn at each start
    empty: bool  # the file is new: the replica belongs to no cluster yet
    term: int
    last_term: int  # of the last entry in the sender's log
    last_index: int


class RecoveryResponse(msgspec.Struct, tag="known", array_like=True):
    """The last entry that the requesting replica is known to have stored, and the responder's term."""

    nonce: int  # of the request
    empty: bool  # the responder belongs to no cluster yet
    term: int
    acknowledged_term: int
    acknowledged_index: int


class JoinCluster(msgspec.Struct, tag="found", array_like=True):
    """Names the cluster that a replica with a new file belongs to."""

    nonce: int  # of the recovery request
    epoch: str
    members: list[Member]


class VoteRequest(msgspec.Struct, tag="ballot", array_like=True):
    """Asks for a vote. A pre-vote asks whether the vote would be granted, and changes nothing."""

    term: int
    pre_vote: bool
    last_term: int  # of the last entry in the candidate's log
    last_index: int


class VoteResponse(msgspec.Struct, tag="vote", array_like=True):
    """Response to a vote request."""

    term: int
    pre_vote: bool
    granted: bool


class AppendEntriesRequest(msgspec.Struct, tag="append", array_like=True):
    """Entries that follow the entry at `previous_index`; a request without entries is a heartbeat."""

    term: int
    previous_index: int
    previous_term: int
    entries: list[Entry]
    commit_index: int
    sent_at: int  # by the leader's clock; repeated in the response
    acknowledgements: list[Acknowledgement]  # of each member


class AppendEntriesResponse(msgspec.Struct, tag="appended", array_like=True):
    """Response to an append entries request."""

    term: int
    success: bool
    index: int  # on success, of the last stored entry; else, of the entry to retry after
    sent_at: int


class SnapshotChunk(msgspec.Struct, tag="piece", array_like=True):
    """A chunk of a snapshot, for a member that lacks entries which the leader's log no longer holds."""

    term: int
    last_included_index: int
    last_included_term: int
    members: list[Member]
    offset: int  # of the chunk within the snapshot, in bytes
    total_bytes: int
    content: bytes
    sent_at: int


class SnapshotChunkResponse(msgspec.Struct, tag="taken", array_like=True):
    """Response to a snapshot chunk."""

    term: int
    last_included_index: int
    next_offset: int  # of the next chunk; the total size once the snapshot is stored
    sent_at: int


Message = (
    RecoveryRequest
    | RecoveryResponse
    | JoinCluster
    | VoteRequest
    | VoteResponse
    | AppendEntriesRequest
    | AppendEntriesResponse
    | SnapshotChunk
    | SnapshotChunkResponse
)


class Envelope(msgspec.Struct, array_like=True):
    """A message with its sender."""

    epoch: str  # ID of the cluster; empty while the sender belongs to no cluster
    sender: str
    incarnation: str  # of the sender
    message: Message


_members_decoder = msgspec.msgpack.Decoder(list[Member])


def encode_members(members: list[Member]) -> bytes:
    """Return the content of an entry that names the members."""
    return msgspec.msgpack.encode(members)


def decode_members(content: bytes) -> list[Member]:
    """Return the members that an entry names. Raises msgspec.MsgspecError."""
    return _members_decoder.decode(content)
