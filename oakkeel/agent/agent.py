"""The agent of one host: what is decided is kept on disk, then carried out."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import sys
import time
from collections.abc import Sequence
from dataclasses import replace

from oakkeel.agent.artifacts import ArtifactStore
from oakkeel.agent.executor import InstanceExecutor
from oakkeel.agent.instances import Instance
from oakkeel.agent.orders import OrderRegistry
from oakkeel.agent.processes import Processes, boot
from oakkeel.agent.raft_runtime import RaftRuntime
from oakkeel.agent.reconciler import Reconciler
from oakkeel.agent.request_handlers import RequestHandlers
from oakkeel.agent.server import AgentServer, ServerLimits
from oakkeel.agent.status_reporter import StatusReporter, probe
from oakkeel.agent.storage import (
    ADDED_TABLES,
    SCHEMA,
    VERSION,
    assignment_statements,
    permit_statements,
    restore_assignments,
    restore_instances,
    restore_orders,
    restore_permits,
    statements,
)
from oakkeel.agent.supervisor import MS, SECOND, SupervisionTimeouts, Supervisor
from oakkeel.authentication.mac import Key
from oakkeel.disruption.holder import PermitHolder
from oakkeel.disruption.messages import HeartbeatResponse
from oakkeel.log import EventLog, fault
from oakkeel.settings.types import FairSharingSettings, Fleet, HostSettings
from oakkeel.store.database import Database, DatabaseError

TURN = 100 * MS  # between looks at everything
LOG_LINES = 50  # a second
DROP = 60 * SECOND  # between looks for versions that nothing needs


class Agent:
    """Puts the parts together. `store`, `processes` and `program` may be handed in."""

    def __init__(
        self,
        host: HostSettings,
        patience: SupervisionTimeouts,
        keys: dict[str, Key],
        log: EventLog,
        seed: int,
        store: Database | None = None,
        processes: type[Processes] = Processes,
        program: tuple[str, ...] = (sys.executable, "-m", "oakkeel"),
        fairness: FairSharingSettings | None = None,
        fleet: Fleet | None = None,
        agent_keys: dict[str, Key] | None = None,
    ) -> None:
        """`fleet` with `agent_keys`: it keeps a record. Raises OSError where its folder can't be used or its
        address is taken."""
        os.makedirs(host.state, mode=0o700, exist_ok=True)
        self.host, self.keys, self.log = host, keys, log
        self.started = time.monotonic_ns()
        self.store = store or Database(os.path.join(host.state, "agent.db"), SCHEMA, VERSION)
        self.notes: list[str] = []
        instances = {each.name: Instance(each.name, host.site, since=self.started) for each in host.instances}
        if self.store.quarantined:
            self.notes.append(f"the state was set aside: {self.store.quarantined}")
            log.warning("agent_state_quarantined", file=self.store.quarantined)
        same_boot = self._same_boot()
        restore_instances(self.store, instances, same_boot)
        for each in instances.values():
            each.since = self.started
        self.fleet = fleet if fleet and fleet.control_plane else None
        self.permit_holder = self._holding(seed) if self.fleet else None
        self.supervision = Supervisor(
            instances.values(), patience, {host.site: host.max_unavailable}, seed, time.time_ns
        )
        self.orders = OrderRegistry(self.supervision, time.time_ns, permit_holder=self.permit_holder)
        restore_orders(self.store, self.orders)
        if not same_boot:
            self.orders.expire_all(self.started, "the host was started anew")
        self.store_fault = ""
        self.dropped_at = self.started
        self.executor = InstanceExecutor(
            host, self.supervision, log, processes, program, fairness, self.turn, self.permit_holder
        )
        self.reconciler: Reconciler | None = None
        self.versions: ArtifactStore | None = None
        if self.permit_holder:
            self.reconciler = Reconciler(
                self.supervision,
                self.orders,
                self.permit_holder,
                services=tuple(each.name for each in self.services),
            )
            restore_assignments(self.store, self.reconciler.fitting)
            self.versions = self.executor.versions = ArtifactStore(
                host, self.reconciler.fitting, log, self._ready
            )
        self.done = asyncio.Event()
        self.raft: RaftRuntime | None = None
        self.status_reporter: StatusReporter | None = None
        self.tasks: list[asyncio.Task] = []
        self.agent_keys = agent_keys or {}
        links = ServerLimits(links=64 + 3 * len(fleet.hosts)) if self.fleet and fleet else None
        self.answering = RequestHandlers(self)
        self.door = AgentServer(host.agent, lambda: self.keys, self.answering.handle, log, links)

    def _holding(self, seed: int) -> PermitHolder:
        assert self.fleet and self.fleet.control_plane
        self.services = tuple(
            each for each in self.fleet.control_plane.services if each.host == self.host.name
        )
        things = (*(each.name for each in self.host.instances), *(each.name for each in self.services))
        permit_holder = PermitHolder(self.host.name, things, seed & (1 << 60) - 1)
        self.store.write(ADDED_TABLES)
        restore_permits(self.store, permit_holder)
        return permit_holder

    def _same_boot(self) -> bool:
        """Whether the host runs since the state was kept last; from now on it does."""
        this, kept = boot(), self.store.read("SELECT id FROM boot")
        if kept == [(this,)]:
            return True
        self.store.write([("DELETE FROM boot", ()), ("INSERT INTO boot VALUES (?)", (this,))])
        return not kept

    # As stories and stand-ins know it.

    @property
    def alive(self):
        return self.executor.alive

    @property
    def processes(self) -> Processes:
        return self.executor.processes

    async def run(self) -> None:
        """Until SIGTERM. The instances go on without it, and open orders are taken up by the next agent."""
        loop = asyncio.get_running_loop()
        self.log.capture_library_logs(loop)
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.done.set)
        await self.executor.find_processes()
        if self.fleet:
            self._open_record()
        self.door.open()
        address = f"{self.door.address[0]}:{self.door.address[1]}"
        self.log.info(
            "agent_started",
            address=address,
            instances=len(self.supervision.instances),
            running=len(self.alive),
            open_orders=sum(each.open for each in self.orders.orders.values()),
        )
        while not self.done.is_set():
            self.turn()
            try:
                await asyncio.wait_for(self.done.wait(), TURN / SECOND)
            except TimeoutError:
                continue
        self.log.info(
            "agent_stopped",
            running=len(self.alive),
            open_orders=sum(each.open for each in self.orders.orders.values()),
        )
        self.door.close()
        for task in self.tasks:
            task.cancel()
        if self.status_reporter:
            self.status_reporter.close()
        if self.raft:
            self.raft.close()
        if self.versions:
            self.versions.close()
        self.keep()
        self.executor.close()
        self.store.close()

    # The record.

    def _open_record(self) -> None:
        reconciler = self.reconciler
        assert self.fleet and self.fleet.control_plane and reconciler
        if self.store.created:
            reconciler.lost_file()
        self.status_reporter = StatusReporter(
            self.fleet, self.host.name, self.agent_keys, reconciler, self.log, self._heard
        )
        if self.host.name in self.fleet.control_plane.hosts or os.path.exists(
            os.path.join(self.host.state, "record.db")
        ):
            self._keep_record()
        self.tasks.append(asyncio.ensure_future(self.status_reporter.run()))
        self.tasks += [
            asyncio.ensure_future(probe(each, reconciler.below, self.status_reporter.soon.set))
            for each in self.services
        ]

    def _keep_record(self) -> None:
        assert self.fleet and self.status_reporter
        try:
            self.raft = self.status_reporter.raft = RaftRuntime(
                self.fleet, self.host.name, self.agent_keys, self.log
            )
            self.raft.open()
        except OSError as error:
            self.log.error("raft_unavailable", error=str(error))

    def _heard(self, agreed: HeartbeatResponse) -> None:
        if self.raft is None and self.host.name in agreed.voters:
            self._keep_record()
        self.turn()
        if self.versions:
            self.versions.prepare()
            alive = list(self.alive)
            if time.monotonic_ns() - self.dropped_at > DROP and all(each.report for each in alive):
                self.dropped_at = time.monotonic_ns()
                self.versions.drop({each.ran for each in alive})

    def _ready(self) -> None:
        """Copies for a release are made, or can't be: told with the next poll."""
        self.turn()
        if self.status_reporter:
            self.status_reporter.soon.set()

    def said(self) -> Sequence[str]:
        """What its operator should know of."""
        notes = list(self.notes)
        if self.store_fault:
            notes.append(f"orders wait, as the state can't be kept: {self.store_fault}")
        for instance in self.executor.lost:
            notes.append(f"{instance.name}: a process that can't be identified holds its lock")
        if self.status_reporter and self.status_reporter.why:
            notes.append(f"the record is not heard, nothing new leaves here: {self.status_reporter.why}")
        if self.raft and self.raft.fault:
            notes.append(f"the record can't be kept here: {self.raft.fault}")
        return notes

    # Turns.

    def turn(self) -> None:
        """Decide, keep, act: the one place where steps are carried out."""
        try:
            now = time.monotonic_ns()
            if self.executor.lost:
                self.executor.find_lost(now)
            if not self.store_fault:  # what orders change must be kept before it is done
                self.orders.advance(now)
            steps = self.orders.hold_back(now, self.supervision.tick(now))
            kept = self.keep()
            for step in steps:
                if kept or step.instance.part is None:
                    self.executor.carry_out(step)
                else:
                    self.executor.put_off(step)
            if steps:
                self.keep()
                if self.status_reporter:
                    self.status_reporter.soon.set()
        except Exception as error:  # the agent lives on
            self.log.error("reconcile_failed", error=fault(error))

    def keep(self) -> bool:
        """Write what changed. Watching goes on where that fails; orders wait."""
        changed = [each for each in self.supervision.instances if each.dirty]
        fitting = self.reconciler.fitting if self.reconciler else None
        places = bool(self.permit_holder and self.permit_holder.changed) or bool(fitting and fitting.changed)
        if (
            not changed
            and not self.orders.changed
            and not self.orders.dropped
            and not places
            and not self.store_fault
        ):
            return True
        rows = statements(changed, self.orders.changed, self.orders.dropped)
        if self.permit_holder:
            rows += permit_statements(self.permit_holder)
        if fitting:
            rows += assignment_statements(fitting)
        try:
            self.store.write(rows)
        except DatabaseError as error:
            if str(error) != self.store_fault:
                self.log.error("agent_state_write_failed", error=str(error))
            self.store_fault = str(error)
            return False
        for each in changed:
            each.dirty = False
        self.orders.changed.clear()
        self.orders.dropped.clear()
        if self.permit_holder:
            self.permit_holder.changed.clear()
        if fitting:
            fitting.changed = False
        if self.store_fault:
            self.log.info("agent_state_write_recovered")
            self.store_fault = ""
        return True

    def take_settings(self, fleet: Fleet, keys: dict[str, Key]) -> None:
        """Keys hold at once; what nodes are told they read again. All else waits for the next agent."""
        self.keys = keys
        self.executor.take_fairness(fleet.fairness)
        self.log.info("settings_reloaded", keys=len(keys))


def timeouts_of(told: dict[str, int | bool]) -> SupervisionTimeouts:
    """What the settings say, the rest as it is built in."""
    return replace(SupervisionTimeouts(), **told)  # type: ignore[arg-type]


def new_seed() -> int:
    return random.SystemRandom().getrandbits(63)
