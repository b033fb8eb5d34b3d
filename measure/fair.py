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

from measure.common import keep, options, say
from oakkeel.admission.fairness import FairSharing
from oakkeel.admission.types import FairSharingRules, Idempotency, Request, RequestClass
from oakkeel.fair_sharing.heavy_hitters import HeavyHitters
from oakkeel.fakes.load_clients import CrawlerClient, PoliteClient
from oakkeel.fakes.simulated_node import fair_share, jain
from oakkeel.fakes.site import FakeSite

SECOND = 1_000_000_000
CORES, WORK = 2, 0.02  # the engine's, and seconds of a run: it can do a hundred in a second
GOOD, EACH = 10, 10.0  # compliant clients, and what each asks for in a second
GROUP = RequestClass(0, Idempotency.IDEMPOTENT, 1.0, SECOND, 4 * SECOND, 0, 0.0, 0.0)
SHARE = CORES / WORK / (GOOD + 1)


async def one(fair: bool, times: int, seconds: float, seed: int) -> dict:
    with tempfile.TemporaryDirectory(prefix="oakkeel-") as folder:
        site = FakeSite(folder, {"wb1": ["n1"]}, away=1, seed=seed, work=WORK, most_return=5)
        await site.open()
        engine = site.engines["n1"]
        engine.calls = 0
        variables = {**os.environ, "PROXY_CONFIG": os.path.join(folder, "n1.json")}
        if fair:
            told = os.path.join(folder, "n1.told")
            with open(told, "w", encoding="utf-8") as file:
                json.dump(
                    {
                        "fair": {
                            "by": ["client"],
                            "weights": {},
                            "places": 256,
                            "promises": 1024,
                            "half": 4 * SECOND,
                            "snapshot": "",
                        }
                    },
                    file,
                )
            variables["OAKKEEL_TOLD"] = told
        node = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "oakkeel", env=variables, stderr=asyncio.subprocess.PIPE
        )
        assert node.stderr is not None
        line = await asyncio.wait_for(node.stderr.readline(), 20)
        address = "127.0.0.1", int(line.rsplit(b":", 1)[1])
        reading = asyncio.ensure_future(node.stderr.read())
        await asyncio.sleep(0.5)
        good = [PoliteClient(f"good-{number}", address, EACH, seed + number) for number in range(GOOD)]
        crawler = CrawlerClient("crawler", address, SHARE * times, seed + 99)
        for each in (*good, crawler):
            await each.start()
        await asyncio.sleep(4.0)
        for each in (*good, crawler):
            each.begin()
        cpu, began = cpu_of(node.pid), time.monotonic()
        await asyncio.sleep(seconds)
        took, cpu = time.monotonic() - began, cpu_of(node.pid) - cpu
        done = [each.completed / took for each in (*good, crawler)]
        sent = [each.sent / took for each in (*good, crawler)]
        shares = fair_share(sent, max(sum(done), 1.0))
        returns, ahead = sum(each.returned for each in good), sum(each.went_ahead for each in good)
        tries = sum(each.tries for each in (*good, crawler))
        for each in (*good, crawler):
            await each.stop()
        node.kill()
        await node.wait()
        await reading
        await site.close()
        kept = [min(1.0, got / share) for got, share in zip(done[:-1], shares[:-1], strict=True)]
        return {
            "fair": fair,
            "times": times,
            "kept_mean": statistics.mean(kept),
            "kept_least": min(kept),
            "jain": jain(done[:-1]),
            "crawler_a_second": done[-1],
            "completed_a_second": sum(done),
            "returned": returns,
            "went_ahead": ahead,
            "cpu_ms_a_try": 1000 * cpu / max(1, tries),
        }


def cpu_of(pid: int) -> float:
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        words = file.read().rpartition(")")[2].split()
    return (int(words[11]) + int(words[12])) / os.sysconf("SC_CLK_TCK")


# The measures alone.


class Exact:
    """A counter for each sender: what a bound on memory is measured against."""

    def __init__(self) -> None:
        self.counts: dict[int, float] = {}

    def add(self, now: int, key: int, weight: float) -> None:
        self.counts[key] = self.counts.get(key, 0.0) + weight


