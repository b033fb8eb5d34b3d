"""Compliant clients beside a crawler at 1, 10 and 100 times its share, on a real node, fairness off and on.

The node is real, on loopback; its engine has the cores named, so that what it can do in a second is known.
Before that, in simulated time: memory and time of the measures with 10 to 1,000,000 clients, and what other
measures would cost.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import statistics
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Callable
from typing import Any

from measure.common import parse_arguments, print_line, write_figures
from oakkeel.admission.fairness import FairSharing
from oakkeel.admission.types import FairSharingRules, Idempotency, Request, RequestClass
from oakkeel.fair_sharing.heavy_hitters import HeavyHitters
from oakkeel.fakes.load_clients import CrawlerClient, PoliteClient
from oakkeel.fakes.node_connection import Address
from oakkeel.fakes.simulated_node import fair_share, jain
from oakkeel.fakes.site import FakeSite

SECOND = 1_000_000_000
CORES, WORK = 2, 0.02  # the engine's, and seconds of a run: it can do a hundred in a second
GOOD, EACH = 10, 10.0  # compliant clients, and what each asks for in a second
GROUP = RequestClass(0, Idempotency.IDEMPOTENT, 1.0, SECOND, 4 * SECOND, 0, 0.0, 0.0)
SHARE = CORES / WORK / (GOOD + 1)


async def play(fair: bool, times: int, seconds: float, seed: int) -> dict[str, Any]:
    """Play compliant clients beside a crawler at so many times its share; return what each got."""
    with tempfile.TemporaryDirectory(prefix="oakkeel-") as folder:
        site = FakeSite(folder, {"wb1": ["n1"]}, max_unavailable=1, seed=seed, work=WORK, max_retry_after=5)
        await site.open()
        site.engines["n1"].calls = 0
        node, address = await start_node(folder, fair)
        stderr = asyncio.ensure_future(required(node.stderr).read())
        await asyncio.sleep(0.5)
        good = [PoliteClient(f"good-{number}", address, EACH, seed + number) for number in range(GOOD)]
        crawler = CrawlerClient("crawler", address, SHARE * times, seed + 99)
        clients = [*good, crawler]
        for client in clients:
            await client.start()
        await asyncio.sleep(4.0)
        for client in clients:
            client.reset_counts()
        cpu, started = cpu_of(node.pid), time.monotonic()
        await asyncio.sleep(seconds)
        took, cpu = time.monotonic() - started, cpu_of(node.pid) - cpu
        figures = obtained(good, crawler, took)
        attempts = sum(client.tries for client in clients)
        for client in clients:
            await client.stop()
        node.kill()
        await node.wait()
        await stderr
        await site.close()
        return {"fair": fair, "times": times, **figures, "cpu_ms_a_try": 1000 * cpu / max(1, attempts)}


def required(stream: asyncio.StreamReader | None) -> asyncio.StreamReader:
    """Return the stream of a process that was started with a pipe."""
    if stream is None:
        raise OSError("the node was started without a pipe for its log")
    return stream


async def start_node(folder: str, fair: bool) -> tuple[asyncio.subprocess.Process, Address]:
    """Start a node with or without fair sharing; return it and its address, as its log gives it."""
    variables = {**os.environ, "PROXY_CONFIG": os.path.join(folder, "n1.json")}
    if fair:
        path = os.path.join(folder, "n1.told")
        rules = {"by": ["client"], "weights": {}, "places": 256, "promises": 1024, "half": 4 * SECOND}
        with open(path, "w", encoding="utf-8") as file:
            json.dump({"fair": {**rules, "snapshot": ""}}, file)
        variables["OAKKEEL_TOLD"] = path
    node = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "oakkeel", env=variables, stderr=asyncio.subprocess.PIPE
    )
    line = await asyncio.wait_for(required(node.stderr).readline(), 20)
    return node, ("127.0.0.1", int(line.rsplit(b":", 1)[1]))


def obtained(good: list[PoliteClient], crawler: CrawlerClient, took: float) -> dict[str, Any]:
    """Return what each client got of its fair share in so many seconds."""
    done = [client.completed / took for client in (*good, crawler)]
    sent = [client.sent / took for client in (*good, crawler)]
    shares = fair_share(sent, max(sum(done), 1.0))
    kept = [min(1.0, got / share) for got, share in zip(done[:-1], shares[:-1], strict=True)]
    return {
        "kept_mean": statistics.mean(kept),
        "kept_least": min(kept),
        "jain": jain(done[:-1]),
        "crawler_a_second": done[-1],
        "completed_a_second": sum(done),
        "returned": sum(client.returned for client in good),
        "went_ahead": sum(client.went_ahead for client in good),
    }


def cpu_of(pid: int) -> float:
    """Return the seconds of CPU time that a process has taken."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        words = file.read().rpartition(")")[2].split()
    return (int(words[11]) + int(words[12])) / os.sysconf("SC_CLK_TCK")


class Exact:
    """A counter for each flow: what a bound on memory is measured against."""

    def __init__(self) -> None:
        """Start with nothing counted."""
        self.counts: dict[int, float] = {}

    def add(self, now: int, key: int, weight: float) -> None:
        """Count what a flow sent."""
        self.counts[key] = self.counts.get(key, 0.0) + weight


