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

from measure.common import format_spread, parse_arguments, print_line, running_site, write_figures
from oakkeel.fakes.site import FakeSite, SiteOptions

DEADLINE = 1.0


async def run_listing(settings: str) -> tuple[float, int, dict[str, Any]]:
    """Run `oakkeel ls`; returns the seconds that it took, its exit code and its output."""
    started = time.monotonic()
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
        stdout=asyncio.subprocess.PIPE,
    )
    out, _ = await process.communicate()
    return time.monotonic() - started, process.returncode or 0, json.loads(out)


async def measure(times: int) -> dict[str, Any]:
    """List `times` times with all agents, and as often with one of them silent."""
    with tempfile.TemporaryDirectory(prefix="oakkeel-") as folder:
        hosts = {f"h{number}": [f"n{number}"] for number in range(1, 13)}
        async with running_site(
            FakeSite(folder, hosts, SiteOptions(max_unavailable=12)), "oakkeel.fakes.crashing"
        ) as fleet:
            await fleet.wait_until(lambda: fleet.all_in("serving"), 30)
            complete = [await run_listing(fleet.site.settings) for _ in range(times)]
            os.kill(fleet.processes["h7"].pid, signal.SIGSTOP)
            try:
                silent = [await run_listing(fleet.site.settings) for _ in range(times)]
            finally:
                os.kill(fleet.processes["h7"].pid, signal.SIGCONT)
    correct = all(code == 0 and len(out["instances"]) == 12 for _, code, out in complete) and all(
        code == 3 and [row["instance"] for row in out["instances"] if row["state"] == "unknown"] == ["n7"]
        for _, code, out in silent
    )
    return {
        "all_answer_s": [took for took, _, _ in complete],
        "one_silent_s": [took for took, _, _ in silent],
        "right": correct,
    }


def main() -> int:
    """Run the measurement; returns the exit code."""
    arguments = parse_arguments(__doc__ or "", times=7)
    figures = asyncio.run(measure(arguments.times))
    write_figures(arguments, figures)
    print_line(
        f"all answer: {format_spread(figures['all_answer_s'])} s;"
        f" one silent: {format_spread(figures['one_silent_s'])} s"
    )
    print_line(
        f"listing: 12 agents, 1 silent, told after {max(figures['one_silent_s']):.2f} s with a deadline of"
        f" {DEADLINE:g} s, {'right' if figures['right'] else 'WRONG'} each time"
    )
    return 0 if figures["right"] else 1


if __name__ == "__main__":
    sys.exit(main())