class CountMin:
    """Count-min with conservative update: four rows of 512 (G. Cormode, S. Muthukrishnan 2005; C. Estan,
    G. Varghese 2002). It tells how much, but not who: it needs a table of the heavy ones beside it."""

    def __init__(self, rows: int = 4, columns: int = 512) -> None:
        self.columns = columns
        self.rows = [[0.0] * columns for _ in range(rows)]

    def add(self, now: int, key: int, weight: float) -> None:
        places = [(key >> 14 * number) % self.columns for number in range(len(self.rows))]
        least = min(row[place] for row, place in zip(self.rows, places, strict=True)) + weight
        for row, place in zip(self.rows, places, strict=True):
            row[place] = max(row[place], least)


class HashedFlows:
    """Deficit round robin over 512 hashed queues, reduced to its counting (P. McKenney 1990; M. Shreedhar,
    G. Varghese 1995): whoever shares a queue with a heavy one is served as it is."""

    def __init__(self, queues: int = 512) -> None:
        self.counts = [0.0] * queues

    def add(self, now: int, key: int, weight: float) -> None:
        self.counts[key % len(self.counts)] += weight


def keys_of(clients: int, seed: int, count: int = 200_000) -> list[int]:
    """What arrives: one in ten by one heavy sender, the others by any."""
    chance = random.Random(seed)
    names = [chance.getrandbits(60) for _ in range(clients)]
    return [names[0 if chance.random() < 0.1 else int(chance.random() * clients)] for _ in range(count)]


def measures(seed: int) -> list[dict]:
    kinds: dict[str, Callable] = {
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
            began = time.perf_counter_ns()
            for number, key in enumerate(keys):
                table.add(number * 100_000, key, 1.0)
            spent = time.perf_counter_ns() - began
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


def decisions(seed: int) -> list[dict]:
    """What `Fairness.arrive` takes in all, the shares looked over five times a second among it."""
    rows = []
    for clients in (10, 1_000_000):
        fair = FairSharing(FairSharingRules(("tenant", "client"), {}), True, random.Random(seed).random)
        exchanges = [
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
        began = time.perf_counter_ns()
        for number, request in enumerate(exchanges):
            fair.arrive(number * 1_000_000, request, 20e6, 4.0)
        rows.append({"clients": clients, "us": (time.perf_counter_ns() - began) / len(exchanges) / 1e3})
    return rows


def main() -> int:
    told = options(__doc__ or "", seconds=10.0, rounds=2, seed=17)
    sizes = measures(told.seed)
    for row in sizes:
        say(
            f"  {row['clients']:9,} clients, {row['measure']}: {row['kb']:.0f} KB,"
            f" {row['us']:.2f} us an exchange"
        )
    whole = decisions(told.seed)
    for row in whole:
        say(f"  {row['clients']:9,} clients: {row['us']:.1f} us to decide of an exchange, at 1,000 a second")
    days = []
    for number in range(told.rounds):
        for times in (1, 10, 100):
            for fair in (False, True):
                days.append(asyncio.run(one(fair, times, told.seconds, told.seed + number)))
                day = days[-1]
                say(
                    f"  crawler at {times} times its share, {'fair' if fair else 'before'}: kept"
                    f" {day['kept_mean']:.3f} (least {day['kept_least']:.3f}), Jain {day['jain']:.3f},"
                    f" crawler {day['crawler_a_second']:.1f} of {day['completed_a_second']:.0f} a second,"
                    f" as told {day['went_ahead']} of {day['returned']}, {day['cpu_ms_a_try']:.2f} ms a try"
                )
    keep(told, {"measures": sizes, "decisions": whole, "days": days})
    fair_days = [day for day in days if day["fair"]]
    kept = min(day["kept_mean"] for day in fair_days)
    returned = sum(day["returned"] for day in fair_days)
    ahead = sum(day["went_ahead"] for day in fair_days) / max(1, returned)
    before = min(day["kept_mean"] for day in days if not day["fair"])
    say(f"before: compliant clients keep {100 * before:.1f} % of it on the worst day")
    say(
        f"fair: compliant clients keep {100 * kept:.1f} % of their fair share,"
        f" promises kept {100 * ahead:.1f} %"
    )
    return 1 if kept < 0.9 or ahead < 0.95 or not returned else 0


if __name__ == "__main__":
    sys.exit(main())
