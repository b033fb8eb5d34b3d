"""A simulated host: a machine with a replica, an agent and the processes of its instances."""

from __future__ import annotations

from collections.abc import Callable

from oakkeel.disruption.control_plane import ControlPlaneReplica
from oakkeel.disruption.messages import Heartbeat
from oakkeel.emulator.simulated_agent import TICK_INTERVAL_NS, AgentDisk, SimulatedAgent
from oakkeel.emulator.simulated_machine import SimulatedMachine
from oakkeel.emulator.simulated_network import SimulatedNetwork
from oakkeel.emulator.simulated_processes import SimulatedProcesses
from oakkeel.emulator.simulated_replica import SimulatedReplica
from oakkeel.emulator.world import World


class SimulatedHost:
    """A machine with the replica, the agent and the processes on it."""

    def __init__(
        self,
        world: World,
        name: str,
        network: SimulatedNetwork,
        send_heartbeat: Callable[[str, Heartbeat, int], None],
    ) -> None:
        """Start the replica and the agent."""
        self.name = name
        self.instances = world.instances_by_host[name]
        self.machine = SimulatedMachine(world, name)
        self.processes = SimulatedProcesses(self.machine)
        self.replica = SimulatedReplica(self.machine, network)
        self.agent = SimulatedAgent(self.machine, self.processes, send_heartbeat)
        self.machine.on_start = self._start
        self.machine.start()

    def _start(self) -> None:
        machine = self.machine
        self.replica.start()
        self.agent.start()
        first_tick_delay = machine.random.randrange(TICK_INTERVAL_NS)
        machine.world.clock.call_after(first_tick_delay, self.agent.tick, machine.restarts)
        self.replica.start_timer(machine.restarts)

    @property
    def control_plane(self) -> ControlPlaneReplica | None:
        """The replica with its state machine; None while the file of the replica can't be written."""
        return self.replica.control_plane

    @property
    def leader(self) -> ControlPlaneReplica | None:
        """The control plane replica if it is the leader, otherwise None."""
        control_plane = self.control_plane
        return control_plane if control_plane and control_plane.allocator else None

    def end_processes(self, reason: str) -> None:
        """End the processes of all instances."""
        for name, process in list(self.processes.running.items()):
            self.processes.end(name, process, reason, True)

    def lose_files(self) -> None:
        """Lose all state of the replica and the agent on disk."""
        self.replica.storage = None
        self.replica.known_writes = 0
        self.agent.disk = AgentDisk()
