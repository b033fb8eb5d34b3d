"""Bad clients that send at full speed, in a process of their own: `python -m oakkeel.fakes.flood`.

    python -m oakkeel.fakes.flood PORT COUNT SECONDS KIND CLASS

Each client connects to a node on loopback, sends what its kind defines, reads what is sent to it, and
connects again once the node has ended its connection. `CLASS` is a request class of the node.
"""

from __future__ import annotations

import errno
import random
import selectors
import socket
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from oakkeel.dispatch.resp import encode

READ_BYTES = 65536
RECONNECT_DELAY_S = 0.01
POLL_S = 0.01
MAX_CLIENTS_WITHOUT_PAUSE = 4
PAUSE_S = 0.001  # the node and its other clients may have few cores
REQUESTS_AT_ONCE = 200
ENDLESS_BODY = 60 * 2**20  # announced bytes
CHUNK = b"x" * 8192
SHORT_FIELDS = 2000
BODY = b"b" * 2000


class FloodKind(Enum):
    """What each client of a flood sends; the values are words of the command line."""

    ENDLESS_BODY = "endless-body"  # a body of 60 MB
    UNKNOWN_IDS = "unknown-ids"  # hundreds of requests at once, under IDs that the engine does not know
    NEW_NAMES = "new-names"  # one request after the other, each with a new ID, key, client and tenant
    SHORT_FIELDS = "short-fields"  # requests with very many short fields
    SMALL_ARRAYS = "small-arrays"  # health checks
    UNSOUND = "unsound"  # well-framed requests that lack a field
    SLOW_WRITE = "slow-write"  # a large request, a few bytes at a time
    HALF_REQUEST = "half-request"  # half of a large request, and no more
    SILENT = "silent"
    LEAVES_EARLY = "leaves-early"  # requests at once, then a close with all answers unread


@dataclass(frozen=True, slots=True)
class Behaviour:
    """What a client sends, in pieces of `piece_bytes` (0: as much as the kernel takes)."""

    first: Callable[[bytes], bytes]  # of the request class
    next: Callable[[bytes], bytes] | None  # after `first`, again and again; None: nothing
    piece_bytes: int = 0
    interval_s: float = 0.0  # from one piece to the next
    closes_after_s: float = 0.0  # from the last piece; 0: it stays


