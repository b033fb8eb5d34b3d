"""One node, before and after, alternately: resident memory and CPU a request at a steady rate.

`--before FOLDER` is a checkout of the version to compare with (`git worktree add`); it runs with the same
interpreter and libraries. `after` is this tree, `linked` the same with its control link open and polled as
by an agent.
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

TICKS = os.sysconf("SC_CLK_TCK")
FAIR = {
    "by": ["caller", "subject"],
    "weights": {},
    "places": 256,
    "promises": 1024,
    "half": 4_000_000_000,
    "snapshot": "",
}
PAGE = os.sysconf("SC_PAGE_SIZE")


class NodeOutputError(OakkeelError):
    """A node was started whose log can't be read."""


def cpu_seconds(pid: int) -> float:
    """Return the seconds of CPU time that a process has used."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process, in MB."""
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE / 2**20


def node_variables(tree: str, kind: str, folder: str) -> dict[str, str]:
    """Return the environment of a node of that kind, whose files are in the folder."""
    variables = {**os.environ, "PROXY_CONFIG": os.path.join(folder, "n1.json"), "PYTHONPATH": tree}
    if kind == "fair":
        variables["OAKKEEL_TOLD"] = os.path.join(folder, "n1.told")
        with open(variables["OAKKEEL_TOLD"], "w", encoding="utf-8") as file:
            json.dump({"fair": FAIR}, file)
    if kind == "linked":
        variables |= {"OAKKEEL_CONTROL": control_path(folder), "OAKKEEL_GENERATION": "1"}
    return variables


def control_path(folder: str) -> str:
    """Return the path of the socket of the node's control link."""
    return os.path.join(folder, "n1.sock")


async def load_node(pid: int, dispatcher: Dispatcher, seconds: float) -> dict[str, float]:
    """Measure a node for some seconds, from a second after its load begins."""
    await asyncio.sleep(0.5)
    dispatcher.start()
    await asyncio.sleep(1.0)
    cpu = cpu_seconds(pid)
    answered = dispatcher.answered
    started = time.monotonic()
    await asyncio.sleep(seconds)
    cpu = cpu_seconds(pid) - cpu
    answered = dispatcher.answered - answered
    resident = resident_mb(pid)
    elapsed = time.monotonic() - started
    await dispatcher.stop()
    return {
        "resident_mb": resident,
        "ms_an_exchange": 1000 * cpu / answered,
        "rate": answered / elapsed,
        "lost": dispatcher.counts["lost"] + dispatcher.counts["late"],
    }


async def measure_node(tree: str, kind: str, rate: float, seconds: float, seed: int) -> dict[str, float]:
    """Start a node of that kind from a tree, and measure it under load."""
    with tempfile.TemporaryDirectory(prefix="oakkeel-") as folder:
        site = FakeSite(folder, {"wb1": ["n1"]}, SiteOptions(max_unavailable=1, seed=seed, work=0.002))
        await site.open()
        variables = node_variables(tree, kind, folder)
        node = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "oakkeel", env=variables, cwd=tree, stderr=asyncio.subprocess.PIPE
        )
        if node.stderr is None:
            raise NodeOutputError("the node was started without a pipe for its log")
        line = await asyncio.wait_for(node.stderr.readline(), 20)
        address = "127.0.0.1", int(line.rsplit(b":", 1)[1])
        log_reader = asyncio.ensure_future(node.stderr.read())
        polling = asyncio.ensure_future(poll_status(control_path(folder))) if kind == "linked" else None
        found = await load_node(node.pid, Dispatcher(1, lambda: {"n1": address}, rate, seed), seconds)
        if polling:
            polling.cancel()
        node.terminate()
        await asyncio.wait_for(node.wait(), 20)
        await log_reader
        await site.close()
        return found


async def poll_status(path: str) -> None:
    """Ask for the status of a node as an agent does."""
    client = ControlClient(path)
    while True:
        with contextlib.suppress(ControlError):
            await client.status(1.0)
        await asyncio.sleep(0.2)


async def measure(before: str, rounds: int, rate: float, seconds: float) -> dict[str, list[dict[str, float]]]:
    """Measure each kind once a round."""
    here = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
    kinds = {"before": before, "after": here, "linked": here, "fair": here}
    found: dict[str, list[dict[str, float]]] = {name: [] for name, tree in kinds.items() if tree}
    for number in range(rounds):
        for name in found:
            found[name].append(await measure_node(kinds[name], name, rate, seconds, number + 1))
            last = found[name][-1]
            print_line(
                f"  {name}: {last['resident_mb']:.1f} MB, {last['ms_an_exchange']:.3f} ms an exchange at"
                f" {last['rate']:.0f} a second"
            )
    return found


def main() -> int:
    """Run the measurement; 1 if requests were lost."""
    arguments = parse_arguments(__doc__ or "", before="", rounds=5, rate=150.0, seconds=8.0)
    found = asyncio.run(measure(arguments.before, arguments.rounds, arguments.rate, arguments.seconds))
    write_figures(arguments, found)
    parts = []
    for name, rows in found.items():
        resident = statistics.median(row["resident_mb"] for row in rows)
        cpu = statistics.median(row["ms_an_exchange"] for row in rows)
        parts.append(f"{name} {resident:.1f} MB {cpu:.3f} ms")
    lost = sum(row["lost"] for rows in found.values() for row in rows)
    print_line(f"node: {', '.join(parts)} an exchange, {lost} lost")
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(main())
