"""The control plane replica of a simulated host, with its storage, timer and messages."""

from __future__ import annotations

from collections.abc import Callable

from oakkeel.disruption import commands
from oakkeel.disruption.allocator import PermitAllocator
from oakkeel.disruption.control_plane import ControlPlaneReplica, ReplicaSettings
from oakkeel.disruption.state import Rejection
from oakkeel.emulator.clock import ScheduledEvent
from oakkeel.emulator.simulated_machine import SimulatedMachine
from oakkeel.emulator.simulated_network import SimulatedNetwork
from oakkeel.emulator.world import PERMIT_TIMEOUTS
from oakkeel.raft.durable_state import DurableState
from oakkeel.raft.memory_storage import InMemoryStorage
from oakkeel.raft.messages import Envelope
from oakkeel.raft.proposals import Proposal
from oakkeel.raft.roles import Role
from oakkeel.raft.state import Output
from oakkeel.raft.timeouts import RaftTimeouts
from oakkeel.rollout.controller import RolloutController
from oakkeel.rollout.state_machine import RolloutStateMachine
from oakkeel.units import MS, SECOND

RAFT_TIMEOUTS = RaftTimeouts(max_entries_before_snapshot=64)
RESTART_DELAY_NS = 300 * MS  # of the replica, after a failed write
NO_REPLICA_TICK_NS = 100 * MS  # interval of ticks while the disk is full and no replica runs
MAX_LEADER_TICK_NS = 50 * MS  # maximum interval of ticks on the leader
MAX_TICK_NS = SECOND  # maximum interval of ticks on other replicas
CRASH_RESTART_DELAY_NS = SECOND
CRASH_BEFORE_WRITE = 1
CRASH_AFTER_WRITE = 2


