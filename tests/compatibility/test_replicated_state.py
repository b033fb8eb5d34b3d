"""Commands and snapshots of an earlier version give the same replicated state."""

import base64
import hashlib
import unittest

from oakkeel.disruption.state import Rejection
from oakkeel.policy_change.state_machine import PolicyStateMachine
from oakkeel.rollout.state_machine import RolloutStateMachine
from tests.compatibility.fixtures import load_fixture


class ReplicatedStateCompatibilityTest(unittest.TestCase):
    def test_replayed_commands_give_the_same_results_and_snapshots(self):
        for kind, machine_type in (("cluster", RolloutStateMachine), ("policy", PolicyStateMachine)):
            for number, log in enumerate(load_fixture("replicated.json.gz")[kind]):
                machine = machine_type()
                for entry in log["commands"]:
                    result = machine.apply(entry["index"], base64.b64decode(entry["command"]))
                    digest = hashlib.sha256(machine.snapshot()).hexdigest()
                    self.assertEqual(
                        (isinstance(result, Rejection), digest),
                        (entry["refused"], entry["snapshot"]),
                        (kind, number, entry["index"]),
                    )

    def test_snapshots_are_restored_and_written_with_the_same_bytes(self):
        for kind, machine_type in (("cluster", RolloutStateMachine), ("policy", PolicyStateMachine)):
            for log in load_fixture("replicated.json.gz")[kind]:
                machine = machine_type()
                content = base64.b64decode(log["snapshot"])
                machine.restore(content)
                self.assertEqual(machine.snapshot(), content)
