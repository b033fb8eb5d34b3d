"""Messages that an authenticated connection accepts and rejects."""

import secrets
import time
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from oakkeel.authentication.mac import (
    NONCE_BYTES,
    AuthenticationError,
    ClientAuthenticator,
    Key,
    Role,
    ServerAuthenticator,
)
from oakkeel.units import SECOND


class MessageAuthenticationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.old_key, self.new_key, self.foreign_key = (
            Key(ident, "asha", Role.ACT, secrets.token_bytes(32)) for ident in ("a-1", "a-2", "a-1")
        )
        self.keys = {key.key_id: key for key in (self.old_key, self.new_key)}

    def make_authenticators(
        self, key: Key, keys=None, issued_at: int = 0
    ) -> tuple[ClientAuthenticator, ServerAuthenticator]:
        challenge = secrets.token_bytes(NONCE_BYTES)
        return (
            ClientAuthenticator(key, challenge, lambda: secrets.token_bytes(NONCE_BYTES), time.time_ns),
            ServerAuthenticator(keys or self.keys, challenge, issued_at),
        )

    def test_accepts_both_keys_during_rotation_and_authenticates_responses(self):
        for key in (self.old_key, self.new_key):
            client, server = self.make_authenticators(key)
            for number in range(3):
                found_key, content = server.verify(0, 0, client.sign(b"ask %d" % number))
                self.assertEqual((found_key, content), (key, b"ask %d" % number))
                self.assertEqual(client.verify(server.sign(0, b"response")), b"response")

    def assert_rejected(
        self, server: ServerAuthenticator, frame: bytes, now: int = 0, unix_now: int = 0
    ) -> None:
        with self.assertRaises(AuthenticationError):
            server.verify(now, unix_now, frame)

    def test_rejects_replayed_altered_foreign_late_and_expired_messages(self):
        client, server = self.make_authenticators(self.old_key)
        frame = client.sign(b"stop n1")
        server.verify(0, 0, frame)
        self.assert_rejected(server, frame)  # on the same connection
        self.assert_rejected(self.make_authenticators(self.old_key)[1], frame)  # on another connection
        client, server = self.make_authenticators(self.old_key)
        frame = client.sign(b"stop n1")
        self.assert_rejected(server, frame.replace(b"n1", b"n2"))
        server.verify(0, 0, frame)
        client, server = self.make_authenticators(self.foreign_key)
        self.assert_rejected(server, client.sign(b"stop n1"))
        client, server = self.make_authenticators(self.old_key)
        self.assert_rejected(server, client.sign(b"stop n1"), now=11 * SECOND)
        expired = Key("a-1", "asha", Role.ACT, self.old_key.secret, expires_at=5 * SECOND)
        client, server = self.make_authenticators(expired, {"a-1": expired})
        self.assert_rejected(server, client.sign(b"stop n1"), unix_now=5 * SECOND)

    def test_rejects_a_replay_after_the_clock_was_set_back(self):
        client, server = self.make_authenticators(self.old_key)
        frame = client.sign(b"stop n1")
        server.verify(0, 3600 * SECOND, frame)
        self.assert_rejected(self.make_authenticators(self.old_key)[1], frame, unix_now=0)

    def test_rejects_response_to_another_request(self):
        client, server = self.make_authenticators(self.old_key)
        server.verify(0, 0, client.sign(b"one"))
        response = server.sign(0, b"response")
        client.sign(b"two")
        with self.assertRaises(AuthenticationError):
            client.verify(response)

    @given(st.binary(max_size=300))
    @settings(max_examples=300, deadline=None, derandomize=True)
    def test_arbitrary_bytes_are_rejected_without_other_errors(self, frame):
        self.assert_rejected(self.make_authenticators(self.old_key)[1], frame)

    @given(st.data())
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_rejects_message_with_any_byte_changed(self, data):
        client, server = self.make_authenticators(self.old_key)
        frame = bytearray(client.sign(b"stop n1"))
        index = data.draw(st.integers(0, len(frame) - 1))
        frame[index] ^= data.draw(st.integers(1, 255))
        try:
            _, content = server.verify(0, 0, bytes(frame))
        except AuthenticationError:
            return
        self.assertEqual(content, b"stop n1")  # another encoding of the same message
