"""Troubles among keepers and agents as plain data: drawn by a seed, kept in a file, played again."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from random import Random
from typing import Any

MS = 1_000_000
SECOND = 1000 * MS
KINDS = (
    "kill",
    "kill in a step",
    "stop",
    "stop in a step",
    "power",
    "lose the file",
    "old file",
    "full disk",
    "cut",
    "cut one way",
    "part",
    "slow links",
    "loss",
    "double",
    "die",
    "die all of a site",
    "clock",
    "kill all",
)
# What goes together badly: half of the schedules draw from one of these alone.
THEMES = (
    ("kill", "kill in a step", "kill all", "slow links", "loss"),
    ("part", "cut", "cut one way", "stop"),
    ("lose the file", "old file", "kill", "power"),
    ("stop", "stop in a step", "cut one way", "die"),
    ("full disk", "kill in a step", "power"),
    ("die", "die all of a site", "kill all", "part"),
)
RELEASE_ACTS = ("pause", "resume", "abort", "undo", "leave", "restart", "drain", "cancel")
ACTS = ("drain", "drain whole", "restart", "stop it", "start", "start", "halt", "cancel", "cancel", "keepers")


@dataclass(slots=True, frozen=True)
class Fault:
    """`who` and `to` are numbers of hosts or things, taken modulo how many there are."""

    at: int
    kind: str
    who: int = 0
    to: int = 0
    lasts: int = 0  # nanoseconds
    size: float = 0.0


@dataclass(slots=True, frozen=True)
class Schedule:
    """All that is drawn of one play."""

    seed: int
    keepers: int
    hosts: int
    instances: int  # a host
    sites: int
    bound: int  # a site
    troubles: tuple[Fault, ...]
    lasts: int = 22 * SECOND

    def told(self) -> dict[str, Any]:
        return asdict(self)


def read(told: dict[str, Any]) -> Schedule:
    """The other way of `Schedule.told`."""
    return Schedule(**{**told, "troubles": tuple(Fault(**each) for each in told["troubles"])})


def draw(
    seed: int, faults: int = 9, acts: int = 8, lasts: int = 22 * SECOND, releases: bool = False
) -> Schedule:
    """A schedule of so many troubles and orders; the second half of the time is free of them. `releases`: of
    one or two of them under way."""
    random = Random(seed)
    keepers = random.choice((3, 3, 5))
    hosts = keepers + random.randrange(2)
    found = []
    kinds = random.choice(THEMES) if random.random() < 0.5 else KINDS
    waits = random.choice(((40 * MS, 150 * MS, 700 * MS), (150 * MS, 700 * MS, 1500 * MS, 4 * SECOND)))
    for _ in range(random.randint(1, faults)):
        found.append(
            Fault(
                random.randrange(2 * SECOND, lasts // 2),
                random.choice(kinds),
                random.randrange(100),
                random.randrange(100),
                random.choice(waits),
                random.random(),
            )
        )
    for _ in range(random.randint(2, acts)):
        found.append(
            Fault(
                random.randrange(2 * SECOND, lasts // 2),
                random.choice(ACTS),
                random.randrange(100),
                random.randrange(100),
                0,
                random.random(),
            )
        )
    if releases:
        for _ in range(random.randint(1, 2)):
            found.append(
                Fault(
                    random.randrange(SECOND, lasts // 3),
                    "release",
                    random.randrange(100),
                    random.randrange(100),
                    0,
                    random.random(),
                )
            )
        for _ in range(random.randint(0, 3)):
            found.append(
                Fault(
                    random.randrange(2 * SECOND, lasts // 2),
                    random.choice(RELEASE_ACTS),
                    random.randrange(100),
                    random.randrange(100),
                    0,
                    random.random(),
                )
            )
    found.sort(key=lambda each: each.at)
    return Schedule(
        seed,
        keepers,
        hosts,
        random.randint(1, 2),
        random.randint(1, 2),
        random.randint(1, 2),
        tuple(found),
        lasts,
    )
