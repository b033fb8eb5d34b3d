"""Stories of the run of all stories: what is known to fail is passed over, printed, and no more than that."""

import os
import subprocess
import sys
import tempfile
import textwrap
import unittest
from pathlib import Path

STORIES = """
    import unittest

    class Stories(unittest.TestCase):
        def test_good(self):
            pass

        def test_bad(self):
            self.fail("as ever")

        def test_worse(self):
            raise OSError
"""
BAD, WORSE, GOOD = (f"some.test_some.Stories.test_{word}" for word in ("bad", "worse", "good"))


class KnownRedStories(unittest.TestCase):
    def play(self, *lines: str, stories: str = STORIES) -> tuple[int, str]:
        """The run of three stories, one of them good, with these lines in the list."""
        with tempfile.TemporaryDirectory() as folder:
            some = Path(folder, "some")
            some.mkdir()
            (some / "__init__.py").touch()
            (some / "test_some.py").write_text(textwrap.dedent(stories))
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

    def test_without_a_list_each_failure_counts(self):
        code, said = self.play()
        self.assertEqual(code, 1)
        self.assertIn("1 passed, 2 failed, 0 skipped", said)

    def test_those_listed_are_passed_over_and_printed(self):
        code, said = self.play(f"{BAD} | the engine says it twice | 34", "", f"{WORSE} | a full disk | 28")
        self.assertEqual(code, 0)
        self.assertIn(f"known red: {BAD}: the engine says it twice (issue 34)", said)
        self.assertIn(f"known red: {WORSE}: a full disk (issue 28)", said)
        self.assertIn("1 passed, 0 failed, 0 skipped", said)

    def test_just_those_are(self):
        code, said = self.play(f"{BAD} | the engine says it twice | 34")
        self.assertEqual(code, 1)
        self.assertIn("1 passed, 1 failed, 0 skipped", said)

    def test_one_that_passes_again_fails_the_run(self):
        code, said = self.play(f"{BAD} | a | 34", f"{WORSE} | b | 34", f"{GOOD} | c | 34")
        self.assertEqual(code, 1)
        self.assertIn(f"listed as known red, but it passes: {GOOD}", said)

    def test_a_list_that_is_too_long_wrong_or_of_others_fails_the_run(self):
        row = f"{BAD} | a | 34"
        for lines, why in (
            ([f"{BAD}{n} | a | 34" for n in range(4)], "at most 3"),
            ([BAD], "line 1"),
            ([row, f"{WORSE} |  | 34"], "line 2"),
            ([row, row], "twice"),
            (["some.test_some.Stories.test_gone | a | 34"], "no story some.test_some"),
        ):
            code, said = self.play(*lines)
            self.assertEqual(code, 1)
            self.assertIn(why, said)
            self.assertNotIn("passed", said)

    def test_a_run_of_nothing_and_a_file_that_does_not_load_fail(self):
        self.assertEqual(self.play(stories="")[0], 1)
        self.assertEqual(self.play(stories="raise ValueError")[0], 1)


if __name__ == "__main__":
    unittest.main()
