"""The tables of log events in docs/on-call.md, against the calls in the code."""

import ast
import re
import unittest
from pathlib import Path

LEVELS = {"debug", "info", "warning", "error"}
ROOT = Path(__file__).parent.parent
EVENT = re.compile(r"[a-z]+(_[a-z]+)*")


def strings(node: ast.AST) -> set[str]:
    """The event names that an expression can stand for."""
    found = (part.value for part in ast.walk(node) if isinstance(part, ast.Constant))
    return {text for text in found if isinstance(text, str) and EVENT.fullmatch(text)}


def logged_events() -> set[tuple[str, str]]:
    """Each event with its level, as the code logs it."""
    events = set()
    for path in (ROOT / "oakkeel").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute) and node.args:
                if node.func.attr in LEVELS:
                    events |= {(event, node.func.attr) for event in strings(node.args[0])}
                elif node.func.attr == "report_violation":  # of a connection: a warning
                    events |= {(event, "warning") for event in strings(node.args[0])}
            elif isinstance(node, ast.AnnAssign) and ast.unparse(node.target) == "RELEASE_EVENTS":
                events |= {(event, "info") for event in strings(node.value)}
    return events


def documented_events() -> set[tuple[str, str]]:
    """Each event with its level, as the page has it."""
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
