"""State shared by all parts of a simulated fleet: schedule, true time, random source and audits."""

from __future__ import annotations

from random import Random

from oakkeel.disruption.timeouts import PermitTimeouts
from oakkeel.disruption.topology import BudgetGroup, Topology
from oakkeel.emulator.clock import Clock
from oakkeel.emulator.faults import Schedule
from oakkeel.invariants.consensus import ConsensusAudit
from oakkeel.invariants.rollout import RolloutAudit
from oakkeel.units import SECOND

PERMIT_TIMEOUTS = PermitTimeouts()
# Time after which every leader has detected the failure of a target and counts it as unavailable.
OBSERVATION_TIME_NS = PERMIT_TIMEOUTS.expiry_ns + PERMIT_TIMEOUTS.max_agent_silence_ns + 2 * SECOND


class World:
    """The hosts and instances of a schedule by name, the clock, the audits and the event log."""

    def __init__(self, schedule: Schedule) -> None:
        """Create the names, topology and audits of the fleet of a schedule; no host runs yet."""
        self.schedule = schedule
        self.clock = Clock()
        self.random = Random(schedule.seed)
        self.names = [f"h{number}" for number in range(schedule.hosts)]
        self.initial_voters = tuple(self.names[: schedule.voters])
        self.instances_by_host = {
            name: tuple(f"{name}i{number}" for number in range(schedule.instances)) for name in self.names
        }
        self.instances = tuple(name for names in self.instances_by_host.values() for name in names)
        groups = self._budget_groups()
        self.topology = Topology(dict(self.instances_by_host), tuple(groups))
        self.audit = ConsensusAudit(
            {group.name: (group.max_unavailable, list(group.targets)) for group in groups},
            OBSERVATION_TIME_NS,
        )
        self.rollout_audit = RolloutAudit()
        self.event_log: list[str] = []

    def _budget_groups(self) -> list[BudgetGroup]:
        schedule = self.schedule
        targets_by_site: dict[str, list[str]] = {}
        for number, name in enumerate(self.names):
            site = f"site s{number % schedule.sites}"
            targets_by_site.setdefault(site, []).extend(self.instances_by_host[name])
        groups = [
            BudgetGroup(site, schedule.budget, tuple(targets)) for site, targets in targets_by_site.items()
        ]
        groups.append(BudgetGroup("fleet", schedule.budget * schedule.sites, self.instances))
        return groups

    def log_event(self, text: str) -> None:
        """Add an entry to the event log, with the true time."""
        self.event_log.append(f"{self.clock.now / SECOND:.3f} s: {text}")