def _call(tag: int, class_name: bytes, body: bytes = b"body", fields: bytes = b"") -> bytes:
    request_id = b"%016x" % random.getrandbits(64)
    known = b"req=%s,ts=%d,via=9,timeout=3000,need=24.5" % (request_id, time.time_ns() // 1_000_000)
    return encode(b"CALL", b"%d" % tag, class_name, known + fields, body)


def _many_calls(class_name: bytes) -> bytes:
    return b"".join(_call(tag, class_name) for tag in range(1, REQUESTS_AT_ONCE + 1))


def _new_names(class_name: bytes) -> bytes:
    tag = random.randrange(1, 10**15)
    name = b"%x" % random.getrandbits(64)
    return _call(tag, class_name, fields=b",opkey=%s,subject=%s,owner=%s,via=%d" % (name, name, name, tag))


def _short_fields(class_name: bytes) -> bytes:
    fields = b"".join(b",%x=" % number for number in range(SHORT_FIELDS))[:6000]
    return _call(random.randrange(1, 10**15), class_name, fields=fields)


def _checks(class_name: bytes) -> bytes:
    first = random.randrange(1, 10**15)
    return b"".join(encode(b"CHECK", b"%d" % tag, b"") for tag in range(first, first + 100))


def _unsound(class_name: bytes) -> bytes:
    return encode(b"CALL", b"%d" % random.randrange(1, 10**15), class_name, b"need=24.5", b"body")


def _announced(class_name: bytes) -> bytes:
    return b"*5\r\n$4\r\nCALL\r\n$1\r\n1\r\n$%d\r\n" % ENDLESS_BODY


BEHAVIOURS = {
    FloodKind.ENDLESS_BODY: Behaviour(_announced, lambda _: CHUNK),
    FloodKind.UNKNOWN_IDS: Behaviour(_many_calls, None),
    FloodKind.NEW_NAMES: Behaviour(_new_names, _new_names),
    FloodKind.SHORT_FIELDS: Behaviour(_short_fields, _short_fields),
    FloodKind.SMALL_ARRAYS: Behaviour(_checks, _checks),
    FloodKind.UNSOUND: Behaviour(_unsound, _unsound),
    FloodKind.SLOW_WRITE: Behaviour(
        lambda name: _call(1, name, BODY), lambda name: _call(2, name, BODY), piece_bytes=40, interval_s=0.1
    ),
    FloodKind.HALF_REQUEST: Behaviour(lambda name: _call(1, name, BODY)[:-1000], None),
    FloodKind.SILENT: Behaviour(lambda _: b"", None),
    FloodKind.LEAVES_EARLY: Behaviour(_many_calls, None, closes_after_s=0.02),
}


class FloodClient:
    """One client, with one connection at a time."""

    def __init__(self, flood: Flood) -> None:
        """Connect at the next step of the flood."""
        self.flood = flood
        self.socket: socket.socket | None = None
        self.unsent = b""
        self.has_sent_first = False
        self.act_at = 0.0  # connect, or send the next piece, or close; monotonic seconds

    def act(self, now: float) -> None:
        """Do what is due."""
        if self.socket is None:
            self._connect()
        elif not self.unsent and not self._has_next() and self._behaviour.closes_after_s:
            self.end(now)
        else:
            self._watch(selectors.EVENT_READ | selectors.EVENT_WRITE)
            self.act_at = float("inf")

    @property
    def _behaviour(self) -> Behaviour:
        return self.flood.behaviour

    def _has_next(self) -> bool:
        return not self.has_sent_first or self._behaviour.next is not None

    def _connect(self) -> None:
        self.socket = socket.socket()
        self.socket.setblocking(False)
        self.socket.connect_ex(("127.0.0.1", self.flood.port))
        self.unsent = self._behaviour.first(self.flood.class_name)
        self.has_sent_first = True
        self.flood.selector.register(self.socket, selectors.EVENT_READ | selectors.EVENT_WRITE, self)
        self.act_at = float("inf")

    def handle(self, events: int, now: float) -> None:
        """Send and read what the kernel allows."""
        try:
            if events & selectors.EVENT_WRITE:
                self._send(now)
            if events & selectors.EVENT_READ and self.socket and not self.socket.recv(READ_BYTES):
                self.end(now)
        except OSError as error:
            if error.errno not in (errno.EAGAIN, errno.EINPROGRESS):
                self.end(now)

    def _send(self, now: float) -> None:
        behaviour = self._behaviour
        if not self.unsent and behaviour.next:
            self.unsent = behaviour.next(self.flood.class_name)
        if self.unsent and self.socket:
            piece = self.unsent[: behaviour.piece_bytes or None]
            self.unsent = self.unsent[self.socket.send(piece) :]
        if behaviour.interval_s:
            self.act_at = now + behaviour.interval_s
            self._watch(selectors.EVENT_READ)
        elif not self.unsent and not behaviour.next:
            if behaviour.closes_after_s:
                self.act_at = now + behaviour.closes_after_s
                self._watch(0)
            else:
                self._watch(selectors.EVENT_READ)

    def _watch(self, events: int) -> None:
        if not self.socket:
            return
        if events and self.socket in self.flood.selector.get_map():
            self.flood.selector.modify(self.socket, events, self)
        elif events:
            self.flood.selector.register(self.socket, events, self)
        else:
            self.flood.selector.unregister(self.socket)

    def end(self, now: float) -> None:
        """Close the connection, and connect again a moment later."""
        if self.socket:
            if self.socket in self.flood.selector.get_map():
                self.flood.selector.unregister(self.socket)
            self.socket.close()
        self.socket = None
        self.has_sent_first = False
        self.act_at = now + RECONNECT_DELAY_S


class Flood:
    """All clients of one process."""

    def __init__(self, port: int, kind: FloodKind, class_name: bytes) -> None:
        """Prepare; `run` connects."""
        self.port = port
        self.behaviour = BEHAVIOURS[kind]
        self.class_name = class_name
        self.selector = selectors.DefaultSelector()

    def run(self, count: int, seconds: float) -> None:
        """Let `count` clients send for some seconds."""
        until = time.monotonic() + seconds
        clients = [FloodClient(self) for _ in range(count)]
        while (now := time.monotonic()) < until:
            for client in clients:
                if client.act_at <= now:
                    client.act(now)
            for key, events in self.selector.select(POLL_S):
                key.data.handle(events, now)
            if count > MAX_CLIENTS_WITHOUT_PAUSE:
                time.sleep(PAUSE_S)
        for client in clients:
            client.end(now)


def main() -> int:
    """Run the flood that the command line describes."""
    port, count, seconds, kind, class_name = sys.argv[1:]
    Flood(int(port), FloodKind(kind), class_name.encode()).run(int(count), float(seconds))
    return 0


if __name__ == "__main__":
    sys.exit(main())