class CountMin:
    """Count-min with conservative update: four rows of 512.

    G. Cormode, S. Muthukrishnan 2005; C. Estan, G. Varghese 2002. It tells how much, but not who: it needs a
    table of the heavy ones beside it.
    """

    def __init__(self, rows: int = 4, columns: int = 512) -> None:
        """Start with nothing counted."""
        self.columns = columns
        self.rows = [[0.0] * columns for _ in range(rows)]

    def add(self, now: int, key: int, weight: float) -> None:
        """Count what a flow sent."""
        columns = [(key >> 14 * number) % self.columns for number in range(len(self.rows))]
        least = min(row[column] for row, column in zip(self.rows, columns, strict=True)) + weight
        for row, column in zip(self.rows, columns, strict=True):
            row[column] = max(row[column], least)


class HashedFlows:
    """Deficit round robin over 512 hashed queues, reduced to its counting.

    P. McKenney 1990; M. Shreedhar, G. Varghese 1995. Whoever shares a queue with a heavy one is served alike.
    """

    def __init__(self, queues: int = 512) -> None:
        """Start with nothing counted."""
        self.counts = [0.0] * queues

    def add(self, now: int, key: int, weight: float) -> None:
        """Count what a flow sent."""
        self.counts[key % len(self.counts)] += weight


def keys_of(clients: int, seed: int, count: int = 200_000) -> list[int]:
    """Return the keys that arrive: one in ten of one heavy flow, the others of any."""
    chance = random.Random(seed)
    names = [chance.getrandbits(60) for _ in range(clients)]
    return [names[0 if chance.random() < 0.1 else int(chance.random() * clients)] for _ in range(count)]


def measures(seed: int) -> list[dict[str, Any]]:
    """Measure memory and time of each kind of table."""
    kinds: dict[str, Callable[[], Any]] = {
        "space-saving, 256": lambda: HeavyHitters(256, 4 * SECOND),
        "exact": Exact,
        "count-min, 4 x 512": CountMin,
        "hashed flows, 512": HashedFlows,
    }
    rows = []
    for clients in (10, 10_000, 1_000_000):
        keys = keys_of(clients, seed)
        for name, make in kinds.items():
            table = make()
            started = time.perf_counter_ns()
            for number, key in enumerate(keys):
                table.add(number * 100_000, key, 1.0)
            spent = time.perf_counter_ns() - started
            tracemalloc.start()
            again = make()
            for number, key in enumerate(keys):
                again.add(number * 100_000, key, 1.0)
            memory = tracemalloc.get_traced_memory()[0]
            tracemalloc.stop()
            rows.append(
                {"clients": clients, "measure": name, "kb": memory / 1024, "us": spent / len(keys) / 1e3}
            )
    return rows


def decisions(seed: int) -> list[dict[str, Any]]:
    """Measure `FairSharing.arrive` in all, with the shares allocated five times a second."""
    rows = []
    for clients in (10, 1_000_000):
        fair = FairSharing(FairSharingRules(("tenant", "client"), {}), True, random.Random(seed).random)
        requests = [
            Request(
                GROUP,
                None,
                0,
                10.0,
                False,
                0,
                0,
                False,
                False,
                flow_keys=((1 + key % 7, b"tenant"), (key, b"client")),
            )
            for key in keys_of(clients, seed, 100_000)
        ]
        started = time.perf_counter_ns()
        for number, request in enumerate(requests):
            fair.arrive(number * 1_000_000, request, 20e6, 4.0)
        rows.append({"clients": clients, "us": (time.perf_counter_ns() - started) / len(requests) / 1e3})
    return rows


def main() -> int:
    """Measure, print and record; 1 where compliant clients or reservations come off too badly."""
    arguments = parse_arguments(__doc__ or "", seconds=10.0, rounds=2, seed=17)
    sizes = measures(arguments.seed)
    for row in sizes:
        print_line(
            f"  {row['clients']:9,} clients, {row['measure']}: {row['kb']:.0f} KB,"
            f" {row['us']:.2f} us an exchange"
        )
    decided = decisions(arguments.seed)
    for row in decided:
        print_line(
            f"  {row['clients']:9,} clients: {row['us']:.1f} us to decide of an exchange, at 1,000 a second"
        )
    days = []
    for number in range(arguments.rounds):
        for times in (1, 10, 100):
            for fair in (False, True):
                days.append(asyncio.run(play(fair, times, arguments.seconds, arguments.seed + number)))
                day = days[-1]
                print_line(
                    f"  crawler at {times} times its share, {'fair' if fair else 'before'}: kept"
                    f" {day['kept_mean']:.3f} (least {day['kept_least']:.3f}), Jain {day['jain']:.3f},"
                    f" crawler {day['crawler_a_second']:.1f} of {day['completed_a_second']:.0f} a second,"
                    f" as told {day['went_ahead']} of {day['returned']}, {day['cpu_ms_a_try']:.2f} ms a try"
                )
    write_figures(arguments, {"measures": sizes, "decisions": decided, "days": days})
    fair_days = [day for day in days if day["fair"]]
    kept = min(day["kept_mean"] for day in fair_days)
    returned = sum(day["returned"] for day in fair_days)
    ahead = sum(day["went_ahead"] for day in fair_days) / max(1, returned)
    before = min(day["kept_mean"] for day in days if not day["fair"])
    print_line(f"before: compliant clients keep {100 * before:.1f} % of it on the worst day")
    print_line(
        f"fair: compliant clients keep {100 * kept:.1f} % of their fair share,"
        f" promises kept {100 * ahead:.1f} %"
    )
    return 1 if kept < 0.9 or ahead < 0.95 or not returned else 0


if __name__ == "__main__":
    sys.exit(main())
