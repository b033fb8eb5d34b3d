"""One node, before and after, in turn: resident memory and CPU an exchange at a steady rate.

`--before FOLDER` is a checkout of the version to compare with (`git worktree add`); it runs with the same
interpreter and libraries. `after` is this tree, `linked` the same with its control link open and asked as
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

from measure.common import keep, options, say
from oakkeel.control.client import ControlClient, ControlError
from oakkeel.fakes.dispatcher import Dispatcher
from oakkeel.fakes.site import FakeSite

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


def cpu_of(pid: int) -> float:
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        words = file.read().rpartition(")")[2].split()
    return (int(words[11]) + int(words[12])) / TICKS


def resident_of(pid: int) -> float:
    with open(f"/proc/{pid}/statm", encoding="ascii") as file:
        return int(file.read().split()[1]) * PAGE / 2**20


async def one(tree: str, kind: str, rate: float, seconds: float, seed: int) -> dict[str, float]:
    with tempfile.TemporaryDirectory(prefix="oakkeel-") as folder:
        site = FakeSite(folder, {"wb1": ["n1"]}, away=1, seed=seed, work=0.002)
        await site.open()
        variables = {**os.environ, "PROXY_CONFIG": os.path.join(folder, "n1.json"), "PYTHONPATH": tree}
        path = os.path.join(folder, "n1.sock")
        linked = kind == "linked"
        if kind == "fair":
            variables["OAKKEEL_TOLD"] = os.path.join(folder, "n1.told")
            with open(variables["OAKKEEL_TOLD"], "w", encoding="utf-8") as file:
                json.dump({"fair": FAIR}, file)
        if linked:
            variables |= {"OAKKEEL_CONTROL": path, "OAKKEEL_GENERATION": "1"}
        node = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "oakkeel", env=variables, cwd=tree, stderr=asyncio.subprocess.PIPE
        )
        assert node.stderr is not None
        line = await asyncio.wait_for(node.stderr.readline(), 20)
        address = "127.0.0.1", int(line.rsplit(b":", 1)[1])
        reading = asyncio.ensure_future(node.stderr.read())
        asking = asyncio.ensure_future(ask(path)) if linked else None
        dispatcher = Dispatcher(1, lambda: {"n1": address}, rate, seed)
        await asyncio.sleep(0.5)
        dispatcher.start()
        await asyncio.sleep(1.0)
        cpu, answered, began = cpu_of(node.pid), dispatcher.answered, time.monotonic()
        await asyncio.sleep(seconds)
        cpu, answered = cpu_of(node.pid) - cpu, dispatcher.answered - answered
        resident, took = resident_of(node.pid), time.monotonic() - began
        await dispatcher.stop()
        if asking:
            asking.cancel()
        node.terminate()
        await asyncio.wait_for(node.wait(), 20)
        await reading
        await site.close()
        return {
            "resident_mb": resident,
            "ms_an_exchange": 1000 * cpu / answered,
            "rate": answered / took,
            "lost": dispatcher.counts["lost"] + dispatcher.counts["late"],
        }


async def ask(path: str) -> None:
    client = ControlClient(path)
    while True:
        with contextlib.suppress(ControlError):
            await client.status(1.0)
        await asyncio.sleep(0.2)


async def measure(before: str, rounds: int, rate: float, seconds: float) -> dict[str, list[dict]]:
    here = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
    kinds = {"before": before, "after": here, "linked": here, "fair": here}
    found: dict[str, list[dict]] = {name: [] for name, tree in kinds.items() if tree}
    for number in range(rounds):
        for name in found:
            found[name].append(await one(kinds[name], name, rate, seconds, number + 1))
            last = found[name][-1]
            say(
                f"  {name}: {last['resident_mb']:.1f} MB, {last['ms_an_exchange']:.3f} ms an exchange at"
                f" {last['rate']:.0f} a second"
            )
    return found


def main() -> int:
    told = options(__doc__ or "", before="", rounds=5, rate=150.0, seconds=8.0)
    found = asyncio.run(measure(told.before, told.rounds, told.rate, told.seconds))
    keep(told, found)
    words = []
    for name, rows in found.items():
        resident = statistics.median(row["resident_mb"] for row in rows)
        cpu = statistics.median(row["ms_an_exchange"] for row in rows)
        words.append(f"{name} {resident:.1f} MB {cpu:.3f} ms")
    lost = sum(row["lost"] for rows in found.values() for row in rows)
    say(f"node: {', '.join(words)} an exchange, {lost} lost")
    return 1 if lost else 0


if __name__ == "__main__":
    sys.exit(main())
