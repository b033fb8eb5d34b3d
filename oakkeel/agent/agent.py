"""The agent of one host: what is decided is kept on disk, then carried out."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import time
from collections.abc import Sequence

from oakkeel.agent.artifacts import ArtifactStore
from oakkeel.agent.executor import InstanceExecutor
from oakkeel.agent.instances import Instance
from oakkeel.agent.orders import OrderRegistry
from oakkeel.agent.processes import Process, Processes, boot
from oakkeel.agent.raft_runtime import RaftRuntime
from oakkeel.agent.reconciler import Reconciler
from oakkeel.agent.request_handlers import RequestHandlers
from oakkeel.agent.server import AgentServer, ServerLimits
from oakkeel.agent.state_writer import StateWriter
from oakkeel.agent.status_reporter import StatusReporter, probe
from oakkeel.agent.storage import (
    ADDED_TABLES,
    SCHEMA,
    VERSION,
    restore_assignments,
    restore_instances,
    restore_orders,
    restore_permits,
)
from oakkeel.agent.supervision_rules import SupervisionTimeouts
from oakkeel.agent.supervisor import Supervisor
from oakkeel.authentication.mac import Key
from oakkeel.disruption.holder import PermitHolder
from oakkeel.disruption.messages import HeartbeatResponse
from oakkeel.log import EventLog, fault
from oakkeel.settings.types import FairSharingSettings, Fleet, HostSettings
from oakkeel.store.database import Database
from oakkeel.units import MS, SECOND

RECONCILE_INTERVAL = 100 * MS  # between looks at everything
LOG_LINES = 50  # a second
DROP = 60 * SECOND  # between looks for versions that nothing needs


class Agent:
    """Puts the parts together. `store`, `processes` and `program` may be handed in."""

    def __init__(
        self,
        host: HostSettings,
        timeouts: SupervisionTimeouts,
        keys: dict[str, Key],
        log: EventLog,
        seed: int,
        store: Database | None = None,
        processes: type[Processes] = Processes,
        program: tuple[str, ...] = (sys.executable, "-m", "oakkeel"),
        fair_sharing: FairSharingSettings | None = None,
        fleet: Fleet | None = None,
        agent_keys: dict[str, Key] | None = None,
    ) -> None:
        """`fleet` with `agent_keys`: it keeps a record. Raises OSError where its folder can't be used or its
        address is taken."""
        os.makedirs(host.state, mode=0o700, exist_ok=True)
        self.host, self.keys, self.log = host, keys, log
        self.started_at = time.monotonic_ns()
        self.store = store or Database(os.path.join(host.state, "agent.db"), SCHEMA, VERSION)
        self.notes: list[str] = []
        self.fleet = fleet if fleet and fleet.control_plane else None
        self._restore_state(timeouts, seed)
        self.pruned_at = self.started_at
        self.executor = InstanceExecutor(
            host, self.supervisor, log, processes, program, fair_sharing, self.reconcile, self.permit_holder
        )
        self.reconciler: Reconciler | None = None
        self.artifacts: ArtifactStore | None = None
        if self.permit_holder:
            self._make_reconciler(self.permit_holder)
        self.state_writer = StateWriter(self.store, self.orders, self.reconciler, log)
        self.stop_requested = asyncio.Event()
        self.raft: RaftRuntime | None = None
        self.status_reporter: StatusReporter | None = None
        self.tasks: list[asyncio.Task[None]] = []
        self.agent_keys = agent_keys or {}
        limits = ServerLimits(connections=64 + 3 * len(fleet.hosts)) if self.fleet and fleet else None
        self.handlers = RequestHandlers(self)
        self.server = AgentServer(host.agent, lambda: self.keys, self.handlers.handle, log, limits)

    def _restore_state(self, timeouts: SupervisionTimeouts, seed: int) -> None:
        """Make the supervisor, the permit holder and the order registry from what is stored."""
        host = self.host
        if self.store.quarantined:
            self.notes.append(f"the state was set aside: {self.store.quarantined}")
            self.log.warning("agent_state_quarantined", file=self.store.quarantined)
        instances = {
            settings.name: Instance(settings.name, host.site, phase_since=self.started_at)
            for settings in host.instances
        }
        same_boot = self._is_same_boot()
        restore_instances(self.store, instances, same_boot)
        for instance in instances.values():
            instance.phase_since = self.started_at
        self.permit_holder = self._make_permit_holder(seed) if self.fleet else None
        self.supervisor = Supervisor(
            instances.values(), timeouts, {host.site: host.max_unavailable}, seed, time.time_ns
        )
        self.orders = OrderRegistry(self.supervisor, time.time_ns, permit_holder=self.permit_holder)
        restore_orders(self.store, self.orders)
        if not same_boot:
            self.orders.fail_all(self.started_at, "the host was started anew")

    def _make_reconciler(self, permit_holder: PermitHolder) -> None:
        self.reconciler = Reconciler(
            self.supervisor,
            self.orders,
            permit_holder,
            services=tuple(service.name for service in self.services),
        )
        restore_assignments(self.store, self.reconciler.assignments)
        self.artifacts = self.executor.artifacts = ArtifactStore(
            self.host, self.reconciler.assignments, self.log, self._artifacts_ready
        )

    def _make_permit_holder(self, seed: int) -> PermitHolder:
        assert self.fleet and self.fleet.control_plane
        self.services = tuple(
            each for each in self.fleet.control_plane.services if each.host == self.host.name
        )
        targets = (*(each.name for each in self.host.instances), *(each.name for each in self.services))
        permit_holder = PermitHolder(self.host.name, targets, seed & (1 << 60) - 1)
        self.store.write(ADDED_TABLES)
        restore_permits(self.store, permit_holder)
        return permit_holder

    def _is_same_boot(self) -> bool:
        """Whether the host runs since the state was kept last; from now on it does."""
        this, saved = boot(), self.store.read("SELECT id FROM boot")
        if saved == [(this,)]:
            return True
        self.store.write([("DELETE FROM boot", ()), ("INSERT INTO boot VALUES (?)", (this,))])
        return not saved

    @property
    def alive(self) -> dict[Instance, Process]:
        """The processes that run, by instance."""
        return self.executor.alive

    @property
    def processes(self) -> Processes:
        """The processes of the host's instances."""
        return self.executor.processes

    async def run(self) -> None:
        """Until SIGTERM. The instances go on without it, and open orders are taken up by the next agent."""
        loop = asyncio.get_running_loop()
        self.log.capture_library_logs(loop)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.stop_requested.set)
        await self.executor.find_processes()
        if self.fleet:
            self._join_control_plane()
        self.server.open()
        address = f"{self.server.address[0]}:{self.server.address[1]}"
        self.log.info(
            "agent_started",
            address=address,
            instances=len(self.supervisor.instances),
            running=len(self.alive),
            open_orders=self._open_orders(),
        )
        while not self.stop_requested.is_set():
            self.reconcile()
            try:
                await asyncio.wait_for(self.stop_requested.wait(), RECONCILE_INTERVAL / SECOND)
            except TimeoutError:
                continue
        self._close()

    def _open_orders(self) -> int:
        return sum(order.is_open for order in self.orders.orders.values())

    def _close(self) -> None:
        self.log.info("agent_stopped", running=len(self.alive), open_orders=self._open_orders())
        self.server.close()
        for task in self.tasks:
            task.cancel()
        if self.status_reporter:
            self.status_reporter.close()
        if self.raft:
            self.raft.close()
        if self.artifacts:
            self.artifacts.close()
        self.save()
        self.executor.close()
        self.store.close()

    # The record.

    def _join_control_plane(self) -> None:
        reconciler = self.reconciler
        assert self.fleet and self.fleet.control_plane and reconciler
        if self.store.created:
            reconciler.state_file_lost()
        self.status_reporter = StatusReporter(
            self.fleet, self.host.name, self.agent_keys, reconciler, self.log, self._response_received
        )
        if self.host.name in self.fleet.control_plane.hosts or os.path.exists(
            os.path.join(self.host.state, "record.db")
        ):
            self._start_raft()
        self.tasks.append(asyncio.ensure_future(self.status_reporter.run()))
        self.tasks += [
            asyncio.ensure_future(probe(each, reconciler.services, self.status_reporter.wake.set))
            for each in self.services
        ]

    def _start_raft(self) -> None:
        assert self.fleet and self.status_reporter
        try:
            self.raft = self.status_reporter.raft = RaftRuntime(
                self.fleet, self.host.name, self.agent_keys, self.log
            )
            self.raft.open()
        except OSError as error:
            self.log.error("raft_unavailable", error=str(error))

    def _response_received(self, agreed: HeartbeatResponse) -> None:
        if self.raft is None and self.host.name in agreed.voters:
            self._start_raft()
        self.reconcile()
        if self.artifacts:
            self.artifacts.prepare()
            alive = list(self.alive)
            if time.monotonic_ns() - self.pruned_at > DROP and all(each.report for each in alive):
                self.pruned_at = time.monotonic_ns()
                self.artifacts.prune({each.running_version for each in alive})

    def _artifacts_ready(self) -> None:
        """Copies for a release are made, or can't be: told with the next poll."""
        self.reconcile()
        if self.status_reporter:
            self.status_reporter.wake.set()

    def operator_notes(self) -> Sequence[str]:
        """What its operator should know of."""
        notes = list(self.notes)
        if self.storage_error:
            notes.append(f"orders wait, as the state can't be kept: {self.storage_error}")
        for instance in self.executor.unidentified:
            notes.append(f"{instance.name}: a process that can't be identified holds its lock")
        if self.status_reporter and self.status_reporter.why:
            notes.append(f"the record is not heard, nothing new leaves here: {self.status_reporter.why}")
        if self.raft and self.raft.storage_error:
            notes.append(f"the record can't be kept here: {self.raft.storage_error}")
        return notes

    # Turns.

    def reconcile(self) -> None:
        """Decide, keep, act: the one place where steps are carried out."""
        try:
            now = time.monotonic_ns()
            if self.executor.unidentified:
                self.executor.identify_processes(now)
            if not self.storage_error:  # what orders change must be kept before it is done
                self.orders.advance(now)
            steps = self.orders.permitted_steps(now, self.supervisor.tick(now))
            saved = self.save()
            for step in steps:
                if saved or step.instance.task is None:
                    self.executor.execute(step)
                else:
                    self.executor.postpone(step)
            if steps:
                self.save()
                if self.status_reporter:
                    self.status_reporter.wake.set()
        except Exception as error:  # the agent lives on
            self.log.error("reconcile_failed", error=fault(error))

    @property
    def storage_error(self) -> str:
        """Why the state can't be written; empty where it can."""
        return self.state_writer.storage_error

    def save(self) -> bool:
        """Write what changed. Supervision goes on where that fails; orders wait."""
        return self.state_writer.save()

    def apply_settings(self, fleet: Fleet, keys: dict[str, Key]) -> None:
        """Keys hold at once; what nodes are told they read again. All else waits for the next agent."""
        self.keys = keys
        self.executor.update_fair_sharing(fleet.fairness)
        self.log.info("settings_reloaded", keys=len(keys))


def new_seed() -> int:
    """A seed from the system's entropy."""
    return random.SystemRandom().getrandbits(63)
