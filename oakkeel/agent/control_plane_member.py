"""An agent's part in the control plane: heartbeats, probes, releases and the replica of its host."""

from __future__ import annotations

import asyncio
import os
import time
from collections.abc import Callable

from oakkeel.agent.artifacts import ArtifactStore
from oakkeel.agent.configuration import AgentSettings, control_plane_of
from oakkeel.agent.executor import InstanceExecutor
from oakkeel.agent.raft_runtime import RAFT_DATABASE, RaftRuntime
from oakkeel.agent.reconciler import Reconciler
from oakkeel.agent.status_reporter import StatusReporter, probe
from oakkeel.authentication.mac import Key
from oakkeel.disruption.messages import HeartbeatResponse
from oakkeel.log import EventLog
from oakkeel.settings.types import Fleet, Service
from oakkeel.units import SECOND

PRUNE_INTERVAL_NS = 60 * SECOND  # between deletions of unused program and configuration versions


class ControlPlaneMember:
    """Connects one host with the control plane."""

    def __init__(
        self,
        settings: AgentSettings,
        agent_keys: dict[str, Key],
        reconciler: Reconciler,
        executor: InstanceExecutor,
        run_cycle: Callable[[], None],
        log: EventLog,
    ) -> None:
        """`run_cycle` is called after each response and after each preparation of a release."""
        self.host = settings.host
        self.agent_keys = agent_keys
        self.reconciler = reconciler
        self.executor = executor
        self.run_cycle = run_cycle
        self.log = log
        self.artifacts = ArtifactStore(
            self.host, reconciler.assignments, log, self._handle_prepared_artifacts
        )
        executor.launcher.artifacts = self.artifacts
        self.pruned_at = time.monotonic_ns()
        self.raft: RaftRuntime | None = None
        self.status_reporter: StatusReporter | None = None
        self.tasks: list[asyncio.Task[None]] = []  # heartbeats and probes

    def join(self, fleet: Fleet) -> None:
        """Start the heartbeats, the probes of downstream services, and the replica if this host has one."""
        reporter = StatusReporter(
            fleet, self.host.name, self.agent_keys, self.reconciler, self.log, self._handle_response
        )
        self.status_reporter = reporter
        has_replica_file = os.path.exists(os.path.join(self.host.state_folder, RAFT_DATABASE))
        if self.host.name in control_plane_of(fleet).initial_voters or has_replica_file:
            self._start_raft(reporter)
        self.tasks.append(asyncio.ensure_future(reporter.run()))
        self.tasks += [
            asyncio.ensure_future(probe(service, self.reconciler.services, reporter.wake.set))
            for service in services_of(fleet, self.host.name)
        ]

    def _start_raft(self, reporter: StatusReporter) -> None:
        try:
            self.raft = RaftRuntime(reporter.fleet, self.host.name, self.agent_keys, self.log)
            reporter.raft = self.raft
            self.raft.open()
        except OSError as error:
            self.log.error("raft_unavailable", error=str(error))

    def wake(self) -> None:
        """Send the next heartbeat at once."""
        if self.status_reporter:
            self.status_reporter.wake.set()

    def _handle_response(self, response: HeartbeatResponse) -> None:
        if self.raft is None and self.host.name in response.voters and self.status_reporter:
            self._start_raft(self.status_reporter)
        self.run_cycle()
        self.artifacts.prepare()
        self._prune_artifacts()

    def _prune_artifacts(self) -> None:
        """Delete the copies of unused versions, if the version of each running process is known."""
        running_instances = list(self.executor.running_processes)
        is_due = time.monotonic_ns() - self.pruned_at > PRUNE_INTERVAL_NS
        if is_due and all(instance.report for instance in running_instances):
            self.pruned_at = time.monotonic_ns()
            self.artifacts.prune({instance.running_version for instance in running_instances})

    def _handle_prepared_artifacts(self) -> None:
        """Send a heartbeat at once: it reports whether this host has prepared the release."""
        self.run_cycle()
        self.wake()

    def operator_notes(self) -> list[str]:
        """The faults between this host and the control plane, for the operator."""
        notes = []
        if self.status_reporter and self.status_reporter.why:
            notes.append(f"no leader answers, so nothing new is drained here: {self.status_reporter.why}")
        if self.raft and self.raft.storage_error:
            notes.append(f"the replica's file can't be written: {self.raft.storage_error}")
        return notes

    def close(self) -> None:
        """Cancel all tasks and close connections and files."""
        for task in self.tasks:
            task.cancel()
        if self.status_reporter:
            self.status_reporter.close()
        if self.raft:
            self.raft.close()
        self.artifacts.close()


def services_of(fleet: Fleet, host: str) -> tuple[Service, ...]:
    """The downstream services that the agent of a host probes."""
    return tuple(service for service in control_plane_of(fleet).services if service.host == host)
