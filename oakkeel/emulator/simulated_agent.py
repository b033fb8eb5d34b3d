"""The agent of a simulated host, with its disk, permits, supervisor and orders."""

from __future__ import annotations

import pickle
from collections.abc import Callable
from dataclasses import dataclass, field

from oakkeel.agent.instances import Instance
from oakkeel.agent.leader_locator import LeaderLocator
from oakkeel.agent.orders import OrderRegistry
from oakkeel.agent.reconciler import Reconciler
from oakkeel.agent.supervision_rules import Action, SupervisionTimeouts
from oakkeel.agent.supervisor import Step, Supervisor
from oakkeel.disruption.holder import PermitHolder, StoredPermit
from oakkeel.disruption.messages import Heartbeat, HeartbeatResponse
from oakkeel.emulator.simulated_machine import SimulatedMachine
from oakkeel.emulator.simulated_processes import SimulatedProcesses
from oakkeel.rollout.assignments import ArtifactRequest
from oakkeel.units import MS, SECOND

TICK_INTERVAL_NS = 100 * MS
HEARTBEAT_INTERVAL_NS = 150 * MS
MIN_PREPARATION_TIME_NS = 50 * MS
MAX_PREPARATION_TIME_NS = 300 * MS
GENERATION_BLOCK = 8  # number of generations reserved at once
SUPERVISION_TIMEOUTS = SupervisionTimeouts(
    min_backoff_ns=300 * MS, steady_after_ns=2 * SECOND, drain_timeout_ns=3 * SECOND
)


@dataclass(slots=True, eq=False)
class AgentDisk:
    """The state that an agent has on disk."""

    permits: list[StoredPermit] = field(default_factory=list)
    epoch: str = ""
    generations: dict[str, int] = field(default_factory=dict)
    orders: bytes = b""  # pickled orders and their instances
    versions: dict[str, str] = field(default_factory=dict)


