"""The run of all tests, with the few that are known to fail for a real fault that is not mended yet.

`KNOWN-RED.txt` at the root has a line for each such test: its name as unittest prints it, the cause and
the issue, split by ` | `. They run like the others, are expected to fail, and are printed. The run fails if
one of them passes, a line can't be read or names no test, or more are listed than may be.
"""

from __future__ import annotations

import sys
import unittest
from pathlib import Path
from typing import NamedTuple

MAX_KNOWN_RED = 3


class KnownRed(NamedTuple):
    test: str
    cause: str
    issue: str


def read(path: Path) -> list[KnownRed]:
    """Raises ValueError, which says in a line what is wrong with the list. There may be no file."""
    if not path.exists():
        return []
    rows = []
    for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
        if not line.strip():
            continue
        words = [word.strip() for word in line.split(" | ")]
        if len(words) != 3 or not all(words):
            raise ValueError(f"{path.name}, line {number}: no test, cause and issue, split by ' | '")
        rows.append(KnownRed(*words))
    if len(rows) > MAX_KNOWN_RED:
        raise ValueError(f"{path.name}: {len(rows)} tests are listed, at most {MAX_KNOWN_RED} may be")
    if len({row.test for row in rows}) < len(rows):
        raise ValueError(f"{path.name}: a test is listed twice")
    return rows


def tests_of(suite: unittest.TestSuite) -> list[unittest.TestCase]:
    found: list[unittest.TestCase] = []
    for each in suite:
        found += tests_of(each) if isinstance(each, unittest.TestSuite) else [each]
    return found


def run(folder: Path, top: Path) -> int:
    """Run all tests of a folder; returns the exit code."""
    suite = unittest.defaultTestLoader.discover(str(folder), top_level_dir=str(top))
    by_name = {each.id(): each for each in tests_of(suite)}
    try:
        rows = read(top / "KNOWN-RED.txt")
        if unknown := [row.test for row in rows if row.test not in by_name]:
            raise ValueError(f"KNOWN-RED.txt: there is no test {unknown[0]}")
    except ValueError as error:
        print(error, file=sys.stderr)
        return 1
    for row in rows:
        by_name[row.test].__unittest_expecting_failure__ = True  # type: ignore[attr-defined]
    result = unittest.TextTestRunner(verbosity=2).run(suite)
    for row in rows:
        print(f"known red: {row.test}: {row.cause} (issue {row.issue})")
    for each in result.unexpectedSuccesses:
        print(f"listed as known red, but it passes: {each.id()}")
    bad = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    skipped = len(result.skipped)
    passed = result.testsRun - bad - skipped - len(result.expectedFailures)
    print(f"{max(0, passed)} passed, {bad} failed, {skipped} skipped")
    return 0 if result.wasSuccessful() and result.testsRun else 1
