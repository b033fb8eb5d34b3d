"""The tables of log events in docs/on-call.md have the events that the code logs."""

import ast
import re
import unittest
from pathlib import Path

LEVELS = {"debug", "info", "warning", "error"}
ROOT = Path(__file__).parent.parent
EVENT = re.compile(r"[a-z]+(_[a-z]+)*")


def event_names(node: ast.AST) -> set[str]:
    """Return the event names that an expression may evaluate to."""
    constants = (part.value for part in ast.walk(node) if isinstance(part, ast.Constant))
    return {text for text in constants if isinstance(text, str) and EVENT.fullmatch(text)}


def logged_events() -> set[tuple[str, str]]:
    """Return each event that the code logs, with its level."""
    events = set()
    for path in (ROOT / "oakkeel").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute) and node.args:
                if node.func.attr in LEVELS:
                    events |= {(event, node.func.attr) for event in event_names(node.args[0])}
                elif node.func.attr == "report_violation":  # of a connection: a warning
                    events |= {(event, "warning") for event in event_names(node.args[0])}
            elif isinstance(node, ast.AnnAssign) and ast.unparse(node.target) == "RELEASE_EVENTS":
                events |= {(event, "info") for event in event_names(node.value)}
    return events


def documented_events() -> set[tuple[str, str]]:
    """Return each event that the page lists, with its level."""
    events = set()
    for line in (ROOT / "docs" / "on-call.md").read_text().splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if len(cells) == 4 and cells[1] in LEVELS:
            events |= {(event, cells[1]) for event in re.findall(r"`(\w+)`", cells[0])}
    return events


class LogEventsTest(unittest.TestCase):
    def test_the_page_has_every_event_with_its_level_and_no_other(self):
        logged = logged_events()
        self.assertGreater(len(logged), 60)
        self.assertEqual(documented_events(), logged)


if __name__ == "__main__":
    unittest.main()
