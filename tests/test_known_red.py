"""The run of all tests: what is known to fail is passed over, printed, and no more than that."""

import os
import subprocess
import sys
import tempfile
import textwrap
import unittest
from pathlib import Path

SOURCE = """
    import unittest

    class SomeTest(unittest.TestCase):
        def test_good(self):
            pass

        def test_bad(self):
            self.fail("as ever")

        def test_worse(self):
            raise OSError
"""
BAD, WORSE, GOOD = (f"some.test_some.SomeTest.test_{word}" for word in ("bad", "worse", "good"))


class KnownRedTest(unittest.TestCase):
    def run_tests(self, *lines: str, source: str = SOURCE) -> tuple[int, str]:
        """Run three tests, one of them good, with these lines in the list; return exit code and output."""
        with tempfile.TemporaryDirectory() as folder:
            some = Path(folder, "some")
            some.mkdir()
            (some / "__init__.py").touch()
            (some / "test_some.py").write_text(textwrap.dedent(source))
            if lines:
                Path(folder, "KNOWN-RED.txt").write_text("\n".join(lines) + "\n")
            run = (
                f"from pathlib import Path; from tests.known_red import run; "
                f"raise SystemExit(run(Path({str(some)!r}), Path({folder!r})))"
            )
            root = str(Path(__file__).resolve().parent.parent)
            done = subprocess.run(
                [sys.executable, "-c", run],
                capture_output=True,
                text=True,
                timeout=60,
                env={**os.environ, "PYTHONPATH": root},
            )
            return done.returncode, done.stdout + done.stderr

    def test_counts_each_failure_without_a_list(self):
        code, output = self.run_tests()
        self.assertEqual(code, 1)
        self.assertIn("1 passed, 2 failed, 0 skipped", output)

    def test_passes_over_and_prints_listed_tests(self):
        code, output = self.run_tests(
            f"{BAD} | the engine says it twice | 34", "", f"{WORSE} | a full disk | 28"
        )
        self.assertEqual(code, 0)
        self.assertIn(f"known red: {BAD}: the engine says it twice (issue 34)", output)
        self.assertIn(f"known red: {WORSE}: a full disk (issue 28)", output)
        self.assertIn("1 passed, 0 failed, 0 skipped", output)

    def test_fails_for_a_failure_that_is_not_listed(self):
        code, output = self.run_tests(f"{BAD} | the engine says it twice | 34")
        self.assertEqual(code, 1)
        self.assertIn("1 passed, 1 failed, 0 skipped", output)

    def test_fails_for_a_listed_test_that_passes(self):
        code, output = self.run_tests(f"{BAD} | a | 34", f"{WORSE} | b | 34", f"{GOOD} | c | 34")
        self.assertEqual(code, 1)
        self.assertIn(f"listed as known red, but it passes: {GOOD}", output)

    def test_fails_for_a_list_that_is_too_long_unreadable_or_names_no_test(self):
        row = f"{BAD} | a | 34"
        for lines, why in (
            ([f"{BAD}{n} | a | 34" for n in range(4)], "at most 3"),
            ([BAD], "line 1"),
            ([row, f"{WORSE} |  | 34"], "line 2"),
            ([row, row], "twice"),
            (["some.test_some.SomeTest.test_gone | a | 34"], "no test some.test_some"),
        ):
            code, output = self.run_tests(*lines)
            self.assertEqual(code, 1)
            self.assertIn(why, output)
            self.assertNotIn("passed", output)

    def test_fails_for_no_tests_and_for_a_file_that_does_not_load(self):
        self.assertEqual(self.run_tests(source="")[0], 1)
        self.assertEqual(self.run_tests(source="raise ValueError")[0], 1)


if __name__ == "__main__":
    unittest.main()
