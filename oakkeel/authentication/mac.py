"""Keyed BLAKE3 marks over messages, and who may do what. Free of I/O.

A link begins with a challenge by the agent. Every message on it carries a mark over the challenge, the
message's place on the link, the sender's nonce, its time and its content. A copy sent on another link meets
another challenge, one on the same link another place: both are refused, whatever the clocks of the hosts
say. A challenge is good for a bounded time, so that nobody can hold a message back and let it act much
later.
"""

from __future__ import annotations

import hmac
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import IntEnum

import blake3
import msgspec

SECOND = 1_000_000_000
NONCE, SECRET, MARK = 16, 32, 32  # bytes


class Role(IntEnum):
    """What a key allows; `ACT` includes `VIEW`, and `AGENT` is for agents among themselves alone."""

    AGENT = 0
    VIEW = 1
    ACT = 2


@dataclass(slots=True, frozen=True)
class Key:
    """One key of an operator. During a change both the old and the new one are good."""

    ident: str
    operator: str
    role: Role
    secret: bytes
    until: int = 0  # Unix nanoseconds from which it is good no more; 0: none


class AuthenticatedMessage(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """A message with its mark. `time` is the sender's Unix clock in nanoseconds, told and not gone by."""

    key: str
    nonce: bytes
    time: int
    content: bytes
    mark: bytes


class AuthenticationError(ValueError):
    """The message is not taken. The text is for our own log: whoever sent it is told no reason."""


_decoder = msgspec.msgpack.Decoder(AuthenticatedMessage)
_encoder = msgspec.msgpack.Encoder()


def _mark(
    secret: bytes, kind: bytes, challenge: bytes, place: int, nonce: bytes, time: int, content: bytes
) -> bytes:
    hasher = blake3.blake3(key=secret)
    for part in (kind, challenge, place.to_bytes(8, "big"), nonce, time.to_bytes(8, "big"), content):
        hasher.update(len(part).to_bytes(8, "big"))  # or bytes could move from one part to the next
        hasher.update(part)
    return hasher.digest()


class ClientAuthenticator:
    """The command line's end of one link."""

    def __init__(
        self, key: Key, challenge: bytes, nonce: Callable[[], bytes], unix: Callable[[], int]
    ) -> None:
        self.key, self.challenge, self.nonce, self.unix = key, challenge, nonce, unix
        self.place = 0

    def seal(self, content: bytes) -> bytes:
        self.place += 1
        self.sent, time = self.nonce(), self.unix()
        mark = _mark(self.key.secret, b"ask", self.challenge, self.place, self.sent, time, content)
        return _encoder.encode(AuthenticatedMessage(self.key.ident, self.sent, time, content, mark))

    def open(self, frame: bytes) -> bytes:
        """The content of the answer to what was sealed last. Raises Refused."""
        sealed = _read(frame)
        mark = _mark(
            self.key.secret, b"answer", self.challenge, self.place, self.sent, sealed.time, sealed.content
        )
        if not hmac.compare_digest(mark, sealed.mark):
            raise AuthenticationError("an answer that was not made with our key, or not to our message")
        return sealed.content


class ServerAuthenticator:
    """The agent's end of one link."""

    def __init__(
        self, keys: dict[str, Key], challenge: bytes, made: int, good_for: int = 10 * SECOND
    ) -> None:
        """`made` is when the challenge was made, monotonic nanoseconds."""
        self.keys, self.challenge, self.made, self.good_for = keys, challenge, made, good_for
        self.place = 0

    def open(self, now: int, unix: int, frame: bytes) -> tuple[Key, bytes]:
        """The key that marked it, and its content. Raises Refused."""
        sealed = _read(frame)
        key = self.keys.get(sealed.key)
        if key is None:
            raise AuthenticationError("an unknown key")
        place = self.place + 1
        mark = _mark(key.secret, b"ask", self.challenge, place, sealed.nonce, sealed.time, sealed.content)
        if not hmac.compare_digest(mark, sealed.mark):
            raise AuthenticationError(
                f"a wrong mark for key {key.ident}: altered, replayed, or made with another key"
            )
        if now - self.made > self.good_for:
            raise AuthenticationError(f"key {key.ident}: the challenge is too old")
        if key.until and unix >= key.until:
            raise AuthenticationError(f"key {key.ident} is good no more")
        self.place, self.nonce, self.key = place, sealed.nonce, key
        self.made = now  # each message that is good gives the next its time
        return key, sealed.content

    def seal(self, unix: int, content: bytes) -> bytes:
        """The answer to what was opened last."""
        mark = _mark(self.key.secret, b"answer", self.challenge, self.place, self.nonce, unix, content)
        return _encoder.encode(AuthenticatedMessage(self.key.ident, self.nonce, unix, content, mark))


def _read(frame: bytes) -> AuthenticatedMessage:
    try:
        sealed = _decoder.decode(frame)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise AuthenticationError(f"no sealed message: {error}") from None
    if len(sealed.nonce) != NONCE or len(sealed.mark) != MARK or not 0 <= sealed.time < 1 << 63:
        raise AuthenticationError("a nonce, mark or time of the wrong size")
    return sealed


def by_ident(keys: Iterable[Key]) -> dict[str, Key]:
    return {key.ident: key for key in keys}
