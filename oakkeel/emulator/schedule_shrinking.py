"""Shrinking of a schedule that fails."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from oakkeel.emulator.faults import Schedule


def shrink(schedule: Schedule, fails: Callable[[Schedule], bool]) -> Schedule:
    """Leave out faults without which it still fails, one after the other, until none can be left out."""
    while True:
        for index in range(len(schedule.faults)):
            rest = schedule.faults[:index] + schedule.faults[index + 1 :]
            shorter = replace(schedule, faults=rest)
            if fails(shorter):
                schedule = shorter
                break
        else:
            return schedule
