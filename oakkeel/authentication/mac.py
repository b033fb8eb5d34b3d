"""Message authentication with keyed BLAKE3, and the role of each key. Free of I/O.

A connection starts with a challenge by the agent. Each message on it has a MAC over the challenge, the
sequence number of the message on the connection, the client's nonce, the sender's time and the content. A
replay on another connection is rejected because the challenge differs, a replay on the same connection
because the sequence number differs; both checks are independent of the hosts' clocks. A challenge has a
maximum lifetime, so that a message can't be delayed for long.
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

NONCE_BYTES = 16
SECRET_BYTES = 32
MAC_BYTES = 32
NUMBER_BYTES = 8  # size of lengths, sequence numbers and times in the input of a MAC
MAX_UNIX_TIME_NS = (1 << 63) - 1
MAX_CHALLENGE_LIFETIME_NS = 10 * SECOND
REQUEST_KIND = b"ask"
RESPONSE_KIND = b"answer"


class Role(IntEnum):
    """The permission that a key gives. `ACT` includes `VIEW`; `AGENT` is for messages between agents only."""

    AGENT = 0
    VIEW = 1
    ACT = 2


@dataclass(slots=True, frozen=True)
class Key:
    """One key of an operator. During a rotation both the old and the new key are valid."""

    key_id: str
    operator: str
    role: Role
    secret: bytes
    expires_at: int = 0  # Unix time in nanoseconds from which the key is invalid; 0: never


class AuthenticatedMessage(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    """A message with its MAC. `time` is the sender's Unix time in nanoseconds, for information only."""

    key: str
    nonce: bytes
    time: int
    content: bytes
    mac: bytes


class AuthenticationError(OakkeelError, ValueError):
    """A message is rejected. The cause is for this host's log only: the sender must not learn it."""


_decoder = msgspec.msgpack.Decoder(AuthenticatedMessage)
_encoder = msgspec.msgpack.Encoder()


@dataclass(slots=True, frozen=True)
class MacInput:
    """The fields that the MAC of a message covers."""

    kind: bytes
    challenge: bytes
    sequence: int
    nonce: bytes
    time: int
    content: bytes

    def compute_mac(self, secret: bytes) -> bytes:
        """Return the MAC with the secret of a key."""
        hasher = blake3.blake3(key=secret)
        parts = (
            self.kind,
            self.challenge,
            self.sequence.to_bytes(NUMBER_BYTES, "big"),
            self.nonce,
            self.time.to_bytes(NUMBER_BYTES, "big"),
            self.content,
        )
        for part in parts:
            # Without the length, bytes could move from one part to the next without a change of the MAC.
            hasher.update(len(part).to_bytes(NUMBER_BYTES, "big"))
            hasher.update(part)
        return hasher.digest()


class ClientAuthenticator:
    """Signs the requests of one connection, and verifies the responses. Used by the client."""

    def __init__(
        self, key: Key, challenge: bytes, make_nonce: Callable[[], bytes], unix_time: Callable[[], int]
    ) -> None:
        """Sign with `key` for the agent's challenge. `unix_time` returns nanoseconds."""
        self.key = key
        self.challenge = challenge
        self.make_nonce = make_nonce
        self.unix_time = unix_time
        self.sequence = 0
        self.nonce = b""

    def sign(self, content: bytes) -> bytes:
        """Return the frame of the next request."""
        self.sequence += 1
        self.nonce = self.make_nonce()
        request = MacInput(REQUEST_KIND, self.challenge, self.sequence, self.nonce, self.unix_time(), content)
        return _encode(self.key, request)

    def verify(self, frame: bytes) -> bytes:
        """Return the content of the response to the last request. Raises AuthenticationError."""
        message = _decode(frame)
        response = MacInput(
            RESPONSE_KIND, self.challenge, self.sequence, self.nonce, message.time, message.content
        )
        if not hmac.compare_digest(response.compute_mac(self.key.secret), message.mac):
            raise AuthenticationError(
                "the response has a wrong MAC: it was made with another key, or for another request"
            )
        return message.content


class ServerAuthenticator:
    """Verifies the requests of one connection, and signs the responses. Used by the agent."""

    def __init__(
        self,
        keys: dict[str, Key],
        challenge: bytes,
        issued_at: int,
        max_lifetime_ns: int = MAX_CHALLENGE_LIFETIME_NS,
    ) -> None:
        """Accept `keys`, by ID, for a challenge that was issued at `issued_at`, in monotonic nanoseconds."""
        self.keys = keys
        self.challenge = challenge
        self.issued_at = issued_at
        self.max_lifetime_ns = max_lifetime_ns
        self.sequence = 0

    def verify(self, now: int, unix_now: int, frame: bytes) -> tuple[Key, bytes]:
        """Return the key of a request and its content. Raises AuthenticationError.

        `now` is in monotonic nanoseconds, `unix_now` the Unix time in nanoseconds.
        """
        message = _decode(frame)
        key = self.keys.get(message.key)
        if key is None:
            raise AuthenticationError("the key is unknown")
        sequence = self.sequence + 1
        request = MacInput(
            REQUEST_KIND, self.challenge, sequence, message.nonce, message.time, message.content
        )
        if not hmac.compare_digest(request.compute_mac(key.secret), message.mac):
            raise AuthenticationError(
                f"key {key.key_id}: wrong MAC; the message was altered, replayed or made with another secret"
            )
        if now - self.issued_at > self.max_lifetime_ns:
            raise AuthenticationError(f"key {key.key_id}: the challenge has expired")
        if key.expires_at and unix_now >= key.expires_at:
            raise AuthenticationError(f"key {key.key_id} has expired: replace it")
        self.sequence = sequence
        self.nonce = message.nonce
        self.key = key
        self.issued_at = now  # each valid message extends the lifetime of the challenge
        return key, message.content

    def sign(self, unix_now: int, content: bytes) -> bytes:
        """Return the frame of the response to the last verified request."""
        response = MacInput(RESPONSE_KIND, self.challenge, self.sequence, self.nonce, unix_now, content)
        return _encode(self.key, response)


def _encode(key: Key, mac_input: MacInput) -> bytes:
    message = AuthenticatedMessage(
        key.key_id, mac_input.nonce, mac_input.time, mac_input.content, mac_input.compute_mac(key.secret)
    )
    return _encoder.encode(message)


def _decode(frame: bytes) -> AuthenticatedMessage:
    try:
        message = _decoder.decode(frame)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise AuthenticationError(f"the message can't be decoded: {error}") from error
    if len(message.nonce) != NONCE_BYTES or len(message.mac) != MAC_BYTES:
        raise AuthenticationError("the nonce or the MAC has a wrong length")
    if not 0 <= message.time <= MAX_UNIX_TIME_NS:
        raise AuthenticationError("the time is out of range")
    return message
