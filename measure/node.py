"""Compares the resident memory and the CPU time per request of several node variants at a steady rate.

`--before FOLDER` names a checkout (`git worktree add`) of the version to compare with, which runs with the
same interpreter and libraries. The variant `after` is this tree, `linked` is this tree with a control link
that is polled as an agent polls it, and `fair` is this tree with fair sharing.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import statistics
import sys
import tempfile
import time

from measure.common import parse_arguments, print_line, write_figures
from oakkeel.control.client import ControlClient, ControlError
from oakkeel.errors import OakkeelError
from oakkeel.fakes.dispatcher import Dispatcher
from oakkeel.fakes.site import FakeSite, SiteOptions

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
FAIR_SHARING_RULES = {
    "by": ["caller", "subject"],
    "weights": {},
    "places": 256,
    "promises": 1024,
    "half": 4_000_000_000,
    "snapshot": "",
}
PAGE_SIZE = os.sysconf("SC_PAGE_SIZE")


class NodeOutputError(OakkeelError):
    """The log of a node that was started cannot be read."""


def cpu_seconds(pid: int) -> float:
    """Return the seconds of CPU time that a process has used."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process, in MB."""
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE_SIZE / 2**20


def node_variables(tree: str, variant: str, folder: str) -> dict[str, str]:
    """Return the environment variables of a variant of the node whose files are in the folder."""
    variables = {**os.environ, "PROXY_CONFIG": os.path.join(folder, "n1.json"), "PYTHONPATH": tree}
    if variant == "fair":
        variables["OAKKEEL_TOLD"] = os.path.join(folder, "n1.told")
        with open(variables["OAKKEEL_TOLD"], "w", encoding="utf-8") as file:
            json.dump({"fair": FAIR_SHARING_RULES}, file)
    if variant == "linked":
        variables |= {"OAKKEEL_CONTROL": control_path(folder), "OAKKEEL_GENERATION": "1"}
    return variables


def control_path(folder: str) -> str:
    """Return the path of the socket of the node's control link."""
    return os.path.join(folder, "n1.sock")


async def measure_under_load(pid: int, dispatcher: Dispatcher, seconds: float) -> dict[str, float]:
    """Measure a node for some seconds, beginning a second after the start of its load."""
    await asyncio.sleep(0.5)
    dispatcher.start()
    await asyncio.sleep(1.0)
    cpu = cpu_seconds(pid)
    answered = dispatcher.answered_count
    started_at = time.monotonic()
    await asyncio.sleep(seconds)
    cpu = cpu_seconds(pid) - cpu
    answered = dispatcher.answered_count - answered
    memory = resident_mb(pid)
    elapsed = time.monotonic() - started_at
    await dispatcher.stop()
    return {
        "resident_mb": memory,
        "ms_an_exchange": 1000 * cpu / answered,  # CPU time per request
        "rate": answered / elapsed,  # answers per second
        "lost": dispatcher.counts["lost"] + dispatcher.counts["late"],
    }


async def measure_node(tree: str, variant: str, rate: float, seconds: float, seed: int) -> dict[str, float]:
    """Start a variant of the node from a tree, and measure it under load."""
    with tempfile.TemporaryDirectory(prefix="oakkeel-") as folder:
        site = FakeSite(folder, {"wb1": ["n1"]}, SiteOptions(max_unavailable=1, seed=seed, work=0.002))
        await site.open()
        variables = node_variables(tree, variant, folder)
        node = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "oakkeel", env=variables, cwd=tree, stderr=asyncio.subprocess.PIPE
        )
        if node.stderr is None:
            raise NodeOutputError("the node was started without a pipe for its log")
        line = await asyncio.wait_for(node.stderr.readline(), 20)
        address = "127.0.0.1", int(line.rsplit(b":", 1)[1])
        log_reader = asyncio.ensure_future(node.stderr.read())
        poll_task = asyncio.ensure_future(poll_status(control_path(folder))) if variant == "linked" else None
        results = await measure_under_load(
            node.pid, Dispatcher(1, lambda: {"n1": address}, rate, seed), seconds
        )
        if poll_task:
            poll_task.cancel()
        node.terminate()
        await asyncio.wait_for(node.wait(), 20)
        await log_reader
        await site.close()
        return results


async def poll_status(path: str) -> None:
    """Poll the status of a node as an agent does."""
    client = ControlClient(path)
    while True:
        with contextlib.suppress(ControlError):
            await client.status(1.0)
        await asyncio.sleep(0.2)


async def measure(before: str, rounds: int, rate: float, seconds: float) -> dict[str, list[dict[str, float]]]:
    """Measure each variant once in each round."""
    this_tree = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
    trees = {"before": before, "after": this_tree, "linked": this_tree, "fair": this_tree}
    results: dict[str, list[dict[str, float]]] = {name: [] for name, tree in trees.items() if tree}
    for round_number in range(rounds):
        for name in results:
            results[name].append(await measure_node(trees[name], name, rate, seconds, round_number + 1))
            latest = results[name][-1]
            print_line(
                f"  {name}: {latest['resident_mb']:.1f} MB, {latest['ms_an_exchange']:.3f} ms an exchange at"
                f" {latest['rate']:.0f} a second"
            )
    return results


def main() -> int:
    """Run the measurement; the exit code is 1 if requests were lost."""
    arguments = parse_arguments(__doc__ or "", before="", rounds=5, rate=150.0, seconds=8.0)
    results = asyncio.run(measure(arguments.before, arguments.rounds, arguments.rate, arguments.seconds))
    write_figures(arguments, results)
    parts = []
    for name, runs in results.items():
        memory = statistics.median(run["resident_mb"] for run in runs)
        cpu = statistics.median(run["ms_an_exchange"] for run in runs)
        parts.append(f"{name} {memory:.1f} MB {cpu:.3f} ms")
    lost = sum(run["lost"] for runs in results.values() for run in runs)
    print_line(f"node: {', '.join(parts)} an exchange, {lost} lost")
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(main())
