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
from oakkeel.agent.supervisor import MS, SECOND, Action, Step, Supervisor
from oakkeel.control.client import ControlClient, ControlError
from oakkeel.disruption.holder import PermitHolder
from oakkeel.log import EventLog, fault
from oakkeel.settings.types import FairSharingSettings, HostSettings, InstanceSettings

ASK = 200 * MS  # between questions to one instance, or more where there are many
ASK_EACH = 4 * MS  # of this times the instances
ANSWER = SECOND  # for an answer
FIND = 2 * SECOND  # for a process of an earlier agent to say which it is


class InstanceExecutor:
    def __init__(
        self,
        host: HostSettings,
        supervision: Supervisor,
        log: EventLog,
        processes: type[Processes],
        program: tuple[str, ...],
        fairness: FairSharingSettings | None,
        moved: Callable[[], None],
        permit_holder: PermitHolder | None = None,
    ) -> None:
        """`moved` is called when a process has ended."""
        self.permit_holder = permit_holder
        self.versions: ArtifactStore | None = None  # where releases are made
        self.supervision, self.log, self.fairness, self.moved = supervision, log, fairness, moved
        self.processes, self.program = processes(host.state, self._ended), list(program)
        self.told: dict[str, InstanceSettings] = {each.name: each for each in host.instances}
        self.alive: dict[Instance, Process] = {}
        self.asking: dict[Instance, asyncio.Task] = {}
        self.words: dict[Instance, asyncio.Task] = {}  # told to leave or stay, one after the other
        self.lost: set[Instance] = set()  # a process of it is there, and is not known yet

    # Steps.

    def carry_out(self, step: Step) -> None:
        instance, order = step.instance, step.instance.part and step.instance.part.order
        process = self.alive.get(instance)
        facts: dict[str, object] = {"target": instance.name, "generation": instance.born}
        if order:
            facts |= {"order": order.ident, "operator": order.operator}
        if self.permit_holder and (held := self.permit_holder.permits.get(instance.name)) and held.started:
            facts["fence"] = held.fencing_token
        if step.act is Action.START:
            self._start(instance, facts)
        elif process is None:
            self.log.warning("process_not_found", **facts)
        elif step.act in (Action.LEAVE, Action.STAY):
            self._say(instance, process, step.act, facts)
        else:
            number = signal.SIGTERM if step.act is Action.TERM else signal.SIGKILL
            self.log.info("drain_requested" if step.act is Action.TERM else "drain_timeout_killed", **facts)
            self.processes.signal(process, number)

    def put_off(self, step: Step) -> None:
        """An order's step that could not be kept is not carried out: it comes again."""
        if step.act is Action.START:
            self.supervision.never_there(time.monotonic_ns(), step.instance)
        elif step.act in (Action.TERM, Action.LEAVE, Action.STAY):
            step.instance.left_at = 0
            if step.instance.part:
                step.instance.part.sent = False

    def _start(self, instance: Instance, facts: dict[str, object]) -> None:
        told = self.told[instance.name]
        variables = {
            **os.environ,
            "PROXY_CONFIG": told.config,
            "PROXY_NAME": told.name,
            "OAKKEEL_CONTROL": self.processes.path(told.name, "sock"),
            "OAKKEEL_LOG": told.log,
        }
        if told.listen:
            variables["PROXY_LISTEN"] = told.listen
        if self.fairness:
            variables["OAKKEEL_TOLD"] = self.processes.path(told.name, "told")
        now = time.monotonic_ns()
        try:
            self._write_told(told.name)
            program = self.program
            if self.versions:
                program, more = self.versions.of(told.name, program)
                variables |= more
            process = self.processes.spawn(told.name, instance.born, program, variables)
        except OSError as error:
            self.log.error("instance_start_failed", error=str(error), **facts)
            return self.supervision.not_spawned(now, instance, str(error))
        self.log.info("instance_started", pid=process.pid, version=variables.get("OAKKEEL_VERSION"), **facts)
        instance.ran = variables.get("OAKKEEL_VERSION", "")
        self.supervision.spawned(now, instance)
        self._watch(instance, process)

    def _say(self, instance: Instance, process: Process, act: Action, facts: dict[str, object]) -> None:
        """By the control link, behind what it was told before: a word to stay must not overtake one to
        leave."""
        before = self.words.get(instance)
        self.words[instance] = task = asyncio.ensure_future(
            self._say_after(before, instance, process, act, facts)
        )
        task.add_done_callback(partial(self._said, instance))

    def _said(self, instance: Instance, task: asyncio.Task) -> None:
        if self.words.get(instance) is task:
            del self.words[instance]

    async def _say_after(
        self,
        before: asyncio.Task | None,
        instance: Instance,
        process: Process,
        act: Action,
        facts: dict[str, object],
    ) -> None:
        if before is not None:
            await asyncio.wait((before,))
        if self.alive.get(instance) is not process:
            return
        client = ControlClient(self.processes.path(instance.name, "sock"))
        try:
            if act is Action.STAY:
                answer = await client.cancel_drain(process.generation, ANSWER / SECOND)
                self.log.info("drain_cancel_requested", answer=answer.reason or "it does", **facts)
                if answer.reason:
                    instance.why = f"told to stay: {answer.reason}"
                return
            # All is answered before it could be killed.
            answer = await client.drain(
                process.generation, ANSWER / SECOND, self.supervision.patience.drain * 9 // 10
            )
            self.log.info("drain_requested", answer=answer.reason or None, **facts)
            if answer.accepted:
                return
        except ControlError as error:
            self.log.warning("control_request_failed", error=str(error), **facts)
        finally:
            client.close()
        if act is Action.LEAVE and not instance.recalled:
            self.log.info("drain_requested", by="signal", **facts)
            self.processes.signal(process, signal.SIGTERM)

    def _write_told(self, name: str) -> None:
        """What of the operators' settings a node goes by; it reads no XML."""
        if self.fairness:
            path = self.processes.path(name, "told")
            with open(path + ".new", "w", encoding="utf-8") as file:
                json.dump({"fair": self.fairness.node_settings(self.processes.path(name, "shares"))}, file)
            os.replace(path + ".new", path)

    def take_fairness(self, fairness: FairSharingSettings | None) -> None:
        """New shares: what nodes are told they read again."""
        if self.fairness and fairness and self.fairness != fairness:
            self.fairness = fairness
            for instance, process in self.alive.items():
                self._write_told(instance.name)
                self.processes.signal(process, signal.SIGHUP)

    # Processes.

    async def find_processes(self) -> None:
        """Take up what an earlier agent left running, and find out what ended meanwhile."""
        self.lost = {each for each in self.supervision.instances if self.processes.holds(each.name)}
        for instance in self.supervision.instances:
            if instance not in self.lost:
                self._found_none(instance)
        until = time.monotonic_ns() + FIND
        while self.lost and time.monotonic_ns() < until:
            self.find_lost(time.monotonic_ns())
            if self.lost:
                await asyncio.sleep(0.01)  # it is about to write down its pid

    def _found_none(self, instance: Instance) -> None:
        written = self.processes.written(instance.name)[1]
        self.supervision.found_none(time.monotonic_ns(), instance, written)

    def find_lost(self, now: int) -> None:
        for instance in list(self.lost):
            if process := self.processes.take_up(instance.name):
                self.lost.discard(instance)
                self.supervision.taken_up(now, instance, process.generation)
                self._watch(instance, process)
                self.log.info(
                    "instance_adopted", target=instance.name, pid=process.pid, generation=process.generation
                )
            elif not self.processes.holds(instance.name):
                self.lost.discard(instance)
                self._found_none(instance)

    def _watch(self, instance: Instance, process: Process) -> None:
        self.alive[instance] = process
        self.asking[instance] = asyncio.ensure_future(self._ask(instance, process))

    def _ended(self, process: Process, why: str) -> None:
        instance = next((each for each, known in self.alive.items() if known is process), None)
        if instance is None:
            return
        del self.alive[instance]
        self.asking.pop(instance).cancel()
        self.log.info(
            "instance_exited",
            target=instance.name,
            pid=process.pid,
            generation=process.generation,
            how=why,
            phase=instance.phase.value,
        )
        self.supervision.died(time.monotonic_ns(), instance, why)
        self.moved()

    async def _ask(self, instance: Instance, process: Process) -> None:
        """Ask it how it is, again and again, as long as its process lives."""
        client = ControlClient(self.processes.path(instance.name, "sock"))
        pause = max(ASK, ASK_EACH * len(self.supervision.instances))
        try:
            while True:
                try:
                    report = await client.status(ANSWER / SECOND)
                    if client.pid != process.pid:
                        client.close()
                        raise ControlError(f"process {client.pid} answers in place of {process.pid}")
                    self.supervision.heard(
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
        for task in (*self.asking.values(), *self.words.values()):
            task.cancel()
        self.processes.close()
