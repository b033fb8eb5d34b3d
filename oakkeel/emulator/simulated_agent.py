"""The agent of a simulated host: its disk, its permits, its supervisor and its orders."""

from __future__ import annotations

import pickle
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from oakkeel.agent.instances import Instance
from oakkeel.agent.leader_locator import LeaderLocator
from oakkeel.agent.orders import OrderRegistry
from oakkeel.agent.reconciler import Reconciler
from oakkeel.agent.supervisor import Action, Step, SupervisionTimeouts, Supervisor
from oakkeel.disruption.holder import PermitHolder, StoredPermit
from oakkeel.disruption.messages import HeartbeatResponse
from oakkeel.rollout.assignments import ArtifactRequest
from oakkeel.units import MS, SECOND

if TYPE_CHECKING:
    from oakkeel.emulator.simulated_host import SimulatedHost

TICK_INTERVAL = 100 * MS
HEARTBEAT_INTERVAL = 150 * MS
SUPERVISION_TIMEOUTS = SupervisionTimeouts(backoff=300 * MS, steady=2 * SECOND, drain=3 * SECOND)


@dataclass(slots=True, eq=False)
class AgentDisk:
    """What an agent has on disk."""

    permits: list[StoredPermit] = field(default_factory=list)
    epoch: str = ""
    generations: dict[str, int] = field(default_factory=dict)
    orders: bytes = b""  # with the instances that they are for
    versions: dict[str, str] = field(default_factory=dict)


