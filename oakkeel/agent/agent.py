"""The agent of one host: decides on steps, stores the changed state, and then executes the steps."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import time
from collections.abc import Sequence

from oakkeel.agent.configuration import AgentKeys, AgentParts, AgentSettings
from oakkeel.agent.control_plane_member import ControlPlaneMember, services_of
from oakkeel.agent.executor import InstanceExecutor
from oakkeel.agent.instances import Instance
from oakkeel.agent.orders import OrderRegistry
from oakkeel.agent.processes import Process, Processes, read_boot_id
from oakkeel.agent.raft_runtime import RaftRuntime
from oakkeel.agent.reconciler import Reconciler
from oakkeel.agent.request_handlers import RequestHandlers
from oakkeel.agent.server import DEFAULT_MAX_CONNECTIONS, AgentServer, ServerLimits
from oakkeel.agent.state_writer import StateWriter
from oakkeel.agent.status_reporter import StatusReporter
from oakkeel.agent.storage import (
    ADDED_TABLES,
    SCHEMA,
    VERSION,
    restore_assignments,
    restore_instances,
    restore_orders,
    restore_permits,
)
from oakkeel.agent.supervisor import Supervisor
from oakkeel.authentication.mac import Key
from oakkeel.disruption.holder import PermitHolder
from oakkeel.log import EventLog, describe_error
from oakkeel.settings.types import Fleet
from oakkeel.store.database import Database
from oakkeel.units import MS, SECOND

CYCLE_INTERVAL_NS = 100 * MS
MAX_LOG_LINES_PER_SECOND = 50
MAX_CONNECTIONS_PER_HOST = 3  # additional connections for each host of a fleet with a control plane
STATE_FOLDER_MODE = 0o700
SEED_BITS = 63
INCARNATION_BITS = 60
DEFAULT_PARTS = AgentParts()


class Agent:
    """Constructs the parts of an agent and runs them."""

    def __init__(
        self,
        settings: AgentSettings,
        keys: AgentKeys,
        log: EventLog,
        seed: int,
        parts: AgentParts = DEFAULT_PARTS,
    ) -> None:
        """Raises OSError if the state folder can't be used or the address is in use."""
        host = settings.host
        os.makedirs(host.state_folder, mode=STATE_FOLDER_MODE, exist_ok=True)
        self.settings = settings
        self.host = host
        self.keys = keys.accepted
        self.log = log
        self.started_at = time.monotonic_ns()
        self.store = parts.store or Database(os.path.join(host.state_folder, "agent.db"), SCHEMA, VERSION)
        self.notes: list[str] = []  # conditions found at the start, for the operator
        fleet = settings.fleet
        self.fleet = fleet if fleet and fleet.control_plane else None
        self._restore_state(seed)
        self.executor = InstanceExecutor(
            settings, parts, self.supervisor, self.permit_holder, log, self.run_cycle
        )
        self.reconciler: Reconciler | None = None
        self.member: ControlPlaneMember | None = None
        if self.fleet and self.permit_holder:
            self._make_member(self.fleet, self.permit_holder, keys.agents)
        self.state_writer = StateWriter(self.store, self.orders, self.reconciler, log)
        self.stop_requested = asyncio.Event()
        self.handlers = RequestHandlers(self)
        limits = _server_limits(self.fleet)
        self.server = AgentServer(host.agent_address, lambda: self.keys, self.handlers.handle, log, limits)

    def _restore_state(self, seed: int) -> None:
        """Create the supervisor, the permit holder and the order registry from the stored state."""
        host = self.host
        if self.store.quarantine_note:
            self.notes.append(f"the state file was quarantined: {self.store.quarantine_note}")
            self.log.warning("agent_state_quarantined", file=self.store.quarantine_note)
        instances = {
            each.name: Instance(each.name, host.site, phase_since=self.started_at) for each in host.instances
        }
        self.store.write(ADDED_TABLES)
        is_same_boot = self._record_boot()
        restore_instances(self.store, instances, is_same_boot)
        for instance in instances.values():
            instance.phase_since = self.started_at
        self.permit_holder = self._make_permit_holder(self.fleet, seed) if self.fleet else None
        self.supervisor = Supervisor(
            instances.values(),
            self.settings.timeouts,
            {host.site: host.max_unavailable},
            seed,
            time.time_ns,
        )
        self.orders = OrderRegistry(self.supervisor, time.time_ns, self.permit_holder)
        restore_orders(self.store, self.orders)
        if not is_same_boot:
            self.orders.fail_open_tasks(self.started_at, "the host was rebooted")

    def _make_member(self, fleet: Fleet, permit_holder: PermitHolder, agent_keys: dict[str, Key]) -> None:
        service_names = tuple(service.name for service in services_of(fleet, self.host.name))
        self.reconciler = Reconciler(self.supervisor, self.orders, permit_holder, services=service_names)
        restore_assignments(self.store, self.reconciler.assignments)
        self.member = ControlPlaneMember(
            self.settings, agent_keys, self.reconciler, self.executor, self.run_cycle, self.log
        )

    def _make_permit_holder(self, fleet: Fleet, seed: int) -> PermitHolder:
        services = services_of(fleet, self.host.name)
        targets = (*(each.name for each in self.host.instances), *(each.name for each in services))
        incarnation = seed & (1 << INCARNATION_BITS) - 1
        permit_holder = PermitHolder(self.host.name, targets, incarnation)
        restore_permits(self.store, permit_holder)
        return permit_holder

    def _record_boot(self) -> bool:
        """Store the ID of the current boot.

        Returns False if the host was rebooted since the state was stored; True for a new state file, which
        holds no boot ID.
        """
        boot_id = read_boot_id()
        stored_ids = self.store.read("SELECT id FROM boot")
        if stored_ids == [(boot_id,)]:
            return True
        self.store.write([("DELETE FROM boot", ()), ("INSERT INTO boot VALUES (?)", (boot_id,))])
        return not stored_ids

    @property
    def raft(self) -> RaftRuntime | None:
        """The replica of this host, if it has one."""
        return self.member.raft if self.member else None

    @property
    def status_reporter(self) -> StatusReporter | None:
        """The sender of this host's heartbeats, if the fleet has a control plane."""
        return self.member.status_reporter if self.member else None

    @property
    def running_processes(self) -> dict[Instance, Process]:
        """The running processes by instance."""
        return self.executor.running_processes

    @property
    def processes(self) -> Processes:
        """The processes of the host's instances."""
        return self.executor.processes

    async def run(self) -> None:
        """Run until SIGTERM. The instances keep running, and the next agent resumes the open orders."""
        loop = asyncio.get_running_loop()
        self.log.capture_library_logs(loop)
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.stop_requested.set)
        await self.executor.find_processes()
        if self.fleet and self.reconciler and self.member:
            if self.store.is_new:
                self.reconciler.recover_from_leader()
            self.member.join(self.fleet)
        self.server.open()
        address = f"{self.server.address[0]}:{self.server.address[1]}"
        self.log.info(
            "agent_started",
            address=address,
            instances=len(self.supervisor.instances),
            running=len(self.running_processes),
            open_orders=self._open_order_count(),
        )
        while not self.stop_requested.is_set():
            self.run_cycle()
            try:
                async with asyncio.timeout(CYCLE_INTERVAL_NS / SECOND):
                    await self.stop_requested.wait()
            except TimeoutError:
                continue
        self._close()

    def _open_order_count(self) -> int:
        return sum(order.is_open for order in self.orders.orders.values())

    def _close(self) -> None:
        self.log.info(
            "agent_stopped", running=len(self.running_processes), open_orders=self._open_order_count()
        )
        self.server.close()
        if self.member:
            self.member.close()
        self.save()
        self.executor.close()
        self.store.close()

    def operator_notes(self) -> Sequence[str]:
        """Conditions of this host that its operator should know."""
        notes = list(self.notes)
        if self.storage_error:
            notes.append(f"orders wait, as the state file can't be written: {self.storage_error}")
        for instance in self.executor.unidentified:
            notes.append(f"{instance.name}: a process that can't be identified holds its lock")
        if self.member:
            notes += self.member.operator_notes()
        return notes

    # The reconciliation cycle.

    def run_cycle(self) -> None:
        """Decide on steps, store the changed state and execute the steps; nothing else executes steps."""
        try:
            now = time.monotonic_ns()
            if self.executor.unidentified:
                self.executor.identify_processes(now)
            if not self.storage_error:  # an order's changes must be stored before its steps are executed
                self.orders.advance(now)
            steps = self.orders.permitted_steps(now, self.supervisor.tick(now))
            is_saved = self.save()
            for step in steps:
                if is_saved or step.instance.task is None:
                    self.executor.execute(step)
                else:
                    self.executor.postpone(step)
            if steps:
                self.save()
                if self.member:
                    self.member.wake()
        except Exception as error:  # the agent continues
            self.log.error("reconcile_failed", error=describe_error(error))

    @property
    def storage_error(self) -> str:
        """The reason the state can't be written; empty if it can."""
        return self.state_writer.storage_error

    def save(self) -> bool:
        """Write the changed state; return False if that fails: supervision continues, and orders wait."""
        return self.state_writer.save()

    def apply_settings(self, fleet: Fleet, keys: dict[str, Key]) -> None:
        """Apply new keys and fair-sharing settings; other settings need a restart of the agent."""
        self.keys = keys
        self.executor.update_fair_sharing(fleet.fairness)
        self.log.info("settings_reloaded", keys=len(keys))


def _server_limits(fleet: Fleet | None) -> ServerLimits | None:
    """The limits of the server. With a control plane, the agents of the other hosts connect as well."""
    if fleet is None:
        return None
    return ServerLimits(max_connections=DEFAULT_MAX_CONNECTIONS + MAX_CONNECTIONS_PER_HOST * len(fleet.hosts))


def new_seed() -> int:
    """Return a random seed from the entropy of the operating system."""
    return random.SystemRandom().getrandbits(SEED_BITS)
