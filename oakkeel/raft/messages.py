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
    NOTHING = 0  # by which a new leader finds out what is agreed
    MEMBERS = 1
    COMMAND = 2


class Member(msgspec.Struct, array_like=True, frozen=True):
    """A keeper under one life of its file: one whose file was lost is another member of the same name."""

    name: str
    life: str
    votes: bool = True


class Entry(msgspec.Struct, array_like=True, frozen=True):
    term: int
    kind: int
    content: bytes


class RecoveryRequest(msgspec.Struct, tag="hello", array_like=True):
    """From one that has just started: what may I have forgotten? `Known` comes back."""

    nonce: int  # of this start
    fresh: bool  # with a new file, which holds nothing
    term: int
    last_term: int
    last: int


class RecoveryResponse(msgspec.Struct, tag="known", array_like=True):
    """The latest entry that the asker is known to have kept, and the latest term that we know of."""

    nonce: int
    fresh: bool
    term: int
    mark_term: int
    mark: int


class JoinCluster(msgspec.Struct, tag="found", array_like=True):
    """To one with a new file: the record that it belongs to."""

    nonce: int
    epoch: str
    members: list[Member]


class VoteRequest(msgspec.Struct, tag="ballot", array_like=True):
    """Vote for me. `pre`: would you? Nothing changes by that."""

    term: int
    pre: bool
    last_term: int
    last: int


class VoteResponse(msgspec.Struct, tag="vote", array_like=True):
    term: int
    pre: bool
    granted: bool


class AppendEntriesRequest(msgspec.Struct, tag="append", array_like=True):
    """Entries behind one that both should have; with none it is a sign of life."""

    term: int
    before: int
    before_term: int
    entries: list[Entry]
    commit: int
    sent: int  # by the leader's clock, told back to it
    marks: list[tuple[str, int, int]]  # of each member's life: term and index of the last that it has kept


class AppendEntriesResponse(msgspec.Struct, tag="appended", array_like=True):
    term: int
    good: bool
    index: int  # good: kept up to there; else where to try next
    sent: int


class SnapshotChunk(msgspec.Struct, tag="piece", array_like=True):
    """A part of a snapshot, for one who is behind all that the leader's log still holds."""

    term: int
    index: int
    index_term: int
    members: list[Member]
    offset: int
    total: int
    content: bytes
    sent: int


class SnapshotChunkResponse(msgspec.Struct, tag="taken", array_like=True):
    term: int
    index: int
    offset: int  # of the next piece; the total once the snapshot is kept
    sent: int


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
    name: str
    life: str
    word: Message


_members_decoder = msgspec.msgpack.Decoder(list[Member])


def encode_members(members: list[Member]) -> bytes:
    return msgspec.msgpack.encode(members)


def decode_members(content: bytes) -> list[Member]:
    return _members_decoder.decode(content)
