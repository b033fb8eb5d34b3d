"""What is believed of a fleet whose agents answer late, never, or out of order. Free of I/O.

Each fact has its age and its source. The age counts from when the question was sent, so it is never told too
young; it grows until a later question is answered. What is older than `OLD` is called old, whatever it says.
"""

from __future__ import annotations

from dataclasses import dataclass

from oakkeel.agent.messages import HostStatus, InstanceStatus
from oakkeel.settings.types import Fleet, HostSettings, InstanceSettings

SECOND = 1_000_000_000
OLD = 3 * SECOND
OUT = frozenset({"stopped", "starting", "cold", "draining", "silent", "stuck", "failing", "unknown"})


@dataclass(slots=True, eq=False)
class HostFact:
    """The last that an agent told."""

    asked_at: int
    told: HostStatus


@dataclass(slots=True, frozen=True)
class Row:
    """One instance as it is shown."""

    name: str
    site: str
    host: str
    state: str  # a phase, or unknown where its agent never answered
    old: bool  # the state is that of `age` ago, and nothing later is known
    age: int  # nanoseconds; -1: nothing was ever told
    report_age: int  # of what the instance itself told; -1: nothing
    source: str  # who told
    told: InstanceStatus | None

    @property
    def shown(self) -> str:
        """The state, called old where it is."""
        return f"old: {self.state}" if self.old else self.state

    @property
    def out(self) -> bool:
        """Not known to serve."""
        return self.old or self.state in OUT


class FleetView:
    """All instances of the settings, with what their agents told."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.facts: dict[str, HostFact] = {}
        self.silent: dict[str, str] = {}  # hosts whose agent did not answer the last question, and why

    def told(self, host: str, asked_at: int, told: HostStatus) -> None:
        """An answer to a question sent at that time; one to an earlier question changes nothing."""
        if told.host != host:
            self.silent[host] = f"the agent of {told.host} answers in its place"
            return
        known = self.facts.get(host)
        if known and known.asked_at >= asked_at:
            return
        self.facts[host] = HostFact(asked_at, told)
        self.silent.pop(host, None)

    def unanswered(self, host: str, why: str) -> None:
        self.silent[host] = why

    def rows(self, now: int) -> list[Row]:
        return [self._row(now, host, instance) for host in self.fleet.hosts for instance in host.instances]

    def _row(self, now: int, host: HostSettings, instance: InstanceSettings) -> Row:
        fact = self.facts.get(host.name)
        found = fact and next((each for each in fact.told.instances if each.name == instance.name), None)
        if fact is None or not found:
            return Row(
                instance.name,
                host.site,
                host.name,
                "unknown",
                False,
                -1,
                -1,
                f"agent of {host.name}" if fact else "nobody",
                None,
            )
        age = now - fact.asked_at
        report_age = age + found.report_age if found.report_age >= 0 else -1
        return Row(
            instance.name,
            host.site,
            host.name,
            found.phase,
            age > OLD,
            age,
            report_age,
            f"agent of {host.name}",
            found,
        )

    def notes(self) -> list[str]:
        """What an operator should know beside the rows."""
        lines = [f"agent of {host}: {why}" for host, why in sorted(self.silent.items())]
        for host, fact in sorted(self.facts.items()):
            lines += [f"agent of {host}: {note}" for note in fact.told.notes]
            ahead = fact.told.unix_time - self.unix_at(fact)
            if self.unix and abs(ahead) > 2 * SECOND:
                lines.append(f"agent of {host}: its clock is {ahead / SECOND:+.0f} s from ours")
        return lines

    unix = 0  # our own clock less the monotonic one, where it is known

    def unix_at(self, fact: HostFact) -> int:
        return self.unix + fact.asked_at
