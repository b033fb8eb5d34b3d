"""Measures the service of clients beside a crawler at 1, 10 and 100 times its share, fairness off and on.

The node runs as a process on loopback; its engine has a fixed number of cores, so that its capacity is known.
First, the memory and the time of the heavy-hitter table and of other sketches are measured with 10 to
1,000,000 clients and simulated arrival times.
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
from oakkeel.fakes.load_clients import CompliantClient, NonCompliantClient
from oakkeel.fakes.node_connection import Address
from oakkeel.fakes.simulated_node import jain_index, max_min_shares
from oakkeel.fakes.site import FakeSite, SiteOptions
from oakkeel.units import SECOND

# A request takes WORK_S seconds of one of the engine's cores: the capacity is 100 requests a second.
CORES = 2
WORK_S = 0.02
COMPLIANT_CLIENTS = 10
CLIENT_RATE = 10.0  # requests a second of each compliant client
REQUEST_CLASS = RequestClass(0, Idempotency.IDEMPOTENT, 1.0, SECOND, 4 * SECOND, 0, 0.0, 0.0)
# Fair share of each compliant client and of the crawler, in requests a second.
FAIR_RATE = CORES / WORK_S / (COMPLIANT_CLIENTS + 1)


async def measure_crawler(with_fairness: bool, multiple: int, seconds: float, seed: int) -> dict[str, Any]:
    """Run compliant clients beside a crawler at a multiple of its share; return the figures."""
    with tempfile.TemporaryDirectory(prefix="oakkeel-") as folder:
        site = FakeSite(
            folder, {"wb1": ["n1"]}, SiteOptions(max_unavailable=1, seed=seed, work=WORK_S, max_retry_after=5)
        )
        await site.open()
        site.engines["n1"].runs_per_call = 0
        node, address = await start_node(folder, with_fairness)
        log_reader = asyncio.ensure_future(require_stream(node.stderr).read())
        await asyncio.sleep(0.5)
        compliant = [
            CompliantClient(f"good-{i}", address, CLIENT_RATE, seed + i) for i in range(COMPLIANT_CLIENTS)
        ]
        crawler = NonCompliantClient("crawler", address, FAIR_RATE * multiple, seed + 99)
        clients = [*compliant, crawler]
        for client in clients:
            await client.start()
        await asyncio.sleep(4.0)
        for client in clients:
            client.reset_counts()
        cpu = cpu_seconds(node.pid)
        started_at = time.monotonic()
        await asyncio.sleep(seconds)
        elapsed = time.monotonic() - started_at
        cpu = cpu_seconds(node.pid) - cpu
        figures = compute_shares(compliant, crawler, elapsed)
        attempts = sum(client.attempts for client in clients)
        for client in clients:
            await client.stop()
        node.kill()
        await node.wait()
        await log_reader
        await site.close()
        return {
            "fair": with_fairness,
            "times": multiple,  # rate of the crawler as a multiple of its share
            **figures,
            "cpu_ms_a_try": 1000 * cpu / max(1, attempts),  # CPU time of the node per attempt
        }


def require_stream(stream: asyncio.StreamReader | None) -> asyncio.StreamReader:
    """Return the stream of a process that was started with a pipe."""
    if stream is None:
        raise OSError("the node was started without a pipe for its log")
    return stream


async def start_node(folder: str, with_fairness: bool) -> tuple[asyncio.subprocess.Process, Address]:
    """Start a node with or without fair sharing; return the process, and the address from its log."""
    variables = {**os.environ, "PROXY_CONFIG": os.path.join(folder, "n1.json")}
    if with_fairness:
        path = os.path.join(folder, "n1.told")
        rules = {"by": ["client"], "weights": {}, "places": 256, "promises": 1024, "half": 4 * SECOND}
        with open(path, "w", encoding="utf-8") as file:
            json.dump({"fair": {**rules, "snapshot": ""}}, file)
        variables["OAKKEEL_TOLD"] = path
    node = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "oakkeel", env=variables, stderr=asyncio.subprocess.PIPE
    )
    line = await asyncio.wait_for(require_stream(node.stderr).readline(), 20)
    return node, ("127.0.0.1", int(line.rsplit(b":", 1)[1]))


def compute_shares(
    compliant: list[CompliantClient], crawler: NonCompliantClient, elapsed: float
) -> dict[str, Any]:
    """Return the figures of the shares that the clients obtained in `elapsed` seconds."""
    completed_rates = [client.completed / elapsed for client in (*compliant, crawler)]
    sent_rates = [client.sent / elapsed for client in (*compliant, crawler)]
    fair_rates = max_min_shares(sent_rates, max(sum(completed_rates), 1.0))
    obtained_shares = [
        min(1.0, rate / fair_rate)
        for rate, fair_rate in zip(completed_rates[:-1], fair_rates[:-1], strict=True)
    ]
    return {
        # Fractions of their fair shares that the compliant clients obtained.
        "kept_mean": statistics.mean(obtained_shares),
        "kept_least": min(obtained_shares),
        "jain": jain_index(completed_rates[:-1]),  # Jain's fairness index of the compliant clients
        "crawler_a_second": completed_rates[-1],
        "completed_a_second": sum(completed_rates),
        "returned": sum(client.reserved_retries for client in compliant),  # retries at a reserved time
        # completed ones of these retries
        "went_ahead": sum(client.admitted_reserved_retries for client in compliant),
    }


def cpu_seconds(pid: int) -> float:
    """Return the seconds of CPU time that a process has used."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


