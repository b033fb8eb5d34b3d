"""A simulated host: a clock of its own rate, a replica, an agent, and the processes of its instances."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING

from oakkeel.disruption.control_plane import ControlPlaneReplica
from oakkeel.emulator.simulated_agent import TICK_INTERVAL, AgentDisk, SimulatedAgent
from oakkeel.emulator.simulated_processes import SimulatedProcesses
from oakkeel.emulator.simulated_replica import SimulatedReplica
from oakkeel.units import SECOND

if TYPE_CHECKING:
    from oakkeel.emulator.consensus import ConsensusSimulation

MAX_RATE_ERROR = 0.015


class SimulatedHost:
    """One host. `now` is its own clock, `simulation.clock` the true one."""

    def __init__(
        self,
        simulation: ConsensusSimulation,
        name: str,
        instances: tuple[str, ...],
        initial_voters: tuple[str, ...],
    ) -> None:
        """Start the replica and the agent."""
        self.simulation = simulation
        self.name = name
        self.instances = instances
        self.initial_voters = initial_voters
        self.random = Random(f"{simulation.schedule.seed} {name}")
        self.rate = 1 + self.random.uniform(-MAX_RATE_ERROR, MAX_RATE_ERROR)
        self.offset = self.random.randrange(10 * SECOND)
        self.restarts = 0
        self.running = self.stopped = self.disk_full = False
        self.deferred: list[Callable[[], None]] = []  # while it is stopped
        self.processes = SimulatedProcesses(self)
        self.replica = SimulatedReplica(self)
        self.agent = SimulatedAgent(self)
        self.start()

    def now(self) -> int:
        """Return the host's own monotonic time in nanoseconds."""
        return self.offset + int(self.simulation.clock.now * self.rate)

    @property
    def control_plane(self) -> ControlPlaneReplica | None:
        """The replica with its state machine; none while its file can't be written."""
        return self.replica.control_plane

    @property
    def leader(self) -> ControlPlaneReplica | None:
        """The control plane replica while it leads."""
        control_plane = self.control_plane
        return control_plane if control_plane and control_plane.allocator else None

    def start(self) -> None:
        """Start the replica and the agent from what is on disk."""
        self.running = True
        self.restarts += 1
        self.deferred = []
        self.replica.start()
        self.agent.start()
        clock = self.simulation.clock
        clock.after(self.random.randrange(TICK_INTERVAL), self.agent.tick, self.restarts)
        self.replica.start_timer(self.restarts)

    def kill(self) -> None:
        """End the agent and the replica by SIGKILL; the processes of the instances go on."""
        self.running = self.stopped = False
        self.restarts += 1

    def may_act(self, restarts: int, action: Callable[[], None]) -> bool:
        """Whether the process of that start may act now; while it is stopped the action is deferred."""
        if restarts != self.restarts:
            return False
        if self.stopped:
            self.deferred.append(action)
            return False
        return True

    def stop(self, duration: int) -> None:
        """Stop the agent and the replica by SIGSTOP for some time."""
        self.stopped = True
        self.simulation.clock.after(duration, self.wake)

    def wake(self) -> None:
        """Do what was deferred while it was stopped."""
        self.stopped = False
        deferred = self.deferred
        self.deferred = []
        for action in deferred:
            action()

    def end_processes(self, reason: str) -> None:
        """End the processes of all instances."""
        for name, process in list(self.processes.running.items()):
            self.processes.end(name, process, reason, True)

    def lose_files(self) -> None:
        """Lose all that the replica and the agent have on disk."""
        self.replica.storage = None
        self.agent.disk = AgentDisk()
        self.replica.known_writes = 0
