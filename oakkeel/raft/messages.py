"""Messages between replicas. Each goes in an `Envelope`, whose sender the link has authenticated.

All are positional on the wire: fields may be renamed, and never reordered. The tags are wire words.
"""

from __future__ import annotations

from enum import IntEnum

import msgspec

MAX_COMMAND_BYTES = 4 * 1024 * 1024  # of one command: the topology of 10,000 instances has some 300 KB
MAX_BATCH_BYTES = 64 * 1024  # of entries, or of a snapshot chunk, in one message
MAX_BATCH_ENTRIES = 64  # in one message


class EntryKind(IntEnum):
    """What the content of a log entry is."""

    NO_OP = 0  # by which a new leader finds out what is committed
    MEMBERS = 1
    COMMAND = 2


class Member(msgspec.Struct, array_like=True, frozen=True):
    """A replica under one incarnation: one whose file was lost is another member of the same name."""

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
    """From a replica that has just started: what may it have forgotten? See `RecoveryResponse`."""

    nonce: int  # of this start
    empty: bool  # its file is new and holds nothing
    term: int
    last_term: int
    last_index: int


class RecoveryResponse(msgspec.Struct, tag="known", array_like=True):
    """The last entry that the asking replica is known to have stored, and the latest term that we know."""

    nonce: int
    empty: bool
    term: int
    acknowledged_term: int
    acknowledged_index: int


class JoinCluster(msgspec.Struct, tag="found", array_like=True):
    """To a replica with a new file: the cluster that it belongs to."""

    nonce: int
    epoch: str
    members: list[Member]


class VoteRequest(msgspec.Struct, tag="ballot", array_like=True):
    """Asks for a vote, or with `pre_vote` whether there would be one: that changes nothing."""

    term: int
    pre_vote: bool
    last_term: int
    last_index: int


class VoteResponse(msgspec.Struct, tag="vote", array_like=True):
    """Answers a vote request."""

    term: int
    pre_vote: bool
    granted: bool


class AppendEntriesRequest(msgspec.Struct, tag="append", array_like=True):
    """Entries that follow one which both should have; with none it is a heartbeat."""

    term: int
    previous_index: int
    previous_term: int
    entries: list[Entry]
    commit_index: int
    sent_at: int  # by the leader's clock; the response returns it
    acknowledgements: list[Acknowledgement]  # of each member


class AppendEntriesResponse(msgspec.Struct, tag="appended", array_like=True):
    """Answers an append entries request."""

    term: int
    success: bool
    index: int  # with success the last entry that is stored, else where to try next
    sent_at: int


class SnapshotChunk(msgspec.Struct, tag="piece", array_like=True):
    """A part of a snapshot, for a member that is behind all that the leader's log still holds."""

    term: int
    last_included_index: int
    last_included_term: int
    members: list[Member]
    offset: int
    total_bytes: int
    content: bytes
    sent_at: int


class SnapshotChunkResponse(msgspec.Struct, tag="taken", array_like=True):
    """Answers a snapshot chunk."""

    term: int
    last_included_index: int
    next_offset: int  # of the next chunk; the total once the snapshot is stored
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

    epoch: str  # of the cluster, empty while the sender belongs to none
    sender: str
    incarnation: str
    message: Message


_members_decoder = msgspec.msgpack.Decoder(list[Member])


def encode_members(members: list[Member]) -> bytes:
    """Return the content of an entry that names the members."""
    return msgspec.msgpack.encode(members)


def decode_members(content: bytes) -> list[Member]:
    """Return the members that an entry names. Raises msgspec.MsgspecError."""
    return _members_decoder.decode(content)
