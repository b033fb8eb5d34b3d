"""Requests that an agent sends to its nodes over their control links."""

from __future__ import annotations

import asyncio
import signal
from functools import partial

from oakkeel.agent.instances import Instance
from oakkeel.agent.processes import Process, Processes
from oakkeel.agent.supervision_rules import Action, SupervisionTimeouts
from oakkeel.control.client import ControlClient, ControlError
from oakkeel.control.messages import Acknowledgement
from oakkeel.log import EventLog, LogFields
from oakkeel.units import SECOND

CONTROL_REQUEST_TIMEOUT_NS = SECOND


class DrainRequester:
    """Sends drains and their cancellation to nodes.

    The requests to one instance are sent one after the other, so that a cancellation can't overtake its
    drain.
    """

    def __init__(
        self,
        running_processes: dict[Instance, Process],
        processes: Processes,
        timeouts: SupervisionTimeouts,
        log: EventLog,
    ) -> None:
        """`running_processes` is shared with the executor."""
        self.running_processes = running_processes
        self.processes = processes
        self.timeouts = timeouts
        self.log = log
        self.tasks: dict[Instance, asyncio.Task[None]] = {}  # latest request to each instance

    def send(self, instance: Instance, process: Process, action: Action, fields: LogFields) -> None:
        """Send a drain or its cancellation after earlier requests to the instance; `fields` are logged."""
        previous = self.tasks.get(instance)
        task = asyncio.ensure_future(self._send_after(previous, instance, process, action, fields))
        self.tasks[instance] = task
        task.add_done_callback(partial(self._remove_task, instance))

    def _remove_task(self, instance: Instance, task: asyncio.Task[None]) -> None:
        if self.tasks.get(instance) is task:
            del self.tasks[instance]

    async def _send_after(
        self,
        previous: asyncio.Task[None] | None,
        instance: Instance,
        process: Process,
        action: Action,
        fields: LogFields,
    ) -> None:
        if previous is not None:
            await asyncio.wait((previous,))
        if self.running_processes.get(instance) is not process:
            return
        is_accepted = await self._request(instance, process, action, fields)
        if not is_accepted and action is Action.DRAIN and not instance.is_drain_cancelled:
            self.log.info("drain_requested", by="signal", **fields)
            self.processes.signal(process, signal.SIGTERM)

    async def _request(self, instance: Instance, process: Process, action: Action, fields: LogFields) -> bool:
        """Send the request over the control link; returns whether the node accepted it."""
        client = ControlClient(self.processes.path(instance.name, "sock"))
        timeout = CONTROL_REQUEST_TIMEOUT_NS / SECOND
        try:
            if action is Action.CANCEL_DRAIN:
                acknowledgement = await client.cancel_drain(process.generation, timeout)
                self._log_cancellation(instance, acknowledgement, fields)
            else:
                drain_timeout = self.timeouts.node_drain_timeout(instance)
                acknowledgement = await client.drain(process.generation, timeout, drain_timeout)
                self.log.info("drain_requested", answer=acknowledgement.reason or None, **fields)
            return acknowledgement.accepted
        except ControlError as error:
            self.log.warning("control_request_failed", error=str(error), **fields)
            return False
        finally:
            client.close()

    def _log_cancellation(
        self, instance: Instance, acknowledgement: Acknowledgement, fields: LogFields
    ) -> None:
        self.log.info("drain_cancel_requested", answer=acknowledgement.reason or "accepted", **fields)
        if acknowledgement.reason:
            instance.why = f"the node did not cancel its drain: {acknowledgement.reason}"

    def close(self) -> None:
        """Cancel the requests that are not complete."""
        for task in self.tasks.values():
            task.cancel()
