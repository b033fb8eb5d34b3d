"""Authenticated messages: what is accepted and what is refused."""

import secrets
import time
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from oakkeel.authentication.mac import (
    NONCE,
    AuthenticationError,
    ClientAuthenticator,
    Key,
    Role,
    ServerAuthenticator,
)
from oakkeel.fleet.view import SECOND


class MarkStories(unittest.TestCase):
    def setUp(self) -> None:
        self.old, self.new, self.foreign = (
            Key(ident, "asha", Role.ACT, secrets.token_bytes(32)) for ident in ("a-1", "a-2", "a-1")
        )
        self.keys = {key.ident: key for key in (self.old, self.new)}

    def ends(self, key: Key, keys=None, made: int = 0) -> tuple[ClientAuthenticator, ServerAuthenticator]:
        challenge = secrets.token_bytes(NONCE)
        return (
            ClientAuthenticator(key, challenge, lambda: secrets.token_bytes(NONCE), time.time_ns),
            ServerAuthenticator(keys or self.keys, challenge, made),
        )

    def test_both_keys_are_good_during_a_change_and_the_answer_is_proved(self):
        for key in (self.old, self.new):
            sender, receiver = self.ends(key)
            for number in range(3):
                found, content = receiver.open(0, 0, sender.seal(b"ask %d" % number))
                self.assertEqual((found, content), (key, b"ask %d" % number))
                self.assertEqual(sender.open(receiver.seal(0, b"so")), b"so")

    def refused(self, receiver: ServerAuthenticator, frame: bytes, now: int = 0, unix: int = 0) -> None:
        with self.assertRaises(AuthenticationError):
            receiver.open(now, unix, frame)

    def test_replayed_altered_foreign_late_and_ended_ones_are_refused(self):
        sender, receiver = self.ends(self.old)
        frame = sender.seal(b"stop n1")
        receiver.open(0, 0, frame)
        self.refused(receiver, frame)  # on the same link
        self.refused(self.ends(self.old)[1], frame)  # on another
        sender, receiver = self.ends(self.old)
        good = sender.seal(b"stop n1")
        self.refused(receiver, good.replace(b"n1", b"n2"))
        receiver.open(0, 0, good)
        sender, receiver = self.ends(self.foreign)
        self.refused(receiver, sender.seal(b"stop n1"))
        sender, receiver = self.ends(self.old)
        self.refused(receiver, sender.seal(b"stop n1"), now=11 * SECOND)
        ended = Key("a-1", "asha", Role.ACT, self.old.secret, until=5 * SECOND)
        sender, receiver = self.ends(ended, {"a-1": ended})
        self.refused(receiver, sender.seal(b"stop n1"), unix=5 * SECOND)

    def test_a_clock_that_was_set_back_lets_no_old_message_in(self):
        sender, receiver = self.ends(self.old)
        frame = sender.seal(b"stop n1")
        receiver.open(0, 3600 * SECOND, frame)
        self.refused(self.ends(self.old)[1], frame, unix=0)

    def test_an_answer_to_another_question_is_not_believed(self):
        sender, receiver = self.ends(self.old)
        receiver.open(0, 0, sender.seal(b"one"))
        answer = receiver.seal(0, b"so")
        sender.seal(b"two")
        with self.assertRaises(AuthenticationError):
            sender.open(answer)

    @given(st.binary(max_size=300))
    @settings(max_examples=300, deadline=None, derandomize=True)
    def test_any_bytes_are_a_refusal_and_nothing_else(self, frame):
        self.refused(self.ends(self.old)[1], frame)

    @given(st.data())
    @settings(max_examples=200, deadline=None, derandomize=True)
    def test_one_changed_byte_anywhere_is_refused(self, data):
        sender, receiver = self.ends(self.old)
        frame = bytearray(sender.seal(b"stop n1"))
        place = data.draw(st.integers(0, len(frame) - 1))
        frame[place] ^= data.draw(st.integers(1, 255))
        try:
            _, content = receiver.open(0, 0, bytes(frame))
        except AuthenticationError:
            return
        self.assertEqual(content, b"stop n1")  # another spelling of the same message
