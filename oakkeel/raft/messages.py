"""What passes between keepers. Each word goes in a `Envelope`, whose sender its link has proved."""

from __future__ import annotations

from enum import IntEnum

import msgspec

MAX_COMMAND_BYTES = (
    4 * 1024 * 1024
)  # bytes of one command: what there is in a fleet of 10,000 has some 300 KB
MAX_BATCH_BYTES = 64 * 1024  # bytes of entries, or of a snapshot's piece, in one letter
MAX_BATCH_ENTRIES = 64  # in one letter


class EntryKind(IntEnum):
    NO_OP = 0  # by which a new leader finds out what is agreed
    MEMBERS = 1
    COMMAND = 2


class Member(msgspec.Struct, array_like=True, frozen=True):
    """A keeper under one life of its file: one whose file was lost is another member of the same name."""

    name: str
    incarnation: str
    is_voter: bool = True


class Entry(msgspec.Struct, array_like=True, frozen=True):
    term: int
    kind: int
    content: bytes


class RecoveryRequest(msgspec.Struct, tag="hello", array_like=True):
    """From one that has just started: what may I have forgotten? `Known` comes back."""

    nonce: int  # of this start
    empty: bool  # with a new file, which holds nothing
    term: int
    last_term: int
    last_index: int


class RecoveryResponse(msgspec.Struct, tag="known", array_like=True):
    """The latest entry that the asker is known to have kept, and the latest term that we know of."""

    nonce: int
    empty: bool
    term: int
    acknowledged_term: int
    acknowledged_index: int


class JoinCluster(msgspec.Struct, tag="found", array_like=True):
    """To one with a new file: the record that it belongs to."""

    nonce: int
    epoch: str
    members: list[Member]


class VoteRequest(msgspec.Struct, tag="ballot", array_like=True):
    """Vote for me. `pre`: would you? Nothing changes by that."""

    term: int
    pre_vote: bool
    last_term: int
    last_index: int


class VoteResponse(msgspec.Struct, tag="vote", array_like=True):
    term: int
    pre_vote: bool
    granted: bool


class AppendEntriesRequest(msgspec.Struct, tag="append", array_like=True):
    """Entries behind one that both should have; with none it is a sign of life."""

    term: int
    previous_index: int
    previous_term: int
    entries: list[Entry]
    commit_index: int
    sent_at: int  # by the leader's clock, told back to it
    acknowledgements: list[
        tuple[str, int, int]
    ]  # of each member's life: term and index of the last that it has kept


class AppendEntriesResponse(msgspec.Struct, tag="appended", array_like=True):
    term: int
    success: bool
    index: int  # success: kept up to there; else where to try next
    sent_at: int


class SnapshotChunk(msgspec.Struct, tag="piece", array_like=True):
    """A part of a snapshot, for one who is behind all that the leader's log still holds."""

    term: int
    last_included_index: int
    last_included_term: int
    members: list[Member]
    offset: int
    total_bytes: int
    content: bytes
    sent_at: int


class SnapshotChunkResponse(msgspec.Struct, tag="taken", array_like=True):
    term: int
    last_included_index: int
    next_offset: int  # of the next piece; the total once the snapshot is kept
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
    epoch: str  # of the record, empty while the sender has none
    sender: str
    incarnation: str
    message: Message


_members_decoder = msgspec.msgpack.Decoder(list[Member])


def encode_members(members: list[Member]) -> bytes:
    return msgspec.msgpack.encode(members)


def decode_members(content: bytes) -> list[Member]:
    return _members_decoder.decode(content)