class SimulatedReplica:
    """Carries out the decisions of the replica. Only its storage outlives a process of the replica."""

    def __init__(self, machine: SimulatedMachine, network: SimulatedNetwork) -> None:
        """Create a replica without a process."""
        self.machine = machine
        self.world = machine.world
        self.network = network
        network.receivers[machine.name] = self.receive
        self.storage: InMemoryStorage | None = None
        self.known_writes = 0  # count of writes, kept apart from the storage to detect an old backup
        self.planned_crash = 0  # CRASH_BEFORE_WRITE or CRASH_AFTER_WRITE, for the next write; 0: none
        self.timer: ScheduledEvent | None = None
        self.control_plane: ControlPlaneReplica | None = None
        self.completions: dict[Proposal, Callable[[Proposal], None]] = {}

    def start(self) -> None:
        """Start a process of the replica from its storage, or with a new incarnation if there is none."""
        machine = self.machine
        now = machine.now()
        if self.storage is not None and self.storage.write_count < self.known_writes:
            self.storage = None  # an old backup was restored
        if self.storage is None:
            self.known_writes = 0
            incarnation = f"{machine.name}.{machine.random.getrandbits(40):x}"
            self.storage = InMemoryStorage(DurableState(machine.name, incarnation))
        self.control_plane = ControlPlaneReplica(
            now,
            self.storage.load(),
            machine.random.getrandbits(60),
            ReplicaSettings(
                self.world.initial_voters,
                self.world.topology,
                RAFT_TIMEOUTS,
                PERMIT_TIMEOUTS,
                RolloutStateMachine,
                self._create_rollout_controller,
            ),
        )
        self.control_plane.on_committed = self._on_applied
        self.completions = {}

    def _create_rollout_controller(
        self, now: int, state_machine: RolloutStateMachine, allocator: PermitAllocator
    ) -> RolloutController:
        name = f"{self.machine.name}.{self.machine.random.getrandbits(40):x}"
        return RolloutController(now, state_machine, allocator, name)

    def _on_applied(self, index: int, command: commands.Command, result: object) -> None:
        world = self.world
        audit = world.audit
        now = world.clock.now
        content = commands.encode(command)
        audit.record_applied_command(now, self.machine.name, index, content)
        if not isinstance(result, Rejection):
            world.rollout_audit.record_command(now, self.machine.name, content)
        if self.control_plane and isinstance(
            command,
            commands.HaltOrder | commands.CancelOrder | commands.ReleasePermit | commands.ExpirePermit,
        ):
            for order in self.control_plane.state_machine.state.orders.values():
                if order.halted_by and all(
                    task.state not in ("waiting", "granted") for task in order.tasks.values()
                ):
                    audit.record_halt(order.id)

    def start_timer(self, restarts: int) -> None:
        """Schedule the first tick."""
        self.timer = self.world.clock.call_after(1, self._tick, restarts)

    def _tick(self, restarts: int) -> None:
        machine = self.machine
        if not machine.may_act(restarts, lambda: self._tick(restarts)):
            return
        if self.control_plane:
            self.process_outputs(self.control_plane.tick(machine.now()))
        if restarts == machine.restarts:
            self._schedule_tick()

    def _schedule_tick(self) -> None:
        """Schedule the next tick for when the replica has an action due; called after each event."""
        machine = self.machine
        if self.timer:
            self.timer.cancel()
        delay = NO_REPLICA_TICK_NS
        if self.control_plane:
            delay = max(MS, int((self.control_plane.replica.next_tick_at() - machine.now()) / machine.rate))
            delay = min(delay, MAX_LEADER_TICK_NS if self.control_plane.allocator else MAX_TICK_NS)
        self.timer = self.world.clock.call_after(delay, self._tick, machine.restarts)

    def process_outputs(self, outputs: list[Output]) -> None:
        """Write, send messages and complete proposals, in this order; the process may crash in between."""
        machine = self.machine
        for output in outputs:
            if self.control_plane is None or self.storage is None or not self._write(output):
                return
            for recipient, envelope in output.envelopes:
                self.network.send(machine.name, recipient, envelope)
            for proposal in output.completed:
                if complete := self.completions.pop(proposal, None):
                    complete(proposal)
        replica = self.control_plane and self.control_plane.replica
        if replica and replica.role is Role.LEADER:
            self.world.audit.record_leader(self.world.clock.now, replica.term, replica.incarnation)
        if replica and replica.role is Role.STALE:
            self.storage = None
            self.start()

    def _write(self, output: Output) -> bool:
        """Return whether the update is stored; if not, the process has crashed or the disk is full."""
        machine = self.machine
        control_plane = self.control_plane
        if output.storage_update is None or control_plane is None or self.storage is None:
            return True
        if self._crash_if_planned(CRASH_BEFORE_WRITE):
            return False
        if machine.disk_full:  # as after a crash, the replica restarts from its storage
            self.control_plane = None
            self.world.clock.call_after(RESTART_DELAY_NS, self._restart, machine.restarts)
            return False
        self.storage.write(control_plane.replica.durable, output.storage_update)
        self.known_writes = self.storage.write_count
        return not self._crash_if_planned(CRASH_AFTER_WRITE)

    def _crash_if_planned(self, crash_point: int) -> bool:
        if self.planned_crash != crash_point:
            return False
        self.planned_crash = 0
        self.machine.kill(CRASH_RESTART_DELAY_NS)
        return True

    def _restart(self, restarts: int) -> None:
        machine = self.machine
        if restarts == machine.restarts and self.control_plane is None:
            if machine.disk_full:
                self.world.clock.call_after(RESTART_DELAY_NS, self._restart, restarts)
            else:
                self.start()

    def receive(self, envelope: Envelope) -> None:
        """Handle a message of another replica."""
        machine = self.machine
        if not machine.running or not self.control_plane:
            return
        if machine.stopped:
            machine.deferred.append(lambda: self.receive(envelope))
            return
        restarts = machine.restarts
        self.process_outputs(self.control_plane.receive(machine.now(), envelope))
        if restarts == machine.restarts:
            self._schedule_tick()
