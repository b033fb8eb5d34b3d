"""The record of a soak run: one event a line, as JSON, from all sides of the node; times are Unix seconds."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TextIO

import msgspec


class RequestWritten(msgspec.Struct, tag="written", frozen=True):
    """The last byte of a request was written to a connection that the machine accepted."""

    time: float
    request: str  # ID
    connection: int
    group: str
    key: str
    body: bytes
    arrived_at: float  # timestamp in the request
    timeout: float  # seconds from the timestamp
    is_copy: bool  # sent again after it met a close


class RequestAnswered(msgspec.Struct, tag="answered", frozen=True):
    """An answer was read."""

    time: float
    request: str
    word: str
    result: bytes


class RequestCancelled(msgspec.Struct, tag="cancelled", frozen=True):
    """The dispatcher took a request back."""

    time: float
    request: str


class RequestUnwritten(msgspec.Struct, tag="unwritten", frozen=True):
    """A connection ended by the node's end before, or within 50 ms after, the last byte of a request."""

    time: float
    request: str


class ConnectionEnded(msgspec.Struct, tag="ended", frozen=True):
    """A connection of a dispatcher ended."""

    time: float
    connection: int
    by_node: bool


class RunStarted(msgspec.Struct, tag="run", frozen=True):
    """The engine started a run."""

    time: float
    request: str


class RunEnded(msgspec.Struct, tag="done", frozen=True):
    """A run ended; the result is empty unless it succeeded."""

    time: float
    request: str
    result: bytes


class CommandChanged(msgspec.Struct, tag="changed", frozen=True):
    """A RUN had another group or body than the request."""

    time: float
    request: str


class ReplyFed(msgspec.Struct, tag="fed", frozen=True):
    """A run that waited for the reply to a call got a reply."""

    time: float
    request: str
    expected: bytes
    received: bytes


class BadClientConnected(msgspec.Struct, tag="bad", frozen=True):
    """A bad client began to send."""

    time: float
    client: str
    kind: str


class BadClientAnswered(msgspec.Struct, tag="bad-end", frozen=True):
    """A bad client got an answer, or the end of its connection (`word` is empty)."""

    time: float
    client: str
    word: str


class NodeSignalled(msgspec.Struct, tag="signal", frozen=True):
    """The node got a signal."""

    time: float
    signal: str


class NodePaused(msgspec.Struct, tag="pause", frozen=True):
    """The process of the node stood still for some seconds."""

    time: float
    seconds: float


class NodeExited(msgspec.Struct, tag="exit", frozen=True):
    """The node ended; the code is None if it had to be killed."""

    time: float
    code: int | None


class NodeLogged(msgspec.Struct, tag="log", frozen=True):
    """The node logged a defect: an error or a traceback."""

    time: float
    line: str


class NodeMeasured(msgspec.Struct, tag="memory", frozen=True):
    """The most memory that the node had resident before it was told to leave."""

    time: float
    resident_mb: float


class Disrupted(msgspec.Struct, tag="disruption", frozen=True):
    """A disruption began."""

    time: float
    kind: str
    seconds: float
    size: float
    detail: str = ""


Event = (
    RequestWritten
    | RequestAnswered
    | RequestCancelled
    | RequestUnwritten
    | ConnectionEnded
    | RunStarted
    | RunEnded
    | CommandChanged
    | ReplyFed
    | BadClientConnected
    | BadClientAnswered
    | NodeSignalled
    | NodePaused
    | NodeExited
    | NodeLogged
    | NodeMeasured
    | Disrupted
)
_decoder = msgspec.json.Decoder(Event)


def encode(event: Event) -> str:
    """Return an event as a line of the record, without its end."""
    return msgspec.json.encode(event).decode()


class Record:
    """Keeps the events of a run, and writes each to a file if there is one."""

    def __init__(self, file: TextIO | None = None) -> None:
        """Start empty."""
        self.events: list[Event] = []
        self._file = file

    def add(self, event: Event) -> None:
        """Append an event."""
        self.events.append(event)
        if self._file:
            self._file.write(encode(event) + "\n")


def read_record(lines: Iterable[str]) -> list[Event]:
    """Return the events of a written record."""
    return [_decoder.decode(line) for line in lines if line.strip()]
