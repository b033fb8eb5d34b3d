"""Checks of request IDs, without a connection."""

import unittest
from dataclasses import replace

from oakkeel.admission.types import StopKind
from oakkeel.engine.identity_checks import IdentityChecks, check_command
from oakkeel.request_events import IdentityChecked
from tests.support.fake_host import REQUEST_CLASS
from tests.support.node_request import node_request

ID = b"9b1f03aa5c7e2d41"


class CheckCommandTest(unittest.TestCase):
    def test_uses_only_a_command_that_the_settings_allow(self):
        # The engine refuses a command that the site does not allow, also for an ID that it knows.
        with_optional_call = replace(REQUEST_CLASS, degraded_weight=0.5)
        for request_class, stop_kind, expected in (
            (REQUEST_CLASS, StopKind.ABORT, b"HALT " + ID + b"\r\n"),
            (with_optional_call, StopKind.SUSPEND, b"HALT " + ID + b"\r\n"),
            (with_optional_call, StopKind.NONE, b"SKIP " + ID + b" 0\r\n"),
            (REQUEST_CLASS, StopKind.NONE, None),
        ):
            request = node_request(ID, request_class=request_class)
            self.assertEqual(check_command(request, stop_kind), expected)


class IdentityChecksTest(unittest.TestCase):
    def setUp(self) -> None:
        self.checks, self.request = IdentityChecks(), node_request(ID)
        self.checks.add(self.request, b"HALT x\r\n")

    def test_an_id_is_known_if_the_answer_behind_its_command_comes_first(self):
        self.assertEqual(self.checks.encode(ID, b"i1"), b"HALT x\r\nSTAT i1\r\n")
        self.assertFalse(self.checks.confirm(b"i2"))
        self.assertTrue(self.checks.confirm(b"i1"))
        self.assertEqual(list(self.request.events), [IdentityChecked(is_known=True)])

    def test_an_id_is_unknown_if_its_command_is_refused(self):
        self.checks.encode(ID, b"i1")
        self.checks.refuse(b"another")
        self.checks.refuse(ID)
        self.assertTrue(self.checks.confirm(b"i1"))  # the answer that follows the refusal
        self.assertEqual(list(self.request.events), [IdentityChecked(is_known=False)])

    def test_a_check_is_sent_again_on_the_next_connection_unless_its_request_is_over(self):
        other = node_request(b"other")
        self.checks.add(other, b"HALT y\r\n")
        for request in (self.request, other):
            self.checks.encode(request.request_id, b"i-" + request.request_id)
        self.checks.discard(other)
        self.assertEqual(self.checks.restart(), [ID])
        self.assertFalse(self.checks.confirm(b"i-" + ID))  # the tag of the lost connection
        self.assertFalse(self.request.events)


if __name__ == "__main__":
    unittest.main()
