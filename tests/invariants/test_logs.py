import json
import os
import tempfile
import unittest

from oakkeel.invariants.logs import audit_logs
from tests.support.rig_case import FAILURE_KNOWN_AFTER_NS


class LogAuditTest(unittest.TestCase):
    """The audit reads the logs of agents and the journals of nodes, with planted faults."""

    def setUp(self) -> None:
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        os.makedirs(os.path.join(self.folder, "h1"))
        self.hosts = {"h1": ["n1", "n2"]}

    def audit(self, agent_events: list[dict], **journals_by_node: str) -> list[str]:
        with open(os.path.join(self.folder, "h1.agent.log"), "w", encoding="utf-8") as file:
            file.writelines(json.dumps(event) + "\n" for event in agent_events)
            file.write('{"event": "truncated by a ki')
        for name, text in journals_by_node.items():
            with open(os.path.join(self.folder, "h1", f"{name}.journal"), "w", encoding="ascii") as file:
                file.write(text)
        return audit_logs(
            self.folder, self.hosts, {"site": (1, ["n1", "n2"])}, FAILURE_KNOWN_AFTER_NS
        ).finish(0)

    @staticmethod
    def drain_events(time: int, name: str, fence: int) -> list[dict]:
        return [
            {"mono": time, "event": "permit_granted", "target": name, "fence": fence},
            {"mono": time + 1, "event": "drain_requested", "target": name, "fence": fence, "order": "o"},
        ]

    def test_finds_each_planted_fault_and_none_in_a_good_run(self):
        # event, generation, process ID and time
        serving_journal = "start 1 9 1\nup 1 9 2\n"
        valid_drains = [*self.drain_events(10, "n1", 3), *self.drain_events(30, "n2", 5)]
        self.assertEqual(
            self.audit(
                valid_drains,
                n1=serving_journal + "leave 1 9 12\nend 1 9 13\nstart 2 9 14\nup 2 9 20\n",
                n2=serving_journal,
            ),
            [],
        )
        for expected_breach, agent_events, journal_of_n1 in (
            (
                "invariant 1",
                [
                    {"mono": 1, "event": "leader_elected", "term": 4},
                    {"mono": 2, "event": "leader_elected", "term": 4},
                ],
                serving_journal,
            ),
            ("invariant 4", valid_drains, serving_journal),  # n1 does not serve again
            ("invariant 5", [self.drain_events(10, "n1", 3)[1]], serving_journal),  # no committed grant
            (
                "invariant 5",
                [*self.drain_events(10, "n1", 3), *self.drain_events(30, "n1", 2)],
                serving_journal,
            ),
            ("invariant 6", [], serving_journal + "end 1 9 3\nstart 1 9 4\n"),
        ):
            if expected_breach == "invariant 1":
                agent_events[1]["host"] = "h2"
            with self.subTest(expected_breach):
                self.assertRegex(
                    "\n".join(self.audit(agent_events, n1=journal_of_n1, n2=serving_journal)), expected_breach
                )


if __name__ == "__main__":
    unittest.main()
