"""The files, functions and constants that the page of decisions names exist."""

import ast
import re
import unittest
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
PAGE = ROOT / "docs" / "decisions.md"
COLUMNS = 6
MIN_RULES = 25
LOCATION = re.compile(r"`([\w/]+\.py)`: ((?:`[\w.]+`(?:, )?)+)")


@dataclass(frozen=True)
class Rule:
    """One row of the page."""

    name: str
    where: str
    inputs: str
    constants: str
    reason: str
    seen_by: str

    def locations(self) -> list[tuple[str, str]]:
        """Return the pairs of file and function that the row names."""
        return [
            (path, function)
            for path, functions in LOCATION.findall(self.where)
            for function in re.findall(r"`([\w.]+)`", functions)
        ]


def parse_rules(text: str) -> list[Rule]:
    """Return the rows of all tables, without their header rows."""
    rows = []
    for line in text.splitlines():
        if line.startswith("| ") and not line.startswith(("| ---", "| rule")):
            cells = [cell.strip() for cell in line.strip().strip("|").split(" | ")]
            if len(cells) != COLUMNS:
                raise ValueError(f"{len(cells)} columns, expected {COLUMNS}: {line}")
            rows.append(Rule(*cells))
    return rows


def read_functions(path: Path) -> set[str]:
    """Return the functions of a module by name, methods also as `Class.method`."""
    found = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.FunctionDef | ast.AsyncFunctionDef):
            found.add(node.name)
        elif isinstance(node, ast.ClassDef):
            found.update(
                f"{node.name}.{part.name}"
                for part in node.body
                if isinstance(part, ast.FunctionDef | ast.AsyncFunctionDef)
            )
    return found


def defined_names() -> set[str]:
    """Return the constants, fields, properties and classes that oakkeel defines."""
    found = set()
    for path in (ROOT / "oakkeel").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            if isinstance(node, ast.Assign):
                found.update(target.id for target in node.targets if isinstance(target, ast.Name))
            elif isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
                found.add(node.target.id)
            elif isinstance(node, ast.ClassDef | ast.FunctionDef):
                found.add(node.name)
    return found


class DecisionsPageTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rules = parse_rules(PAGE.read_text(encoding="utf-8"))

    def test_each_rule_has_inputs_a_reason_and_a_way_to_observe_it(self):
        self.assertGreaterEqual(len(self.rules), MIN_RULES)
        for rule in self.rules:
            self.assertTrue(rule.inputs and rule.reason and rule.seen_by, rule.name)

    def test_each_rule_names_a_function_that_its_file_defines(self):
        for rule in self.rules:
            with self.subTest(rule.name):
                self.assertTrue(rule.locations(), rule.where)
                for path, function in rule.locations():
                    self.assertIn(function, read_functions(ROOT / "oakkeel" / path), path)

    def test_each_constant_exists(self):
        defined = defined_names()
        for rule in self.rules:
            for name in re.findall(r"`(\w+)`", rule.constants):
                with self.subTest(rule.name):
                    self.assertIn(name, defined)

    def test_notices_a_function_that_does_not_exist(self):
        row = "| a | `raft/elections.py`: `decide_nothing` | b | c | d | e |"
        [rule] = parse_rules(row)
        [(path, function)] = rule.locations()
        self.assertNotIn(function, read_functions(ROOT / "oakkeel" / path))


if __name__ == "__main__":
    unittest.main()
