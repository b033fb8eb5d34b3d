"""The processes of the instances on a simulated host; they outlive the agent."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from oakkeel.agent.instances import Goal
from oakkeel.agent.reconciler import Reconciler
from oakkeel.agent.supervision_rules import Action
from oakkeel.agent.supervisor import Step, Supervisor
from oakkeel.control.messages import NodeStatus
from oakkeel.disruption.holder import PermitHolder
from oakkeel.emulator.simulated_machine import SimulatedMachine
from oakkeel.units import MS, SECOND

REQUESTS_PER_SECOND = 400
GOOD_SHARE = 0.98  # share of the priority weight of all requests that a good version earns
WORSE_SHARE = 0.6  # the same share for a worse version
MIN_START_TIME_NS = 100 * MS
MAX_START_TIME_NS = 600 * MS
CRASH_DELAY_NS = 50 * MS  # from the start of a process whose version crashes
MIN_DRAIN_TIME_NS = 100 * MS
MAX_DRAIN_TIME_NS = 1500 * MS


@dataclass(slots=True, eq=False)
class Process:
    """One process of an instance."""

    generation: int
    serves_at: int  # true time at which the process is warm
    version: str = ""
    exits_at: int = 0  # end of the drain; 0: not draining


class ProcessOwner(Protocol):
    """The attributes of the host's agent that `SimulatedProcesses` uses."""

    reconciler: Reconciler
    permit_holder: PermitHolder
    supervisor: Supervisor


class SimulatedProcesses:
    """Starts and ends processes on behalf of the agent's supervisor, and reports them to the audits."""

    def __init__(self, machine: SimulatedMachine) -> None:
        """Create the processes of a machine; none runs yet. The agent sets `owner`."""
        self.machine = machine
        self.world = machine.world
        self.owner: ProcessOwner
        self.running: dict[str, Process] = {}  # by instance

    def state(self, process: Process) -> str:
        """Return the state that the process reports."""
        if process.exits_at:
            return "draining"
        return "serving" if self.world.clock.now >= process.serves_at else "cold"

    def report(self, process: Process, state: str) -> NodeStatus:
        """Return the status that a node of the process's version reports."""
        serving_time = max(0, self.world.clock.now - process.serves_at)
        request_count = float(serving_time * REQUESTS_PER_SECOND // SECOND)
        share = WORSE_SHARE if process.version.startswith("worse") else GOOD_SHARE
        earned = float(int(request_count * share))
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
            earned_weight=[request_count, earned, earned],
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
            self._on_serving(name, process)
        elif process and step.action is Action.KILL:
            self.end(name, process, "killed", True)

    def _start(self, step: Step) -> None:
        machine = self.machine
        world = self.world
        name = step.instance.name
        now = world.clock.now
        generation = step.instance.process_generation
        world.audit.record_process_start(now, name, generation)
        version = self.owner.reconciler.assignments.version(name)
        world.rollout_audit.record_start(now, name, version)
        process = Process(
            generation, now + machine.random.randrange(MIN_START_TIME_NS, MAX_START_TIME_NS), version
        )
        self.running[name] = process
        step.instance.running_version = version
        self.owner.supervisor.record_start(machine.now(), step.instance)
        if version.startswith("crash"):
            world.clock.call_at(now + CRASH_DELAY_NS, self.end, name, process, "exit code 3", True)
        else:
            world.clock.call_at(process.serves_at, self._on_serving, name, process)

    def _drain(self, step: Step, process: Process) -> None:
        machine = self.machine
        world = self.world
        name = step.instance.name
        now = world.clock.now
        permit = self.owner.permit_holder.permits.get(name)
        if step.instance.goal is Goal.DOWN or step.instance.task is not None:
            fencing_token = permit.fencing_token if permit and permit.started else -1
            world.audit.record_drain(now, name, fencing_token, permit.order_id if permit else "")
        else:
            world.audit.record_unavailable(now, name)
        process.exits_at = now + machine.random.randrange(MIN_DRAIN_TIME_NS, MAX_DRAIN_TIME_NS)
        world.clock.call_at(process.exits_at, self.end, name, process, "left")

    def _on_serving(self, name: str, process: Process) -> None:
        if self.running.get(name) is process and not process.exits_at:
            world = self.world
            world.audit.record_serving(world.clock.now, name)

    def end(self, name: str, process: Process, reason: str, unconditional: bool = False) -> None:
        """End a process; without `unconditional`, only if its drain has ended and was not cancelled."""
        world = self.world
        if self.running.get(name) is not process:
            return
        if not unconditional and not (process.exits_at and world.clock.now >= process.exits_at):
            return
        del self.running[name]
        world.audit.record_unavailable(world.clock.now, name)
        self._on_exited(name, reason, self.machine.restarts)

    def _on_exited(self, name: str, reason: str, restarts: int) -> None:
        machine = self.machine
        if not machine.running or not machine.may_act(
            restarts, lambda: self._on_exited(name, reason, restarts)
        ):
            return
        supervisor = self.owner.supervisor
        instance = next(instance for instance in supervisor.instances if instance.name == name)
        if name not in self.running:
            supervisor.record_exit(machine.now(), instance, reason)