class SimulatedAgent:
    """Runs the agent's decisions. Its disk outlives the process, all else is lost with it."""

    def __init__(self, host: SimulatedHost) -> None:
        """`start` begins the process."""
        self.host = host
        self.disk = AgentDisk()
        self.pause_on_permit = 0  # stop the host for so long at the next response that grants a permit

    def start(self) -> None:
        """Make the agent from its disk."""
        host, disk = self.host, self.disk
        now, fresh = host.now(), not disk.orders
        self.leader_locator = LeaderLocator(host.initial_voters, host.simulation.names)
        self.heartbeat_at = -SECOND
        self.permit_holder = PermitHolder(host.name, host.instances, host.random.getrandbits(40))
        self.permit_holder.restore(disk.epoch, disk.permits, disk.generations)
        if fresh:
            instances = [Instance(name, "site", phase_since=now) for name in host.instances]
            seed = host.random.getrandbits(40)
            self.supervisor = Supervisor(instances, SUPERVISION_TIMEOUTS, {}, seed, host.now)
            self.orders = OrderRegistry(self.supervisor, host.now, permit_holder=self.permit_holder)
        else:
            self._restore_orders()
        self.reconciler = Reconciler(self.supervisor, self.orders, self.permit_holder, generation_block=8)
        self.reconciler.assignments.restore(dict(disk.versions), {}, {})
        if fresh:
            self.reconciler.state_file_lost()
        for instance in self.supervisor.instances:
            instance.phase_since = instance.phase_since if fresh else now
            if process := host.processes.running.get(instance.name):
                self.supervisor.process_adopted(now, instance, process.generation)
            else:
                self.supervisor.process_not_found(now, instance, instance.process_generation)

    def _restore_orders(self) -> None:
        self.orders = pickle.loads(self.disk.orders)
        self.supervisor = self.orders.supervisor
        self.supervisor.unix_time = self.orders.unix_time = self.host.now
        self.orders.permit_holder = self.permit_holder

    def tick(self, restarts: int) -> None:
        """Look at the processes, send a heartbeat if it is time, and act."""
        host = self.host
        if not host.may_act(restarts, lambda: self.tick(restarts)):
            return
        now = host.now()
        for instance in self.supervisor.instances:
            if process := host.processes.running.get(instance.name):
                state = host.processes.state(process)
                report = host.processes.report(process, state)
                self.supervisor.report_received(now, instance, state, process.generation, report)
        if now - self.heartbeat_at >= HEARTBEAT_INTERVAL:
            self.heartbeat_at = now
            host.simulation.network.send_heartbeat(host, self.reconciler.build_heartbeat(now), now)
        self.act(now)
        host.simulation.clock.after(TICK_INTERVAL, self.tick, restarts)

    def act(self, now: int) -> None:
        """Carry out what is decided by now; with a full disk nothing that would have to be stored."""
        host = self.host
        for request in self.reconciler.assignments.take_requests():
            wait = host.random.randrange(50 * MS, 300 * MS)
            host.simulation.clock.after(wait, self._prepared, request, host.restarts)
        if not host.disk_full:
            self.orders.advance(now)
        steps = self.orders.permitted_steps(now, self.supervisor.tick(now))
        if host.disk_full:
            steps = self._drop_unstored(now, steps)
        else:
            self._save()
        for step in steps:
            host.processes.execute(step)
        if steps and not host.disk_full:
            self._save()

    def _drop_unstored(self, now: int, steps: list[Step]) -> list[Step]:
        """Return the steps that need no storage: what is not stored is not done."""
        for step in steps:
            if step.action is Action.START and step.instance.task is not None:
                self.supervisor.start_abandoned(now, step.instance)
            elif step.action in (Action.TERM, Action.DRAIN) and step.instance.task is not None:
                step.instance.drain_sent_at, step.instance.task.drain_sent = 0, False
        return [step for step in steps if step.instance.task is None and step.action is not Action.START]

    def _prepared(self, request: ArtifactRequest, restarts: int) -> None:
        if restarts != self.host.restarts:
            return
        failed = request.spec.program == "bad" and self.host.random.random() < 0.5
        bases = {instance: f"base {instance}" for instance in request.targets}
        reason = "it can't be run here" if failed else ""
        self.reconciler.assignments.record_prepared(request.release, reason, bases)

    def _save(self) -> None:
        disk, permit_holder, assignments = self.disk, self.permit_holder, self.reconciler.assignments
        if not self._has_changes():
            return
        assignments.changed = False
        disk.versions = dict(assignments.versions)
        for instance in self.supervisor.instances:
            instance.dirty = False
        self.orders.deleted.clear()
        disk.epoch, disk.generations = permit_holder.epoch, dict(permit_holder.generations)
        disk.permits = []
        for target, fence in permit_holder.highest_tokens.items():
            permit = permit_holder.permits.get(target)
            begun = bool(permit and permit.started)
            disk.permits.append(StoredPermit(target, fence, permit.order_id if permit else "", begun))
        permit_holder.changed.clear()
        self.orders.changed.clear()
        self._save_orders()

    def _has_changes(self) -> bool:
        return bool(
            self.permit_holder.changed
            or self.orders.changed
            or self.orders.deleted
            or self.reconciler.assignments.changed
            or any(instance.dirty for instance in self.supervisor.instances)
        )

    def _save_orders(self) -> None:
        orders, self.orders.permit_holder = self.orders, None
        unix = orders.unix_time
        orders.unix_time = orders.supervisor.unix_time = int  # set again on restore
        self.disk.orders = pickle.dumps(orders)
        orders.unix_time = orders.supervisor.unix_time = unix
        orders.permit_holder = self.permit_holder

    def heartbeat_answered(self, restarts: int, sent_at: int, response: HeartbeatResponse) -> None:
        """Take the leader's response to a heartbeat."""
        host = self.host
        if not host.may_act(restarts, lambda: self.heartbeat_answered(restarts, sent_at, response)):
            return
        if host.disk_full:
            return
        now = host.now()
        self.reconciler.apply_response(now, sent_at, response)
        if self.pause_on_permit and any(
            permit.valid_for and not permit.started for permit in response.permits
        ):
            host.stop(self.pause_on_permit)
            self.pause_on_permit = 0
            host.deferred.append(lambda: self.act(host.now()))
            return
        self.act(now)