class ExactCounts:
    """A counter for each flow: the baseline for the tables of bounded memory."""

    def __init__(self) -> None:
        """Start with all counts at zero."""
        self.counts: dict[int, float] = {}

    def add(self, now: int, key: int, weight: float) -> None:
        """Add the weight of a request of a flow."""
        self.counts[key] = self.counts.get(key, 0.0) + weight


class CountMin:
    """Count-min sketch with conservative update: four rows of 512 counters.

    G. Cormode, S. Muthukrishnan 2005; C. Estan, G. Varghese 2002. The sketch
    estimates counts but does not list flows: finding the heavy hitters needs a second table.
    """

    def __init__(self, rows: int = 4, columns: int = 512) -> None:
        """Start with all counts at zero."""
        self.columns = columns
        self.rows = [[0.0] * columns for _ in range(rows)]

    def add(self, now: int, key: int, weight: float) -> None:
        """Add the weight of a request of a flow."""
        columns = [(key >> 14 * number) % self.columns for number in range(len(self.rows))]
        smallest = min(row[column] for row, column in zip(self.rows, columns, strict=True)) + weight
        for row, column in zip(self.rows, columns, strict=True):
            row[column] = max(row[column], smallest)


class HashedFlows:
    """The request counts of deficit round robin over 512 hashed queues.

    P. McKenney 1990; M. Shreedhar, G. Varghese 1995. All flows in the queue of a heavy hitter get
    the same service as the heavy hitter.
    """

    def __init__(self, queues: int = 512) -> None:
        """Start with all counts at zero."""
        self.counts = [0.0] * queues

    def add(self, now: int, key: int, weight: float) -> None:
        """Add the weight of a request of a flow."""
        self.counts[key % len(self.counts)] += weight


def random_keys(clients: int, seed: int, count: int = 200_000) -> list[int]:
    """Return random flow keys of requests: one in ten from one heavy flow, the rest from random flows."""
    generator = random.Random(seed)
    flow_keys = [generator.getrandbits(60) for _ in range(clients)]
    return [
        flow_keys[0 if generator.random() < 0.1 else int(generator.random() * clients)] for _ in range(count)
    ]


def measure_sketches(seed: int) -> list[dict[str, Any]]:
    """Measure memory and time of each type of table."""
    table_types: dict[str, Callable[[], Any]] = {
        "space-saving, 256": lambda: HeavyHitters(256, 4 * SECOND),
        "exact": ExactCounts,
        "count-min, 4 x 512": CountMin,
        "hashed flows, 512": HashedFlows,
    }
    measurements = []
    for clients in (10, 10_000, 1_000_000):
        keys = random_keys(clients, seed)
        for name, make_table in table_types.items():
            table = make_table()
            started_at = time.perf_counter_ns()
            for number, key in enumerate(keys):
                table.add(number * 100_000, key, 1.0)
            elapsed = time.perf_counter_ns() - started_at
            tracemalloc.start()
            traced_table = make_table()
            for number, key in enumerate(keys):
                traced_table.add(number * 100_000, key, 1.0)
            memory = tracemalloc.get_traced_memory()[0]
            tracemalloc.stop()
            measurements.append(
                {"clients": clients, "measure": name, "kb": memory / 1024, "us": elapsed / len(keys) / 1e3}
            )
    return measurements


