"""The processes of the instances on a simulated host: they outlive its agent."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from oakkeel.agent.instances import Goal
from oakkeel.agent.supervisor import Action, Step
from oakkeel.control.messages import NodeStatus
from oakkeel.units import MS, SECOND

if TYPE_CHECKING:
    from oakkeel.emulator.simulated_host import SimulatedHost

REQUESTS_PER_SECOND = 400
# of the benefit that requests could bring, by version
GOOD_SHARE = 0.98
WORSE_SHARE = 0.6


@dataclass(slots=True, eq=False)
class Process:
    """One process of an instance."""

    generation: int
    serves_at: int
    version: str = ""
    exits_at: int = 0  # while it drains; 0: it stays


class SimulatedProcesses:
    """Starts and ends processes as the agent's supervisor asks, and tells the audit."""

    def __init__(self, host: SimulatedHost) -> None:
        """No process runs yet."""
        self.host = host
        self.running: dict[str, Process] = {}  # by instance

    def state(self, process: Process) -> str:
        """Return what the process reports of itself."""
        if process.exits_at:
            return "draining"
        return "serving" if self.host.simulation.clock.now >= process.serves_at else "cold"

    def report(self, process: Process, state: str) -> NodeStatus:
        """Return the status as a node of that version makes it."""
        lasted = max(0, self.host.simulation.clock.now - process.serves_at)
        count = float(lasted * REQUESTS_PER_SECOND // SECOND)
        share = WORSE_SHARE if process.version.startswith("worse") else GOOD_SHARE
        good = float(int(count * share))
        return NodeStatus(
            0,
            "",
            0,
            process.generation,
            state,
            "",
            0,
            version=process.version,
            load=0.2,
            earned_weight=[count, good, good],
        )

    def execute(self, step: Step) -> None:
        """Carry out one step of the supervisor."""
        name = step.instance.name
        process = self.running.get(name)
        if step.action is Action.START and process is None:
            self._start(step)
        elif process and step.action in (Action.TERM, Action.DRAIN) and not process.exits_at:
            self._drain(step, process)
        elif process and step.action is Action.CANCEL_DRAIN and process.exits_at:
            process.exits_at = 0
            self._serves(name, process)
        elif process and step.action is Action.KILL:
            self.end(name, process, "killed", True)

    def _start(self, step: Step) -> None:
        host = self.host
        simulation = self.host.simulation
        name = step.instance.name
        now = simulation.clock.now
        generation = step.instance.process_generation
        simulation.audit.generation_started(now, name, generation)
        version = host.agent.reconciler.assignments.version(name)
        simulation.rollout_audit.record_start(now, name, version)
        process = Process(generation, now + host.random.randrange(100 * MS, 600 * MS), version)
        self.running[name] = process
        step.instance.running_version = version
        host.agent.supervisor.process_started(host.now(), step.instance)
        if version.startswith("crash"):
            simulation.clock.at(now + 50 * MS, self.end, name, process, "exit code 3", True)
        else:
            simulation.clock.at(process.serves_at, self._serves, name, process)

    def _drain(self, step: Step, process: Process) -> None:
        host = self.host
        simulation = self.host.simulation
        name = step.instance.name
        now = simulation.clock.now
        permit = host.agent.permit_holder.permits.get(name)
        if step.instance.goal is Goal.DOWN or step.instance.task is not None:
            fence = permit.fencing_token if permit and permit.started else -1
            simulation.audit.drain_started(now, name, fence, permit.order_id if permit else "")
        else:
            simulation.audit.out_by_itself(now, name)
        process.exits_at = now + host.random.randrange(100 * MS, 1500 * MS)
        simulation.clock.at(process.exits_at, self.end, name, process, "left")

    def _serves(self, name: str, process: Process) -> None:
        if self.running.get(name) is process and not process.exits_at:
            simulation = self.host.simulation
            simulation.audit.serving(simulation.clock.now, name)

    def end(self, name: str, process: Process, reason: str, certain: bool = False) -> None:
        """End a process. One that is not certain to end goes on where its drain was cancelled."""
        simulation = self.host.simulation
        if self.running.get(name) is not process:
            return
        if not certain and not (process.exits_at and simulation.clock.now >= process.exits_at):
            return
        del self.running[name]
        simulation.audit.out_by_itself(simulation.clock.now, name)
        self._exited(name, reason, self.host.restarts)

    def _exited(self, name: str, reason: str, restarts: int) -> None:
        host = self.host
        if not host.running or not host.may_act(restarts, lambda: self._exited(name, reason, restarts)):
            return
        supervisor = host.agent.supervisor
        instance = next(instance for instance in supervisor.instances if instance.name == name)
        if name not in self.running:
            supervisor.process_exited(host.now(), instance, reason)
