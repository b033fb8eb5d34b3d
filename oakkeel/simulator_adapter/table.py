"""The table of simulated instances, which passes each record of a batch to its instance."""

from __future__ import annotations

import struct
from collections.abc import Callable

from oakkeel.admission.types import Outcome
from oakkeel.simulator_adapter import wire
from oakkeel.simulator_adapter.instance import OUTCOMES, Instance
from oakkeel.simulator_adapter.wire import ActionCode, Batch, EventCode, WireError

Handler = Callable[[Batch, int], Instance | None]


class InstanceTable:
    """Instances that share the frames of one input and one output, and no other state.

    A handler takes a batch and the offset of a record in the batch's body. The handler returns the instance
    to schedule after the batch, or None.
    """

    def __init__(self) -> None:
        """Start with no instance."""
        self.instances: dict[int, Instance] = {}
        self.reply = wire.Reply()
        self.handlers: dict[int, Handler] = {
            EventCode.START: self._handle_start,
            EventCode.ARRIVAL: self._handle_arrival,
            EventCode.RUN_FINISHED: self._handle_run_finished,
            EventCode.CALL_NEEDED: self._handle_call_needed,
            EventCode.CALL_FINISHED: self._handle_call_finished,
            EventCode.DRAIN: self._handle_drain,
            EventCode.CLIENT_DISCONNECTED: self._handle_client_disconnected,
            EventCode.TIMER_EXPIRED: self._handle_timer_expired,
            EventCode.KILLED: self._handle_killed,
        }

    def handle(self, batch: Batch) -> bytes:
        """Handle the records of a batch, schedule the instances that they name, and return the reply."""
        instances_to_schedule: dict[int, Instance] = {}
        for offset in range(0, batch.records_size, wire.EVENT_SIZE):
            code, instance_id = wire.EVENT_HEAD.unpack_from(batch.body, offset)
            instance = self._handle_record(batch, offset, code, instance_id)
            if instance is not None:
                instances_to_schedule[instance_id] = instance
            else:
                instances_to_schedule.pop(instance_id, None)
        for instance in instances_to_schedule.values():
            self._schedule(instance, batch.clock)
        return self.reply.take_frame(batch.number)

    def _handle_record(self, batch: Batch, offset: int, code: int, instance_id: int) -> Instance | None:
        handler = self.handlers.get(code)
        if handler is None:
            raise WireError(f"batch {batch.number}: unknown event code {code}")
        try:
            return handler(batch, offset)
        except (WireError, UnicodeDecodeError):
            raise
        except Exception as error:  # a defect of the admission controller
            self._report_error(instance_id, error)
            return None

    def _schedule(self, instance: Instance, now: int) -> None:
        try:
            instance.admission.schedule(now)
        except Exception as error:  # a defect of the admission controller
            self._report_error(instance.number, error)

    def _report_error(self, instance_id: int, error: Exception) -> None:
        """Add an error of the admission decisions to the reply; the simulator stops and prints the error."""
        self.reply.add_text(ActionCode.INTERNAL_ERROR, instance_id, f"{type(error).__name__}: {error}")

    def _find_instance(self, instance_id: int) -> Instance:
        instance = self.instances.get(instance_id)
        if instance is None:
            raise WireError(f"event for unknown instance {instance_id}")
        return instance

    def _handle_start(self, batch: Batch, offset: int) -> Instance:
        _, instance_id, seed, start, length = wire.START.unpack_from(batch.body, offset)
        start += batch.records_size
        if start + length > len(batch.body):
            raise WireError(f"settings of instance {instance_id} reach past the end of the batch")
        settings = batch.body[start : start + length].decode()
        instance = Instance(instance_id, seed, settings, batch.clock, self.reply)
        self.instances[instance_id] = instance
        return instance

    def _handle_arrival(self, batch: Batch, offset: int) -> Instance:
        arrival = wire.Arrival._make(wire.ARRIVAL.unpack_from(batch.body, offset))
        instance = self._find_instance(arrival.instance_id)
        instance.arrive(batch.clock, arrival)
        return instance

    def _handle_run_finished(self, batch: Batch, offset: int) -> Instance:
        _, instance_id, request_id, status, _ = wire.FINISHED.unpack_from(batch.body, offset)
        instance = self._find_instance(instance_id)
        outcome = _parse_outcome(status, instance_id)
        instance.admission.run_finished(batch.clock, instance.find_request(request_id), outcome)
        return instance

    def _handle_call_finished(self, batch: Batch, offset: int) -> Instance:
        _, instance_id, request_id, status, _ = wire.FINISHED.unpack_from(batch.body, offset)
        instance = self._find_instance(instance_id)
        outcome = _parse_outcome(status, instance_id)
        instance.admission.call_finished(batch.clock, instance.find_request(request_id), outcome)
        return instance

    def _handle_call_needed(self, batch: Batch, offset: int) -> Instance:
        _, instance_id, request_id = wire.EVENT_VALUE.unpack_from(batch.body, offset)
        instance = self._find_instance(instance_id)
        instance.admission.call_needed(batch.clock, instance.find_request(request_id))
        return instance

    def _handle_client_disconnected(self, batch: Batch, offset: int) -> Instance:
        _, instance_id, request_id = wire.EVENT_VALUE.unpack_from(batch.body, offset)
        instance = self._find_instance(instance_id)
        instance.admission.client_disconnected(batch.clock, instance.find_request(request_id))
        return instance

    def _handle_drain(self, batch: Batch, offset: int) -> Instance:
        _, instance_id, time_left = wire.EVENT_VALUE.unpack_from(batch.body, offset)
        instance = self._find_instance(instance_id)
        instance.admission.drain(batch.clock, time_left)
        return instance

    def _handle_timer_expired(self, batch: Batch, offset: int) -> Instance:
        _, instance_id, token, count = wire.TIMER.unpack_from(batch.body, offset)
        instance = self._find_instance(instance_id)
        if count > wire.MAX_GAUGES:
            raise WireError(f"{count} gauges do not fit a record of instance {instance_id}")
        values = struct.unpack_from(f"<{count}f", batch.body, offset + wire.TIMER.size)
        instance.admission.timer_expired(batch.clock, token, instance.update_gauges(values))
        return instance

    def _handle_killed(self, batch: Batch, offset: int) -> None:
        _, instance_id = wire.EVENT_HEAD.unpack_from(batch.body, offset)
        del self.instances[self._find_instance(instance_id).number]


def _parse_outcome(status: int, instance_id: int) -> Outcome:
    outcome = OUTCOMES.get(status)
    if outcome is None:
        raise WireError(f"unknown outcome {status} on instance {instance_id}")
    return outcome
