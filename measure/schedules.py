"""Keepers and agents in simulated time under drawn schedules of troubles: does any promise break?

`--count` schedules from `--seed` on, spread over the cores; with `--releases 1` each has one or two releases
under way. A failing one is cut down, kept in a file and can be played again with `--play FILE`.
"""

from __future__ import annotations

import json
import multiprocessing
import os
import sys
import time
from functools import partial

from measure.common import SECOND, keep, options, processor, say
from oakkeel.emulator.consensus import play
from oakkeel.emulator.faults import Schedule, draw, read
from oakkeel.emulator.schedule_shrinking import shrink


def drawn(seed: int, releases: bool) -> Schedule:
    return draw(seed, releases=True, lasts=40 * SECOND) if releases else draw(seed)


def look(seed: int, releases: bool = False) -> tuple[int, list[str], list[str], int]:
    """The seed, what broke, what did not come to an end, and how much happened."""
    try:
        world, breaches = play(drawn(seed, releases))
    except Exception as error:  # a decision that failed is a breach as well
        return seed, [f"{type(error).__name__}: {error}"], [], 0
    return seed, breaches, world.stuck(), world.clock.happened


def fails(schedule: Schedule) -> bool:
    try:
        return bool(play(schedule)[1])
    except Exception:
        return True


def main() -> int:
    told = options(
        "Drawn schedules in simulated time.", count=600, seed=1, play="", out="schedule.json", releases=0
    )
    if told.play:
        with open(told.play, encoding="utf-8") as file:
            world, breaches = play(read(json.load(file)))
        for line in [*world.event_log, *breaches]:
            say(line)
        return 1 if breaches else 0
    began, broken, stuck, happened = time.monotonic(), [], [], 0
    with multiprocessing.Pool(os.cpu_count()) as pool:
        played = pool.imap_unordered(
            partial(look, releases=bool(told.releases)), range(told.seed, told.seed + told.count), chunksize=8
        )
        for done, (seed, breaches, left, count) in enumerate(played, 1):
            happened += count
            if breaches:
                broken.append((seed, breaches))
                say(f"schedule {seed}: {breaches[0]}")
            if left:
                stuck.append(seed)
                say(f"schedule {seed} did not come to an end: {left[0][:160]}")
            if done % max(1, told.count // 10) == 0:
                say(f"{done} played, {len(broken)} broken, {done / (time.monotonic() - began):.1f} a second")
    took = time.monotonic() - began
    if broken:
        less = shrink(drawn(broken[0][0], bool(told.releases)), fails)
        with open(told.out, "w", encoding="utf-8") as file:
            json.dump(less.told(), file, indent=1)
        say(f"the first, cut down to {len(less.troubles)} troubles, is in {told.out}:")
        for trouble in less.troubles:
            say(f"  {trouble}")
    keep(
        told,
        {
            "machine": processor(),
            "played": told.count,
            "broken": broken,
            "not_ended": stuck,
            "seconds": took,
            "events": happened,
        },
    )
    say(f"{processor()}; {happened / told.count:.0f} events each; {len(stuck)} did not come to an end")
    say(f"schedules: {told.count} played, {len(broken)} broken, {told.count / took:.1f} a second")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
