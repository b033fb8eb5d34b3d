"""Shrinks a failing schedule to faults that are all needed for the failure."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from oakkeel.emulator.faults import Schedule


def shrink_schedule(schedule: Schedule, fails: Callable[[Schedule], bool]) -> Schedule:
    """Remove faults one after the other while the schedule still fails, until none can be removed."""
    while True:
        for index in range(len(schedule.faults)):
            remaining_faults = schedule.faults[:index] + schedule.faults[index + 1 :]
            reduced_schedule = replace(schedule, faults=remaining_faults)
            if fails(reduced_schedule):
                schedule = reduced_schedule
                break
        else:
            return schedule
