"""The control plane replica of a simulated host: its storage, its timer and its messages."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from oakkeel.disruption import commands
from oakkeel.disruption.allocator import PermitAllocator
from oakkeel.disruption.control_plane import ControlPlaneReplica, ControlPlaneSettings
from oakkeel.disruption.state import Rejection
from oakkeel.disruption.timeouts import PermitTimeouts
from oakkeel.emulator.clock import ScheduledEvent
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

if TYPE_CHECKING:
    from oakkeel.emulator.simulated_host import SimulatedHost

RAFT_TIMEOUTS = RaftTimeouts(max_entries_before_snapshot=64)
PERMIT_TIMEOUTS = PermitTimeouts()
RESTART_DELAY = 300 * MS  # after a write that failed
CRASH_BEFORE_WRITE, CRASH_AFTER_WRITE = 1, 2


class SimulatedReplica:
    """Carries out what the replica decides. Its storage outlives the process, all else is lost with it."""

    def __init__(self, host: SimulatedHost) -> None:
        """`start` begins the process."""
        self.host = host
        self.storage: InMemoryStorage | None = None
        self.known_writes = 0  # of the storage, counted beside it
        self.crash_at_write = 0  # CRASH_BEFORE_WRITE or CRASH_AFTER_WRITE the next one
        self.timer: ScheduledEvent | None = None
        self.control_plane: ControlPlaneReplica | None = None
        self.completions: dict[Proposal, Callable[[Proposal], None]] = {}

    def start(self) -> None:
        """Make the replica from its storage, or with a new incarnation."""
        host = self.host
        now = host.now()
        if self.storage is not None and self.storage.writes < self.known_writes:
            self.storage = None  # an older copy
        if self.storage is None:
            self.known_writes = 0
            incarnation = f"{host.name}.{host.random.getrandbits(40):x}"
            self.storage = InMemoryStorage(DurableState(host.name, incarnation))
        self.control_plane = ControlPlaneReplica(
            now,
            self.storage.load(),
            host.random.getrandbits(60),
            ControlPlaneSettings(
                host.initial_voters,
                host.simulation.topology,
                RAFT_TIMEOUTS,
                PERMIT_TIMEOUTS,
                RolloutStateMachine,
                self._rollout_controller,
            ),
        )
        self.control_plane.on_committed = self._applied
        self.completions = {}

    def _rollout_controller(
        self, now: int, state_machine: RolloutStateMachine, allocator: PermitAllocator
    ) -> RolloutController:
        name = f"{self.host.name}.{self.host.random.getrandbits(40):x}"
        return RolloutController(now, state_machine, allocator, name)

    def _applied(self, index: int, command: commands.Command, result: object) -> None:
        simulation = self.host.simulation
        audit, now = simulation.audit, simulation.clock.now
        content = commands.encode(command)
        audit.command_applied(now, self.host.name, index, content)
        if not isinstance(result, Rejection):
            simulation.rollout_audit.record_command(now, self.host.name, content)
        if self.control_plane and isinstance(
            command,
            commands.HaltOrder | commands.CancelOrder | commands.ReleasePermit | commands.ExpirePermit,
        ):
            for order in self.control_plane.state_machine.state.orders.values():
                if order.halted_by and all(
                    part.state not in ("waiting", "granted") for part in order.tasks.values()
                ):
                    audit.order_halted(order.id)

    def start_timer(self, restarts: int) -> None:
        """Tick for the first time."""
        self.timer = self.host.simulation.clock.after(1, self._tick, restarts)

    def _tick(self, restarts: int) -> None:
        host = self.host
        if not host.may_act(restarts, lambda: self._tick(restarts)):
            return
        if self.control_plane:
            self.carry_out(self.control_plane.tick(host.now()))
        if restarts == host.restarts:
            self._schedule()

    def _schedule(self) -> None:
        """Set the timer to when the replica has something to do next; anew after whatever happens to it."""
        host = self.host
        if self.timer:
            self.timer.cancel()
        wait = 100 * MS
        if self.control_plane:
            wait = max(MS, int((self.control_plane.replica.next_tick_at() - host.now()) / host.rate))
            wait = min(wait, 50 * MS if self.control_plane.allocator else SECOND)
        self.timer = host.simulation.clock.after(wait, self._tick, host.restarts)

    def carry_out(self, outputs: list[Output]) -> None:
        """Write, send and complete in this order, or crash in between."""
        simulation, host = self.host.simulation, self.host
        for output in outputs:
            if self.control_plane is None or self.storage is None or not self._write(output):
                return
            for recipient, envelope in output.envelopes:
                simulation.network.send(host.name, recipient, envelope)
            for proposal in output.completed:
                if complete := self.completions.pop(proposal, None):
                    complete(proposal)
        replica = self.control_plane and self.control_plane.replica
        if replica and replica.role is Role.LEADER:
            simulation.audit.leader_observed(simulation.clock.now, replica.term, replica.incarnation)
        if replica and replica.role is Role.STALE:
            self.storage = None
            self.start()

    def _write(self, output: Output) -> bool:
        """Return whether the update is stored; else the process has crashed, or the disk is full."""
        host, control_plane = self.host, self.control_plane
        if output.storage_update is None or control_plane is None or self.storage is None:
            return True
        if self._crashes(CRASH_BEFORE_WRITE):
            return False
        if host.disk_full:  # as if it had crashed: made again from what is there
            self.control_plane = None
            host.simulation.clock.after(RESTART_DELAY, self._restart, host.restarts)
            return False
        self.storage.write(control_plane.replica.durable, output.storage_update)
        self.known_writes = self.storage.writes
        return not self._crashes(CRASH_AFTER_WRITE)

    def _crashes(self, moment: int) -> bool:
        if self.crash_at_write != moment:
            return False
        self.crash_at_write = 0
        self.host.simulation.kill(self.host, SECOND)
        return True

    def _restart(self, restarts: int) -> None:
        host = self.host
        if restarts == host.restarts and self.control_plane is None:
            if host.disk_full:
                host.simulation.clock.after(RESTART_DELAY, self._restart, restarts)
            else:
                self.start()

    def receive(self, envelope: Envelope) -> None:
        """Take a message of another replica."""
        host = self.host
        if not host.running or not self.control_plane:
            return
        if host.stopped:
            host.deferred.append(lambda: self.receive(envelope))
            return
        restarts = host.restarts
        self.carry_out(self.control_plane.receive(host.now(), envelope))
        if restarts == host.restarts:
            self._schedule()
