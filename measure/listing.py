"""`oakkeel ls` over twelve agents, one of them silent: how long until the table is there?"""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
import tempfile
import time
from typing import Any

from measure.common import keep, options, running, say, spread
from oakkeel.fakes.site import FakeSite

DEADLINE = 1.0


async def listed(settings: str, *words: str) -> tuple[float, int, dict[str, Any]]:
    """Run `oakkeel ls`; returns the seconds that it took, its exit code and its output."""
    began = time.monotonic()
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "oakkeel",
        "ls",
        "--settings",
        settings,
        "--as",
        "asha",
        "--deadline",
        "1s",
        "--output",
        "json",
        *words,
        stdout=asyncio.subprocess.PIPE,
    )
    out, _ = await process.communicate()
    return time.monotonic() - began, process.returncode or 0, json.loads(out)


async def measure(times: int) -> dict[str, Any]:
    """List some times with all agents, and with one of them silent."""
    with tempfile.TemporaryDirectory(prefix="oakkeel-") as folder:
        hosts = {f"h{number}": [f"n{number}"] for number in range(1, 13)}
        async with running(FakeSite(folder, hosts, max_unavailable=12), "oakkeel.fakes.crashing") as fleet:
            await fleet.look_until(lambda: fleet.all_in("serving"), 30)
            whole = [await listed(fleet.site.settings) for _ in range(times)]
            os.kill(fleet.processes["h7"].pid, signal.SIGSTOP)
            try:
                silent = [await listed(fleet.site.settings) for _ in range(times)]
            finally:
                os.kill(fleet.processes["h7"].pid, signal.SIGCONT)
    right = all(code == 0 and len(out["instances"]) == 12 for _, code, out in whole) and all(
        code == 3 and [row["instance"] for row in out["instances"] if row["state"] == "unknown"] == ["n7"]
        for _, code, out in silent
    )
    return {
        "all_answer_s": [took for took, _, _ in whole],
        "one_silent_s": [took for took, _, _ in silent],
        "right": right,
    }


def main() -> int:
    """Run the measurement; returns the exit code."""
    arguments = options(__doc__ or "", times=7)
    figures = asyncio.run(measure(arguments.times))
    keep(arguments, figures)
    say(f"all answer: {spread(figures['all_answer_s'])} s; one silent: {spread(figures['one_silent_s'])} s")
    say(
        f"listing: 12 agents, 1 silent, told after {max(figures['one_silent_s']):.2f} s with a deadline of"
        f" {DEADLINE:g} s, {'right' if figures['right'] else 'WRONG'} each time"
    )
    return 0 if figures["right"] else 1


if __name__ == "__main__":
    sys.exit(main())
