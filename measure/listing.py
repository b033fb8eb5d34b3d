"""Measures the duration of `oakkeel ls` with twelve running agents, and with one of the twelve silent."""

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

DEADLINE_S = 1.0


async def run_listing(settings: str) -> tuple[float, int, dict[str, Any]]:
    """Run `oakkeel ls`; return its duration in seconds, its exit code and its output."""
    started_at = time.monotonic()
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
    output, _ = await process.communicate()
    return time.monotonic() - started_at, process.returncode or 0, json.loads(output)


async def measure(repetitions: int) -> dict[str, Any]:
    """List the instances `repetitions` times with all agents, then as often with one silent agent."""
    with tempfile.TemporaryDirectory(prefix="oakkeel-") as folder:
        hosts = {f"h{number}": [f"n{number}"] for number in range(1, 13)}
        async with running_site(
            FakeSite(folder, hosts, SiteOptions(max_unavailable=12)), "oakkeel.fakes.crashing"
        ) as fleet:
            await fleet.wait_until(lambda: fleet.all_instances_in("serving"), 30)
            with_all_agents = [await run_listing(fleet.site.settings) for _ in range(repetitions)]
            os.kill(fleet.processes["h7"].pid, signal.SIGSTOP)
            try:
                with_silent_agent = [await run_listing(fleet.site.settings) for _ in range(repetitions)]
            finally:
                os.kill(fleet.processes["h7"].pid, signal.SIGCONT)
    is_correct = all(
        exit_code == 0 and len(output["instances"]) == 12 for _, exit_code, output in with_all_agents
    ) and all(
        exit_code == 3
        and [row["instance"] for row in output["instances"] if row["state"] == "unknown"] == ["n7"]
        for _, exit_code, output in with_silent_agent
    )
    return {
        "all_answer_s": [elapsed for elapsed, _, _ in with_all_agents],
        "one_silent_s": [elapsed for elapsed, _, _ in with_silent_agent],
        "right": is_correct,  # whether each listing had the expected exit code and instances
    }


def main() -> int:
    """Run the measurement and return the exit code."""
    arguments = parse_arguments(__doc__ or "", times=7)
    figures = asyncio.run(measure(arguments.times))
    write_figures(arguments, figures)
    print_line(
        f"all answer: {format_spread(figures['all_answer_s'])} s;"
        f" one silent: {format_spread(figures['one_silent_s'])} s"
    )
    print_line(
        f"listing: 12 agents, 1 silent, told after {max(figures['one_silent_s']):.2f} s with a deadline of"
        f" {DEADLINE_S:g} s, {'right' if figures['right'] else 'WRONG'} each time"
    )
    return 0 if figures["right"] else 1


if __name__ == "__main__":
    sys.exit(main())
