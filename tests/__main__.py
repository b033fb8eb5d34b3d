"""`python -m tests` from the root: every test."""

import sys
from pathlib import Path

from tests.known_red import run

if __name__ == "__main__":
    folder = Path(__file__).resolve().parent
    sys.exit(run(folder, folder.parent))
