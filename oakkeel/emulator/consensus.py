"""Runs the decision logic of replicas and agents in simulated time, over a network and disks that fail.

Each host has a clock with its own rate, a disk, a replica, and an agent with instances. State that is not on
disk is lost when the processes of the host are killed. `run_schedule` returns the breaches that the audits
found; a failing schedule can be shrunk and replayed.
"""

from __future__ import annotations

from collections.abc import Callable

from oakkeel.emulator.convergence import ConvergenceCheck
from oakkeel.emulator.fault_injection import FaultInjector
from oakkeel.emulator.faults import Schedule
from oakkeel.emulator.heartbeat_exchange import HeartbeatTransport
from oakkeel.emulator.operators import Operators
from oakkeel.emulator.simulated_host import SimulatedHost
from oakkeel.emulator.simulated_network import SimulatedNetwork
from oakkeel.emulator.world import World
from oakkeel.units import SECOND


class ConsensusSimulation:
    """A fleet of simulated hosts under a schedule."""

    def __init__(
        self, schedule: Schedule, inject_defect: Callable[[ConsensusSimulation], None] | None = None
    ) -> None:
        """`inject_defect`: called with the simulation before its hosts start."""
        self.schedule = schedule
        self.world = World(schedule)
        self.clock = self.world.clock
        self.instances = self.world.instances
        self.audit = self.world.audit
        self.rollout_audit = self.world.rollout_audit
        self.event_log = self.world.event_log
        self.network = SimulatedNetwork(self.world)
        self.hosts: dict[str, SimulatedHost] = {}
        self.heartbeats = HeartbeatTransport(self.network, self.hosts)
        self.operators = Operators(self.world, self.hosts)
        self.faults = FaultInjector(self.world, self.hosts, self.network, self.operators)
        self.convergence = ConvergenceCheck(self.world, self.hosts)
        if inject_defect:
            inject_defect(self)
        for name in self.world.names:
            self.hosts[name] = SimulatedHost(self.world, name, self.network, self.heartbeats.send)
        for fault in schedule.faults:
            self.clock.call_at(fault.at, self.faults.inject, fault)

    def run(self) -> list[str]:
        """Run the schedule and return the breaches."""
        self.clock.call_at(SECOND, self.convergence.check_releases)
        self.clock.run(self.schedule.duration)
        return self.audit.finish(self.clock.now) + self.rollout_audit.breaches

    def convergence_failures(self) -> list[str]:
        """Return the reasons why the fleet has not converged at the end."""
        return self.convergence.convergence_failures()


def run_schedule(
    schedule: Schedule, inject_defect: Callable[[ConsensusSimulation], None] | None = None
) -> tuple[ConsensusSimulation, list[str]]:
    """Run the simulation of a schedule; return the simulation and its breaches."""
    simulation = ConsensusSimulation(schedule, inject_defect)
    return simulation, simulation.run()
