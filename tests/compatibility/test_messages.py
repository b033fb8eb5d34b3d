"""Messages of an earlier version are decoded and encoded to the same bytes."""

import base64
import unittest

import msgspec

from oakkeel.agent import messages
from oakkeel.authentication.mac import AuthenticatedMessage
from oakkeel.control import messages as control
from oakkeel.policy_change import coordinator
from oakkeel.policy_change.state_machine import PolicyStateMachine
from oakkeel.raft import messages as raft_messages
from oakkeel.rollout import messages as release_messages
from oakkeel.rollout.gates import GateState
from oakkeel.rollout.state_machine import RolloutStateMachine
from tests.compatibility.fixtures import load_fixture


def decode_and_encode_command(machine_type: type):
    """Return a function that decodes a command with a state machine and encodes it."""
    machine = machine_type()
    return lambda content: msgspec.msgpack.encode(machine.decode_command(content))


def decode_and_encode(message_type: type):
    return lambda content: msgspec.msgpack.encode(msgspec.msgpack.decode(content, type=message_type))


DECODE_AND_ENCODE = {
    "control request": lambda content: control.encode(control.decode_request(content)),
    "control response": lambda content: control.encode(control.decode_response(content)),
    "agent request": lambda content: messages.encode(messages.decode_request(content)),
    "agent response": lambda content: messages.encode(messages.decode_response(content)),
    "replicated command": decode_and_encode_command(RolloutStateMachine),
    "policy change command": decode_and_encode_command(PolicyStateMachine),
    "release status": lambda content: release_messages.encode(release_messages.decode_report(content)),
    "release assignment": lambda content: release_messages.encode(
        release_messages.decode_assignments(content)
    ),
    "gate progress": decode_and_encode(GateState),
    "policy lease status": decode_and_encode(coordinator.PolicyReport),
    "policy lease": decode_and_encode(coordinator.PolicyAssignment),
    "members": lambda content: raft_messages.encode_members(raft_messages.decode_members(content)),
    "authenticated frame": decode_and_encode(AuthenticatedMessage),
}


class MessageCompatibilityTest(unittest.TestCase):
    def test_each_message_is_read_and_written_with_the_same_bytes(self):
        fixtures = load_fixture("messages.json")
        self.assertEqual({fixture["form"] for fixture in fixtures}, set(DECODE_AND_ENCODE))
        for fixture in fixtures:
            with self.subTest(form=fixture["form"], message=fixture["message"]):
                content = base64.b64decode(fixture["content"])
                self.assertEqual(DECODE_AND_ENCODE[fixture["form"]](content), content)

    def test_every_message_of_each_union_has_a_fixture(self):
        counts = {}
        for fixture in load_fixture("messages.json"):
            counts[fixture["form"]] = counts.get(fixture["form"], 0) + 1
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
