"""Executes the steps of the supervisor: starts, drains and kills processes, and polls their status."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Callable

from oakkeel.agent.configuration import AgentParts, AgentSettings
from oakkeel.agent.control_requests import CONTROL_REQUEST_TIMEOUT_NS, DrainRequester
from oakkeel.agent.instances import Instance
from oakkeel.agent.launcher import CONFIG_VARIABLE, InstanceLauncher
from oakkeel.agent.node_configuration import read_stop_after
from oakkeel.agent.processes import Process, read_variable
from oakkeel.agent.supervision_rules import Action
from oakkeel.agent.supervisor import Step, Supervisor
from oakkeel.control.client import ControlClient, ControlError
from oakkeel.disruption.holder import PermitHolder
from oakkeel.log import EventLog, LogFields, describe_error
from oakkeel.settings.types import FairSharingSettings
from oakkeel.units import MS, SECOND

MIN_STATUS_INTERVAL_NS = 200 * MS  # between two status requests to one node
STATUS_INTERVAL_PER_INSTANCE_NS = 4 * MS  # the interval grows with the number of instances
IDENTIFICATION_TIMEOUT_NS = 2 * SECOND  # for processes of an earlier agent to write their pid files
IDENTIFICATION_INTERVAL_NS = 10 * MS


class InstanceExecutor:
    """Executes steps on the processes of a host's instances, and polls the status of each process."""

    def __init__(
        self,
        settings: AgentSettings,
        parts: AgentParts,
        supervisor: Supervisor,
        permit_holder: PermitHolder | None,
        log: EventLog,
        on_exit: Callable[[], None],
    ) -> None:
        """`on_exit` is called after a process has ended."""
        host = settings.host
        self.supervisor = supervisor
        self.permit_holder = permit_holder
        self.log = log
        self.on_exit = on_exit
        self.running_processes: dict[Instance, Process] = {}
        self.processes = parts.processes(host.state_folder, self._handle_process_exit)
        self.launcher = InstanceLauncher(host, self.processes, parts.program, settings.fair_sharing)
        self.drain_requester = DrainRequester(
            self.running_processes, self.processes, supervisor.timeouts, log
        )
        self.pollers: dict[Instance, asyncio.Task[None]] = {}  # tasks that poll the status
        self.reloads_due: set[Instance] = set()  # instances to signal once their processes have reported
        self.unidentified: set[Instance] = set()  # instances whose lock a process of unknown pid holds

    # Steps.

    def execute(self, step: Step) -> None:
        """Execute one step of the supervisor."""
        instance = step.instance
        process = self.running_processes.get(instance)
        fields = self._log_fields(instance)
        if step.action is Action.START:
            self._start(instance, fields)
        elif process is None:
            self.log.warning("process_not_found", **fields)
        elif step.action in (Action.DRAIN, Action.CANCEL_DRAIN):
            self.drain_requester.send(instance, process, step.action, fields)
        elif step.action is Action.TERM:
            self.log.info("drain_requested", **fields)
            self.processes.signal(process, signal.SIGTERM)
        else:
            self.log.info("drain_timeout_killed", **fields)
            self.processes.signal(process, signal.SIGKILL)

    def _log_fields(self, instance: Instance) -> LogFields:
        """The instance, generation, order and fencing token of a step, as fields of a log event."""
        fields: LogFields = {"target": instance.name, "generation": instance.process_generation}
        if instance.task:
            order = instance.task.order
            fields |= {"order": order.order_id, "operator": order.operator}
        permit = self.permit_holder.permits.get(instance.name) if self.permit_holder else None
        if permit and permit.started:
            fields["fence"] = permit.fencing_token
        return fields

    def postpone(self, step: Step) -> None:
        """Revert a step whose order could not be stored, so that the supervisor returns the step again."""
        instance = step.instance
        if step.action is Action.START:
            self.supervisor.record_abandoned_start(time.monotonic_ns(), instance)
        elif step.action in (Action.TERM, Action.DRAIN, Action.CANCEL_DRAIN):
            instance.drain_sent_at = 0
            if instance.task:
                instance.task.is_drain_sent = False

    def _start(self, instance: Instance, fields: LogFields) -> None:
        now = time.monotonic_ns()
        try:
            launched = self.launcher.launch(instance)
        except OSError as error:
            self.log.error("instance_start_failed", error=str(error), **fields)
            self.supervisor.record_failed_start(now, instance, str(error))
            return
        process = launched.process
        self.log.info("instance_started", pid=process.pid, version=launched.version, **fields)
        instance.running_version = launched.version or ""
        self.supervisor.record_start(now, instance, launched.stop_after_ns)
        self._watch(instance, process)

    def update_fair_sharing(self, fair_sharing: FairSharingSettings | None) -> None:
        """Write new fair-sharing settings and have the nodes read them."""
        if self.launcher.update_fair_sharing(fair_sharing):
            for instance, process in self.running_processes.items():
                self.launcher.write_node_settings(instance.name)
                if instance.report is not None:
                    self.processes.signal(process, signal.SIGHUP)
                else:  # SIGHUP ends a process that does not handle it yet
                    self.reloads_due.add(instance)

    # Processes.

    async def find_processes(self) -> None:
        """Adopt the processes that an earlier agent left, and find out which of them have ended."""
        self.unidentified = {
            instance for instance in self.supervisor.instances if self.processes.is_running(instance.name)
        }
        for instance in self.supervisor.instances:
            if instance not in self.unidentified:
                self._record_missing_process(instance)
        deadline = time.monotonic_ns() + IDENTIFICATION_TIMEOUT_NS
        while self.unidentified and time.monotonic_ns() < deadline:
            self.identify_processes(time.monotonic_ns())
            if self.unidentified:
                await asyncio.sleep(IDENTIFICATION_INTERVAL_NS / SECOND)

    def _record_missing_process(self, instance: Instance) -> None:
        _, recorded_generation = self.processes.read_pid_file(instance.name)
        self.supervisor.record_missing_process(time.monotonic_ns(), instance, recorded_generation)

    def identify_processes(self, now: int) -> None:
        """Adopt the processes of unidentified instances whose pid files are written by now."""
        for instance in list(self.unidentified):
            if process := self.processes.adopt(instance.name):
                self.unidentified.discard(instance)
                stop_after_ns = read_stop_after(read_variable(process.pid, CONFIG_VARIABLE))
                self.supervisor.record_adoption(now, instance, process.generation, stop_after_ns)
                self._watch(instance, process)
                self.log.info(
                    "instance_adopted", target=instance.name, pid=process.pid, generation=process.generation
                )
            elif not self.processes.is_running(instance.name):
                self.unidentified.discard(instance)
                self._record_missing_process(instance)

    def _watch(self, instance: Instance, process: Process) -> None:
        self.running_processes[instance] = process
        self.pollers[instance] = asyncio.ensure_future(self._poll_status(instance, process))

    def _handle_process_exit(self, process: Process, why: str) -> None:
        instance = next(
            (instance for instance, current in self.running_processes.items() if current is process), None
        )
        if instance is None:
            return
        del self.running_processes[instance]
        self.reloads_due.discard(instance)
        self.pollers.pop(instance).cancel()
        self.log.info(
            "instance_exited",
            target=instance.name,
            pid=process.pid,
            generation=process.generation,
            how=why,
            phase=instance.phase.value,
        )
        self.supervisor.record_exit(time.monotonic_ns(), instance, why)
        self.on_exit()

    async def _poll_status(self, instance: Instance, process: Process) -> None:
        """Poll the status of a node until this task is cancelled."""
        client = ControlClient(self.processes.path(instance.name, "sock"))
        instance_count = len(self.supervisor.instances)
        interval_ns = max(MIN_STATUS_INTERVAL_NS, STATUS_INTERVAL_PER_INSTANCE_NS * instance_count)
        try:
            while True:
                try:
                    await self._request_status(client, instance, process)
                except ControlError as error:
                    if instance.report is not None:
                        instance.why = f"the status request failed: {error}"
                except Exception as error:
                    self.log.error("control_poll_failed", target=instance.name, error=describe_error(error))
                await asyncio.sleep(interval_ns / SECOND)
        finally:
            client.close()

    async def _request_status(self, client: ControlClient, instance: Instance, process: Process) -> None:
        """Request one report of a node. Raises ControlError, also if another process answers."""
        report = await client.status(CONTROL_REQUEST_TIMEOUT_NS / SECOND)
        if client.pid != process.pid:
            client.close()
            raise ControlError(f"received a report of process {client.pid}, expected {process.pid}")
        self.supervisor.apply_report(time.monotonic_ns(), instance, report.state, report.generation, report)
        if instance in self.reloads_due:
            self.reloads_due.discard(instance)
            self.processes.signal(process, signal.SIGHUP)

    def close(self) -> None:
        """Stop polling and watching; the processes continue."""
        for task in self.pollers.values():
            task.cancel()
        self.drain_requester.close()
        self.processes.close()
