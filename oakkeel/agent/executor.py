"""Carries out what is decided for instances: processes made and signalled, nodes asked and told."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import time
from collections.abc import Callable
from functools import partial

from oakkeel.agent.artifacts import ArtifactStore
from oakkeel.agent.instances import Instance
from oakkeel.agent.processes import Process, Processes
from oakkeel.agent.supervision_rules import Action
from oakkeel.agent.supervisor import Step, Supervisor
from oakkeel.control.client import ControlClient, ControlError
from oakkeel.disruption.holder import PermitHolder
from oakkeel.log import EventLog, fault
from oakkeel.settings.types import FairSharingSettings, HostSettings, InstanceSettings
from oakkeel.units import MS, SECOND

ASK = 200 * MS  # between questions to one instance, or more where there are many
ASK_EACH = 4 * MS  # of this times the instances
ANSWER = SECOND  # for an answer
FIND = 2 * SECOND  # for a process of an earlier agent to say which it is


class InstanceExecutor:
    """The processes of a host's instances and the tasks that poll them."""

    def __init__(
        self,
        host: HostSettings,
        supervisor: Supervisor,
        log: EventLog,
        processes: type[Processes],
        program: tuple[str, ...],
        fair_sharing: FairSharingSettings | None,
        on_exit: Callable[[], None],
        permit_holder: PermitHolder | None = None,
    ) -> None:
        """`moved` is called when a process has ended."""
        self.permit_holder = permit_holder
        self.artifacts: ArtifactStore | None = None  # where releases are made
        self.supervisor, self.log, self.fair_sharing, self.on_exit = supervisor, log, fair_sharing, on_exit
        self.processes, self.program = processes(host.state, self._process_exited), list(program)
        self.settings: dict[str, InstanceSettings] = {each.name: each for each in host.instances}
        self.alive: dict[Instance, Process] = {}
        self.pollers: dict[Instance, asyncio.Task[None]] = {}
        self.control_tasks: dict[
            Instance, asyncio.Task[None]
        ] = {}  # told to leave or stay, one after the other
        self.unidentified: set[Instance] = set()  # a process of it is there, and is not known yet

    # Steps.

    def execute(self, step: Step) -> None:
        """Carry out one step of the supervisor."""
        instance, order = step.instance, step.instance.task and step.instance.task.order
        process = self.alive.get(instance)
        fields: dict[str, object] = {"target": instance.name, "generation": instance.process_generation}
        if order:
            fields |= {"order": order.order_id, "operator": order.operator}
        if (
            self.permit_holder
            and (permit := self.permit_holder.permits.get(instance.name))
            and permit.started
        ):
            fields["fence"] = permit.fencing_token
        if step.action is Action.START:
            self._start(instance, fields)
        elif process is None:
            self.log.warning("process_not_found", **fields)
        elif step.action in (Action.DRAIN, Action.CANCEL_DRAIN):
            self._send_control_request(instance, process, step.action, fields)
        else:
            number = signal.SIGTERM if step.action is Action.TERM else signal.SIGKILL
            self.log.info(
                "drain_requested" if step.action is Action.TERM else "drain_timeout_killed", **fields
            )
            self.processes.signal(process, number)

    def postpone(self, step: Step) -> None:
        """An order's step that could not be kept is not carried out: it comes again."""
        if step.action is Action.START:
            self.supervisor.start_abandoned(time.monotonic_ns(), step.instance)
        elif step.action in (Action.TERM, Action.DRAIN, Action.CANCEL_DRAIN):
            step.instance.drain_sent_at = 0
            if step.instance.task:
                step.instance.task.drain_sent = False

    def _start(self, instance: Instance, fields: dict[str, object]) -> None:
        settings = self.settings[instance.name]
        variables = {
            **os.environ,
            "PROXY_CONFIG": settings.config,
            "PROXY_NAME": settings.name,
            "OAKKEEL_CONTROL": self.processes.path(settings.name, "sock"),
            "OAKKEEL_LOG": settings.log,
        }
        if settings.listen:
            variables["PROXY_LISTEN"] = settings.listen
        if self.fair_sharing:
            variables["OAKKEEL_TOLD"] = self.processes.path(settings.name, "told")
        now = time.monotonic_ns()
        try:
            self._write_node_settings(settings.name)
            program = self.program
            if self.artifacts:
                program, more = self.artifacts.launch_command(settings.name, program)
                variables |= more
            process = self.processes.spawn(settings.name, instance.process_generation, program, variables)
        except OSError as error:
            self.log.error("instance_start_failed", error=str(error), **fields)
            self.supervisor.start_failed(now, instance, str(error))
            return
        self.log.info("instance_started", pid=process.pid, version=variables.get("OAKKEEL_VERSION"), **fields)
        instance.running_version = variables.get("OAKKEEL_VERSION", "")
        self.supervisor.process_started(now, instance)
        self._watch(instance, process)

    def _send_control_request(
        self, instance: Instance, process: Process, action: Action, fields: dict[str, object]
    ) -> None:
        """By the control link, behind what it was told before: a word to stay must not overtake one to
        leave."""
        before = self.control_tasks.get(instance)
        self.control_tasks[instance] = task = asyncio.ensure_future(
            self._control_request(before, instance, process, action, fields)
        )
        task.add_done_callback(partial(self._control_request_done, instance))

    def _control_request_done(self, instance: Instance, task: asyncio.Task[None]) -> None:
        if self.control_tasks.get(instance) is task:
            del self.control_tasks[instance]

    async def _control_request(
        self,
        before: asyncio.Task[None] | None,
        instance: Instance,
        process: Process,
        action: Action,
        fields: dict[str, object],
    ) -> None:
        if before is not None:
            await asyncio.wait((before,))
        if self.alive.get(instance) is not process:
            return
        client = ControlClient(self.processes.path(instance.name, "sock"))
        try:
            if action is Action.CANCEL_DRAIN:
                answer = await client.cancel_drain(process.generation, ANSWER / SECOND)
                self.log.info("drain_cancel_requested", answer=answer.reason or "it does", **fields)
                if answer.reason:
                    instance.why = f"told to stay: {answer.reason}"
                return
            # All is answered before it could be killed.
            answer = await client.drain(
                process.generation, ANSWER / SECOND, self.supervisor.timeouts.node_drain_timeout_ns
            )
            self.log.info("drain_requested", answer=answer.reason or None, **fields)
            if answer.accepted:
                return
        except ControlError as error:
            self.log.warning("control_request_failed", error=str(error), **fields)
        finally:
            client.close()
        if action is Action.DRAIN and not instance.drain_cancelled:
            self.log.info("drain_requested", by="signal", **fields)
            self.processes.signal(process, signal.SIGTERM)

    def _write_node_settings(self, name: str) -> None:
        """What of the operators' settings a node goes by; it reads no XML."""
        if self.fair_sharing:
            path = self.processes.path(name, "told")
            with open(path + ".new", "w", encoding="utf-8") as file:
                json.dump(
                    {"fair": self.fair_sharing.node_settings(self.processes.path(name, "shares"))}, file
                )
            os.replace(path + ".new", path)

    def update_fair_sharing(self, fair_sharing: FairSharingSettings | None) -> None:
        """New shares: what nodes are told they read again."""
        if self.fair_sharing and fair_sharing and self.fair_sharing != fair_sharing:
            self.fair_sharing = fair_sharing
            for instance, process in self.alive.items():
                self._write_node_settings(instance.name)
                self.processes.signal(process, signal.SIGHUP)

    # Processes.

    async def find_processes(self) -> None:
        """Take up what an earlier agent left running, and find out what ended meanwhile."""
        self.unidentified = {
            each for each in self.supervisor.instances if self.processes.is_running(each.name)
        }
        for instance in self.supervisor.instances:
            if instance not in self.unidentified:
                self._process_not_found(instance)
        until = time.monotonic_ns() + FIND
        while self.unidentified and time.monotonic_ns() < until:
            self.identify_processes(time.monotonic_ns())
            if self.unidentified:
                await asyncio.sleep(0.01)  # it is about to write down its pid

    def _process_not_found(self, instance: Instance) -> None:
        written = self.processes.read_pid_file(instance.name)[1]
        self.supervisor.process_not_found(time.monotonic_ns(), instance, written)

    def identify_processes(self, now: int) -> None:
        """Adopt processes whose pid file can be read by now."""
        for instance in list(self.unidentified):
            if process := self.processes.adopt(instance.name):
                self.unidentified.discard(instance)
                self.supervisor.process_adopted(now, instance, process.generation)
                self._watch(instance, process)
                self.log.info(
                    "instance_adopted", target=instance.name, pid=process.pid, generation=process.generation
                )
            elif not self.processes.is_running(instance.name):
                self.unidentified.discard(instance)
                self._process_not_found(instance)

    def _watch(self, instance: Instance, process: Process) -> None:
        self.alive[instance] = process
        self.pollers[instance] = asyncio.ensure_future(self._poll(instance, process))

    def _process_exited(self, process: Process, why: str) -> None:
        instance = next((each for each, known in self.alive.items() if known is process), None)
        if instance is None:
            return
        del self.alive[instance]
        self.pollers.pop(instance).cancel()
        self.log.info(
            "instance_exited",
            target=instance.name,
            pid=process.pid,
            generation=process.generation,
            how=why,
            phase=instance.phase.value,
        )
        self.supervisor.process_exited(time.monotonic_ns(), instance, why)
        self.on_exit()

    async def _poll(self, instance: Instance, process: Process) -> None:
        """Ask it how it is, again and again, as long as its process lives."""
        client = ControlClient(self.processes.path(instance.name, "sock"))
        pause = max(ASK, ASK_EACH * len(self.supervisor.instances))
        try:
            while True:
                try:
                    report = await client.status(ANSWER / SECOND)
                    if client.pid != process.pid:
                        client.close()
                        raise ControlError(f"process {client.pid} answers in place of {process.pid}")
                    self.supervisor.report_received(
                        time.monotonic_ns(), instance, report.state, report.generation, report
                    )
                except ControlError as error:
                    if instance.report is not None:
                        instance.why = f"asked how it is: {error}"
                except Exception as error:
                    self.log.error("control_poll_failed", target=instance.name, error=fault(error))
                await asyncio.sleep(pause / SECOND)
        finally:
            client.close()

    def close(self) -> None:
        """The processes go on."""
        for task in (*self.pollers.values(), *self.control_tasks.values()):
            task.cancel()
        self.processes.close()
