"""Replicas and agents in simulated time: their decisions, on a network and disks that fail.

A host has a clock of its own rate, a disk, a replica, and an agent with instances. What is not
on its disk is gone when it is killed. `play` returns what the audits found; a failing schedule can be shrunk
and played again.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from oakkeel.disruption.topology import BudgetGroup, Topology
from oakkeel.emulator.clock import Clock
from oakkeel.emulator.convergence import ConvergenceCheck
from oakkeel.emulator.fault_injection import FaultInjector
from oakkeel.emulator.faults import Schedule
from oakkeel.emulator.operators import Operators
from oakkeel.emulator.simulated_host import SimulatedHost
from oakkeel.emulator.simulated_network import SimulatedNetwork
from oakkeel.emulator.simulated_replica import PERMIT_TIMEOUTS
from oakkeel.invariants.consensus import ConsensusAudit
from oakkeel.invariants.rollout import RolloutAudit
from oakkeel.units import SECOND


class ConsensusSimulation:
    """A fleet of simulated hosts under a schedule."""

    def __init__(
        self, schedule: Schedule, plant: Callable[[ConsensusSimulation], None] | None = None
    ) -> None:
        """`plant` may change the simulation before its hosts start, to plant a defect."""
        self.schedule, self.clock = schedule, Clock()
        self.random = Random(schedule.seed)
        self.names = [f"h{number}" for number in range(schedule.hosts)]
        instances = {
            name: tuple(f"{name}i{number}" for number in range(schedule.instances)) for name in self.names
        }
        self.instances = tuple(instance for names in instances.values() for instance in names)
        groups = self._budget_groups(instances)
        self.topology = Topology(dict(instances), tuple(groups))
        self.audit = ConsensusAudit(
            {group.name: (group.max_unavailable, list(group.targets)) for group in groups},
            PERMIT_TIMEOUTS.expiry_ns + PERMIT_TIMEOUTS.max_agent_silence_ns + 2 * SECOND,
        )
        self.rollout_audit = RolloutAudit()
        self.event_log: list[str] = []
        self.network = SimulatedNetwork(self)
        self.operators = Operators(self)
        self.faults = FaultInjector(self)
        self.convergence = ConvergenceCheck(self)
        if plant:
            plant(self)
        voters = tuple(self.names[: schedule.voters])
        self.hosts: dict[str, SimulatedHost] = {}
        for name in self.names:
            self.hosts[name] = SimulatedHost(self, name, instances[name], voters)
        for fault in schedule.faults:
            self.clock.at(fault.at, self.faults.inject, fault)

    def _budget_groups(self, instances: dict[str, tuple[str, ...]]) -> list[BudgetGroup]:
        schedule = self.schedule
        sites: dict[str, list[str]] = {}
        for number, name in enumerate(self.names):
            sites.setdefault(f"site s{number % schedule.sites}", []).extend(instances[name])
        groups = [BudgetGroup(site, schedule.budget, tuple(members)) for site, members in sites.items()]
        groups.append(BudgetGroup("fleet", schedule.budget * schedule.sites, self.instances))
        return groups

    def log_event(self, text: str) -> None:
        """Note what was done to the fleet, with the true time."""
        self.event_log.append(f"{self.clock.now / SECOND:.3f} s: {text}")

    def kill(self, host: SimulatedHost, wait: int) -> None:
        """Kill a host's replica and agent, and start them again after some time."""
        if host.running:
            host.kill()
            self.clock.after(wait, self._start, host)

    def _start(self, host: SimulatedHost) -> None:
        if not host.running:
            host.start()

    def run(self) -> list[str]:
        """Play the schedule and return the breaches."""
        self.clock.at(SECOND, self.convergence.check_releases)
        self.clock.run(self.schedule.duration)
        return self.audit.finish(self.clock.now) + self.rollout_audit.breaches

    def stuck(self) -> list[str]:
        """Return what has not come to an end."""
        return self.convergence.stuck()


def play(
    schedule: Schedule, plant: Callable[[ConsensusSimulation], None] | None = None
) -> tuple[ConsensusSimulation, list[str]]:
    """Return the simulation of a schedule that was played, and its breaches."""
    simulation = ConsensusSimulation(schedule, plant)
    return simulation, simulation.run()