def measure_decisions(seed: int) -> list[dict[str, Any]]:
    """Measure the whole of `FairSharing.arrive`, with the shares allocated five times a second."""
    rows = []
    for clients in (10, 1_000_000):
        fair_sharing = FairSharing(
            FairSharingRules(("tenant", "client"), {}), True, random.Random(seed).random
        )
        requests = [
            Request(
                REQUEST_CLASS,
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
            for key in random_keys(clients, seed, 100_000)
        ]
        started_at = time.perf_counter_ns()
        for number, request in enumerate(requests):
            fair_sharing.arrive(number * 1_000_000, request, 20e6, 4.0)
        rows.append({"clients": clients, "us": (time.perf_counter_ns() - started_at) / len(requests) / 1e3})
    return rows


def print_costs(sketch_costs: list[dict[str, Any]], decisions: list[dict[str, Any]]) -> None:
    """Print memory and time of the sketches, and time of the decisions."""
    for row in sketch_costs:
        print_line(
            f"  {row['clients']:9,} clients, {row['measure']}: {row['kb']:.0f} KB,"
            f" {row['us']:.2f} us a request"
        )
    for row in decisions:
        print_line(
            f"  {row['clients']:9,} clients: {row['us']:.1f} us to decide a request, at 1,000 a second"
        )


def measure_crawlers(rounds: int, seconds: float, seed: int) -> list[dict[str, Any]]:
    """Measure crawlers of three rates, without and with fair sharing, for some rounds."""
    runs = []
    for number in range(rounds):
        for multiple in (1, 10, 100):
            for with_fairness in (False, True):
                run = asyncio.run(measure_crawler(with_fairness, multiple, seconds, seed + number))
                runs.append(run)
                print_line(
                    f"  crawler at {multiple} times its share, {'fair' if with_fairness else 'before'}:"
                    f" kept {run['kept_mean']:.3f} (least {run['kept_least']:.3f}), Jain {run['jain']:.3f},"
                    f" crawler {run['crawler_a_second']:.1f} of {run['completed_a_second']:.0f} a second,"
                    f" as promised {run['went_ahead']} of {run['returned']},"
                    f" {run['cpu_ms_a_try']:.2f} ms a try"
                )
    return runs


def main() -> int:
    """Run the measurement; the exit code is 1 if compliant clients or reservations are served too badly."""
    arguments = parse_arguments(__doc__ or "", seconds=10.0, rounds=2, seed=17)
    sketch_costs = measure_sketches(arguments.seed)
    decisions = measure_decisions(arguments.seed)
    print_costs(sketch_costs, decisions)
    runs = measure_crawlers(arguments.rounds, arguments.seconds, arguments.seed)
    write_figures(arguments, {"measures": sketch_costs, "decisions": decisions, "days": runs})
    fair_runs = [run for run in runs if run["fair"]]
    obtained_share = min(run["kept_mean"] for run in fair_runs)
    returned = sum(run["returned"] for run in fair_runs)
    promises_kept = sum(run["went_ahead"] for run in fair_runs) / max(1, returned)
    unfair_share = min(run["kept_mean"] for run in runs if not run["fair"])
    print_line(f"before: compliant clients keep {100 * unfair_share:.1f} % of it in the worst run")
    print_line(
        f"fair: compliant clients keep {100 * obtained_share:.1f} % of their fair share,"
        f" promises kept {100 * promises_kept:.1f} %"
    )
    return 1 if obtained_share < 0.9 or promises_kept < 0.95 or not returned else 0


if __name__ == "__main__":
    sys.exit(main())
