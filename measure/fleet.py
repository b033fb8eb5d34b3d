"""Measures how soon the status of twelve instances is correct after three are killed and one is suspended.

The instances are under load throughout, and the requests lost are counted.
"""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import tempfile
import time
from collections import Counter
from random import Random
from typing import Any

from measure.common import (
    RunningSite,
    format_spread,
    parse_arguments,
    print_line,
    running_site,
    write_figures,
)
from oakkeel.fakes.dispatcher import Dispatcher
from oakkeel.fakes.site import FakeSite, SiteOptions

HOSTS = {
    "wb1": [f"n{number}" for number in (1, 2, 3, 4)],
    "sj1": [f"n{number}" for number in (5, 6, 7, 8)],
    "be1": [f"n{number}" for number in (9, 10, 11, 12)],
}
SITES = {"wb1": "woodbrook", "sj1": "st-james", "be1": "belmont"}


async def kill_and_suspend(fleet: RunningSite, random: Random) -> tuple[float, set[str]]:
    """Kill three instances and suspend one; return the seconds until a correct status, and the names."""
    pids = {row.name: row.status.pid for row in fleet.rows() if row.status}
    chosen_names = random.sample(sorted(pids), 4)
    killed_pids = {name: pids[name] for name in chosen_names[:3]}
    suspended_name = chosen_names[3]
    for pid in killed_pids.values():
        os.kill(pid, signal.SIGKILL)
    os.kill(pids[suspended_name], signal.SIGSTOP)

    def is_status_correct() -> bool:
        for row in fleet.rows():
            if row.is_stale or row.status is None:
                return False
            if row.name in killed_pids:
                if row.status.pid == killed_pids[row.name]:
                    return False
            elif row.name == suspended_name:
                if row.state not in ("silent", "stuck"):
                    return False
            elif row.state != "serving":
                return False
        return True

    elapsed = await fleet.wait_until(is_status_correct, 10)
    await asyncio.sleep(1.5)  # under load: the other instances must not lose a request
    os.kill(pids[suspended_name], signal.SIGCONT)
    resumed_after = await fleet.wait_until(lambda: fleet.all_instances_in("serving"), 20)
    print_line(
        f"  killed {', '.join(killed_pids)}, stopped {suspended_name}: reports true after {elapsed:.2f} s,"
        f" all serving {resumed_after:.1f} s after it went on"
    )
    return elapsed, set(chosen_names)


async def measure(rounds: int, rate: float, seed: int) -> dict[str, Any]:
    """Kill and suspend instances under load for some rounds, and count the lost requests."""
    random = Random(seed)
    with tempfile.TemporaryDirectory(prefix="oakkeel-") as folder:
        site = FakeSite(folder, HOSTS, SiteOptions(max_unavailable=4, seed=seed, sites=SITES))
        async with running_site(site) as fleet:
            elapsed = await fleet.wait_until(lambda: fleet.all_instances_in("serving"), 30)
            print_line(f"twelve instances on three hosts serve after {elapsed:.1f} s")
            detection_times = []
            lost = Counter[str]()
            answered = 0
            for number in range(rounds):
                dispatchers = [
                    Dispatcher(index, fleet.addresses, rate / 2, seed + 10 * number + index)
                    for index in (1, 2)
                ]
                for dispatcher in dispatchers:
                    dispatcher.start()
                await asyncio.sleep(1.0)
                elapsed, affected_names = await kill_and_suspend(fleet, random)
                detection_times.append(elapsed)
                for dispatcher in dispatchers:
                    await dispatcher.stop()
                    answered += dispatcher.answered_count
                    for node, counts in dispatcher.counts_by_node.items():
                        group = "touched" if node in affected_names else "others"
                        lost[group] += counts["lost"] + counts["late"]
                await asyncio.sleep(0.5)
    return {
        "times_s": detection_times,
        "lost_on_others": lost["others"],
        "lost_on_killed_and_stopped": lost["touched"],
        "answered": answered,
    }


def main() -> int:
    """Run the measurement and return the exit code."""
    arguments = parse_arguments(__doc__ or "", rounds=3, rate=120.0, seed=16)
    started_at = time.monotonic()
    figures = asyncio.run(measure(arguments.rounds, arguments.rate, arguments.seed))
    write_figures(arguments, figures)
    print_line(
        f"{figures['answered']} exchanges answered; lost on the others: {figures['lost_on_others']}; on those"
        f" killed and stopped: {figures['lost_on_killed_and_stopped']};"
        f" took {time.monotonic() - started_at:.0f} s"
    )
    print_line(f"reports true after {format_spread(figures['times_s'])} s")
    max_detection_time = max(figures["times_s"])
    print_line(f"fleet: 12 instances, 3 killed, 1 silent, reports true after {max_detection_time:.2f} s")
    return 1 if figures["lost_on_others"] or max_detection_time > 5 or not figures["answered"] else 0


if __name__ == "__main__":
    sys.exit(main())
