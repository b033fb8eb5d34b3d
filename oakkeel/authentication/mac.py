"""Message authentication with keyed BLAKE3, and the role of each key. Free of I/O.

A connection begins with a challenge by the agent. Every message on it carries a MAC over the challenge, the
message's sequence number on the connection, the client's nonce, its time and its content. A replay on another
connection meets another challenge, one on the same connection another sequence number: both are rejected,
whatever the clocks of the hosts say. A challenge has a bounded lifetime, so that nobody can delay a message
and let it act much later.
"""

from __future__ import annotations

import hmac
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum

import blake3
import msgspec

from oakkeel.errors import OakkeelError
from oakkeel.units import SECOND

NONCE_BYTES, SECRET_BYTES, MAC_BYTES = 16, 32, 32


class Role(IntEnum):
    """What a key allows; `ACT` includes `VIEW`, and `AGENT` is for messages between agents only."""

    AGENT = 0
    VIEW = 1
    ACT = 2


@dataclass(slots=True, frozen=True)
class Key:
    """One key of an operator. During a key rotation both the old and the new one are valid."""

    ident: str
    operator: str
    role: Role
    secret: bytes
    expires: int = 0  # Unix nanoseconds from which it is invalid; 0: never


class AuthenticatedMessage(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """A message with its MAC. `time` is the sender's Unix clock in nanoseconds, for information only."""

    key: str
    nonce: bytes
    time: int
    content: bytes
    mac: bytes


class AuthenticationError(OakkeelError, ValueError):
    """The message is rejected. The text is for our own log only: the sender learns no reason."""


_decoder = msgspec.msgpack.Decoder(AuthenticatedMessage)
_encoder = msgspec.msgpack.Encoder()


def _compute_mac(
    secret: bytes, kind: bytes, challenge: bytes, sequence: int, nonce: bytes, time: int, content: bytes
) -> bytes:
    hasher = blake3.blake3(key=secret)
    for part in (kind, challenge, sequence.to_bytes(8, "big"), nonce, time.to_bytes(8, "big"), content):
        hasher.update(len(part).to_bytes(8, "big"))  # without it bytes could move from one part to the next
        hasher.update(part)
    return hasher.digest()


class ClientAuthenticator:
    """The client's end of one connection."""

    def __init__(
        self, key: Key, challenge: bytes, nonce: Callable[[], bytes], unix: Callable[[], int]
    ) -> None:
        """Use a key for the agent's challenge; `unix` returns the Unix time in nanoseconds."""
        self.key, self.challenge, self.make_nonce, self.unix = key, challenge, nonce, unix
        self.sequence = 0

    def sign(self, content: bytes) -> bytes:
        """Return the frame of the next request."""
        self.sequence += 1
        self.nonce, time = self.make_nonce(), self.unix()
        mac = _compute_mac(self.key.secret, b"ask", self.challenge, self.sequence, self.nonce, time, content)
        return _encoder.encode(AuthenticatedMessage(self.key.ident, self.nonce, time, content, mac))

    def verify(self, frame: bytes) -> bytes:
        """Return the content of the response to the last request. Raises AuthenticationError."""
        message = _decode(frame)
        mac = _compute_mac(
            self.key.secret,
            b"answer",
            self.challenge,
            self.sequence,
            self.nonce,
            message.time,
            message.content,
        )
        if not hmac.compare_digest(mac, message.mac):
            raise AuthenticationError("an answer that was not made with our key, or not to our message")
        return message.content


class ServerAuthenticator:
    """The agent's end of one connection."""

    def __init__(
        self, keys: dict[str, Key], challenge: bytes, issued_at: int, lifetime: int = 10 * SECOND
    ) -> None:
        """Accept `keys` (by ID) for a challenge issued at a time in monotonic nanoseconds."""
        self.keys, self.challenge, self.issued_at, self.lifetime = keys, challenge, issued_at, lifetime
        self.sequence = 0

    def verify(self, now: int, unix: int, frame: bytes) -> tuple[Key, bytes]:
        """Return the key of a request and its content. Raises AuthenticationError."""
        message = _decode(frame)
        key = self.keys.get(message.key)
        if key is None:
            raise AuthenticationError("an unknown key")
        sequence = self.sequence + 1
        mac = _compute_mac(
            key.secret, b"ask", self.challenge, sequence, message.nonce, message.time, message.content
        )
        if not hmac.compare_digest(mac, message.mac):
            raise AuthenticationError(
                f"a wrong mark for key {key.ident}: altered, replayed, or made with another key"
            )
        if now - self.issued_at > self.lifetime:
            raise AuthenticationError(f"key {key.ident}: the challenge is too old")
        if key.expires and unix >= key.expires:
            raise AuthenticationError(f"key {key.ident} is good no more")
        self.sequence, self.nonce, self.key = sequence, message.nonce, key
        self.issued_at = now  # each valid message extends the lifetime for the next
        return key, message.content

    def sign(self, unix: int, content: bytes) -> bytes:
        """Return the frame of the response to the last verified request."""
        mac = _compute_mac(
            self.key.secret, b"answer", self.challenge, self.sequence, self.nonce, unix, content
        )
        return _encoder.encode(AuthenticatedMessage(self.key.ident, self.nonce, unix, content, mac))


def _decode(frame: bytes) -> AuthenticatedMessage:
    try:
        message = _decoder.decode(frame)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise AuthenticationError(f"no sealed message: {error}") from error
    if len(message.nonce) != NONCE_BYTES or len(message.mac) != MAC_BYTES or not 0 <= message.time < 1 << 63:
        raise AuthenticationError("a nonce, mark or time of the wrong size")
    return message
