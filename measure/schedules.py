"""Keepers and agents in simulated time under drawn schedules of troubles: does any promise break?

`--count` schedules from `--seed` on, spread over the cores. A failing one is cut down, kept in a file and can
be played again with `--play FILE`.
"""

from __future__ import annotations

import json
import multiprocessing
import os
import sys
import time

from measure.common import keep, options, processor, say
from oakkeel.emulator.agreement import play, smallest
from oakkeel.emulator.troubles import Schedule, draw, read


def look(seed: int) -> tuple[int, list[str], list[str], int]:
    """The seed, what broke, what did not come to an end, and how much happened."""
    try:
        world, breaches = play(draw(seed))
    except Exception as error:  # a decision that failed is a breach as well
        return seed, [f"{type(error).__name__}: {error}"], [], 0
    return seed, breaches, world.stuck(), world.clock.happened


def fails(schedule: Schedule) -> bool:
    try:
        return bool(play(schedule)[1])
    except Exception:
        return True


def main() -> int:
    told = options("Drawn schedules in simulated time.", count=600, seed=1, play="", out="schedule.json")
    if told.play:
        with open(told.play, encoding="utf-8") as file:
            world, breaches = play(read(json.load(file)))
        for line in [*world.said, *breaches]:
            say(line)
        return 1 if breaches else 0
    began, broken, stuck, happened = time.monotonic(), [], [], 0
    with multiprocessing.Pool(os.cpu_count()) as pool:
        for done, (seed, breaches, left, count) in enumerate(pool.imap_unordered(
                look, range(told.seed, told.seed + told.count), chunksize=8), 1):
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
        less = smallest(draw(broken[0][0]), fails)
        with open(told.out, "w", encoding="utf-8") as file:
            json.dump(less.told(), file, indent=1)
        say(f"the first, cut down to {len(less.troubles)} troubles, is in {told.out}:")
        for trouble in less.troubles:
            say(f"  {trouble}")
    keep(told, {"machine": processor(), "played": told.count, "broken": broken, "not_ended": stuck,
                "seconds": took, "events": happened})
    say(f"{processor()}; {happened / told.count:.0f} events each; {len(stuck)} did not come to an end")
    say(f"schedules: {told.count} played, {len(broken)} broken, {told.count / took:.1f} a second")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main())
