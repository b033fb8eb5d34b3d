"""Checks the invariants of replicas and agents in simulated time under random schedules of faults.

Runs `--count` schedules on all cores, with consecutive seeds from `--seed` on. With `--releases 1`, one or
two releases are in progress in each schedule. The first failing schedule is shrunk and written to a file;
`--play FILE` replays the file.
"""

from __future__ import annotations

import json
import multiprocessing
import os
import sys
import time
from dataclasses import dataclass, field
from functools import partial

from measure.common import describe_machine, parse_arguments, print_line, write_figures
from oakkeel.emulator.consensus import run_schedule
from oakkeel.emulator.faults import Schedule, draw_schedule, schedule_from_json
from oakkeel.emulator.schedule_shrinking import shrink_schedule
from oakkeel.units import SECOND

RELEASE_DURATION_NS = 40 * SECOND


@dataclass(slots=True)
class PlayedSchedule:
    """Result of one random schedule."""

    seed: int
    breaches: list[str] = field(default_factory=list)
    unconverged: list[str] = field(default_factory=list)  # conditions that do not hold at the end
    events: int = 0


@dataclass(slots=True)
class Totals:
    """Results of the schedules run so far."""

    played: int = 0
    events: int = 0
    failed: list[tuple[int, list[str]]] = field(default_factory=list)  # seeds and breaches
    unconverged: list[int] = field(default_factory=list)  # seeds

    def record(self, result: PlayedSchedule) -> None:
        """Count and print the result of one schedule."""
        self.played += 1
        self.events += result.events
        if result.breaches:
            self.failed.append((result.seed, result.breaches))
            print_line(f"schedule {result.seed}: {result.breaches[0]}")
        if result.unconverged:
            self.unconverged.append(result.seed)
            print_line(f"schedule {result.seed} did not come to an end: {result.unconverged[0][:160]}")


def schedule_for_seed(seed: int, releases: bool) -> Schedule:
    """Return the random schedule of a seed."""
    return (
        draw_schedule(seed, releases=True, duration=RELEASE_DURATION_NS) if releases else draw_schedule(seed)
    )


def play_seed(seed: int, releases: bool = False) -> PlayedSchedule:
    """Run the schedule of a seed."""
    try:
        simulation, breaches = run_schedule(schedule_for_seed(seed, releases))
    except Exception as error:  # an exception in the code under test counts as a breach
        return PlayedSchedule(seed, [f"{type(error).__name__}: {error}"])
    return PlayedSchedule(
        seed, breaches, simulation.convergence_failures(), simulation.clock.events_processed
    )


def breaks_invariant(schedule: Schedule) -> bool:
    """Return whether a schedule breaks an invariant or raises an exception."""
    try:
        return bool(run_schedule(schedule)[1])
    except Exception:
        return True


def replay(path: str) -> int:
    """Run a schedule file and print its events; the exit code is 1 if an invariant is broken."""
    with open(path, encoding="utf-8") as file:
        simulation, breaches = run_schedule(schedule_from_json(json.load(file)))
    for line in [*simulation.event_log, *breaches]:
        print_line(line)
    return 1 if breaches else 0


def play_all(seeds: range, releases: bool) -> Totals:
    """Run the schedules of the seeds on all cores."""
    totals = Totals()
    started_at = time.monotonic()
    with multiprocessing.Pool(os.cpu_count()) as pool:
        for result in pool.imap_unordered(partial(play_seed, releases=releases), seeds, chunksize=8):
            totals.record(result)
            if totals.played % max(1, len(seeds) // 10) == 0:
                rate = totals.played / (time.monotonic() - started_at)
                print_line(f"{totals.played} played, {len(totals.failed)} broken, {rate:.1f} a second")
    return totals


def write_shrunk_schedule(schedule: Schedule, path: str) -> None:
    """Shrink a failing schedule and write it to a file."""
    shrunk = shrink_schedule(schedule, breaks_invariant)
    with open(path, "w", encoding="utf-8") as file:
        json.dump(shrunk.to_json(), file, indent=1)
    print_line(f"the first, cut down to {len(shrunk.faults)} faults, is in {path}:")
    for fault in shrunk.faults:
        print_line(f"  {fault}")


def main() -> int:
    """Run the schedules that the command line requests; the exit code is 1 if an invariant is broken."""
    arguments = parse_arguments(
        "Runs random schedules of faults in simulated time.",
        count=600,
        seed=1,
        play="",
        out="schedule.json",
        releases=0,
    )
    if arguments.play:
        return replay(arguments.play)
    started_at = time.monotonic()
    releases = bool(arguments.releases)
    totals = play_all(range(arguments.seed, arguments.seed + arguments.count), releases)
    seconds = time.monotonic() - started_at
    if totals.failed:
        write_shrunk_schedule(schedule_for_seed(totals.failed[0][0], releases), arguments.out)
    figures = {
        "machine": describe_machine(),
        "played": arguments.count,
        "broken": totals.failed,  # seeds and breaches of the schedules that broke an invariant
        "not_ended": totals.unconverged,  # seeds of the schedules that did not converge
        "seconds": seconds,
        "events": totals.events,
    }
    write_figures(arguments, figures)
    events = totals.events / arguments.count
    print_line(
        f"{describe_machine()}; {events:.0f} events each; {len(totals.unconverged)} did not come to an end"
    )
    rate = arguments.count / seconds
    print_line(f"schedules: {arguments.count} played, {len(totals.failed)} broken, {rate:.1f} a second")
    return 1 if totals.failed else 0


if __name__ == "__main__":
    sys.exit(main())
