"""Twelve instances on one machine, three killed, one stopped, under load: when is what is shown true?"""

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

from measure.common import Running, keep, options, running, say, spread
from oakkeel.fakes.dispatcher import Dispatcher
from oakkeel.fakes.site import FakeSite

HOSTS = {
    "wb1": [f"n{n}" for n in (1, 2, 3, 4)],
    "sj1": [f"n{n}" for n in (5, 6, 7, 8)],
    "be1": [f"n{n}" for n in (9, 10, 11, 12)],
}
SITES = {"wb1": "woodbrook", "sj1": "st-james", "be1": "belmont"}


async def one_round(fleet: Running, dispatcher: Dispatcher, random: Random) -> tuple[float, set[str]]:
    """Kill three and stop one; returns when all reports were true, and the four."""
    rows = {row.name: row.status.pid for row in fleet.rows() if row.status}
    chosen = random.sample(sorted(rows), 4)
    killed, quiet = {name: rows[name] for name in chosen[:3]}, chosen[3]
    for pid in killed.values():
        os.kill(pid, signal.SIGKILL)
    os.kill(rows[quiet], signal.SIGSTOP)

    def true() -> bool:
        for row in fleet.rows():
            if row.old or row.status is None:
                return False
            if row.name in killed:
                if row.status.pid == killed[row.name]:
                    return False
            elif row.name == quiet:
                if row.state not in ("silent", "stuck"):
                    return False
            elif row.state != "serving":
                return False
        return True

    took = await fleet.look_until(true, 10)
    await asyncio.sleep(1.5)  # under load: those left alone must go on losing nothing
    os.kill(rows[quiet], signal.SIGCONT)
    back = await fleet.look_until(lambda: fleet.all_in("serving"), 20)
    say(
        f"  killed {', '.join(killed)}, stopped {quiet}: reports true after {took:.2f} s,"
        f" all serving {back:.1f} s after it went on"
    )
    return took, set(chosen)


async def measure(rounds: int, rate: float, seed: int) -> dict[str, Any]:
    """Play some rounds of kills under load, and count what was lost."""
    random = Random(seed)
    with tempfile.TemporaryDirectory(prefix="oakkeel-") as folder:
        site = FakeSite(folder, HOSTS, max_unavailable=4, seed=seed, sites=SITES)
        async with running(site) as fleet:
            took = await fleet.look_until(lambda: fleet.all_in("serving"), 30)
            say(f"twelve instances on three hosts serve after {took:.1f} s")
            times, lost, answered = [], Counter[str](), 0
            for number in range(rounds):
                dispatchers = [
                    Dispatcher(each, fleet.addresses, rate / 2, seed + 10 * number + each) for each in (1, 2)
                ]
                for each in dispatchers:
                    each.start()
                await asyncio.sleep(1.0)
                time_true, touched = await one_round(fleet, dispatchers[0], random)
                times.append(time_true)
                for each in dispatchers:
                    await each.stop()
                    answered += each.answered
                    for node, counts in each.by_node.items():
                        place = "touched" if node in touched else "others"
                        lost[place] += counts["lost"] + counts["late"]
                await asyncio.sleep(0.5)
    return {
        "times_s": times,
        "lost_on_others": lost["others"],
        "lost_on_killed_and_stopped": lost["touched"],
        "answered": answered,
    }


def main() -> int:
    """Run the measurement; returns the exit code."""
    arguments = options(__doc__ or "", rounds=3, rate=120.0, seed=16)
    began = time.monotonic()
    figures = asyncio.run(measure(arguments.rounds, arguments.rate, arguments.seed))
    keep(arguments, figures)
    say(
        f"{figures['answered']} exchanges answered; lost on the others: {figures['lost_on_others']}; on those"
        f" killed and stopped: {figures['lost_on_killed_and_stopped']};"
        f" took {time.monotonic() - began:.0f} s"
    )
    say(f"reports true after {spread(figures['times_s'])} s")
    worst = max(figures["times_s"])
    say(f"fleet: 12 instances, 3 killed, 1 silent, reports true after {worst:.2f} s")
    return 1 if figures["lost_on_others"] or worst > 5 or not figures["answered"] else 0


if __name__ == "__main__":
    sys.exit(main())