class SimulatedAgent:
    """Runs the decision logic of the agent. Only `disk` outlives a process of the agent."""

    def __init__(
        self,
        machine: SimulatedMachine,
        processes: SimulatedProcesses,
        send_heartbeat: Callable[[str, Heartbeat, int], None],
    ) -> None:
        """Create an agent without a process.

        `send_heartbeat`: called with the host, the heartbeat and the time of the host's clock.
        """
        self.machine = machine
        self.processes = processes
        self.processes.owner = self
        self.send_heartbeat = send_heartbeat
        self.instances = machine.world.instances_by_host[machine.name]
        self.disk = AgentDisk()
        # Duration in nanoseconds of a stop at the next response that grants a permit; 0: no stop.
        self.pause_on_permit = 0

    def start(self) -> None:
        """Start a process of the agent from the state on disk."""
        machine = self.machine
        disk = self.disk
        now = machine.now()
        is_new_disk = not disk.orders
        self.leader_locator = LeaderLocator(machine.world.initial_voters, machine.world.names)
        self.last_heartbeat_at = -SECOND
        self.permit_holder = PermitHolder(machine.name, self.instances, machine.random.getrandbits(40))
        self.permit_holder.restore(disk.epoch, disk.permits, disk.generations)
        if is_new_disk:
            instances = [Instance(name, "site", phase_since=now) for name in self.instances]
            seed = machine.random.getrandbits(40)
            self.supervisor = Supervisor(instances, SUPERVISION_TIMEOUTS, {}, seed, machine.now)
            self.orders = OrderRegistry(self.supervisor, machine.now, permit_holder=self.permit_holder)
        else:
            self._restore_orders()
        self.reconciler = Reconciler(
            self.supervisor, self.orders, self.permit_holder, generation_block_size=GENERATION_BLOCK
        )
        self.reconciler.assignments.restore(dict(disk.versions), {}, {})
        if is_new_disk:
            self.reconciler.recover_from_leader()
        for instance in self.supervisor.instances:
            instance.phase_since = instance.phase_since if is_new_disk else now
            if process := self.processes.running.get(instance.name):
                self.supervisor.record_adoption(now, instance, process.generation)
            else:
                self.supervisor.record_missing_process(now, instance, instance.process_generation)

    def _restore_orders(self) -> None:
        self.orders = pickle.loads(self.disk.orders)
        self.supervisor = self.orders.supervisor
        self.supervisor.unix_time = self.orders.unix_time = self.machine.now
        self.orders.permit_holder = self.permit_holder

    def tick(self, restarts: int) -> None:
        """Read the reports of the processes, send a heartbeat if it is due, and carry out due steps."""
        machine = self.machine
        if not machine.may_act(restarts, lambda: self.tick(restarts)):
            return
        now = machine.now()
        for instance in self.supervisor.instances:
            if process := self.processes.running.get(instance.name):
                state = self.processes.state(process)
                report = self.processes.report(process, state)
                self.supervisor.apply_report(now, instance, state, process.generation, report)
        if now - self.last_heartbeat_at >= HEARTBEAT_INTERVAL_NS:
            self.last_heartbeat_at = now
            self.send_heartbeat(machine.name, self.reconciler.build_heartbeat(now), now)
        self.act(now)
        machine.world.clock.call_after(TICK_INTERVAL_NS, self.tick, restarts)

    def act(self, now: int) -> None:
        """Carry out the steps that are due; with a full disk only steps that need no storage."""
        machine = self.machine
        for request in self.reconciler.assignments.take_requests():
            preparation_time = machine.random.randrange(MIN_PREPARATION_TIME_NS, MAX_PREPARATION_TIME_NS)
            machine.world.clock.call_after(preparation_time, self._on_prepared, request, machine.restarts)
        if not machine.disk_full:
            self.orders.advance(now)
        steps = self.orders.permitted_steps(now, self.supervisor.tick(now))
        if machine.disk_full:
            steps = self._revert_unstored_steps(now, steps)
        else:
            self._save()
        for step in steps:
            self.processes.execute(step)
        if steps and not machine.disk_full:
            self._save()

    def _revert_unstored_steps(self, now: int, steps: list[Step]) -> list[Step]:
        """Revert the steps that need storage, as the disk is full, and return the other steps."""
        for step in steps:
            if step.action is Action.START and step.instance.task is not None:
                self.supervisor.record_abandoned_start(now, step.instance)
            elif step.action in (Action.TERM, Action.DRAIN) and step.instance.task is not None:
                step.instance.drain_sent_at = 0
                step.instance.task.is_drain_sent = False
        return [step for step in steps if step.instance.task is None and step.action is not Action.START]

    def _on_prepared(self, request: ArtifactRequest, restarts: int) -> None:
        if restarts != self.machine.restarts:
            return
        has_failed = request.spec.program == "bad" and self.machine.random.random() < 0.5
        bases = {instance: f"base {instance}" for instance in request.targets}
        reason = "it can't be run here" if has_failed else ""
        self.reconciler.assignments.record_prepared(request.release, reason, bases)

    def _save(self) -> None:
        disk = self.disk
        permit_holder = self.permit_holder
        assignments = self.reconciler.assignments
        if not self._has_changes():
            return
        assignments.needs_storing = False
        disk.versions = dict(assignments.versions)
        for instance in self.supervisor.instances:
            instance.is_changed = False
        self.orders.deleted_order_ids.clear()
        disk.epoch = permit_holder.epoch
        disk.generations = dict(permit_holder.generations)
        disk.permits = []
        for target, token in permit_holder.highest_tokens.items():
            permit = permit_holder.permits.get(target)
            has_started = bool(permit and permit.started)
            disk.permits.append(StoredPermit(target, token, permit.order_id if permit else "", has_started))
        permit_holder.changed_targets.clear()
        self.orders.changed_orders.clear()
        self._save_orders()

    def _has_changes(self) -> bool:
        return bool(
            self.permit_holder.changed_targets
            or self.orders.changed_orders
            or self.orders.deleted_order_ids
            or self.reconciler.assignments.needs_storing
            or any(instance.is_changed for instance in self.supervisor.instances)
        )

    def _save_orders(self) -> None:
        orders = self.orders
        self.orders.permit_holder = None
        unix_time = orders.unix_time
        orders.unix_time = orders.supervisor.unix_time = int  # instead of the machine's clock; set on restore
        self.disk.orders = pickle.dumps(orders)
        orders.unix_time = orders.supervisor.unix_time = unix_time
        orders.permit_holder = self.permit_holder

    def receive_heartbeat_response(self, restarts: int, sent_at: int, response: HeartbeatResponse) -> None:
        """Handle the leader's response to a heartbeat."""
        machine = self.machine
        if not machine.may_act(
            restarts, lambda: self.receive_heartbeat_response(restarts, sent_at, response)
        ):
            return
        if machine.disk_full:
            return
        now = machine.now()
        self.reconciler.apply_response(now, sent_at, response)
        if self.pause_on_permit and any(
            permit.valid_for and not permit.started for permit in response.permits
        ):
            machine.stop(self.pause_on_permit)
            self.pause_on_permit = 0
            machine.deferred.append(lambda: self.act(machine.now()))
            return
        self.act(now)
