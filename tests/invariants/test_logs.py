import json
import os
import tempfile
import unittest

from oakkeel.invariants.logs import audit_logs
from tests.support.rig_case import KNOWN_AFTER


class LogAuditTest(unittest.TestCase):
    """What agents and nodes wrote down, with a fault planted in it, read by the auditor."""

    def setUp(self) -> None:
        self.folder = self.enterContext(tempfile.TemporaryDirectory())
        os.makedirs(os.path.join(self.folder, "h1"))
        self.hosts = {"h1": ["n1", "n2"]}

    def audit(self, lines: list[dict], **journals: str) -> list[str]:
        with open(os.path.join(self.folder, "h1.agent.log"), "w", encoding="utf-8") as file:
            file.writelines(json.dumps(line) + "\n" for line in lines)
            file.write('{"event": "cut short by a ki')
        for name, text in journals.items():
            with open(os.path.join(self.folder, "h1", f"{name}.journal"), "w", encoding="ascii") as file:
                file.write(text)
        return audit_logs(self.folder, self.hosts, {"site": (1, ["n1", "n2"])}, KNOWN_AFTER).finish(0)

    @staticmethod
    def left(at: int, name: str, fence: int) -> list[dict]:
        return [
            {"mono": at, "event": "permit_granted", "target": name, "fence": fence},
            {"mono": at + 1, "event": "drain_requested", "target": name, "fence": fence, "order": "o"},
        ]

    def test_finds_each_planted_fault_and_none_in_a_good_run(self):
        up = "start 1 9 1\nup 1 9 2\n"
        good = [*self.left(10, "n1", 3), *self.left(30, "n2", 5)]
        self.assertEqual(
            self.audit(good, n1=up + "leave 1 9 12\nend 1 9 13\nstart 2 9 14\nup 2 9 20\n", n2=up), []
        )
        for planted, lines, journal in (
            (
                "promise 1",
                [
                    {"mono": 1, "event": "leader_elected", "term": 4},
                    {"mono": 2, "event": "leader_elected", "term": 4},
                ],
                up,
            ),
            ("promise 4", good, up),  # the first is not back
            ("promise 5", [self.left(10, "n1", 3)[1]], up),  # no grant
            ("promise 5", [*self.left(10, "n1", 3), *self.left(30, "n1", 2)], up),
            ("promise 6", [], up + "end 1 9 3\nstart 1 9 4\n"),
        ):
            if planted == "promise 1":
                lines[1]["host"] = "h2"
            with self.subTest(planted):
                self.assertRegex("\n".join(self.audit(lines, n1=journal, n2=up)), planted)


if __name__ == "__main__":
    unittest.main()
