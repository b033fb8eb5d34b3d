"""Each message that an earlier version wrote is read, and written again with the same bytes."""

import base64
import unittest

import msgspec

from oakkeel.agent import messages
from oakkeel.authentication.mac import AuthenticatedMessage
from oakkeel.control import messages as control
from oakkeel.policy_change import coordinator
from oakkeel.policy_change.state_machine import PolicyStateMachine
from oakkeel.raft import messages as raft_messages
from oakkeel.rollout import messages as release_words
from oakkeel.rollout.gates import GateState
from oakkeel.rollout.state_machine import RolloutStateMachine
from tests.compatibility.fixtures import load


def apply_and_encode(machine_type: type):
    """A replicated command is read by the state machine that applies it."""
    machine = machine_type()
    return lambda content: msgspec.msgpack.encode(machine.decode_command(content))


def of_type(kind: type):
    return lambda content: msgspec.msgpack.encode(msgspec.msgpack.decode(content, type=kind))


REWRITE = {
    "control request": lambda content: control.encode(control.decode_request(content)),
    "control response": lambda content: control.encode(control.decode_response(content)),
    "agent request": lambda content: messages.encode(messages.decode_request(content)),
    "agent response": lambda content: messages.encode(messages.decode_response(content)),
    "replicated command": apply_and_encode(RolloutStateMachine),
    "policy change command": apply_and_encode(PolicyStateMachine),
    "release status": lambda content: release_words.encode(release_words.decode_report(content)),
    "release assignment": lambda content: release_words.encode(release_words.decode_assignments(content)),
    "gate progress": of_type(GateState),
    "policy lease status": of_type(coordinator.PolicyReport),
    "policy lease": of_type(coordinator.PolicyAssignment),
    "members": lambda content: raft_messages.encode_members(raft_messages.decode_members(content)),
    "authenticated frame": of_type(AuthenticatedMessage),
}


class MessageCompatibilityTest(unittest.TestCase):
    def test_each_message_is_read_and_written_with_the_same_bytes(self):
        rows = load("messages.json")
        self.assertEqual({row["form"] for row in rows}, set(REWRITE))
        for row in rows:
            with self.subTest(form=row["form"], message=row["message"]):
                content = base64.b64decode(row["content"])
                self.assertEqual(REWRITE[row["form"]](content), content)

    def test_every_message_of_each_union_has_a_fixture(self):
        counts = {}
        for row in load("messages.json"):
            counts[row["form"]] = counts.get(row["form"], 0) + 1
        self.assertEqual(
            counts,
            {
                "control request": 4,
                "control response": 3,
                "agent request": 15 + 9,
                "agent response": 12,
                "replicated command": 14 + 8,
                "policy change command": 5,
                "release status": 1,
                "release assignment": 1,
                "gate progress": 1,
                "policy lease status": 1,
                "policy lease": 1,
                "members": 1,
                "authenticated frame": 1,
            },
        )
