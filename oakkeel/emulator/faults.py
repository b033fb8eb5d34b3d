"""Schedules of faults and operators' actions: drawn from a seed, stored in files and replayed."""

from __future__ import annotations

from dataclasses import asdict, dataclass
from random import Random
from typing import Any

from oakkeel.units import MS, SECOND

FAULT_KINDS = (
    "kill",  # SIGKILL of the agent and the replica of a host
    "kill in a step",  # the same, before or after the next write of the replica
    "stop",  # SIGSTOP of the agent and the replica of a host
    "stop in a step",  # the same, at the next response that grants a permit
    "power",  # a host loses power: its instances end too
    "lose the file",  # a host loses the files of its replica and its agent
    "old file",  # a backup of the replica's file is restored
    "full disk",
    "cut",  # a host is disconnected from one other host or from all
    "cut one way",  # the messages of a host, or those to it, are lost
    "part",  # the network is partitioned in two
    "slow links",
    "loss",  # some messages are lost
    "double",  # messages are duplicated
    "die",  # the process of an instance ends
    "die all of a site",  # the processes of all instances of a host end
    "clock",  # the clock of a host runs at another rate
    "kill all",  # "kill" on all hosts
)
# Combinations that stress one mechanism. Half of the schedules draw their faults from one combination only.
FAULT_COMBINATIONS = (
    ("kill", "kill in a step", "kill all", "slow links", "loss"),
    ("part", "cut", "cut one way", "stop"),
    ("lose the file", "old file", "kill", "power"),
    ("stop", "stop in a step", "cut one way", "die"),
    ("full disk", "kill in a step", "power"),
    ("die", "die all of a site", "kill all", "part"),
)
RELEASE_ACTIONS = ("pause", "resume", "abort", "undo", "leave", "restart", "drain", "cancel")
# An action that is listed twice is drawn twice as often.
OPERATOR_ACTIONS = (
    "drain",
    "drain whole",  # an atomic order
    "restart",
    "stop it",  # an order that stops instances
    "start",
    "start",
    "halt",
    "cancel",
    "cancel",
    "keepers",  # changes the voters
)
FAULT_DURATIONS_NS = ((40 * MS, 150 * MS, 700 * MS), (150 * MS, 700 * MS, 1500 * MS, 4 * SECOND))
DEFAULT_DURATION_NS = 22 * SECOND
# Keys in schedule files, by name of the field, where the two differ.
FAULT_KEYS = {"subject": "who", "other": "to", "duration": "lasts", "intensity": "size"}
SCHEDULE_KEYS = {"voters": "keepers", "budget": "bound", "faults": "troubles", "duration": "lasts"}


@dataclass(slots=True, frozen=True)
class Fault:
    """A fault or an operators' action.

    `subject` and `other` select a host, an instance or a variant of the action by their remainder modulo the
    number of choices.
    """

    at: int  # in nanoseconds, like all times
    kind: str
    subject: int = 0
    other: int = 0
    duration: int = 0
    intensity: float = 0.0  # from 0 to 1


@dataclass(slots=True, frozen=True)
class Schedule:
    """The fleet, faults and operators' actions drawn for one simulation."""

    seed: int
    voters: int
    hosts: int
    instances: int  # per host
    sites: int
    budget: int  # maximum unavailable targets per site
    faults: tuple[Fault, ...]
    duration: int = DEFAULT_DURATION_NS

    def to_json(self) -> dict[str, Any]:
        """Return the content of a schedule file."""
        content = _rename_keys(asdict(self), SCHEDULE_KEYS)
        content["troubles"] = tuple(_rename_keys(fault, FAULT_KEYS) for fault in content["troubles"])
        return content


def schedule_from_json(content: dict[str, Any]) -> Schedule:
    """Return the schedule with the content of a schedule file."""
    fields = _rename_keys(content, {key: name for name, key in SCHEDULE_KEYS.items()})
    names_by_key = {key: name for name, key in FAULT_KEYS.items()}
    fields["faults"] = tuple(Fault(**_rename_keys(fault, names_by_key)) for fault in fields["faults"])
    return Schedule(**fields)


def _rename_keys(values: dict[str, Any], names: dict[str, str]) -> dict[str, Any]:
    return {names.get(name, name): value for name, value in values.items()}


def draw_schedule(
    seed: int,
    max_faults: int = 9,
    max_actions: int = 8,
    duration: int = DEFAULT_DURATION_NS,
    releases: bool = False,
) -> Schedule:
    """Draw a schedule whose faults and actions all start in the first half of its duration.

    With `releases`, the schedule also starts one or two releases.
    """
    random = Random(seed)
    voters = random.choice((3, 3, 5))
    hosts = voters + random.randrange(2)
    faults: list[Fault] = []
    kinds = random.choice(FAULT_COMBINATIONS) if random.random() < 0.5 else FAULT_KINDS
    durations = random.choice(FAULT_DURATIONS_NS)
    for _ in range(random.randint(1, max_faults)):
        faults.append(_draw_fault(random, (2 * SECOND, duration // 2), kinds, durations))
    for _ in range(random.randint(2, max_actions)):
        faults.append(_draw_fault(random, (2 * SECOND, duration // 2), OPERATOR_ACTIONS))
    if releases:
        for _ in range(random.randint(1, 2)):
            faults.append(_draw_fault(random, (SECOND, duration // 3), "release"))
        for _ in range(random.randint(0, 3)):
            faults.append(_draw_fault(random, (2 * SECOND, duration // 2), RELEASE_ACTIONS))
    faults.sort(key=lambda fault: fault.at)
    instances = random.randint(1, 2)
    sites = random.randint(1, 2)
    budget = random.randint(1, 2)
    return Schedule(seed, voters, hosts, instances, sites, budget, tuple(faults), duration)


def _draw_fault(
    random: Random, period: tuple[int, int], kinds: tuple[str, ...] | str, durations: tuple[int, ...] = ()
) -> Fault:
    """Draw one fault or action; the order of the draws determines the schedule of a seed."""
    return Fault(
        random.randrange(*period),
        kinds if isinstance(kinds, str) else random.choice(kinds),
        random.randrange(100),
        random.randrange(100),
        random.choice(durations) if durations else 0,
        random.random(),
    )
